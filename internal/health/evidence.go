package health

import (
	"math"
	"time"
)

// maxPeers limits the peers whose counts are kept. A shard has fewer than 128
// instances.
const maxPeers = 256

// maxSuccessesPerReport limits the successes counted from one report. The first
// report after a disconnection includes the successes of many seconds, which
// would mask newer failures.
const maxSuccessesPerReport = 100

// counts holds one reporter's cumulative outcomes at one upstream in its current
// incarnation. Successes are counted only while the upstream is suspected, so
// that a report never includes earlier successes.
type counts struct {
	successes uint64
	failures  uint64 // including slow responses
	slow      uint64
}

// peer holds the reports of another instance.
type peer struct {
	incarnation, sequence uint64
	region                string
	lastReportAt          time.Time
	ignoreFailuresUntil   time.Time          // after a reconnection
	reports               map[Key]peerReport // by upstream; only upstreams that a document names
}

// peerReport is a peer's latest report on one upstream.
type peerReport struct {
	counts
	ejected bool // at the peer
}

// report holds one reporter's new outcomes at one upstream.
type report struct {
	reporter  string
	callers   []uint64 // the failures are split evenly among them
	successes uint64
	failed    uint64 // excluding slow responses
	slow      uint64
}

// applyOutcome processes the outcome of an attempt by this instance.
func (e *Engine) applyOutcome(o Outcome) {
	s, u := e.find(o.Upstream)
	if u == nil {
		return
	}
	if o.Draining {
		e.markLeaving(s, u, LeavingRefusal, true)
		e.enforceFloor(s)
		return
	}
	if o.Class == Neutral || u.isStale(e.now, o.Latency) {
		return
	}
	slow := o.Class == OK && s.isSlow(o)
	if o.Class == OK {
		s.routes.add(o.Route, u.key.Upstream, o.Latency)
		if slow && e.now.Sub(u.coldStartAt) < s.limits.coldStart {
			return
		}
	}
	r := report{reporter: e.config.Instance, callers: []uint64{o.Caller}}
	s.ownTraffic.add(e.now, 1)
	s.callers.lastCallers.add(o.Caller, e.now)
	switch {
	case o.Class == OK && !slow:
		r.successes = 1
		s.callers.addSuccess(o.Caller)
		u.lastOwnOutcome = ownOutcome{at: e.now}
		u.countServed()
	case e.ignoreOwnFailure(o, u):
		return
	case slow:
		r.slow = 1
	default:
		r.failed = 1
	}
	if r.failed+r.slow > 0 {
		s.callers.addFailure(o.Caller, u, s.baseline.failed.healthy, e.now)
		u.outgoing.addFailure(o.Caller, slow)
	} else if u.suspected() {
		u.outgoing.counts.successes++
	}
	e.merge(s, u, r)
	e.decide(s, u)
}

// isStale reports whether an attempt with the given latency is no evidence about
// the upstream's current state: the upstream is leaving, or the attempt began
// before the latest ejection or the current probation. The outcome of a hung
// request can arrive as late as its deadline. Outcomes still count for
// RecentWindow after an ejection.
func (u *upstream) isStale(now time.Time, latency time.Duration) bool {
	began := now.Add(-latency)
	switch u.state {
	case Ejected:
		return now.Sub(u.since) > RecentWindow
	case Probation:
		return began.Before(u.since)
	case Leaving:
		return true
	default:
		return began.Before(u.recovery.ejectedAt)
	}
}

// applyPeer processes a peer's report. Reports of an earlier incarnation or with
// an older sequence are ignored.
func (e *Engine) applyPeer(p PeerEvidence) {
	known := e.peers[p.Reporter]
	if known != nil && (p.Incarnation < known.incarnation || p.Incarnation == known.incarnation && p.Sequence < known.sequence) {
		return
	}
	if known == nil || p.Incarnation > known.incarnation {
		e.evictPeer()
		known = &peer{incarnation: p.Incarnation, reports: map[Key]peerReport{}}
		e.peers[p.Reporter] = known
		if e.lostPeers[p.Reporter] {
			delete(e.lostPeers, p.Reporter)
			known.ignoreFailuresUntil = e.now.Add(partitionHold)
		}
	}
	known.sequence, known.region, known.lastReportAt = p.Sequence, p.Region, e.now
	for _, ev := range p.Evidence {
		if s, u := e.find(ev.Upstream); u != nil {
			e.applyEvidence(s, u, p.Reporter, known, ev)
		}
	}
	// Merge the whole report before any decision: the counts of the other
	// upstreams show whether the fault is service-wide.
	for _, ev := range p.Evidence {
		if s, u := e.find(ev.Upstream); u != nil {
			e.decide(s, u)
		}
	}
}

