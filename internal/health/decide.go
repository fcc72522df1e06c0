package health

import (
	"fmt"
	"time"
)

// scoreHalfLife is the time in which a score halves without new evidence. What a
// peer repeats without new counts is no new evidence. At one failure in 10 s
// and nothing else, the score still reaches 14.
const scoreHalfLife = 30 * time.Second

// peersOutShare is the part of the threshold that falls away as peers eject the
// upstream. Once most peers have stopped using it, hardly any new evidence
// arrives, and an instance just below the threshold would otherwise go on
// sending work to it.
const peersOutShare = 0.5

// minPeersOut is the least number of peers to which that part is related.
const minPeersOut = 4

// An upstream with failures from several reporters and not one success in
// silentTime after the first is ejected from silentShare of the threshold on. A
// hanging upstream with few slots gives only a handful of failures for each
// deadline, mostly at its home instances, whose shares are capped.
const (
	silentTime  = 500 * time.Millisecond
	silentShare = 0.95
)

// minSuspicion is the least time from the first failure to an ejection. In two
// report intervals it becomes known whether other upstreams fail too.
const minSuspicion = 250 * time.Millisecond

// threshold returns the score from which the upstream is ejected here.
func (e *Engine) threshold(s *service, u *upstream) float64 {
	out := 0
	for _, p := range e.peers {
		if p.seen[u.key].out {
			out++
		}
	}
	share := float64(out) / float64(max(len(e.peers), minPeersOut))
	h := s.limits.threshold * (1 - peersOutShare*share)
	if w := u.worst(); w.successes == 0 && len(w.reporters) > 1 && e.now.Sub(w.started) >= silentTime {
		h *= silentShare
	}
	return h
}

// decide ejects an upstream in service whose score has reached the threshold,
// unless the evidence points elsewhere.
func (e *Engine) decide(s *service, u *upstream) {
	h := s.limits.threshold
	if u.state != InService || u.score() < h*(1-peersOutShare)*silentShare || u.score() < e.threshold(s, u) {
		return
	}
	worst, slow := u.worst(), u.slow.sum > u.failed.sum
	if e.now.Sub(worst.started) < minSuspicion {
		return
	}
	if s.isServiceWide(u, slow, e.now) || e.isPartition(u) {
		// The score restarts lower, so that the end of the common fault does
		// not eject the upstream that happens to be reported last.
		worst.shrink(h / 2)
		return
	}
	kind, rates := "failures", s.baseline.failed
	if slow {
		kind, rates = "slow answers", s.baseline.slow
	}
	e.eject(s, u, fmt.Sprintf("%d %s seen by %d reporters from %d callers; usual rate at most %.1f%%",
		worst.failures, kind, len(worst.reporters), len(worst.callers), 100*rates.healthy))
}

// applyTick lets time pass.
func (e *Engine) applyTick() {
	passed := time.Duration(0)
	if !e.ticked.IsZero() {
		passed = e.now.Sub(e.ticked)
	}
	e.ticked = e.now
	e.updateDoubt()
	e.updateCuts()
	e.rotateOwn()
	e.eachService(func(s *service) {
		s.callers.forget(e.now)
		e.updateBaseline(s)
		for _, u := range s.upstreams {
			if u.state == InService {
				u.failed.shrink(u.failed.sum * decay(passed, scoreHalfLife))
				u.slow.shrink(u.slow.sum * decay(passed, scoreHalfLife))
			}
			e.decide(s, u)
		}
		e.expireLeaving(s)
		e.advance(s)
		e.holdFloor(s)
	})
}
