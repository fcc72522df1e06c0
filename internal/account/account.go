// Package account identifies client accounts by the keys that callers present.
//
// A Set holds the accounts of one version of the configuration. It is immutable
// and swapped whole. Identify turns the credentials of a request into an
// Identity. An Identity is valid only for the version that issued it: a request
// that has waited has to be resolved again with Set.Resolve before it is sent,
// because its key may have been withdrawn meanwhile.
package account

import (
	"fmt"
	"io"
)

// Account is a client account.
type Account struct {
	Name string
	// Priority orders the requests of accounts; 0 is served first. It takes
	// precedence over the priority of the route. Nil leaves the order to the route.
	Priority *int
	// Rate is the quota in requests per second over the whole fleet, 0 for no limit.
	Rate float64
	// Burst is the number of requests that the account may send at once beyond Rate.
	Burst float64
}

// Key is the secret that a caller presents. Its formatted value is always
// redacted, so that it cannot reach a log, a metric or an error text.
type Key string

// String implements fmt.Stringer.
func (Key) String() string { return "[redacted]" }

// GoString implements fmt.GoStringer.
func (Key) GoString() string { return "[redacted]" }

// Format implements fmt.Formatter, so that verbs such as %q and %x don't print
// the key either.
func (k Key) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, k.String()) }
