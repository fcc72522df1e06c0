package membudget

import (
	"cmp"
	"slices"
	"time"
)

// Scan records which holders have made progress since the last call. It returns
// the holders to evict so that the waiting reservations become possible: those
// without progress, of the caller that holds most first. If a caller below its
// equal share has waited for Config.Stall and that isn't enough, unsent requests of
// callers above their share follow.
//
// It should be called several times within Config.Stall.
func (b *Budget) Scan(now time.Time) []*Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	returning := int64(0) // bytes of holders that were evicted recently
	for h := range b.holders {
		h.observe(now, b.cfg.SlotProgress)
		if b.isEvicting(h, now) {
			returning += h.total
		}
	}
	for _, r := range b.waiting {
		if r.seen.IsZero() {
			r.seen = now
		}
	}
	missing := b.missing() - returning
	if missing <= 0 {
		return nil
	}
	victims := b.choose(now, &missing, func(h *Holder) bool { return h.isStalled(now, b.cfg.Stall) })
	if missing > 0 {
		victims = append(victims, b.chooseForFairness(now, &missing)...)
	}
	return victims
}

// observe records the progress and the stage of h. The time that an upstream takes
// doesn't count as slowness of the caller.
func (h *Holder) observe(now time.Time, slotProgress int64) {
	p, stage := h.progress.Load(), h.Stage()
	if p != h.seen {
		h.seen, h.since = p, now
	}
	if stage != h.lastStage {
		h.lastStage, h.stageAt = stage, now
		h.mark, h.markAt = p, now
	}
	if p-h.mark >= slotProgress {
		h.mark, h.markAt = p, now
	}
}

// Slow returns the holders at a stage that have progressed by less than
// Config.SlotProgress in Config.SlotStall, as of the last Scan.
func (b *Budget) Slow(now time.Time, stages ...Stage) []*Holder {
	return b.holdersWhere(func(h *Holder) bool {
		return now.Sub(h.markAt) >= b.cfg.SlotStall && slices.Contains(stages, h.Stage()) && !b.isEvicting(h, now)
	})
}

// Settled returns the holders that have been at a stage for Config.SlotStall, as of
// the last Scan.
func (b *Budget) Settled(now time.Time, stage Stage) []*Holder {
	return b.holdersWhere(func(h *Holder) bool {
		return h.lastStage == stage && h.Stage() == stage && now.Sub(h.stageAt) >= b.cfg.SlotStall && !b.isEvicting(h, now)
	})
}

func (b *Budget) holdersWhere(matches func(*Holder) bool) []*Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*Holder
	for h := range b.holders {
		if matches(h) {
			out = append(out, h)
		}
	}
	return out
}

// Stalled returns the holders at a stage that have made no progress for
// Config.Stall, as of the last Scan.
func (b *Budget) Stalled(now time.Time, stages ...Stage) []*Holder {
	return b.holdersWhere(func(h *Holder) bool {
		return now.Sub(h.since) >= b.cfg.Stall && slices.Contains(stages, h.Stage()) && !b.isEvicting(h, now)
	})
}

// Holding returns the holders at one of the stages that have reserved bytes for a use.
func (b *Budget) Holding(use Use, stages ...Stage) []*Holder {
	return b.holdersWhere(func(h *Holder) bool { return h.used[use] > 0 && slices.Contains(stages, h.Stage()) })
}

// EvictConnection returns the holder whose connection is to be closed for a new
// one, nil if there is none: the one that has been idle longest, else the one
// with the least recent progress of the caller that has the most.
func (b *Budget) EvictConnection(now time.Time) *Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evictConnection(now, func(*Holder) bool { return true })
}

