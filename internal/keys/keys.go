// Package keys loads and creates the certificates for mutual authentication.
package keys
