// Package membudget shares an instance's memory among the requests that it
// holds: headers, bodies, responses and connections. Bytes are reserved before
// they are read and returned on every path. When memory is short, the package
// decides which holder is refused or closed.
//
// The package does no I/O.
package membudget

// Use is what reserved bytes are used for.
type Use string

// The uses.
const (
	Connection Use = "connection" // a connection with its buffers and request header
	Body       Use = "body"       // of a caller's request, kept for a retry
	Answer     Use = "answer"     // a buffer for a response
)