// EvictConnectionFor is like EvictConnection for a new connection of h, which takes n
// bytes. If the caller of h is at its limit, other callers' connections can't make
// room: only an idle connection of its own is closed, or one without progress.
func (b *Budget) EvictConnectionFor(h *Holder, n int64, now time.Time) *Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.caller.used+n <= b.callerLimit(h, n) {
		return b.evictConnection(now, func(*Holder) bool { return true })
	}
	return b.evictConnection(now, func(v *Holder) bool {
		return v.caller == h.caller && (v.Stage() == Idle || v.isStalled(now, b.cfg.Stall))
	})
}

// evictConnection marks and returns the first of the candidates, nil if there is none.
// b.mu is held.
func (b *Budget) evictConnection(now time.Time, candidate func(*Holder) bool) *Holder {
	var best *Holder
	for h := range b.holders {
		if b.isEvicting(h, now) || h.Stage() == Sent || !candidate(h) {
			continue
		}
		if best == nil || compareConnections(h, best) < 0 {
			best = h
		}
	}
	if best != nil {
		best.evicted = now
	}
	return best
}

// compareConnections orders connections; the first one is closed first.
func compareConnections(a, b *Holder) int {
	if idle := a.Stage() == Idle; idle != (b.Stage() == Idle) {
		if idle {
			return -1
		}
		return 1
	}
	if a.Stage() != Idle {
		if c := cmp.Compare(b.caller.holders, a.caller.holders); c != 0 {
			return c
		}
	}
	return compareProgress(a, b)
}

// compareProgress orders holders by the time of their last progress, then by its
// amount.
func compareProgress(a, b *Holder) int {
	if c := a.since.Compare(b.since); c != 0 {
		return c
	}
	return cmp.Compare(a.progress.Load(), b.progress.Load())
}

// isEvicting reports whether h was chosen for eviction recently. One that is
// still open after Config.Stall may be chosen again.
func (b *Budget) isEvicting(h *Holder, now time.Time) bool {
	return !h.evicted.IsZero() && now.Sub(h.evicted) < b.cfg.Stall
}

// isStalled reports whether h may be evicted for lack of progress.
func (h *Holder) isStalled(now time.Time, stall time.Duration) bool {
	switch h.Stage() {
	case Idle, Header, Receiving, Streaming, Writing:
		return now.Sub(h.since) >= stall
	}
	return false
}

// missing returns the number of bytes that the waiting reservations lack.
func (b *Budget) missing() int64 {
	if len(b.waiting) == 0 {
		return 0
	}
	need := b.used - (b.cfg.Limit - b.cfg.Limit/smallReserve)
	for _, r := range b.waiting {
		need += r.bytes
	}
	// A caller at its own limit needs bytes of its own.
	for _, r := range b.waiting {
		need = max(need, r.holder.caller.used+r.bytes-b.callerLimit(r.holder, r.bytes))
	}
	return need
}

// choose marks and returns holders until missing bytes are covered.
func (b *Budget) choose(now time.Time, missing *int64, candidate func(*Holder) bool) []*Holder {
	var out []*Holder
	for h := range b.holders {
		if !b.isEvicting(h, now) && candidate(h) {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, c *Holder) int {
		return cmp.Or(cmp.Compare(c.caller.used, a.caller.used), compareProgress(a, c), cmp.Compare(c.total, a.total))
	})
	for i, h := range out {
		if *missing <= 0 {
			return out[:i]
		}
		h.evicted = now
		*missing -= h.total
	}
	return out
}

// chooseForFairness chooses unsent requests of callers above their equal share if
// a caller below its share waits.
func (b *Budget) chooseForFairness(now time.Time, missing *int64) []*Holder {
	share := b.cfg.Limit / int64(len(b.callers))
	need := int64(0)
	for _, r := range b.waiting {
		if r.holder.caller.used+r.bytes <= share && now.Sub(r.seen) >= b.cfg.Stall {
			need += r.bytes
		}
	}
	need = min(need, *missing)
	return b.choose(now, &need, func(h *Holder) bool {
		return h.caller.used > share && (h.Stage() == Receiving || h.Stage() == Queued)
	})
}
