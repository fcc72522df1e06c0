// Package store defines the platform's two services: the key-value store and the
// instance list. Adapters to a platform's protocol are in other packages, such
// as httpstore.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the size of the largest value that the platform's store
// accepts.
const MaxValueBytes = 1 << 20

// Errors that adapters return, possibly wrapped.
var (
	// ErrConflict means that the key's version differs from the expected one.
	ErrConflict = errors.New("store: version conflict")
	// ErrHeld means that another holder holds the lease.
	ErrHeld = errors.New("store: lease is held by another holder")
	// ErrLeaseLost means that the lease of the call is no longer held.
	ErrLeaseLost = errors.New("store: lease is no longer held")
	// ErrUnavailable means that the call had no effect: nothing was sent, or
	// the store refused it.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknownResult means that the call was sent, but no valid response was
	// received: the call may have taken effect.
	ErrUnknownResult = errors.New("store: result unknown")
)

// Value is the value of a key and its version.
type Value struct {
	Data    []byte
	Version uint64 // 0 when the key is absent
}

// KeyValue is a key with its value.
type KeyValue struct {
	Key   string
	Value Value
}

// LeaseID identifies one acquisition of a lease. Empty means no lease.
type LeaseID string

// Lease is a lease as granted or renewed.
type Lease struct {
	Key    string
	ID     LeaseID
	Holder string
	Fence  uint64        // fencing token, increases with each acquisition
	TTL    time.Duration // from the time at which the call was sent
}

// Store is the platform's key-value store. All calls return ErrUnavailable or
// ErrUnknownResult if the store cannot be reached.
type Store interface {
	// Get returns the key's value. For an absent key it returns Version 0 and no
	// error.
	Get(ctx context.Context, key string) (Value, error)
	// Put writes data if the key's version equals version and returns the new
	// version; otherwise it returns ErrConflict. With a non-empty lease the write
	// also requires that the lease is held; otherwise Put returns ErrLeaseLost.
	Put(ctx context.Context, key string, data []byte, version uint64, lease LeaseID) (uint64, error)
	// List returns all keys that begin with prefix.
	List(ctx context.Context, prefix string) ([]KeyValue, error)
	// Watch waits until a key that begins with prefix changes after the given
	// store index, and returns the changed keys and the new index. It returns
	// no keys if nothing changed within the adapter's timeout.
	Watch(ctx context.Context, prefix string, after uint64) ([]KeyValue, uint64, error)
	// AcquireLease acquires the lease, or returns ErrHeld.
	AcquireLease(ctx context.Context, key, holder string, ttl time.Duration) (Lease, error)
	// RenewLease extends the lease, or returns ErrLeaseLost.
	RenewLease(ctx context.Context, lease Lease) (Lease, error)
	// ReleaseLease releases the lease, or returns ErrLeaseLost.
	ReleaseLease(ctx context.Context, lease Lease) error
}

// Role is the role of an instance in the instance list.
type Role string

// The roles.
const (
	RoleEntry    Role = "entry"
	RoleUpstream Role = "upstream"
)

// State is the state of an instance in the instance list.
type State string

// The states.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is an entry of the instance list. Addresses are IP:port.
type Instance struct {
	ID            string `json:"id"`
	Role          Role   `json:"role"`
	Service       string `json:"service,omitempty"` // upstreams only
	Address       string `json:"address"`
	PeerAddress   string `json:"peer_address,omitempty"`  // entries only
	AdminAddress  string `json:"admin_address,omitempty"` // entries only
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	State         State  `json:"state"`
}

// InstanceList is the platform's list of live and leaving instances. It lags
// behind: it may contain stopped instances and lack running ones.
type InstanceList interface {
	// Instances returns the complete list. The caller must not modify it.
	Instances(ctx context.Context) ([]Instance, error)
}

// Registrar adds this instance to the instance list or updates its entry, for
// example to mark it as leaving. Platforms that maintain the list themselves need
// no Registrar.
type Registrar interface {
	Register(ctx context.Context, instance Instance) error
}
