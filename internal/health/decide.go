package health

import (
	"fmt"
	"time"
)

// scoreHalfLife is the time in which a score halves without new evidence. A
// repeated report without new counts is no new evidence. With one failure every
// 10 s and no successes, the score still reaches 14.
const scoreHalfLife = 30 * time.Second

// peerEjectionShare is the share of the threshold that is subtracted in
// proportion to the share of peers that have ejected the upstream. Once most
// peers have stopped using it, little new evidence arrives, and an instance just
// below the threshold would otherwise keep sending requests to it.
const peerEjectionShare = 0.5

// minPeersForShare is the minimum peer count used to compute the share of peers
// that have ejected the upstream.
const minPeersForShare = 4

// An upstream with failures from several reporters and no success within
// noSuccessTime of the first failure is ejected at noSuccessShare of the
// threshold. A hanging upstream with few slots causes only a few failures per
// deadline, mostly at its home instances, whose shares are capped.
const (
	noSuccessTime  = 500 * time.Millisecond
	noSuccessShare = 0.95
)

// minSuspicionTime is the minimum time from the first failure to an ejection. Two
// report intervals show whether other upstreams fail too.
const minSuspicionTime = 250 * time.Millisecond

// threshold returns the score at which this instance ejects the upstream.
func (e *Engine) threshold(s *service, u *upstream) float64 {
	ejectingPeers := 0
	for _, p := range e.peers {
		if p.reports[u.key].ejected {
			ejectingPeers++
		}
	}
	share := float64(ejectingPeers) / float64(max(len(e.peers), minPeersForShare))
	threshold := s.limits.threshold * (1 - peerEjectionShare*share)
	if w := u.worst(); w.successes == 0 && len(w.reporters) > 1 && e.now.Sub(w.started) >= noSuccessTime {
		threshold *= noSuccessShare
	}
	return threshold
}

// decide ejects an upstream in service whose score has reached the threshold,
// unless the fault is service-wide or looks like a network partition.
func (e *Engine) decide(s *service, u *upstream) {
	threshold := s.limits.threshold
	if u.state != InService || u.score() < threshold*(1-peerEjectionShare)*noSuccessShare || u.score() < e.threshold(s, u) {
		return
	}
	worst, slow := u.worst(), u.slow.sum > u.failed.sum
	if e.now.Sub(worst.started) < minSuspicionTime {
		return
	}
	if s.isServiceWide(u, slow, e.now) || e.isPartition(u) {
		// Reduce the score, so that the upstream that is reported last is not
		// ejected when the common fault ends.
		worst.lowerTo(threshold / 2)
		return
	}
	kind, rates := "failures", s.baseline.failed
	if slow {
		kind, rates = "slow answers", s.baseline.slow
	}
	e.tryEject(s, u, fmt.Sprintf("%d %s seen by %d reporters from %d callers; usual rate at most %.1f%%",
		worst.failures, kind, len(worst.reporters), len(worst.callers), 100*rates.healthy))
}

// applyTick decays the scores and makes time-based decisions.
func (e *Engine) applyTick() {
	passed := time.Duration(0)
	if !e.lastTick.IsZero() {
		passed = e.now.Sub(e.lastTick)
	}
	e.lastTick = e.now
	e.updateSelfSuspicion()
	e.updatePartitions()
	e.rotateOldFailures()
	e.eachService(func(s *service) {
		s.callers.expire(e.now)
		e.updateBaseline(s)
		for _, u := range s.upstreams {
			if u.state == InService {
				u.failed.lowerTo(u.failed.sum * decay(passed, scoreHalfLife))
				u.slow.lowerTo(u.slow.sum * decay(passed, scoreHalfLife))
			}
			e.decide(s, u)
		}
		e.expireLeaving(s)
		e.advanceRecovery(s)
		e.enforceFloor(s)
	})
}
