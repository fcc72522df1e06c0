package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"knapweedreel/internal/audit"
	"knapweedreel/internal/document"
	"knapweedreel/internal/routing"
	"knapweedreel/internal/store"
	"knapweedreel/internal/wire"
)

// announcements passes the announcements of lease holders between fakeControls, as
// heartbeats do between instances.
type announcements struct {
	mu          sync.Mutex
	announced   *wire.Holder
	announcedAt time.Time
	holders     map[string]bool // instances that hold the lease
	maxHolders  int             // largest number of holders at the same time
}

func newAnnouncements() *announcements { return &announcements{holders: map[string]bool{}} }

func (a *announcements) maxHolderCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.maxHolders
}

// fakeControl implements Control and records the calls.
type fakeControl struct {
	name          string
	announcements *announcements
	records       chan audit.Record

	mu        sync.Mutex
	applied   map[string]document.Envelope
	sources   []DocumentSource
	ready     int
	lists     [][]store.Instance
	members   int
	shards    int // 0 means 1
	holder    *wire.Holder
	leaseEnds int // number of times that this instance stopped holding a lease
}

func newFakeControl(name string, announced *announcements) *fakeControl {
	return &fakeControl{name: name, announcements: announced, records: make(chan audit.Record, 16), applied: map[string]document.Envelope{}}
}

func (c *fakeControl) Snapshot() *routing.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &routing.Snapshot{Shards: max(1, c.shards), Services: map[string]*routing.Service{}, Members: make([]routing.Member, c.members)}
	for name, e := range c.applied {
		s.Services[name] = &routing.Service{Name: name, Revision: e.Revision}
	}
	return s
}

func (c *fakeControl) Offer(_ context.Context, e document.Envelope, source DocumentSource) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Revision > c.applied[e.Service].Revision {
		c.applied[e.Service] = e
		c.sources = append(c.sources, source)
	}
	return c.applied[e.Service].Revision, nil
}

func (c *fakeControl) SetReady() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready++
}

func (c *fakeControl) SetInstances(instances []store.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists = append(c.lists, instances)
}

// Holder returns the last announced holder. It forgets a holder that was not
// announced for the lease's TTL; an instance that holds the lease counts as
// announced all the time.
func (c *fakeControl) Holder() *wire.Holder {
	c.announcements.mu.Lock()
	defer c.announcements.mu.Unlock()
	if len(c.announcements.holders) == 0 && time.Since(c.announcements.announcedAt) > DefaultLeaseTTL {
		return nil
	}
	return c.announcements.announced
}

func (c *fakeControl) SetHolder(h *wire.Holder) {
	c.mu.Lock()
	if c.holder != nil && h == nil {
		c.leaseEnds++
	}
	c.holder = h
	c.mu.Unlock()
	c.announcements.mu.Lock()
	defer c.announcements.mu.Unlock()
	c.announcements.announcedAt = time.Now()
	if h == nil {
		delete(c.announcements.holders, c.name)
		return
	}
	c.announcements.announced = h
	c.announcements.holders[c.name] = true
	c.announcements.maxHolders = max(c.announcements.maxHolders, len(c.announcements.holders))
}

func (c *fakeControl) AuditRecords() <-chan audit.Record { return c.records }

func (c *fakeControl) appliedEnvelope(service string) document.Envelope {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.applied[service]
}

func (c *fakeControl) isHolder() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder != nil
}

func (c *fakeControl) leaseEndCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaseEnds
}

func (c *fakeControl) readyCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready
}

func (c *fakeControl) lastList() []store.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.lists) == 0 {
		return nil
	}
	return c.lists[len(c.lists)-1]
}

func seeded(n uint64) *rand.Rand { return rand.New(rand.NewPCG(n, n)) }

// fault is a fault to inject into one call to the store.
type fault int

const (
	faultNone           fault = iota
	faultUnavailable          // no effect; the call returns ErrUnavailable
	faultRequestLost          // no effect; the result is unknown
	faultResponseLost         // takes effect; the result is unknown
	faultLate                 // takes effect before the next call; the result is unknown
	faultLateUntilWrite       // takes effect before the next write; the result is unknown
	faultStale                // a read returns the first value that was read
)

