package health

import (
	"math"
	"time"
)

// maxPeers bounds the peers whose counts are kept. A shard has fewer than 128
// instances.
const maxPeers = 256

// maxSuccessesPerReport bounds the successes of one report. A report after a
// cut link carries successes of many seconds, which would hide newer failures.
const maxSuccessesPerReport = 100

// counts are the outcomes that one reporter has seen of one upstream since its
// boot. Successes are counted only while the upstream is under suspicion, so
// that a report never carries successes from before the suspicion.
type counts struct {
	successes uint64
	failures  uint64 // slow answers included
	slow      uint64
}

// peer is what is known of another instance as a reporter.
type peer struct {
	boot, sequence uint64
	region         string
	heard          time.Time
	doubtedUntil   time.Time    // after a loss of contact
	seen           map[Key]seen // of upstreams that documents name
}

// seen is the latest report of a peer on one upstream.
type seen struct {
	counts
	out bool // ejected there
}

// report is what one reporter adds to the evidence of one upstream.
type report struct {
	reporter  string
	callers   []uint64 // among which the failures are spread evenly
	successes uint64
	failed    uint64 // slow answers not included
	slow      uint64
}

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
	if o.Class == Neutral || u.isStale(e.now, o.Latency) {
		return
	}
	slow := o.Class == OK && s.isSlow(o)
	if o.Class == OK {
		s.routes.add(o.Route, u.key.Upstream, o.Latency)
		if slow && e.now.Sub(u.appeared) < s.limits.coldStart {
			return
		}
	}
	r := report{reporter: e.config.Instance, callers: []uint64{o.Caller}}
	s.traffic.add(e.now, 1)
	s.callers.present.add(o.Caller, e.now)
	switch {
	case o.Class == OK && !slow:
		r.successes = 1
		s.callers.succeed(o.Caller)
		u.ownLast = ownLast{at: e.now}
		u.countServed()
	case e.ignoresOwnFailure(o, u):
		return
	case slow:
		r.slow = 1
	default:
		r.failed = 1
	}
	if r.failed+r.slow > 0 {
		s.callers.fail(o.Caller, u, s.baseline.failed.healthy, e.now)
		u.own.addFailure(o.Caller, slow)
	} else if u.suspected() {
		u.own.now.successes++
	}
	e.merge(s, u, r)
	e.decide(s, u)
}

// isStale reports whether the attempt says nothing about the upstream's present
// state: it began before the ejection whose wait is now running or over.
// Answers to a hung request can arrive as late as its deadline.
func (u *upstream) isStale(now time.Time, latency time.Duration) bool {
	began := now.Add(-latency)
	switch u.state {
	case Ejected:
		return now.Sub(u.since) > RecentWindow
	case Probation:
		return began.Before(u.since)
	case Leaves:
		return true
	default:
		return began.Before(u.recovery.ejectedAt)
	}
}

// applyPeer takes a peer's cumulative counts. Reports of an earlier boot or an
// older sequence are ignored.
func (e *Engine) applyPeer(p PeerEvidence) {
	known := e.peers[p.Reporter]
	if known != nil && (p.Boot < known.boot || p.Boot == known.boot && p.Sequence < known.sequence) {
		return
	}
	if known == nil || p.Boot > known.boot {
		e.makeRoomForPeer()
		known = &peer{boot: p.Boot, seen: map[Key]seen{}}
		e.peers[p.Reporter] = known
		if e.lost[p.Reporter] {
			delete(e.lost, p.Reporter)
			known.doubtedUntil = e.now.Add(partitionHold)
		}
	}
	known.sequence, known.region, known.heard = p.Sequence, p.Region, e.now
	for _, ev := range p.Evidence {
		if s, u := e.find(ev.Upstream); u != nil {
			e.applyEvidence(s, u, p.Reporter, known, ev)
		}
	}
	// The whole report is merged before anything is decided: what it says of
	// other upstreams tells a common fault from a single one.
	for _, ev := range p.Evidence {
		if s, u := e.find(ev.Upstream); u != nil {
			e.decide(s, u)
		}
	}
}

