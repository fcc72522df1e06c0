// Package catalog holds the content of a platform's store: the operators'
// configuration, the upstreams, the fleet's members and the fleet's key. Catalog
// is a state machine without I/O; a Source reads and writes the store and is
// implemented by an adapter for the platform's protocol.
package catalog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/account"
	"knapweedreel/internal/document"
	"knapweedreel/internal/routing"
)

// Configuration is one complete version of the operators' configuration.
type Configuration struct {
	Version  uint64 // increases with each configuration
	Routes   []Route
	Services map[string]Service // by name
	Limits   Limits
	// Accounts are the client accounts, nil if the configuration has none.
	Accounts *account.Set
}

// Route is a route of the configuration.
type Route struct {
	Name  string
	Host  string // lower case, without port
	Rule  document.Route
	Split []routing.WeightedService
	// Public routes need no key of a client account.
	Public bool
}

// Service holds the settings of a service.
type Service struct {
	// Connections is the number of connections that each upstream accepts from
	// all instances together, 0 for no limit.
	Connections int
}

// Limits bound what callers may send. The settings apply where a limit is 0.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration // for the whole header of a request
	BodyBytes     int64
	IdleTimeout   time.Duration // of a keep-alive connection
}

// Upstream is an upstream as it registered itself.
type Upstream struct {
	ID            string
	Service       string
	Address       string // IP:port
	FailureDomain string
	Slots         int
	Leaving       bool          // must get no new requests
	ColdFor       time.Duration // remaining time for which it is slow after its start
	Incarnation   int64         // differs after a restart under the same ID
}

// Member is an instance of the fleet.
type Member struct {
	ID            string `json:"id"`
	Incarnation   int64  `json:"incarnation"`
	Address       string `json:"address"`      // for callers, IP:port
	PeerAddress   string `json:"peer_address"` // for evidence (UDP) and relayed changes (TCP), IP:port
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Capacity is the number of requests per second that the member can serve.
	Capacity float64 `json:"capacity"`
	// Width is the number of instances that should serve the callers of this
	// member's region, judging by this member's own load.
	Width int `json:"width"`
	// Leaving is set from the start of the member's graceful shutdown.
	Leaving bool `json:"leaving,omitempty"`
}

// Change is a change of one item in the store. Exactly one of Configuration,
// Upstream, Member, Key, Removed and Unreadable is set.
type Change struct {
	Kind          Kind
	ID            string // of the upstream or member
	Revision      uint64 // of the store, in the era of the content or the changes that it is part of
	Configuration *Configuration
	Upstream      *Upstream
	Member        *Member
	Key           []byte // the fleet's key
	Removed       bool
	Unreadable    error // why the item cannot be decoded or used
	// Raw is the encoded change for other instances, which pass it to
	// Source.Decode. It is empty in a Content.
	Raw []byte
}

// Kind is the kind of an item.
type Kind string

// The kinds of items.
const (
	KindConfiguration Kind = "configuration"
	KindUpstream      Kind = "upstream"
	KindMember        Kind = "member"
	KindKey           Kind = "key"
)

// ErrHistoryLost means that the changes after an index are no longer available,
// so that everything has to be loaded again.
var ErrHistoryLost = errors.New("catalog: the history after this index is no longer available")

// ErrOtherEra means that the store is in another era than the call or an earlier
// response, so that everything has to be loaded again.
var ErrOtherEra = errors.New("catalog: the store is in another era")

// ErrExpired means that a registration has expired.
var ErrExpired = errors.New("catalog: the registration has expired")

// Content is all items of the store. A read takes several calls while the items
// change, and calls that may return stale items reach replicas of different ages, so
// the items need not be of one moment.
type Content struct {
	Changes []Change // without removed items
	// Index is the position from which to wait for changes. No item is older.
	Index Position
	// Newest is the position of the newest part, in the same era. Changes up to it
	// may be older than the items they concern, and take effect only together.
	Newest Position
}

// Registration identifies the entry of a registered member in the store.
type Registration struct {
	Lease uint64
	TTL   time.Duration
	Era   Era // in which the lease was granted; it is not valid in another one
}

// Source reads and writes the platform's store. Errors of package store
// distinguish calls without effect from calls whose result is unknown.
type Source interface {
	// Load returns all items. With stale they may be some seconds old; such a read
	// costs the store less and is not refused when many instances read at once. What
	// is missing follows as changes after the index. It returns ErrOtherEra if parts
	// are of different eras, or of an earlier one than a response before.
	Load(ctx context.Context, stale bool) (Content, error)
	// Changes waits for changes after a position, for at most the given time, and
	// returns them with the position to continue from. It may return no changes. It
	// returns ErrHistoryLost if the changes are no longer available, and ErrOtherEra
	// if the store is not in the era of the position.
	Changes(ctx context.Context, after Position, wait time.Duration) ([]Change, Position, error)
	// Decode decodes another instance's Change.Raw. It returns false if raw cannot
	// be decoded or is not a change of one of the fleet's items.
	Decode(raw []byte) (Change, bool)
	// Register registers a member for the given time. If it got a lease but could
	// not store the entry, it returns the lease with the error, and Update
	// completes the registration.
	Register(ctx context.Context, m Member, ttl time.Duration) (Registration, error)
	// Renew extends a registration, or returns ErrExpired. A registration of an
	// earlier era has expired.
	Renew(ctx context.Context, r Registration) error
	// Update replaces the entry of a registered member, or returns ErrExpired.
	Update(ctx context.Context, r Registration, m Member) error
	// Withdraw marks the entry of a registered member as leaving. The entry expires
	// with the registration, which must not be renewed any more.
	Withdraw(ctx context.Context, r Registration, m Member) error
	// OfferKey stores the fleet's key if the store has none, or returns
	// store.ErrConflict.
	OfferKey(ctx context.Context, key []byte) error
}
