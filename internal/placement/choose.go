package placement

import (
	"math"
	"time"
)

// Candidate is an upstream that may run a request.
type Candidate struct {
	ID          string
	Slots       int     // requests that it runs at a time
	Connections int     // requests of this instance that it accepts at a time
	Remote      bool    // in another region
	Transfer    float64 // cost of the way to it, as a probability of failure
	Cold        bool    // has started lately and is slow
}

// Costs of a choice, in terms of the probability that the request fails.
const (
	// busyCost is the cost of a slot of an upstream that has no free one but
	// this. A higher cost spreads requests over more upstreams, which loses
	// more of them to upstreams that fall ill unnoticed.
	busyCost = 0.04
	// queuedCost is the cost of a request that waits at the upstream, for each
	// request before it in units of the upstream's slots.
	queuedCost = 0.6
	// coldCost is the cost of an upstream that is still slow.
	coldCost = 0.15
	// trialGain makes an upstream that has joined get its first request.
	trialGain = 0.5
	// staleGain makes an upstream of the own region be used that has not been
	// used for a while and is not known to be faulty. Its answer is worth more
	// than the request's own prospects: without it the instance knows of no
	// other upstream when those in use fall ill.
	staleGain = 0.4
	// retestGain makes an upstream that is believed to be faulty be used again
	// while the service loses requests all the same.
	retestGain = 0.8
	// tieCost spreads requests between upstreams that are equal otherwise.
	tieCost = 0.004
)

const (
	// trialAfter is the time after which an upstream that has joined gets a
	// request whatever the others are like.
	trialAfter = time.Second
	// settledAfter is the time after which upstreams that appear have joined;
	// those before were there from the start.
	settledAfter = 5 * time.Second
	// staleAfter is the time after the last request from which an upstream counts
	// as not used. It is below the 2 s within which the users' platform wants most
	// sound upstreams to be used. staleLosing is the same while the service loses
	// requests: then it matters more to know all that are well.
	staleAfter  = 1700 * time.Millisecond
	staleLosing = 1500 * time.Millisecond
	// retestEach is the number of requests of which one may go to an upstream that
	// is believed to be faulty. Its spell may be over.
	retestEach = 8
	// losingShare is the share of the latest requests that fail from which a
	// service counts as losing requests, and losingLeast their least number.
	losingShare = 0.12
	losingLeast = 6
	// losingWindow is the time over which these are counted.
	losingWindow = 2500 * time.Millisecond
	// remoteFrom is the cost from which upstreams of other regions are looked at.
	remoteFrom = 0.05
	// judgeInterval is the least time between two judgements of whether the
	// service loses requests.
	judgeInterval = 100 * time.Millisecond
	// staleEach is the number of requests of which one may go to an upstream
	// because it was not used, and staleEachLosing the same while the service
	// loses requests. Without a limit a service with many upstreams and few
	// requests would always use those that it knows least.
	staleEach       = 4
	staleEachLosing = 2
	// staleMargin is how far above that of an upstream of which nothing is known
	// the probability of failure may be for an upstream that is not used to be
	// used again. A belief of a fault comes down to it within about 6 s; a
	// smaller margin leaves upstreams whose spell is over unused for longer.
	staleMargin = 0.14
	// holdAbove is the probability of failure from which waiting for a slot of
	// another upstream is better. A lower one makes requests wait for longer
	// while most upstreams are in doubt.
	holdAbove = 0.45
	// excess is the number of requests beyond its slots that an upstream gets,
	// as a share of its slots. Requests beyond it wait here, where they can
	// still go to any upstream.
	excess = 0.17
)

// Choice is the result of Choose.
type Choice struct {
	Index int     // into the candidates
	Fails float64 // probability that the request fails
	Load  int     // its requests, as far as known
	Cost  float64
}

