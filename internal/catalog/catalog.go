// Package catalog holds what the fleet learns from a platform's store: the
// operators' configuration, the upstreams and the fleet's members. Catalog is a
// pure state machine; reading the store is the job of a Source, which adapters
// for a platform's protocol implement.
package catalog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/document"
	"knapweedreel/internal/routing"
)

// Configuration is a version of the operators' configuration, complete.
type Configuration struct {
	Version  uint64 // grows with each configuration
	Routes   []Route
	Services map[string]Service // by name
	Limits   Limits
}

// Route says where requests go and how they are treated.
type Route struct {
	Name  string
	Host  string // lower case, without port
	Rule  document.Route
	Parts []routing.Part
}

// Service is what the configuration says of a service.
type Service struct {
	// Connections is the number of connections that each upstream accepts from
	// all instances together, 0 for no limit.
	Connections int
}

// Limits bound what callers may send. 0 means that the settings decide.
type Limits struct {
	BodyBytes   int64
	IdleTimeout time.Duration // of a kept connection
}

// Upstream is an upstream as it has registered itself.
type Upstream struct {
	ID            string
	Service       string
	Address       string // IP:port
	FailureDomain string
	Slots         int
	Leaving       bool          // wants no new requests
	ColdFor       time.Duration // how much longer it is slow after its start
	Incarnation   int64         // differs after a restart under the same ID
}

// Member is an instance of the fleet.
type Member struct {
	ID            string `json:"id"`
	Incarnation   int64  `json:"incarnation"`
	Address       string `json:"address"`      // where callers connect, IP:port
	PeerAddress   string `json:"peer_address"` // where evidence is received (UDP) and changes are passed on (TCP), IP:port
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Capacity is the number of requests per second that the member can serve.
	Capacity float64 `json:"capacity"`
	// Width is the number of instances among which the callers of this
	// member's region should be spread, as far as this member can tell from
	// its own load.
	Width int `json:"width"`
}

// Change is a change of one item in the store. Exactly one of Configuration,
// Upstream, Member, Key, Removed and Unreadable tells what happened.
type Change struct {
	Kind          Kind
	ID            string // of the upstream or member
	Revision      uint64 // of the store
	Configuration *Configuration
	Upstream      *Upstream
	Member        *Member
	Key           []byte // the fleet's key
	Removed       bool
	Unreadable    error // why the item names nothing that can be used
	// Raw is what Source.Decode reads, so that other instances can be told.
	// It is empty in changes that Load returns.
	Raw []byte
}

// Kind tells what an item is about.
type Kind string

// The kinds of items.
const (
	KindConfiguration Kind = "configuration"
	KindUpstream      Kind = "upstream"
	KindMember        Kind = "member"
	KindKey           Kind = "key"
)

// ErrHistoryLost means that the changes after an index are no longer known, so
// that everything has to be read again.
var ErrHistoryLost = errors.New("catalog: the history after this index is gone")

// ErrExpired means that a registration has ended.
var ErrExpired = errors.New("catalog: the registration has expired")

// Registration identifies a member's entry in the store.
type Registration struct {
	Lease uint64
	TTL   time.Duration
}

// Source reads and writes the platform's store. Errors of package store tell
// calls that had no effect from those whose result is unknown.
type Source interface {
	// Load returns all items and the index from which to wait for changes. With
	// stale they may be some seconds old, which costs the store less and is not
	// refused when many instances read at once; waiting for changes after the
	// index then brings what is missing.
	Load(ctx context.Context, stale bool) ([]Change, uint64, error)
	// Changes waits for changes after an index, for at most the given time, and
	// returns them with the index to continue from. It may return none.
	Changes(ctx context.Context, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Decode returns the change in another instance's Change.Raw, or false for
	// one that cannot be read or is not the fleet's concern.
	Decode(raw []byte) (Change, bool)
	// Register enters a member for the given time. When only its entry was not
	// taken, it returns the lease with the error, and Update completes it.
	Register(ctx context.Context, m Member, ttl time.Duration) (Registration, error)
	// Renew extends a registration, or returns ErrExpired.
	Renew(ctx context.Context, r Registration) error
	// Update changes the entry of a registered member.
	Update(ctx context.Context, r Registration, m Member) error
	// Withdraw removes a member's entry.
	Withdraw(ctx context.Context, r Registration) error
	// OfferKey stores the fleet's key, unless there is one.
	OfferKey(ctx context.Context, key []byte) error
}
