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

// instanceList is the platform's instance list, which shows registrations with
// a lag. A cursor identifies a state of the shown list by epoch and index.
type instanceList struct {
	lag        time.Duration
	registered map[string]registration
	// epoch distinguishes cursors of this list from those issued before a
	// restart.
	epoch uint64
	index uint64 // incremented by each change of shown
	shown map[string]shownInstance
	// hidden holds the IDs that the list omits, as a fault.
	hidden map[string]bool
	// removed holds the index at which an ID was last removed from shown.
	removed map[string]uint64
}

// registration holds the latest registration of an instance, and the previous
// one, which the list shows until the lag has passed.
type registration struct {
	previous *store.Instance
	latest   store.Instance
	since    time.Time
}

type shownInstance struct {
	instance store.Instance
	index    uint64 // index of the list at which this was first shown
}

func newInstanceList() instanceList {
	return instanceList{epoch: rand.Uint64(), registered: map[string]registration{}, shown: map[string]shownInstance{}, removed: map[string]uint64{}}
}

// SetListLag sets the time from a registration until the list shows it.
func (m *Memory) SetListLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instanceList.lag = lag
}

// HideInstances makes the list omit exactly these IDs.
func (m *Memory) HideInstances(ids []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instanceList.hidden = map[string]bool{}
	for _, id := range ids {
		m.instanceList.hidden[id] = true
	}
}

// Register implements store.Registrar. Repeating a registration unchanged does
// not restart the lag.
func (m *Memory) Register(_ context.Context, instance store.Instance) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.instanceList.registered[instance.ID]; ok && e.latest == instance {
		return nil
	}
	now := time.Now()
	m.instanceList.registered[instance.ID] = registration{previous: m.instanceList.visible(instance.ID, now), latest: instance, since: now}
	return nil
}

// Instances implements store.InstanceList. The instances are sorted by ID.
func (m *Memory) Instances(context.Context) ([]store.Instance, error) {
	return m.instancesSince("").Instances, nil
}

// instancesSince returns the changes since the cursor, or the complete list if
// the cursor is not from this list.
func (m *Memory) instancesSince(cursor string) httpstore.InstancesResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := &m.instanceList
	l.refresh(time.Now())
	resp := httpstore.InstancesResponse{Instances: []store.Instance{}, Cursor: fmt.Sprintf("%d-%d", l.epoch, l.index)}
	var epoch, after uint64
	n, _ := fmt.Sscanf(cursor, "%d-%d", &epoch, &after)
	resp.Partial = n == 2 && epoch == l.epoch && after <= l.index
	for _, e := range l.shown {
		if !resp.Partial || e.index > after {
			resp.Instances = append(resp.Instances, e.instance)
		}
	}
	for id, index := range l.removed {
		if resp.Partial && index > after {
			resp.Removed = append(resp.Removed, id)
		}
	}
	slices.SortFunc(resp.Instances, func(a, b store.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return resp
}

// refresh updates shown, removed and index from the registrations.
func (l *instanceList) refresh(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(l.registered)) {
		i := l.visible(id, now)
		before, ok := l.shown[id]
		switch {
		case i == nil && ok:
			l.index++
			delete(l.shown, id)
			l.removed[id] = l.index
		case i != nil && (!ok || before.instance != *i):
			l.index++
			l.shown[id] = shownInstance{instance: *i, index: l.index}
			delete(l.removed, id)
		}
	}
}

// visible returns the instance as the list is to show it now, or nil.
func (l *instanceList) visible(id string, now time.Time) *store.Instance {
	e, ok := l.registered[id]
	if !ok || l.hidden[id] {
		return nil
	}
	if now.Sub(e.since) < l.lag {
		return e.previous
	}
	return &e.latest
}
