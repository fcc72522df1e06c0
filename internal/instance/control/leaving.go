package control

import (
	"slices"
	"time"

	"knapweedreel/internal/health"
	"knapweedreel/internal/wire"
)

// leavings are the upstreams that the list or peers call leaving.
type leavings struct {
	listed map[health.Key]bool
	peers  map[string]map[health.Key]bool
	sent   []health.Key
	last   time.Time
}

func newLeavings() leavings {
	return leavings{listed: make(map[health.Key]bool), peers: make(map[string]map[health.Key]bool)}
}

// claimed reports whether any peer calls the upstream leaving.
func (v *leavings) claimed(key health.Key) bool {
	for _, keys := range v.peers {
		if keys[key] {
			return true
		}
	}
	return false
}

func (l *Loop) setListedLeaving(now time.Time, leaving map[health.Key]bool) {
	for key := range leaving {
		if !l.leavings.listed[key] {
			l.leaving(now, key, health.LeavingList, true)
		}
	}
	for key := range l.leavings.listed {
		if !leaving[key] {
			l.leaving(now, key, health.LeavingList, false)
		}
	}
	l.leavings.listed = leaving
	l.sendLeavings(now)
}

func (l *Loop) leaving(now time.Time, key health.Key, source health.LeavingSource, gone bool) {
	l.feed(now, health.Event{Leaving: &health.Leaving{Upstream: key, Source: source, Gone: gone}})
}

// sendLeavings tells the peers of the own shard which upstreams are leaving:
// at once when that changes, and with every heartbeat interval so that a lost
// message is made up for.
func (l *Loop) sendLeavings(now time.Time) {
	keys := l.engine.Leaving()
	changed := !slices.Equal(keys, l.leavings.sent)
	if !changed && (len(keys) == 0 || now.Sub(l.leavings.last) < l.cfg.Heartbeat) {
		return
	}
	l.leavings.sent = keys
	l.leavings.last = now
	for _, id := range l.shardLinks() {
		l.send(id, wire.Message{Leaving: &wire.Leaving{Upstreams: keys}})
	}
}

// receiveLeaving takes in all that a peer calls leaving. What it no longer
// names ends, unless another peer still names it.
func (l *Loop) receiveLeaving(now time.Time, from string, m *wire.Leaving) {
	keys := make(map[health.Key]bool, len(m.Upstreams))
	for _, key := range m.Upstreams {
		keys[key] = true
	}
	l.setPeerLeaving(now, from, keys)
}

func (l *Loop) peerLostLeavings(now time.Time, id string) { l.setPeerLeaving(now, id, nil) }

func (l *Loop) setPeerLeaving(now time.Time, id string, keys map[health.Key]bool) {
	old := l.leavings.peers[id]
	delete(l.leavings.peers, id)
	for key := range keys {
		if !old[key] && !l.leavings.claimed(key) {
			l.leaving(now, key, health.LeavingPeer, true)
		}
	}
	for key := range old {
		if !keys[key] && !l.leavings.claimed(key) {
			l.leaving(now, key, health.LeavingPeer, false)
		}
	}
	if len(keys) > 0 {
		l.leavings.peers[id] = keys
	}
}
