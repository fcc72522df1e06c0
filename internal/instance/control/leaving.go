package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"knapweedreel/internal/health"
	"knapweedreel/internal/wire"
)

// Parameters of the messages about leaving upstreams.
const (
	// leavingRepeatPeriod is the time for which a leaving upstream is announced
	// again every heartbeat interval, in case a message was lost. An upstream
	// must get no new requests from 3 s after it starts to leave.
	leavingRepeatPeriod = 3 * time.Second
	// leavingRetention is the time for which a leaving upstream is announced to
	// newly linked peers. After that, the instance list has reached them.
	leavingRetention    = 30 * time.Second
	maxLeavingUpstreams = 256 // upstreams in a message
)

// leavingUpstreams holds the upstreams that this instance knows to be leaving
// from the instance list, a document or a refusal. Those reported by peers are
// not forwarded, so that instances do not confirm each other's outdated
// information forever.
type leavingUpstreams struct {
	listed   map[health.Key]bool
	learned  map[health.Key]time.Time
	lastSent time.Time // of the last announcement
}

func newLeavingUpstreams() leavingUpstreams {
	return leavingUpstreams{listed: make(map[health.Key]bool), learned: make(map[health.Key]time.Time)}
}

// setListedLeaving sets the upstreams that are leaving according to the instance
// list.
func (l *Loop) setListedLeaving(now time.Time, leaving map[health.Key]bool) {
	for _, key := range sortedKeys(leaving) {
		if !l.leavingUpstreams.listed[key] {
			l.setLeaving(now, key, health.LeavingInstanceList, true)
		}
	}
	for _, key := range sortedKeys(l.leavingUpstreams.listed) {
		if !leaving[key] {
			l.setLeaving(now, key, health.LeavingInstanceList, false)
		}
	}
	l.leavingUpstreams.listed = leaving
}

func (l *Loop) setLeaving(now time.Time, key health.Key, source health.LeavingSource, leaving bool) {
	l.feed(now, health.Event{Leaving: &health.LeavingChanged{Upstream: key, Source: source, Gone: leaving}})
}

// sendLeavingUpstreams announces leaving upstreams to the peers of this
// instance's shard: at once when a new one is known, then repeatedly for
// leavingRepeatPeriod.
func (l *Loop) sendLeavingUpstreams(now time.Time) {
	upstreams := l.engine.TakeLeaving()
	for _, key := range upstreams {
		l.leavingUpstreams.learned[key] = now
	}
	if len(l.leavingUpstreams.learned) == 0 {
		return
	}
	if len(upstreams) == 0 {
		if now.Sub(l.leavingUpstreams.lastSent) < l.cfg.Heartbeat {
			return
		}
		upstreams = l.recentlyLeaving(now, leavingRepeatPeriod)
	}
	l.leavingUpstreams.lastSent = now
	for _, id := range l.shardLinks() {
		l.sendLeavingTo(id, upstreams)
	}
}

// sendLeavingOnLinkUp announces leaving upstreams to a newly linked peer.
func (l *Loop) sendLeavingOnLinkUp(id string) {
	if slices.Contains(l.shardLinks(), id) {
		l.sendLeavingTo(id, l.recentlyLeaving(l.cfg.Clock.Now(), leavingRetention))
	}
}

func (l *Loop) sendLeavingTo(id string, keys []health.Key) {
	for batch := range slices.Chunk(keys, maxLeavingUpstreams) {
		l.send(id, wire.Message{Leaving: &wire.Leaving{Upstreams: batch}})
	}
}

// recentlyLeaving returns the upstreams that became known to be leaving within
// the given time and still are. It removes those that no longer are and those
// older than leavingRetention.
func (l *Loop) recentlyLeaving(now time.Time, within time.Duration) []health.Key {
	maps.DeleteFunc(l.leavingUpstreams.learned, func(key health.Key, at time.Time) bool {
		return now.Sub(at) > leavingRetention || !l.isLeaving(key)
	})
	var out []health.Key
	for key, at := range l.leavingUpstreams.learned {
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

func (l *Loop) isLeaving(key health.Key) bool {
	for _, v := range l.engine.Views(key.Service) {
		if v.Upstream == key {
			return v.State == health.Leaving
		}
	}
	return false
}

// receiveLeaving processes a peer's announcement of leaving upstreams. No
// message revokes it; the engine ends it.
func (l *Loop) receiveLeaving(now time.Time, m *wire.Leaving) {
	for _, key := range m.Upstreams {
		l.setLeaving(now, key, health.LeavingPeer, true)
	}
}