// applyEvidence processes a peer's counts for one upstream.
func (e *Engine) applyEvidence(s *service, u *upstream, reporter string, p *peer, ev Evidence) {
	previous := p.reports[u.key]
	latest := peerReport{ejected: ev.Ejected && !ev.SelfSuspect, counts: counts{
		successes: max(previous.successes, ev.Successes),
		failures:  max(previous.failures, ev.Failures),
		slow:      max(previous.slow, ev.Slow),
	}}
	p.reports[u.key] = latest
	s.peerTraffic[reporter] = peerTraffic{ev.Traffic, e.now}
	if ev.SelfSuspect {
		u.failed.dropReporter(reporter)
		u.slow.dropReporter(reporter)
	}
	failures := min(latest.failures-previous.failures, ev.Failures-min(ev.Old, ev.Failures))
	slow := min(latest.slow-previous.slow, failures)
	r := report{
		reporter:  reporter,
		callers:   ev.Callers[:min(len(ev.Callers), MaxCallers)],
		successes: min(latest.successes-previous.successes, maxSuccessesPerReport),
		failed:    failures - slow,
		slow:      slow,
	}
	if ev.SelfSuspect || e.now.Before(p.ignoreFailuresUntil) {
		r.failed, r.slow = 0, 0
	}
	if failures > 0 {
		s.callers.addPeerFailures(u, r.callers, ev.FailingCallers, e.now)
	}
	if e.now.Sub(u.coldStartAt) < s.limits.coldStart {
		r.slow = 0
	}
	e.merge(s, u, r)
}

// evictPeer removes the peer that has not reported for the longest time if
// maxPeers is reached.
func (e *Engine) evictPeer() {
	if len(e.peers) < maxPeers {
		return
	}
	oldest := ""
	for _, name := range sortedKeys(e.peers) {
		if oldest == "" || e.peers[name].lastReportAt.Before(e.peers[oldest].lastReportAt) {
			oldest = name
		}
	}
	e.removePeer(oldest)
}

// applyPeerLost removes a peer's counts. Its share in the scores remains and
// decays. When the peer reports again, its failures are ignored for
// partitionHold: the partition that disconnected it from this instance may have
// disconnected it from the upstreams too.
func (e *Engine) applyPeerLost(p PeerLost) {
	if e.peers[p.Reporter] != nil && len(e.lostPeers) < maxPeers {
		e.lostPeers[p.Reporter] = true
	}
	e.removePeer(p.Reporter)
}

func (e *Engine) removePeer(name string) {
	delete(e.peers, name)
	for _, s := range e.services {
		delete(s.peerTraffic, name)
	}
}

// merge adds a report to the evidence on the upstream.
func (e *Engine) merge(s *service, u *upstream, r report) {
	if r.successes+r.failed+r.slow == 0 {
		return
	}
	u.lastReporters.add(r.reporter, e.now)
	e.recordByRegion(u, r)
	if r.failed > 0 {
		u.recent.failed.add(e.now, float64(r.failed))
	}
	if r.slow > 0 {
		u.recent.slow.add(e.now, float64(r.slow))
	}
	callers := e.dropFaultyCallers(s, u, &r)
	switch u.state {
	case Probation:
		e.updateProbation(s, u, r)
	case InService:
		threshold := s.limits.threshold
		failure := weightedFailure{
			reporter:    r.reporter,
			reporterCap: u.reporterCap(threshold, e.now),
			callerCap:   s.callers.callerCap(threshold, e.now),
		}
		u.failed.update(e.now, failure, s.baseline.failed, callers, r.failed, r.successes+r.slow)
		u.slow.update(e.now, failure, s.baseline.slow, callers, r.slow, r.successes)
	}
}

// update adds failures, split evenly among the callers, and then successes.
func (s *score) update(now time.Time, f weightedFailure, rates rates, callers []uint64, failures, successes uint64) {
	f.ratio = math.Log(rates.faulty / rates.healthy)
	for i := range min(failures, maxShares) {
		if len(callers) > 0 {
			f.caller = callers[i%uint64(len(callers))]
		}
		s.addFailure(now, f)
	}
	s.addSuccesses(successes, math.Log((1-rates.faulty)/(1-rates.healthy)))
}
