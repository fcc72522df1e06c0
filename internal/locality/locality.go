// Package locality decides when requests leave the failure domain or the region
// in which they arrived, and what share of them.
//
// All functions take the time and the random source as arguments, and the package
// does no I/O.
package locality

import "time"

// Scope is how far a request may travel to its upstream.
type Scope int

// The scopes, nearest first.
const (
	Domain Scope = iota // the instance's own failure domain
	Region              // another failure domain of the same region
	Remote              // another region
)

// Pool is the capacity for one service's requests within one scope.
type Pool struct {
	Slots    int           // of upstreams that are not probably faulty
	Load     int           // requests running and waiting there, as far as known
	MeanTime time.Duration // of a healthy response
	Latency  time.Duration // added by the distance, round trip
}
