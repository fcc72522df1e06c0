package control

import (
	"time"

	"knapweedreel/internal/member"
	"knapweedreel/internal/wire"
)

// knownHolder is the latest known holder of the shard's lease.
type knownHolder struct {
	holder  wire.Holder
	isSelf  bool // this instance is the holder
	updated time.Time
}

// Holder returns the latest known holder of the lease of this instance's shard,
// or nil if none was announced within HolderTimeout.
func (l *Loop) Holder() *wire.Holder {
	known := l.holder.Load()
	if known == nil || !known.isSelf && l.cfg.Clock.Now().Sub(known.updated) >= l.cfg.HolderTimeout {
		return nil
	}
	h := known.holder
	return &h
}

// SetHolder sets the lease that this instance holds, or nil for none, and
// announces it to peers at once.
func (l *Loop) SetHolder(h *wire.Holder) { l.post(setHolderEvent{h}) }

type setHolderEvent struct{ holder *wire.Holder }

func (e setHolderEvent) apply(l *Loop, now time.Time) {
	known := l.holder.Load()
	wasSelf := known != nil && known.isSelf
	switch {
	case e.holder != nil:
		l.holder.Store(&knownHolder{holder: *e.holder, isSelf: true, updated: now})
	case wasSelf:
		l.holder.Store(nil)
	default:
		return
	}
	l.sendAllHeartbeats(now)
}

// receiveHolder processes the lease holder announced by a peer, nil for none. A
// holder announces only itself, so that peers do not prolong an expired lease by
// repeating it. A holder that stops announcing itself no longer holds the lease.
func (l *Loop) receiveHolder(now time.Time, from string, h *wire.Holder) {
	known := l.holder.Load()
	if h == nil {
		if known != nil && !known.isSelf && known.holder.Instance == from {
			l.holder.Store(nil)
		}
		return
	}
	if h.Instance != from || h.Shard != member.ShardOf(l.self.ID, l.table.Shards()) {
		return
	}
	if known == nil || known.holder.Instance == from && !known.isSelf || h.Fence > known.holder.Fence ||
		!known.isSelf && now.Sub(known.updated) >= l.cfg.HolderTimeout {
		l.holder.Store(&knownHolder{holder: *h, updated: now})
	}
}
