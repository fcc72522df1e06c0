// Package instance is the root of an instance's supervisor tree. Its children
// are the packages below it: control, peering, platform, entry and admin.
package instance
