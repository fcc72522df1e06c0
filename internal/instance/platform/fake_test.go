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

// hub carries the announcements of lease holders between fakeControls, as
// heartbeats do.
type hub struct {
	mu        sync.Mutex
	announced *wire.Holder
	at        time.Time
	holders   map[string]bool // instances whose control holds the lease
	most      int             // largest number of holders at a time
}

func newHub() *hub { return &hub{holders: map[string]bool{}} }

func (h *hub) mostHolders() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.most
}

// fakeControl is a control goroutine without traffic.
type fakeControl struct {
	name    string
	hub     *hub
	records chan audit.Record

	mu      sync.Mutex
	offered map[string]document.Envelope
	sources []DocumentSource
	ready   int
	lists   [][]store.Instance
	members int
	shards  int // 0 for 1
	holder  *wire.Holder
	lost    int // times the holder was set to nil after holding
}

func newFakeControl(name string, h *hub) *fakeControl {
	return &fakeControl{name: name, hub: h, records: make(chan audit.Record, 16), offered: map[string]document.Envelope{}}
}

func (c *fakeControl) Snapshot() *routing.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &routing.Snapshot{Shards: max(1, c.shards), Services: map[string]*routing.Service{}, Members: make([]routing.Member, c.members)}
	for name, e := range c.offered {
		s.Services[name] = &routing.Service{Name: name, Revision: e.Revision}
	}
	return s
}

func (c *fakeControl) Offer(_ context.Context, e document.Envelope, source DocumentSource) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Revision > c.offered[e.Service].Revision {
		c.offered[e.Service] = e
		c.sources = append(c.sources, source)
	}
	return c.offered[e.Service].Revision, nil
}

func (c *fakeControl) SetReady() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready++
}

func (c *fakeControl) SetInstances(is []store.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists = append(c.lists, is)
}

// Holder forgets a holder that was not announced for the lease's time. A
// holder's own control announces it all the time.
func (c *fakeControl) Holder() *wire.Holder {
	c.hub.mu.Lock()
	defer c.hub.mu.Unlock()
	if len(c.hub.holders) == 0 && time.Since(c.hub.at) > DefaultLeaseTTL {
		return nil
	}
	return c.hub.announced
}

func (c *fakeControl) SetHolder(h *wire.Holder) {
	c.mu.Lock()
	if c.holder != nil && h == nil {
		c.lost++
	}
	c.holder = h
	c.mu.Unlock()
	c.hub.mu.Lock()
	defer c.hub.mu.Unlock()
	c.hub.at = time.Now()
	if h == nil {
		delete(c.hub.holders, c.name)
		return
	}
	c.hub.announced = h
	c.hub.holders[c.name] = true
	c.hub.most = max(c.hub.most, len(c.hub.holders))
}

func (c *fakeControl) AuditRecords() <-chan audit.Record { return c.records }

func (c *fakeControl) inForce(service string) document.Envelope {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offered[service]
}

func (c *fakeControl) isHolder() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder != nil
}

func (c *fakeControl) lostCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
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

// fault is what happens to one call.
type fault int

const (
	faultNone       fault = iota
	faultRefused          // no effect, and the caller knows
	faultLostBefore       // no effect, and the caller does not know
	faultLostAfter        // takes effect, and the caller does not know
	faultLate             // takes effect before the next call, and the caller does not know
	faultLater            // takes effect before the next write, and the caller does not know
	faultStale            // a read answers with the first value that was read
)

// faultyStore makes calls of a store fail.
type faultyStore struct {
	store.Store
	mu    sync.Mutex
	next  func(kind store.CallKind) fault
	block func()   // runs before each call
	late  []func() // writes that take effect before the next call
	later []func() // writes that take effect before the next write
	first *store.Value
}

func (s *faultyStore) begin(kind store.CallKind) (fault, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := s.late
	s.late = nil
	if kind == store.CallPut {
		late = append(late, s.later...)
		s.later = nil
	}
	f, block := faultNone, s.block
	if s.next != nil {
		f = s.next(kind)
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

func (s *faultyStore) set(next func(store.CallKind) fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = next
}

// settle lets late writes take effect.
func (s *faultyStore) settle() {
	_, before := s.begin(store.CallPut)
	before()
}

func (s *faultyStore) read(kind store.CallKind) error {
	f, before := s.begin(kind)
	before()
	if f != faultNone {
		return store.ErrUnavailable
	}
	return nil
}

func (s *faultyStore) Get(ctx context.Context, key string) (store.Value, error) {
	f, before := s.begin(store.CallGet)
	before()
	if f != faultNone && f != faultStale {
		return store.Value{}, store.ErrUnavailable
	}
	v, err := s.Store.Get(ctx, key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.first == nil {
		s.first = &v
	}
	if f == faultStale {
		return *s.first, nil
	}
	return v, err
}

func (s *faultyStore) List(ctx context.Context, prefix string) ([]store.KeyValue, error) {
	if err := s.read(store.CallList); err != nil {
		return nil, err
	}
	return s.Store.List(ctx, prefix)
}

func (s *faultyStore) Watch(ctx context.Context, prefix string, after uint64) ([]store.KeyValue, uint64, error) {
	if err := s.read(store.CallWatch); err != nil {
		return nil, after, err
	}
	return s.Store.Watch(ctx, prefix, after)
}

func (s *faultyStore) Put(ctx context.Context, key string, data []byte, version uint64, lease store.LeaseID) (uint64, error) {
	f, before := s.begin(store.CallPut)
	before()
	write := func() (uint64, error) { return s.Store.Put(context.WithoutCancel(ctx), key, data, version, lease) }
	switch f {
	case faultRefused:
		return 0, store.ErrUnavailable
	case faultLostBefore:
		return 0, store.ErrUnknownResult
	case faultLostAfter:
		_, _ = write()
		return 0, store.ErrUnknownResult
	case faultLate, faultLater:
		s.mu.Lock()
		defer s.mu.Unlock()
		queue := &s.late
		if f == faultLater {
			queue = &s.later
		}
		*queue = append(*queue, func() { _, _ = write() })
		return 0, store.ErrUnknownResult
	default:
		return write()
	}
}

func (s *faultyStore) AcquireLease(ctx context.Context, key, holder string, ttl time.Duration) (store.Lease, error) {
	if err := s.read(store.CallAcquireLease); err != nil {
		return store.Lease{}, err
	}
	return s.Store.AcquireLease(ctx, key, holder, ttl)
}

func (s *faultyStore) RenewLease(ctx context.Context, l store.Lease) (store.Lease, error) {
	if err := s.read(store.CallRenewLease); err != nil {
		return store.Lease{}, err
	}
	return s.Store.RenewLease(ctx, l)
}
