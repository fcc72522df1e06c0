package placement

import "time"

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