// faultyStore injects faults into the calls of a store.
type faultyStore struct {
	store.Store
	mu             sync.Mutex
	nextFault      func(kind store.CallKind) fault
	block          func()   // runs before each call
	late           []func() // writes that take effect before the next call
	lateUntilWrite []func() // writes that take effect before the next write
	firstValue     *store.Value
}

// prepareCall returns the fault for a call and a function to run before it.
func (s *faultyStore) prepareCall(kind store.CallKind) (fault, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := s.late
	s.late = nil
	if kind == store.CallPut {
		late = append(late, s.lateUntilWrite...)
		s.lateUntilWrite = nil
	}
	f, block := faultNone, s.block
	if s.nextFault != nil {
		f = s.nextFault(kind)
	}
	if block == nil {
		block = func() {}
	}
	return f, func() {
		block()
		for _, l := range late {
			l()
		}
	}
}

func (s *faultyStore) setFaults(nextFault func(store.CallKind) fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextFault = nextFault
}

// applyLateWrites makes all late writes take effect.
func (s *faultyStore) applyLateWrites() {
	_, before := s.prepareCall(store.CallPut)
	before()
}

func (s *faultyStore) prepareRead(kind store.CallKind) error {
	f, before := s.prepareCall(kind)
	before()
	if f != faultNone {
		return store.ErrUnavailable
	}
	return nil
}

func (s *faultyStore) Get(ctx context.Context, key string) (store.Value, error) {
	f, before := s.prepareCall(store.CallGet)
	before()
	if f != faultNone && f != faultStale {
		return store.Value{}, store.ErrUnavailable
	}
	v, err := s.Store.Get(ctx, key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstValue == nil {
		s.firstValue = &v
	}
	if f == faultStale {
		return *s.firstValue, nil
	}
	return v, err
}

func (s *faultyStore) List(ctx context.Context, prefix string) ([]store.KeyValue, error) {
	if err := s.prepareRead(store.CallList); err != nil {
		return nil, err
	}
	return s.Store.List(ctx, prefix)
}

func (s *faultyStore) Watch(ctx context.Context, prefix string, after uint64) ([]store.KeyValue, uint64, error) {
	if err := s.prepareRead(store.CallWatch); err != nil {
		return nil, after, err
	}
	return s.Store.Watch(ctx, prefix, after)
}

func (s *faultyStore) Put(ctx context.Context, key string, data []byte, version uint64, lease store.LeaseID) (uint64, error) {
	f, before := s.prepareCall(store.CallPut)
	before()
	write := func() (uint64, error) { return s.Store.Put(context.WithoutCancel(ctx), key, data, version, lease) }
	switch f {
	case faultUnavailable:
		return 0, store.ErrUnavailable
	case faultRequestLost:
		return 0, store.ErrUnknownResult
	case faultResponseLost:
		_, _ = write()
		return 0, store.ErrUnknownResult
	case faultLate, faultLateUntilWrite:
		s.mu.Lock()
		defer s.mu.Unlock()
		queue := &s.late
		if f == faultLateUntilWrite {
			queue = &s.lateUntilWrite
		}
		*queue = append(*queue, func() { _, _ = write() })
		return 0, store.ErrUnknownResult
	default:
		return write()
	}
}

func (s *faultyStore) AcquireLease(ctx context.Context, key, holder string, ttl time.Duration) (store.Lease, error) {
	if err := s.prepareRead(store.CallAcquireLease); err != nil {
		return store.Lease{}, err
	}
	return s.Store.AcquireLease(ctx, key, holder, ttl)
}

func (s *faultyStore) RenewLease(ctx context.Context, l store.Lease) (store.Lease, error) {
	if err := s.prepareRead(store.CallRenewLease); err != nil {
		return store.Lease{}, err
	}
	return s.Store.RenewLease(ctx, l)
}
