package storeserver

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"knapweedreel/internal/store"
	"knapweedreel/internal/store/httpstore"
)

// listing is the list of instances with its lag. Cursors name a state of the
// shown list.
type listing struct {
	lag     time.Duration
	entries map[string]listed
	// epoch tells the cursors of this list from those of one before a restart.
	epoch uint64
	index uint64 // grows with each change of what is shown
	shown map[string]shownEntry
	// hidden are the IDs that the list wrongly omits.
	hidden map[string]bool
	// removed tells at which index an ID was last removed.
	removed map[string]uint64
}

// listed is an instance with its earlier entry, which the list shows until the
// lag is over.
type listed struct {
	earlier *store.Instance
	latest  store.Instance
	since   time.Time
}

type shownEntry struct {
	instance store.Instance
	index    uint64 // of the list when it was first shown
}

func newListing() listing {
	return listing{epoch: rand.Uint64(), entries: map[string]listed{}, shown: map[string]shownEntry{}, removed: map[string]uint64{}}
}

// SetListLag sets the time after which the list shows a registration.
func (m *Memory) SetListLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listing.lag = lag
}

// HideInstances makes the list omit these IDs, and no others.
func (m *Memory) HideInstances(ids []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listing.hidden = map[string]bool{}
	for _, id := range ids {
		m.listing.hidden[id] = true
	}
}

// Register implements store.Registrar. The same entry again does not begin the
// lag anew.
func (m *Memory) Register(_ context.Context, instance store.Instance) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.listing.entries[instance.ID]; ok && e.latest == instance {
		return nil
	}
	now := time.Now()
	m.listing.entries[instance.ID] = listed{earlier: m.listing.visible(instance.ID, now), latest: instance, since: now}
	return nil
}

// Instances implements store.InstanceList. The entries are sorted by ID.
func (m *Memory) Instances(context.Context) ([]store.Instance, error) {
	return m.instancesSince("").Instances, nil
}

// instancesSince returns what changed since the cursor, or the whole list when
// the cursor is not one of this list.
func (m *Memory) instancesSince(cursor string) httpstore.InstancesResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := &m.listing
	l.refresh(time.Now())
	a := httpstore.InstancesResponse{Instances: []store.Instance{}, Cursor: fmt.Sprintf("%d-%d", l.epoch, l.index)}
	var epoch, after uint64
	n, _ := fmt.Sscanf(cursor, "%d-%d", &epoch, &after)
	a.Partial = n == 2 && epoch == l.epoch && after <= l.index
	for _, e := range l.shown {
		if !a.Partial || e.index > after {
			a.Instances = append(a.Instances, e.instance)
		}
	}
	for id, index := range l.removed {
		if a.Partial && index > after {
			a.Removed = append(a.Removed, id)
		}
	}
	slices.SortFunc(a.Instances, func(a, b store.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return a
}

// refresh compares what is to be shown with what was shown last.
func (l *listing) refresh(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		i := l.visible(id, now)
		was, ok := l.shown[id]
		switch {
		case i == nil && ok:
			l.index++
			delete(l.shown, id)
			l.removed[id] = l.index
		case i != nil && (!ok || was.instance != *i):
			l.index++
			l.shown[id] = shownEntry{instance: *i, index: l.index}
			delete(l.removed, id)
		}
	}
}

// visible returns the entry that the list shows, or nil.
func (l *listing) visible(id string, now time.Time) *store.Instance {
	e, ok := l.entries[id]
	if !ok || l.hidden[id] {
		return nil
	}
	if now.Sub(e.since) < l.lag {
		return e.earlier
	}
	return &e.latest
}
