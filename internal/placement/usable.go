package placement

import (
	"math"
	"time"

	"knapweedreel/internal/locality"
)

// Usable is what a Tracker knows about the capacity of upstreams. Each upstream
// counts with the probability that a request there succeeds, since slots at which
// requests hang don't become free.
type Usable struct {
	Slots   float64
	Running float64 // requests of this instance that are in slots
	Waiting float64 // requests of all instances that are known to wait at upstreams
}

// Usable returns the capacity of the candidates.
func (t *Tracker) Usable(cands []Candidate, now time.Time) Usable {
	var u Usable
	for i := range cands {
		c := &cands[i]
		if c.Excluded {
			continue
		}
		s := t.upstreamState(c.ID, now)
		share := 1 - s.failureProbability(&t.model, now)
		u.Slots += share * float64(c.Slots)
		u.Running += share * float64(min(s.inFlight, c.Slots))
		u.Waiting += share * float64(max(0, s.load(now)-c.Slots))
	}
	return u
}

// Pool is the capacity and the load of some upstreams.
type Pool struct {
	Slots float64 // weighted like Usable.Slots
	Load  float64 // requests running and waiting there, in slots that are not lost
	// Risk is the lowest probability that a request fails, 1 without upstreams.
	Risk float64
}

// Locality returns the pool for decisions of package locality.
func (p Pool) Locality() locality.Pool { return locality.Pool{Slots: p.Slots, Load: p.Load} }

// Pool returns the pool of the candidates whose index keep selects.
func (t *Tracker) Pool(cands []Candidate, keep func(i int) bool, now time.Time) Pool {
	p := Pool{Risk: math.Inf(1)}
	for i := range cands {
		c := &cands[i]
		if c.Excluded || !keep(i) || t.pauses.isActive(Incarnation{c.ID, c.Incarnation}, now) {
			continue
		}
		s := t.upstreamState(c.ID, now)
		failure := s.failureProbability(&t.model, now)
		p.Slots += (1 - failure) * float64(c.Slots)
		p.Load += (1 - failure) * float64(s.load(now))
		p.Risk = min(p.Risk, failure)
	}
	p.Risk = min(p.Risk, 1)
	return p
}