// applyEvidence takes one upstream's counts of a peer.
func (e *Engine) applyEvidence(s *service, u *upstream, reporter string, p *peer, ev Evidence) {
	before := p.seen[u.key]
	now := seen{out: ev.Out && !ev.SelfSuspect, counts: counts{
		successes: max(before.successes, ev.Successes),
		failures:  max(before.failures, ev.Failures),
		slow:      max(before.slow, ev.Slow),
	}}
	p.seen[u.key] = now
	s.reported[reporter] = reportedTraffic{ev.Traffic, e.now}
	if ev.SelfSuspect {
		u.failed.drop(reporter)
		u.slow.drop(reporter)
	}
	failures := min(now.failures-before.failures, ev.Failures-min(ev.Old, ev.Failures))
	slow := min(now.slow-before.slow, failures)
	r := report{
		reporter:  reporter,
		callers:   ev.Callers[:min(len(ev.Callers), MaxCallers)],
		successes: min(now.successes-before.successes, maxSuccessesPerReport),
		failed:    failures - slow,
		slow:      slow,
	}
	if ev.SelfSuspect || e.now.Before(p.doubtedUntil) {
		r.failed, r.slow = 0, 0
	}
	if failures > 0 {
		s.callers.noteElsewhere(u, r.callers, ev.FailingCallers, e.now)
	}
	if e.now.Sub(u.appeared) < s.limits.coldStart {
		r.slow = 0
	}
	e.merge(s, u, r)
}

// makeRoomForPeer drops the peer that was silent for the longest time when the
// table is full.
func (e *Engine) makeRoomForPeer() {
	if len(e.peers) < maxPeers {
		return
	}
	oldest := ""
	for _, name := range sortedKeys(e.peers) {
		if oldest == "" || e.peers[name].heard.Before(e.peers[oldest].heard) {
			oldest = name
		}
	}
	e.forgetPeer(oldest)
}

// applyPeerLost forgets a peer's counts. What it reported stays in the scores,
// where it decays. When the peer is heard again, its failures are ignored for
// partitionHold: what cut its link to this instance may have cut those to the
// upstreams.
func (e *Engine) applyPeerLost(p PeerLost) {
	if e.peers[p.Reporter] != nil && len(e.lost) < maxPeers {
		e.lost[p.Reporter] = true
	}
	e.forgetPeer(p.Reporter)
}

func (e *Engine) forgetPeer(name string) {
	delete(e.peers, name)
	for _, s := range e.services {
		delete(s.reported, name)
	}
}

// merge adds a report to the upstream's evidence.
func (e *Engine) merge(s *service, u *upstream, r report) {
	if r.successes+r.failed+r.slow == 0 {
		return
	}
	u.seen.add(r.reporter, e.now)
	e.noteSide(u, r)
	if r.failed > 0 {
		u.recent.failed.add(e.now, float64(r.failed))
	}
	if r.slow > 0 {
		u.recent.slow.add(e.now, float64(r.slow))
	}
	callers := e.soundCallers(s, u, &r)
	switch u.state {
	case Probation:
		e.probationOutcomes(s, u, r)
	case InService:
		h := s.limits.threshold
		b := weighedFailure{
			reporter:    r.reporter,
			reporterCap: u.reporterCap(h, e.now),
			callerCap:   s.callers.cap(h, e.now),
		}
		u.failed.take(e.now, b, s.baseline.failed, callers, r.failed, r.successes+r.slow)
		u.slow.take(e.now, b, s.baseline.slow, callers, r.slow, r.successes)
	}
}

// take adds failures, spread over the callers, and then successes.
func (s *score) take(now time.Time, b weighedFailure, rates rates, callers []uint64, failures, successes uint64) {
	b.ratio = math.Log(rates.faulty / rates.healthy)
	for i := range min(failures, maxShares) {
		if len(callers) > 0 {
			b.caller = callers[i%uint64(len(callers))]
		}
		s.fail(now, b)
	}
	s.succeed(successes, math.Log((1-rates.faulty)/(1-rates.healthy)))
}
