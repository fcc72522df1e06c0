package placement

import (
	"math"
	"time"
)

// Candidate is an upstream that may run a request.
type Candidate struct {
	ID           string
	Slots        int     // requests that it runs concurrently
	Connections  int     // concurrent requests that it accepts from this instance
	Remote       bool    // in another region
	TransferCost float64 // cost of the transfer to it, as a failure probability
	Cold         bool    // started recently and is still slow
	Excluded     bool    // must get no request
	OutOfScope   bool    // too far away for this request, or too near
	Incarnation  int64   // differs after a restart, which ends a refusal
}

// Costs and gains of a choice, in units of failure probability.
const (
	// lastSlotCost is the cost of the last free slot of an upstream. A higher
	// cost spreads requests over more upstreams, so that more requests fail at
	// upstreams that have just become faulty.
	lastSlotCost = 0.04
	// queuedCost is the cost of waiting at the upstream. It is multiplied by the
	// position in the upstream's queue and divided by the upstream's slots.
	queuedCost = 0.6
	// coldCost is the cost of a cold upstream.
	coldCost = 0.15
	// trialGain makes a newly joined upstream get its first request.
	trialGain = 0.5
	// staleGain makes a local upstream get a request if its latest one is too
	// long ago, see staleAfter, and it is not probably faulty. The outcome is worth
	// more than the higher risk of the request: without it, the instance knows no
	// alternative when the upstreams in use become faulty.
	staleGain = 0.4
	// retestGain makes an upstream that is probably faulty get a request that can be
	// repeated, or any request while the service is failing anyway.
	retestGain = 0.8
	// tieCost spreads requests among otherwise equal upstreams.
	tieCost = 0.004
)

const (
	// trialAfter is the time after which a newly joined upstream gets a request
	// whatever the state of the others.
	trialAfter = time.Second
	// initialPeriod is the time after the first upstream was seen during which
	// further upstreams count as present from the start, not as newly joined.
	initialPeriod = 5 * time.Second
	// staleAfter is the time since its latest request after which an upstream is
	// stale. It is below the 2 s within which the users' platform requires most
	// healthy upstreams to be used. staleAfterFailing applies while the service
	// is failing, when it matters more to know all healthy upstreams.
	staleAfter        = 1700 * time.Millisecond
	staleAfterFailing = 1500 * time.Millisecond
	// retestEvery is the number of requests of which one may go to an upstream
	// that is probably faulty. Its fault period may be over.
	retestEvery = 8
	// safeRetestEvery is the same for requests that can be repeated, whether the
	// service is failing or not: each of these costs time, but is not lost.
	safeRetestEvery = 3
	// A service is failing if at least failingMin of its latest requests have
	// failed and these are at least the share failingShare of them.
	failingShare = 0.12
	failingMin   = 6
	// failingWindow is the time over which these requests are counted.
	failingWindow = 2500 * time.Millisecond
	// remoteThreshold is the cost of the best local upstream above which remote
	// upstreams are considered.
	remoteThreshold = 0.05
	// failingCheckInterval is the minimum time between two checks of whether
	// the service is failing.
	failingCheckInterval = 100 * time.Millisecond
	// staleEvery is the number of requests of which one may go to a stale
	// upstream; staleEveryFailing applies while the service is failing. Without
	// a limit, a service with many upstreams and few requests would always use
	// stale upstreams.
	staleEvery        = 4
	staleEveryFailing = 2
	// suspectMargin is the amount by which the failure probability of an upstream
	// has to exceed the prior for the upstream to be probably faulty. Without
	// evidence, the failure probability of a faulty upstream falls below that
	// limit within about 6 s; a smaller margin leaves recovered upstreams unused
	// for longer.
	suspectMargin = 0.14
	// waitAbove is the failure probability above which a request waits for a slot
	// of another upstream. A lower value makes requests wait for longer while
	// most upstreams may be faulty.
	waitAbove = 0.45
	// overcommit is the number of requests that an upstream gets beyond its slots,
	// as a share of its slots. Further requests wait at this instance, where they
	// can still go to any upstream.
	overcommit = 0.17
)

// Request holds the properties of a request on which the choice depends.
type Request struct {
	// MayWait allows the request to wait for a better upstream than the best one.
	MayWait bool
	// Repeatable is set if the request can be sent to another upstream should this
	// one fail it.
	Repeatable bool
	// Headroom is what the request leaves to more urgent ones.
	Headroom Headroom
}

// Choice is the result of Choose.
type Choice struct {
	Index              int     // into the candidates
	FailureProbability float64 // probability that the request fails
	Load               int     // requests at the upstream, as far as known
	Cost               float64
}

