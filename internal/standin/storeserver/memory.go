// Package storeserver is the stand-in for the platform's store and list of
// instances. It keeps everything in memory and can be made to fail.
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

// defaultWatchWait is the waiting time of Memory.Watch.
const defaultWatchWait = 18 * time.Second

type entry struct {
	data    []byte
	version uint64 // grows by 1 with each write of the key
	index   uint64 // store index of the last write
}

type lease struct {
	id      store.LeaseID
	holder  string
	fence   uint64
	expires time.Time
}

// view is what reads see: the current data, or the data as it was when
// staleness was switched on.
type view struct {
	entries map[string]entry
	index   uint64
}

// Memory is the store itself. It implements store.Store, store.InstanceList and
// store.Registrar without a network, and may be used by several goroutines.
type Memory struct {
	mu       sync.Mutex
	current  view
	stale    *view
	changed  chan struct{} // closed at the next change
	leases   map[string]lease
	fences   map[string]uint64
	leaseIDs uint64
	listing  listing
}

var (
	_ store.Store        = (*Memory)(nil)
	_ store.InstanceList = (*Memory)(nil)
	_ store.Registrar    = (*Memory)(nil)
)

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{
		current: view{entries: map[string]entry{}},
		changed: make(chan struct{}),
		leases:  map[string]lease{},
		fences:  map[string]uint64{},
		listing: newListing(),
	}
}

// SetStale makes reads answer with the data of this moment, or ends that.
func (m *Memory) SetStale(stale bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !stale:
		m.stale = nil
	case m.stale == nil:
		m.stale = &view{entries: maps.Clone(m.current.entries), index: m.current.index}
	}
	m.wake()
}

// wake ends the waiting of all watches. The caller holds mu.
func (m *Memory) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Memory) readView() view {
	if m.stale != nil {
		return *m.stale
	}
	return m.current
}

// Get implements store.Store.
func (m *Memory) Get(_ context.Context, key string) (store.Value, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.readView().entries[key]
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
	m.wake()
	return version + 1, nil
}

// List implements store.Store. The keys are sorted.
func (m *Memory) List(_ context.Context, prefix string) ([]store.KeyValue, error) {
	kvs, _ := m.list(prefix)
	return kvs, nil
}

func (m *Memory) list(prefix string) ([]store.KeyValue, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.readView()
	return v.since(prefix, 0), v.index
}

// since returns the keys that begin with prefix and changed after index.
func (v view) since(prefix string, index uint64) []store.KeyValue {
	kvs := []store.KeyValue{}
	for k, e := range v.entries {
		if strings.HasPrefix(k, prefix) && e.index > index {
			kvs = append(kvs, store.KeyValue{Key: k, Value: store.Value{Data: slices.Clone(e.data), Version: e.version}})
		}
	}
	slices.SortFunc(kvs, func(a, b store.KeyValue) int { return cmp.Compare(a.Key, b.Key) })
	return kvs
}

// Watch implements store.Store.
func (m *Memory) Watch(ctx context.Context, prefix string, after uint64) ([]store.KeyValue, uint64, error) {
	return m.watch(ctx, prefix, after, defaultWatchWait)
}

func (m *Memory) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.KeyValue, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		kvs, index, changed := m.look(prefix, after)
		if len(kvs) > 0 || index < after {
			return kvs, index, nil
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

func (m *Memory) look(prefix string, after uint64) ([]store.KeyValue, uint64, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.readView()
	if v.index < after {
		after = 0
	}
	return v.since(prefix, after), v.index, m.changed
}

// leaseHeld reports whether a holding is in force. The caller holds mu.
func (m *Memory) leaseHeld(id store.LeaseID, now time.Time) bool {
	for _, l := range m.leases {
		if l.id == id {
			return now.Before(l.expires)
		}
	}
	return false
}

// AcquireLease implements store.Store. A holder that asks again is refused too:
// it may be a restarted process that knows nothing of the first holding.
func (m *Memory) AcquireLease(_ context.Context, key, holder string, ttl time.Duration) (store.Lease, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if l, ok := m.leases[key]; ok && now.Before(l.expires) {
		return store.Lease{}, store.ErrHeld
	}
	m.leaseIDs++
	m.fences[key]++
	l := lease{
		id: store.LeaseID("lease-" + strconv.FormatUint(m.leaseIDs, 10)), holder: holder,
		fence: m.fences[key], expires: now.Add(ttl),
	}
	m.leases[key] = l
	return store.Lease{Key: key, ID: l.id, Holder: holder, Fence: l.fence, TTL: ttl}, nil
}

// RenewLease implements store.Store.
func (m *Memory) RenewLease(_ context.Context, held store.Lease) (store.Lease, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	l, ok := m.leases[held.Key]
	if !ok || l.id != held.ID || !now.Before(l.expires) {
		return store.Lease{}, store.ErrLeaseLost
	}
	l.expires = now.Add(held.TTL)
	m.leases[held.Key] = l
	return store.Lease{Key: held.Key, ID: l.id, Holder: l.holder, Fence: l.fence, TTL: held.TTL}, nil
}

// ReleaseLease implements store.Store.
func (m *Memory) ReleaseLease(_ context.Context, held store.Lease) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l, ok := m.leases[held.Key]; !ok || l.id != held.ID {
		return store.ErrLeaseLost
	}
	delete(m.leases, held.Key)
	return nil
}
