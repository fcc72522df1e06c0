// Package slots assigns the slots of upstreams to instances.
package slots
