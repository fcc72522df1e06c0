// Package routing defines the immutable snapshot from which traffic goroutines
// route requests. The control goroutine builds a new snapshot aside and swaps
// it whole; nothing in a published snapshot changes.
package routing

import (
	"time"

	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
	"knapweedreel/internal/member"
)

// Snapshot is all that traffic needs to know.
type Snapshot struct {
	Sequence uint64 // grows by one with every snapshot
	Built    time.Time
	Self     member.Info
	Ready    bool                // documents have been read from the store or a peer
	Services map[string]*Service // by name
	Hosts    map[string]*Service // by lower-case Host header without port
	Table    *Table              // routes across services, nil where each document has its own hosts
	// CallerIdle is the time for which a caller's connection may be idle, 0 if
	// the settings decide.
	CallerIdle time.Duration
	Members    []Member // the whole fleet, this instance included
	Shards     int
	// Serving is the number of instances among which the callers of all regions
	// are spread, 0 while it is not known.
	Serving int
}

// Member is a member of the fleet as address answers need it.
type Member struct {
	member.Info
	Live bool // heard from within the liveness timeout, or this instance
}

// Service is a service with the document in force.
type Service struct {
	Name      string
	Revision  uint64
	Document  *document.Document
	Served    bool // this instance is in the service's shard
	Upstreams []Upstream
}

// Upstream is an upstream as this instance may use it.
type Upstream struct {
	document.Upstream
	State          health.State
	Weight         float64 // 0 to 1, share of normal work
	HomeSlots      int     // slots of the upstream assigned to this instance
	MaxConnections int     // this instance's share of the connections
	Cold           bool    // has started lately and is slow
	PeerInFlight   int     // requests in flight from peers, by their heartbeats
}
