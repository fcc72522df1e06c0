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

// DefaultLeaseTTL is the time for which the shard's lease is held. A shorter
// one replaces a lost holder earlier and costs renewals; a longer one survives
// longer pauses and store failures.
const DefaultLeaseTTL = 15 * time.Second

// Config configures a Child.
type Config struct {
	// Self is how the platform's list shows this instance. Its ID is the
	// lease's holder.
	Self store.Instance
	// LeaseTTL is the time of the shard's lease. It is renewed after a third of
	// it. Default DefaultLeaseTTL.
	LeaseTTL time.Duration
	// Random gives the jitter of all waits. It must be given to nothing else,
	// because it is not safe for several goroutines. Default: a random seed.
	Random *rand.Rand
	// Log receives one line for each event. Default: none.
	Log *zap.Logger
	// Scope receives the metrics. Default: none.
	Scope tally.Scope
}

// Child is the child of the instance that works with the platform.
type Child struct {
	config    Config
	control   Control
	store     store.Store
	list      store.InstanceList
	registrar store.Registrar
	random    *jitter
	log       *zap.Logger
	holding   atomic.Pointer[holding]
	queue     *auditQueue
	entry     *registration
	listed    chan struct{} // closed by firstList
	firstList func()        // says that the list has been read once
	metrics   metrics
}

type metrics struct {
	leaseHeld    tally.Gauge
	auditWritten tally.Counter
	auditDropped tally.Counter
	storeStale   tally.Counter
}

// New returns a child. registrar is nil on platforms that maintain the list of
// instances by themselves.
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
	listed := make(chan struct{})
	return &Child{
		listed: listed, firstList: sync.OnceFunc(func() { close(listed) }),
		config: c, control: control, store: s, list: list, registrar: registrar,
		random: newJitter(c.Random), log: c.Log, metrics: m,
		queue: newAuditQueue(m.auditDropped), entry: newRegistration(c.Self),
	}
}

// Run works until ctx ends, then releases the lease and returns nil.
func (c *Child) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.readDocuments(ctx) })
	g.Go(func() error { return c.readWhileIsolated(ctx) })
	g.Go(func() error { return c.runLease(ctx) })
	g.Go(func() error { return c.runList(ctx) })
	g.Go(func() error { return c.runRegistration(ctx) })
	g.Go(func() error { return c.collectAudit(ctx) })
	return g.Wait()
}

// Leave marks this instance as leaving in the platform's list. It returns at
// once; the list is told in the background while Run works.
func (c *Child) Leave() { c.entry.setState(store.StateLeaving) }

// shard returns this instance's shard and the number of members.
func (c *Child) shard() (shard, members int) {
	s := c.control.Snapshot()
	return member.ShardOf(c.config.Self.ID, max(1, s.Shards)), len(s.Members)
}
