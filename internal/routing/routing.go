// Package routing defines the snapshot from which traffic goroutines route
// requests. The control goroutine builds a new snapshot and swaps it in
// atomically; a published snapshot is immutable.
package routing

import (
	"time"

	"knapweedreel/internal/account"
	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
	"knapweedreel/internal/member"
)

// Snapshot is the state that traffic goroutines route by.
type Snapshot struct {
	Sequence uint64 // increases by one with every snapshot
	Built    time.Time
	Self     member.Info
	Ready    bool                // documents have been read from the store or a peer
	Services map[string]*Service // by name
	Hosts    map[string]*Service // by lower-case Host header without port
	Table    *Table              // routes across services, nil if each document names its hosts
	// CallerIdle is the idle timeout of a caller's connection, 0 for that of the
	// settings.
	CallerIdle time.Duration
	// CallerHeaderBytes is the maximum size of a request header in bytes, and
	// CallerHeaderTimeout the maximum time for receiving it; 0 for those of the
	// settings.
	CallerHeaderBytes   int
	CallerHeaderTimeout time.Duration
	// Accounts are the client accounts, nil if the configuration has none. Requests
	// then need no key.
	Accounts *account.Set
	Members  []Member // the whole fleet, this instance included
	Shards   int
	// ServingInstances is the number of instances that serve the callers of all
	// regions, 0 while it is not known.
	ServingInstances int
}

// Member is a member of the fleet whose address callers may be given.
type Member struct {
	member.Info
	Live bool // sent a message within the liveness timeout, or is this instance
}

// Service is a service with the document in effect.
type Service struct {
	Name     string
	Revision uint64
	Document *document.Document
	InShard  bool // this instance is in the service's shard
	// ShareLoads makes regions compare their loads, so that requests leave a region
	// only if that pays.
	ShareLoads bool
	Upstreams  []Upstream
}

// Upstream is an upstream and the limits within which this instance may use it.
type Upstream struct {
	document.Upstream
	State          health.State
	Weight         float64 // 0 to 1, share of the normal load
	HomeSlots      int     // slots of the upstream assigned to this instance
	MaxConnections int     // this instance's share of the connections
	Cold           bool    // started recently and is still slow
	PeerInFlight   int     // requests in flight from peers, as their heartbeats report
	Incarnation    int64   // higher after a restart under the same ID, 0 if unknown
}
