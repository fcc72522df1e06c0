package health

import (
	"math"
	"slices"
	"time"
)

// own holds what this instance tells its peers of an upstream.
type own struct {
	now     counts
	older   uint64   // failures at the last rotation
	old     uint64   // failures at the rotation before: older than RecentWindow
	callers []uint64 // of the failures since the last report
	sent    sentReport
}

// sentReport is what the last report said, for comparison.
type sentReport struct {
	counts  counts
	suspect bool
	out     bool
}

func (o *own) addFailure(caller uint64, slow bool) {
	o.now.failures++
	if slow {
		o.now.slow++
	}
	if o.now.failures == o.sent.counts.failures+1 {
		o.callers = o.callers[:0:0]
	}
	if len(o.callers) < MaxCallers && !slices.Contains(o.callers, caller) {
		o.callers = append(o.callers, caller)
	}
}

// rotateOwn moves the marks between recent and old failures.
func (e *Engine) rotateOwn() {
	if e.now.Sub(e.rotated) < RecentWindow {
		return
	}
	e.rotated = e.now
	e.eachService(func(s *service) {
		for _, u := range s.upstreams {
			u.own.old, u.own.older = u.own.older, u.own.now.failures
		}
	})
}

// suspected reports whether peers need this instance's successes: the upstream
// has a score, or it returns from an ejection.
func (u *upstream) suspected() bool {
	return u.score() > 0 || u.state == Probation
}

// Outgoing returns the evidence to send to the shard's peers now: upstreams
// with new failures, upstreams under suspicion with new successes, and those
// whose ejection or the doubt in this instance began or ended. It is called
// after every Tick, so that an upstream is reported once per TickInterval at
// most.
func (e *Engine) Outgoing(now time.Time) []Evidence {
	if now.After(e.now) {
		e.now = now
	}
	var out []Evidence
	e.eachService(func(s *service) {
		for _, u := range s.upstreams {
			if u.hasNews(e.selfSuspect()) {
				out = append(out, e.reportOf(s, u))
			}
		}
	})
	return out
}

// hasNews reports whether the last report is out of date. The doubt matters only
// where peers may hold recent failures of this instance.
func (u *upstream) hasNews(suspect bool) bool {
	if u.own.now != u.own.sent.counts || (u.state == Ejected) != u.own.sent.out {
		return true
	}
	return suspect != u.own.sent.suspect && u.own.now.failures > u.own.old
}

func (e *Engine) reportOf(s *service, u *upstream) Evidence {
	traffic, _ := s.traffic.get(e.now)
	u.own.sent = sentReport{counts: u.own.now, suspect: e.selfSuspect(), out: u.state == Ejected}
	return Evidence{
		Upstream:    u.key,
		Successes:   u.own.now.successes,
		Failures:    u.own.now.failures,
		Slow:        u.own.now.slow,
		Old:         u.own.old,
		Callers:     slices.Clone(u.own.callers),
		SelfSuspect: u.own.sent.suspect,
		Out:         u.own.sent.out,
		Traffic:     uint64(math.Round(traffic)),

		FailingCallers: s.callers.failing(u.own.callers, s.baseline.failed.healthy),
	}
}
