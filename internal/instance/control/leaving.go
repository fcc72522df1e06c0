package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"knapweedreel/internal/health"
	"knapweedreel/internal/wire"
)

// Times of the messages on leaving upstreams.
const (
	// leavingRepeat is the time for which a leaving is sent again with every
	// heartbeat interval, to make up for a lost message. An upstream must get
	// no new work from 3 s after it leaves.
	leavingRepeat = 3 * time.Second
	// leavingMemory is the time for which a leaving is told to peers whose link
	// comes up later. After it the list has reached them.
	leavingMemory = 30 * time.Second
	maxLeavings   = 256 // upstreams in a message
)

// leavings are the upstreams that this instance knows to be leaving from the
// list, a document or a refusal. What peers told is not passed on, so that two
// instances cannot keep each other's word alive.
type leavings struct {
	listed  map[health.Key]bool
	learned map[health.Key]time.Time
	last    time.Time // of the last repetition
}

func newLeavings() leavings {
	return leavings{listed: make(map[health.Key]bool), learned: make(map[health.Key]time.Time)}
}

// setListedLeaving takes in the upstreams that the list calls leaving.
func (l *Loop) setListedLeaving(now time.Time, leaving map[health.Key]bool) {
	for _, key := range sortedKeys(leaving) {
		if !l.leavings.listed[key] {
			l.leaving(now, key, health.LeavingList, true)
		}
	}
	for _, key := range sortedKeys(l.leavings.listed) {
		if !leaving[key] {
			l.leaving(now, key, health.LeavingList, false)
		}
	}
	l.leavings.listed = leaving
}

func (l *Loop) leaving(now time.Time, key health.Key, source health.LeavingSource, gone bool) {
	l.feed(now, health.Event{Leaving: &health.Leaving{Upstream: key, Source: source, Gone: gone}})
}

// sendLeavings tells the peers of the own shard of upstreams that are leaving:
// at once when one was learned, then again for leavingRepeat.
func (l *Loop) sendLeavings(now time.Time) {
	fresh := l.engine.Leaving()
	for _, key := range fresh {
		l.leavings.learned[key] = now
	}
	if len(l.leavings.learned) == 0 {
		return
	}
	if len(fresh) == 0 {
		if now.Sub(l.leavings.last) < l.cfg.Heartbeat {
			return
		}
		fresh = l.recentLeavings(now, leavingRepeat)
	}
	l.leavings.last = now
	for _, id := range l.shardLinks() {
		l.sendLeaving(id, fresh)
	}
}

// tellLeavings tells a peer whose link has come up.
func (l *Loop) tellLeavings(id string) {
	if slices.Contains(l.shardLinks(), id) {
		l.sendLeaving(id, l.recentLeavings(l.cfg.Clock.Now(), leavingMemory))
	}
}

func (l *Loop) sendLeaving(id string, keys []health.Key) {
	for batch := range slices.Chunk(keys, maxLeavings) {
		l.send(id, wire.Message{Leaving: &wire.Leaving{Upstreams: batch}})
	}
}

// recentLeavings returns the upstreams that were learned within the given time
// and are still leaving, and forgets the others that are too old to tell.
func (l *Loop) recentLeavings(now time.Time, within time.Duration) []health.Key {
	maps.DeleteFunc(l.leavings.learned, func(key health.Key, at time.Time) bool {
		return now.Sub(at) > leavingMemory || !l.leaves(key)
	})
	var out []health.Key
	for key, at := range l.leavings.learned {
		if now.Sub(at) <= within {
			out = append(out, key)
		}
	}
	slices.SortFunc(out, compareKeys)
	return out
}

func sortedKeys[V any](m map[health.Key]V) []health.Key {
	return slices.SortedFunc(maps.Keys(m), compareKeys)
}

func compareKeys(a, b health.Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Upstream, b.Upstream))
}

func (l *Loop) leaves(key health.Key) bool {
	for _, v := range l.engine.Views(key.Service) {
		if v.Upstream == key {
			return v.State == health.Leaves
		}
	}
	return false
}

// receiveLeaving takes in what a peer knows to be leaving. The engine ends it
// by itself.
func (l *Loop) receiveLeaving(now time.Time, m *wire.Leaving) {
	for _, key := range m.Upstreams {
		l.leaving(now, key, health.LeavingPeer, true)
	}
}