// Choose returns the best candidate, or false when none has room. skip excludes
// candidates; it may be nil. With hold it also returns false when the best one
// is believed to be faulty, so that the request can wait for a better one.
func (t *Tracker) Choose(cands []Candidate, skip func(id string) bool, hold bool, now time.Time) (Choice, bool) {
	if now.Sub(t.judged) >= judgeInterval {
		t.losing, t.judged = t.isLosing(now), now
	}
	best, found := t.cheapest(cands, skip, now, false)
	if !found || best.Cost > remoteFrom {
		if other, ok := t.cheapest(cands, skip, now, true); ok && (!found || other.Cost < best.Cost) {
			best, found = other, true
		}
	}
	if found && hold && best.Fails > holdAbove && best.Cost >= best.Fails { // not to find out about it
		return Choice{}, false
	}
	t.sinceStale++
	if found && now.Sub(t.state(cands[best.Index].ID, now).last) >= t.staleTime() {
		t.sinceStale = 0
	}
	if t.sinceRetest++; found && t.losing && best.Fails > t.unknown+staleMargin {
		t.sinceRetest = 0
	}
	return best, found
}

// cheapest returns the candidate with the lowest cost of those in the own
// region, or of all others.
func (t *Tracker) cheapest(cands []Candidate, skip func(id string) bool, now time.Time, remote bool) (Choice, bool) {
	best := Choice{Cost: math.Inf(1)}
	found := false
	for i := range cands {
		c := &cands[i]
		if c.Remote != remote {
			continue
		}
		if skip != nil && skip(c.ID) {
			continue
		}
		s := t.state(c.ID, now)
		load := s.load(now)
		if !s.hasRoom(c, load, now) {
			continue
		}
		fails := s.fails(&t.model, now)
		cost := t.cost(c, s, fails, load, now)
		if cost < best.Cost {
			best, found = Choice{Index: i, Fails: fails, Load: load, Cost: cost}, true
		}
	}
	return best, found
}

func (t *Tracker) staleEach() int {
	if t.losing {
		return staleEachLosing
	}
	return staleEach
}

func (t *Tracker) staleTime() time.Duration {
	if t.losing {
		return staleLosing
	}
	return staleAfter
}

// isLosing reports whether the service loses a notable share of its requests.
// A request that is late already counts as lost. Those that were sent to
// upstreams believed to be faulty do not count, else such requests would bring
// about further ones.
func (t *Tracker) isLosing(now time.Time) bool {
	lost, all := 0, 0
	for _, s := range t.upstreams {
		for _, a := range s.evidence {
			age := now.Sub(a.start)
			if age > losingWindow || a.retest || a.outcome == Void || a.outcome == Pending && age < a.times.Median() {
				continue
			}
			all++
			if a.outcome == Bad || a.outcome == Pending && a.times.slower(age) < silentShare {
				lost++
			}
		}
	}
	return lost >= losingLeast && float64(lost) >= losingShare*float64(all)
}

func (s *state) load(now time.Time) int {
	others := 0
	for _, a := range s.evidence {
		if a.remote && a.outcome == Pending {
			others++
		}
	}
	if now.Sub(s.reported) < loadAge {
		others = max(others, s.others)
	}
	return s.inFlight + others
}

func (s *state) hasRoom(c *Candidate, load int, now time.Time) bool {
	if now.Before(s.full) || s.inFlight >= max(1, c.Connections) {
		return false
	}
	return load < c.Slots+int(math.Ceil(excess*float64(c.Slots)))
}

func (t *Tracker) cost(c *Candidate, s *state, fails float64, load int, now time.Time) float64 {
	cost := fails + c.Transfer + tieCost*float64(load)
	if slots := max(1, c.Slots); load >= slots {
		cost += queuedCost * float64(load-slots+1) / float64(slots)
	} else if load == slots-1 {
		cost += busyCost
	}
	if c.Cold {
		cost += coldCost
	}
	if !c.Remote && now.Sub(s.last) >= t.staleTime() {
		switch {
		case fails <= t.unknown+staleMargin && t.sinceStale >= t.staleEach():
			cost -= staleGain
		case t.losing && t.sinceRetest >= retestEach:
			cost -= retestGain
		}
	}
	joined := !t.first.IsZero() && s.known.Sub(t.first) >= settledAfter
	if joined && !s.tried && !c.Remote && now.Sub(s.known) >= trialAfter {
		cost -= trialGain
	}
	return cost
}