// Choose returns the candidate with the lowest cost, or false if none has
// capacity. skip excludes candidates; it may be nil. For a request that may wait,
// Choose also returns false if the failure probability of the best candidate is
// above waitAbove, so that the request can wait for a better one.
func (t *Tracker) Choose(cands []Candidate, skip func(id string) bool, req Request, now time.Time) (Choice, bool) {
	if now.Sub(t.failingCheckedAt) >= failingCheckInterval {
		t.failing, t.failingCheckedAt = t.isFailing(now), now
	}
	if req.Headroom.Urgent {
		t.keepFree(cands, now)
	}
	best, found := t.cheapest(cands, skip, req, now, false)
	if !found || best.Cost > remoteThreshold {
		if other, ok := t.cheapest(cands, skip, req, now, true); ok && (!found || other.Cost < best.Cost) {
			best, found = other, true
		}
	}
	if found && req.MayWait && best.FailureProbability > waitAbove && best.Cost >= best.FailureProbability { // not chosen to test it
		return Choice{}, false
	}
	stale := found && now.Sub(t.upstreamState(cands[best.Index].ID, now).lastStart) >= t.staleTime()
	suspect := found && best.FailureProbability > t.priorFailure+suspectMargin
	if t.sinceStale++; stale {
		t.sinceStale = 0
	}
	if t.sinceRetest++; suspect && t.failing {
		t.sinceRetest = 0
	}
	if req.Repeatable {
		if t.sinceSafeRetest++; suspect && stale {
			t.sinceSafeRetest = 0
		}
	}
	return best, found
}

// cheapest returns the candidate with the lowest cost among the local or the
// remote ones.
func (t *Tracker) cheapest(cands []Candidate, skip func(id string) bool, req Request, now time.Time, remote bool) (Choice, bool) {
	best := Choice{Cost: math.Inf(1)}
	found := false
	reserved := t.reserved(req.Headroom)
	for i := range cands {
		c := &cands[i]
		if c.Remote != remote || c.Excluded || c.OutOfScope {
			continue
		}
		if skip != nil && skip(c.ID) {
			continue
		}
		s := t.upstreamState(c.ID, now)
		load := s.load(now)
		if t.pauses.isActive(Incarnation{c.ID, c.Incarnation}, now) || !s.hasCapacity(c, load) || !t.mayUse(c, s, req.Headroom, &reserved, load, now) {
			continue
		}
		failure := s.failureProbability(&t.model, now)
		cost := t.cost(c, s, req, failure, load, now)
		if cost < best.Cost {
			best, found = Choice{Index: i, FailureProbability: failure, Load: load, Cost: cost}, true
		}
	}
	return best, found
}

func (t *Tracker) staleEvery() int {
	if t.failing {
		return staleEveryFailing
	}
	return staleEvery
}

func (t *Tracker) staleTime() time.Duration {
	if t.failing {
		return staleAfterFailing
	}
	return staleAfter
}

// isFailing reports whether a notable share of the service's requests fails. A
// pending request counts as failed once it is late. Retests are not counted,
// because their failures would cause further retests.
func (t *Tracker) isFailing(now time.Time) bool {
	failed, all := 0, 0
	for _, s := range t.upstreams {
		for _, a := range s.evidence {
			age := now.Sub(a.start)
			if age > failingWindow || a.retest || a.outcome == Neutral || a.outcome == Pending && a.callerPaced || a.outcome == Pending && age < a.times.Median() {
				continue
			}
			all++
			if a.outcome == Failed || a.outcome == Pending && a.times.tailProbability(age) < lateShare {
				failed++
			}
		}
	}
	return failed >= failingMin && float64(failed) >= failingShare*float64(all)
}

func (s *upstreamState) load(now time.Time) int {
	peers := 0
	for _, a := range s.evidence {
		if a.peer && a.outcome == Pending {
			peers++
		}
	}
	if now.Sub(s.peerLoadAt) < maxLoadAge {
		peers = max(peers, s.peerLoad)
	}
	return s.inFlight + peers
}

func (s *upstreamState) hasCapacity(c *Candidate, load int) bool {
	if s.inFlight >= max(1, c.Connections) {
		return false
	}
	return load < c.Slots+int(math.Ceil(overcommit*float64(c.Slots)))
}

func (t *Tracker) cost(c *Candidate, s *upstreamState, req Request, failure float64, load int, now time.Time) float64 {
	cost := failure + c.TransferCost + tieCost*float64(load)
	if slots := max(1, c.Slots); load >= slots {
		cost += queuedCost * float64(load-slots+1) / float64(slots)
	} else if load == slots-1 {
		cost += lastSlotCost
	}
	if c.Cold {
		cost += coldCost
	}
	if !c.Remote && now.Sub(s.lastStart) >= t.staleTime() {
		switch {
		case failure <= t.priorFailure+suspectMargin && t.sinceStale >= t.staleEvery():
			cost -= staleGain
		case t.failing && t.sinceRetest >= retestEvery, req.Repeatable && t.sinceSafeRetest >= safeRetestEvery:
			cost -= retestGain
		}
	}
	joined := !t.firstSeen.IsZero() && s.firstSeen.Sub(t.firstSeen) >= initialPeriod
	if joined && !s.tried && !c.Remote && now.Sub(s.firstSeen) >= trialAfter {
		cost -= trialGain
	}
	return cost
}
