package health

import (
	"math"
	"slices"
	"time"
)

// outgoing holds the evidence on an upstream that this instance sends to peers.
type outgoing struct {
	counts  counts
	nextOld uint64   // failures at the last rotation; old at the next one
	old     uint64   // failures older than RecentWindow
	callers []uint64 // with failures since the last report
	sent    sentReport
}

// sentReport holds the content of the last report, to detect changes.
type sentReport struct {
	counts      counts
	selfSuspect bool
	ejected     bool
}

func (o *outgoing) addFailure(caller uint64, slow bool) {
	o.counts.failures++
	if slow {
		o.counts.slow++
	}
	if o.counts.failures == o.sent.counts.failures+1 {
		o.callers = o.callers[:0:0]
	}
	if len(o.callers) < MaxCallers && !slices.Contains(o.callers, caller) {
		o.callers = append(o.callers, caller)
	}
}

// rotateOldFailures updates the counts of old failures every RecentWindow.
func (e *Engine) rotateOldFailures() {
	if e.now.Sub(e.lastRotation) < RecentWindow {
		return
	}
	e.lastRotation = e.now
	e.eachService(func(s *service) {
		for _, u := range s.upstreams {
			u.outgoing.old, u.outgoing.nextOld = u.outgoing.nextOld, u.outgoing.counts.failures
		}
	})
}

// suspected reports whether peers need this instance's successes: the upstream
// has a score above 0 or is in probation.
func (u *upstream) suspected() bool {
	return u.score() > 0 || u.state == Probation
}

// Outgoing returns the evidence to send to the shard's peers now: upstreams with
// new failures, suspected upstreams with new successes, and upstreams affected by
// the start or end of their ejection or of this instance's self-suspicion. It is
// called after every Tick, so an upstream is reported at most once per
// TickInterval.
func (e *Engine) Outgoing(now time.Time) []Evidence {
	if now.After(e.now) {
		e.now = now
	}
	var evidence []Evidence
	e.eachService(func(s *service) {
		for _, u := range s.upstreams {
			if u.hasUpdate(e.selfSuspect()) {
				evidence = append(evidence, e.nextReport(s, u))
			}
		}
	})
	return evidence
}

// hasUpdate reports whether the last report is out of date. A change of
// self-suspicion matters only if this instance has recent failures that peers may
// have counted.
func (u *upstream) hasUpdate(selfSuspect bool) bool {
	if u.outgoing.counts != u.outgoing.sent.counts || (u.state == Ejected) != u.outgoing.sent.ejected {
		return true
	}
	return selfSuspect != u.outgoing.sent.selfSuspect && u.outgoing.counts.failures > u.outgoing.old
}

func (e *Engine) nextReport(s *service, u *upstream) Evidence {
	traffic, _ := s.ownTraffic.get(e.now)
	u.outgoing.sent = sentReport{counts: u.outgoing.counts, selfSuspect: e.selfSuspect(), ejected: u.state == Ejected}
	return Evidence{
		Upstream:    u.key,
		Successes:   u.outgoing.counts.successes,
		Failures:    u.outgoing.counts.failures,
		Slow:        u.outgoing.counts.slow,
		Old:         u.outgoing.old,
		Callers:     slices.Clone(u.outgoing.callers),
		SelfSuspect: u.outgoing.sent.selfSuspect,
		Ejected:     u.outgoing.sent.ejected,
		Traffic:     uint64(math.Round(traffic)),

		FailingCallers: s.callers.failing(u.outgoing.callers, s.baseline.failed.healthy),
	}
}
