package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"knapweedreel/internal/member"
	"knapweedreel/internal/store"
)

// DefaultLeaseTTL is the default TTL of the shard's lease. A shorter TTL replaces
// a lost holder sooner and costs more renewals; a longer one survives longer
// pauses and store failures.
const DefaultLeaseTTL = 15 * time.Second

// Config configures a Child.
type Config struct {
	// Self is the entry of this instance in the platform's instance list. Its
	// ID is used as the lease holder.
	Self store.Instance
	// LeaseTTL is the TTL of the shard's lease, which is renewed after a third
	// of it. Default: DefaultLeaseTTL.
	LeaseTTL time.Duration
	// Random is the source of jitter for all waits. It must not be shared,
	// because it is not safe for concurrent use. Default: a randomly seeded
	// source.
	Random *rand.Rand
	// Log receives one line for each event. Default: no log.
	Log *zap.Logger
	// Scope receives the metrics. Default: no metrics.
	Scope tally.Scope
}

// Child is the child of an instance's supervisor that uses the platform's
// services.
type Child struct {
	config       Config
	control      Control
	store        store.Store
	list         store.InstanceList
	registrar    store.Registrar
	jitter       *jitter
	log          *zap.Logger
	heldLease    atomic.Pointer[heldLease]
	auditQueue   *auditQueue
	registration *registration
	listRead     chan struct{} // closed by markListRead
	markListRead func()        // records that the instance list has been read once
	metrics      metrics
}

type metrics struct {
	leaseHeld    tally.Gauge
	auditWritten tally.Counter
	auditDropped tally.Counter
	storeStale   tally.Counter
}

// New returns a Child. registrar is nil on platforms that maintain the instance
// list themselves.
func New(c Config, control Control, s store.Store, list store.InstanceList, registrar store.Registrar) *Child {
	if c.LeaseTTL <= 0 {
		c.LeaseTTL = DefaultLeaseTTL
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	m := metrics{
		leaseHeld:    c.Scope.Gauge("lease_held"),
		auditWritten: c.Scope.Counter("audit_records_written"),
		auditDropped: c.Scope.Counter("audit_records_dropped"),
		storeStale:   c.Scope.Counter("store_stale_documents"),
	}
	listRead := make(chan struct{})
	return &Child{
		listRead: listRead, markListRead: sync.OnceFunc(func() { close(listRead) }),
		config: c, control: control, store: s, list: list, registrar: registrar,
		jitter: newJitter(c.Random), log: c.Log, metrics: m,
		auditQueue: newAuditQueue(m.auditDropped), registration: newRegistration(c.Self),
	}
}

// Run runs until ctx ends, then releases the lease and returns nil.
func (c *Child) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.readDocuments(ctx) })
	g.Go(func() error { return c.readWhileIsolated(ctx) })
	g.Go(func() error { return c.runLease(ctx) })
	g.Go(func() error { return c.runListPolling(ctx) })
	g.Go(func() error { return c.runRegistration(ctx) })
	g.Go(func() error { return c.collectAudit(ctx) })
	return g.Wait()
}

// Leave marks this instance as leaving in the platform's instance list. It
// returns immediately; Run updates the list in the background.
func (c *Child) Leave() { c.registration.setState(store.StateLeaving) }

// shard returns this instance's shard and the number of members.
func (c *Child) shard() (shard, members int) {
	s := c.control.Snapshot()
	return member.ShardOf(c.config.Self.ID, max(1, s.Shards)), len(s.Members)
}
