package control

import (
	"time"

	"knapweedreel/internal/member"
	"knapweedreel/internal/wire"
)

// heldLease is the newest known holder of the shard's lease.
type heldLease struct {
	holder wire.Holder
	own    bool
	heard  time.Time
}

// Holder returns the newest known holder of this instance's shard lease, or
// nil when none was announced within the lease's time.
func (l *Loop) Holder() *wire.Holder {
	held := l.holder.Load()
	if held == nil || !held.own && l.cfg.Clock.Now().Sub(held.heard) >= l.cfg.HolderTimeout {
		return nil
	}
	h := held.holder
	return &h
}

// SetHolder tells whether this instance holds the lease; nil for no.
// Peers are told at once.
func (l *Loop) SetHolder(h *wire.Holder) { l.post(ownHolder{h}) }

type ownHolder struct{ holder *wire.Holder }

func (e ownHolder) apply(l *Loop, now time.Time) {
	held := l.holder.Load()
	owned := held != nil && held.own
	switch {
	case e.holder != nil:
		l.holder.Store(&heldLease{holder: *e.holder, own: true, heard: now})
	case owned:
		l.holder.Store(nil)
	default:
		return
	}
	l.announce(now)
}

// noteHolder takes in a peer's announcement that it holds the lease. A holder
// announces only itself, so that an expired holding is not kept alive by
// repetition; one that stops announcing itself has given the lease up.
func (l *Loop) noteHolder(now time.Time, from string, h *wire.Holder) {
	held := l.holder.Load()
	if h == nil {
		if held != nil && !held.own && held.holder.Instance == from {
			l.holder.Store(nil)
		}
		return
	}
	if h.Instance != from || h.Shard != member.ShardOf(l.self.ID, l.table.Shards()) {
		return
	}
	if held == nil || held.holder.Instance == from && !held.own || h.Fence > held.holder.Fence ||
		!held.own && now.Sub(held.heard) >= l.cfg.HolderTimeout {
		l.holder.Store(&heldLease{holder: *h, heard: now})
	}
}
