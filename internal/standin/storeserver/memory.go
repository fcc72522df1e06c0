// Package storeserver is a stand-in for the platform's store and instance list.
// It keeps all data in memory and has faults that tests switch on and off.
package storeserver

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"knapweedreel/internal/store"
)

// defaultWatchWait limits how long Memory.Watch waits for a change.
const defaultWatchWait = 18 * time.Second

type entry struct {
	data    []byte
	version uint64 // incremented by each write of the key
	index   uint64 // store index of the last write
}

type lease struct {
	id      store.LeaseID
	holder  string
	fence   uint64
	expires time.Time
}

// snapshot is the data that reads return: the current data, or a copy from the
// time at which SetStale was called.
type snapshot struct {
	entries map[string]entry
	index   uint64
}

// Memory is an in-memory store. It implements store.Store, store.InstanceList
// and store.Registrar, and is safe for concurrent use.
type Memory struct {
	mu           sync.Mutex
	current      snapshot
	stale        *snapshot
	changed      chan struct{} // closed on the next change
	leases       map[string]lease
	fences       map[string]uint64 // last fencing token by lease key
	lastLeaseID  uint64
	instanceList instanceList
}

var (
	_ store.Store        = (*Memory)(nil)
	_ store.InstanceList = (*Memory)(nil)
	_ store.Registrar    = (*Memory)(nil)
)

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{
		current:      snapshot{entries: map[string]entry{}},
		changed:      make(chan struct{}),
		leases:       map[string]lease{},
		fences:       map[string]uint64{},
		instanceList: newInstanceList(),
	}
}

// SetStale makes reads return the data as of the call until it is called with
// false.
func (m *Memory) SetStale(stale bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !stale:
		m.stale = nil
	case m.stale == nil:
		m.stale = &snapshot{entries: maps.Clone(m.current.entries), index: m.current.index}
	}
	m.wakeWatches()
}

// wakeWatches makes all watches check for changes. The caller holds mu.
func (m *Memory) wakeWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Memory) readSnapshot() snapshot {
	if m.stale != nil {
		return *m.stale
	}
	return m.current
}

// Get implements store.Store.
func (m *Memory) Get(_ context.Context, key string) (store.Value, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.readSnapshot().entries[key]
	return store.Value{Data: slices.Clone(e.data), Version: e.version}, nil
}

// Put implements store.Store.
func (m *Memory) Put(_ context.Context, key string, data []byte, version uint64, id store.LeaseID) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if id != "" && !m.leaseHeld(id, time.Now()) {
		return 0, store.ErrLeaseLost
	}
	if m.current.entries[key].version != version {
		return 0, store.ErrConflict
	}
	m.current.index++
	m.current.entries[key] = entry{data: slices.Clone(data), version: version + 1, index: m.current.index}
	m.wakeWatches()
	return version + 1, nil
}

// List implements store.Store. The items are sorted by key.
func (m *Memory) List(_ context.Context, prefix string) ([]store.KeyValue, error) {
	items, _ := m.list(prefix)
	return items, nil
}

func (m *Memory) list(prefix string) ([]store.KeyValue, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.readSnapshot()
	return s.changedSince(prefix, 0), s.index
}

// changedSince returns the items whose key begins with prefix and that changed
// after index, sorted by key.
func (s snapshot) changedSince(prefix string, index uint64) []store.KeyValue {
	items := []store.KeyValue{}
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) && e.index > index {
			items = append(items, store.KeyValue{Key: k, Value: store.Value{Data: slices.Clone(e.data), Version: e.version}})
		}
	}
	slices.SortFunc(items, func(a, b store.KeyValue) int { return cmp.Compare(a.Key, b.Key) })
	return items
}

// Watch implements store.Store.
func (m *Memory) Watch(ctx context.Context, prefix string, after uint64) ([]store.KeyValue, uint64, error) {
	return m.watch(ctx, prefix, after, defaultWatchWait)
}

func (m *Memory) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.KeyValue, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		items, index, changed := m.changesSince(prefix, after)
		if len(items) > 0 || index < after {
			return items, index, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, index, nil
		case <-ctx.Done():
			return nil, after, ctx.Err()
		}
	}
}

func (m *Memory) changesSince(prefix string, after uint64) ([]store.KeyValue, uint64, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.readSnapshot()
	if s.index < after {
		after = 0
	}
	return s.changedSince(prefix, after), s.index, m.changed
}

// leaseHeld reports whether the lease exists and has not expired. The caller
// holds mu.
func (m *Memory) leaseHeld(id store.LeaseID, now time.Time) bool {
	for _, l := range m.leases {
		if l.id == id {
			return now.Before(l.expires)
		}
	}
	return false
}

// AcquireLease implements store.Store. It also refuses the current holder,
// which may be a restarted process that does not know of its earlier lease.
func (m *Memory) AcquireLease(_ context.Context, key, holder string, ttl time.Duration) (store.Lease, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if l, ok := m.leases[key]; ok && now.Before(l.expires) {
		return store.Lease{}, store.ErrHeld
	}
	m.lastLeaseID++
	m.fences[key]++
	l := lease{
		id: store.LeaseID("lease-" + strconv.FormatUint(m.lastLeaseID, 10)), holder: holder,
		fence: m.fences[key], expires: now.Add(ttl),
	}
	m.leases[key] = l
	return store.Lease{Key: key, ID: l.id, Holder: holder, Fence: l.fence, TTL: ttl}, nil
}

// RenewLease implements store.Store.
func (m *Memory) RenewLease(_ context.Context, requested store.Lease) (store.Lease, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	l, ok := m.leases[requested.Key]
	if !ok || l.id != requested.ID || !now.Before(l.expires) {
		return store.Lease{}, store.ErrLeaseLost
	}
	l.expires = now.Add(requested.TTL)
	m.leases[requested.Key] = l
	return store.Lease{Key: requested.Key, ID: l.id, Holder: l.holder, Fence: l.fence, TTL: requested.TTL}, nil
}

// ReleaseLease implements store.Store.
func (m *Memory) ReleaseLease(_ context.Context, requested store.Lease) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l, ok := m.leases[requested.Key]; !ok || l.id != requested.ID {
		return store.ErrLeaseLost
	}
	delete(m.leases, requested.Key)
	return nil
}
