package health

import (
	"math"
	"time"
)

// counts are the outcomes that one reporter has seen of one upstream since its
// boot. Successes are counted only while the upstream is under suspicion, so
// that a report never carries successes from before the suspicion.
type counts struct {
	successes, failures uint64
}

// peer is what is known of another instance as a reporter.
type peer struct {
	boot, sequence uint64
	region         string
	seen           map[Key]counts // of upstreams that documents name
}

// Rates of the two hypotheses that the score compares.
const (
	failingRate = 0.2  // p1: a faulty upstream
	healthyRate = 0.01 // p0: a healthy one
)

// applyOutcome takes the outcome of an attempt of this instance.
func (e *Engine) applyOutcome(o Outcome) {
	s, u := e.find(o.Upstream)
	if u == nil {
		return
	}
	if o.Draining {
		e.markLeaving(s, u, LeavingRefusal, true)
		e.holdFloor(s)
		return
	}
	switch o.Class {
	case OK:
		if u.suspected() {
			u.own.successes++
		}
		u.countServed()
		e.merge(s, u, e.config.Instance, 1, 0, []uint64{o.Caller})
	case Failed:
		u.own.failures++
		e.merge(s, u, e.config.Instance, 0, 1, []uint64{o.Caller})
	}
}

// applyPeer takes a peer's cumulative counts.
func (e *Engine) applyPeer(p PeerEvidence) {
	known := e.peers[p.Reporter]
	if known == nil || p.Boot > known.boot {
		known = &peer{boot: p.Boot, seen: map[Key]counts{}}
		e.peers[p.Reporter] = known
	}
	if p.Boot < known.boot || p.Sequence < known.sequence {
		return
	}
	known.sequence, known.region = p.Sequence, p.Region
	for _, ev := range p.Evidence {
		s, u := e.find(ev.Upstream)
		if u == nil {
			continue
		}
		before := known.seen[ev.Upstream]
		now := counts{
			successes: max(before.successes, ev.Successes),
			failures:  max(before.failures, ev.Failures),
		}
		known.seen[ev.Upstream] = now
		if ev.SelfSuspect {
			u.failed.drop(p.Reporter)
			u.slow.drop(p.Reporter)
			continue
		}
		e.merge(s, u, p.Reporter, now.successes-before.successes, now.failures-before.failures, ev.Callers)
	}
}

func (e *Engine) applyPeerLost(p PeerLost) { delete(e.peers, p.Reporter) }

func (e *Engine) applyPaused(Paused) {}

// applyTick lets time pass.
func (e *Engine) applyTick() {
	e.eachService(func(s *service) {
		e.expireLeaving(s)
		e.advance(s)
		e.holdFloor(s)
	})
}

// merge takes new counts of one reporter.
func (e *Engine) merge(s *service, u *upstream, reporter string, successes, failures uint64, callers []uint64) {
	switch u.state {
	case Probation:
		e.probationOutcomes(s, u, reporter, successes, failures)
	case InService:
		for i := range failures {
			caller := uint64(0)
			if len(callers) > 0 {
				caller = callers[i%uint64(len(callers))]
			}
			u.failed.fail(e.now, blow{reporter, caller, math.Log(failingRate / healthyRate), math.Inf(1), math.Inf(1)})
		}
		u.failed.succeed(successes, math.Log((1-failingRate)/(1-healthyRate)))
		if u.score() >= s.limits.threshold {
			e.eject(s, u, "")
		}
	}
}

// suspected reports whether peers should know of successes.
func (u *upstream) suspected() bool {
	return u.score() > 0 || u.state == Probation
}

// Outgoing returns the evidence to send to the shard's peers now: upstreams
// with new failures, and upstreams under suspicion with new successes. It is
// called after every Tick, so that each upstream is reported at most once per
// TickInterval.
func (e *Engine) Outgoing(now time.Time) []Evidence {
	if now.After(e.now) {
		e.now = now
	}
	var out []Evidence
	e.eachService(func(s *service) {
		for _, u := range s.upstreams {
			if u.own == u.sent {
				continue
			}
			u.sent = u.own
			out = append(out, Evidence{
				Upstream:  u.key,
				Successes: u.own.successes,
				Failures:  u.own.failures,
			})
		}
	})
	return out
}
