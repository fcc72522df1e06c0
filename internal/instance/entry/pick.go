package entry

import (
	"math"
	"slices"
	"time"

	"knapweedreel/internal/health"
	"knapweedreel/internal/routing"
)

// maxBorrows is the largest number of attempts of one request that use slots
// of which this instance is not the home. Each may meet another instance's
// request; more of them would turn overload into refusals.
const maxBorrows = 2

// want is what a request needs of an upstream.
type want struct {
	caller     string
	route      string
	idempotent bool
	deadline   time.Time
	tried      []string // upstreams that have failed or refused this request
	borrowed   int      // attempts so far with borrowed slots
	retry      bool     // not the first attempt

	priority  int           // 0 goes first
	started   time.Time     // when the request came
	objective time.Duration // within which callers want the answer
	bytes     int64         // size of the request
}

// choice is an upstream that was chosen for an attempt.
type choice struct {
	upstream routing.Upstream
	home     bool // a home slot of this instance
	probe    bool // the upstream is in probation
	placed   placed
	err      error
}

// candidate is an upstream that could be chosen.
type candidate struct {
	index  int
	home   bool
	remote bool    // in another region than this instance
	last   bool    // to be chosen last, whatever its load
	own    int     // requests in flight from this instance
	load   float64 // known requests in flight per slot
}

// spreadLoad is the known load of a service, in requests in flight per slot, up
// to which requests are spread over all upstreams of the region. With home slots
// only, each upstream is seen by few instances and each instance sees few
// upstreams: a faulty upstream then lacks reporters, and an instance has nothing
// to compare its failures with. At higher load home slots avoid refusals.
const spreadLoad = 1.0 / 3

// spreads reports whether the service's known load is low enough to spread.
func (st *service) spreads(svc *routing.Service) bool {
	load, slots := 0, 0
	for i := range svc.Upstreams {
		u := &svc.Upstreams[i]
		if u.State == health.InService {
			load += st.inFlight[u.ID] + u.PeerInFlight
			slots += u.Slots
		}
	}
	return float64(load) <= spreadLoad*float64(slots)
}

// better reports whether c is to be preferred to d. Upstreams that keep failing
// come last. When requests are spread,
// the region decides before the load. Otherwise home slots come before borrowed
// ones; among home slots the region decides before the load, because a home
// slot is free whatever the load, and among borrowed slots it is the other way
// round.
func (c candidate) better(d candidate, spread bool) bool {
	if c.last != d.last {
		return d.last
	}
	if spread && c.remote != d.remote {
		return d.remote
	}
	if spread {
		// What peers have in flight is up to a heartbeat old. Following it
		// would send the requests of all instances to the same upstreams.
		return c.own < d.own
	}
	switch {
	case c.home != d.home:
		return c.home
	case c.home && c.remote != d.remote:
		return d.remote
	case c.load != d.load:
		return c.load < d.load
	}
	return !c.remote && d.remote
}

// pick chooses an upstream with a free slot. The caller holds st.mu.
func (st *service) pick(snap *routing.Snapshot, svc *routing.Service, w *want, now time.Time) (choice, bool) {
	if st.placing != nil {
		return st.place(snap, svc, w, now)
	}
	if c, ok := st.pickProbation(svc, w, now); ok {
		return c, true
	}
	var best candidate
	found := false
	again := st.triedAll(svc, w)
	top := st.topWeight(svc, now)
	spread := st.spreads(svc)
	try := w.idempotent && !w.retry && st.rand.Float64() < failingShare
	for _, i := range st.rand.Perm(len(svc.Upstreams)) {
		u := &svc.Upstreams[i]
		if u.State != health.InService || st.avoided(u.ID, now) || !again && slices.Contains(w.tried, u.ID) {
			continue
		}
		c, ok := st.candidate(u, min(1, u.Weight/top), w, now)
		if !ok {
			continue
		}
		c.index, c.remote = i, u.Region != snap.Self.Region
		c.last = st.failing(u.ID, now) != try
		if !found || c.better(best, spread) {
			best, found = c, true
		}
	}
	if !found {
		return choice{}, false
	}
	return choice{upstream: svc.Upstreams[best.index], home: best.home}, true
}

// topWeight returns the highest weight of the upstreams that can be chosen.
// While capacity returns at all of them, they are used in full.
func (st *service) topWeight(svc *routing.Service, now time.Time) float64 {
	top := 0.0
	for i := range svc.Upstreams {
		u := &svc.Upstreams[i]
		if u.State == health.InService && !st.avoided(u.ID, now) {
			top = max(top, u.Weight)
		}
	}
	if top == 0 {
		return 1
	}
	return top
}

// candidate returns u as a candidate if it has a slot for w. An upstream whose
// weight is below 1 takes part in that share of the choices, with that share of
// its slots.
func (st *service) candidate(u *routing.Upstream, weight float64, w *want, now time.Time) (candidate, bool) {
	own := st.inFlight[u.ID]
	if own >= max(1, u.MaxConnections) || own > 0 && st.unreached[u.ID] {
		return candidate{}, false
	}
	if weight < 1 && st.rand.Float64() >= weight {
		return candidate{}, false
	}
	c := candidate{
		home: float64(own) < math.Ceil(float64(u.HomeSlots)*weight),
		own:  own,
		load: float64(own+u.PeerInFlight) / float64(max(1, u.Slots)),
	}
	mayBorrow := w.borrowed < maxBorrows && st.borrow.over(now) && float64(own+u.PeerInFlight) < math.Ceil(float64(u.Slots)*weight)
	return c, c.home || mayBorrow
}

// pickProbation chooses an upstream in probation for an idempotent request, as
// often as the share for probes allows. Each carries one request at a time.
func (st *service) pickProbation(svc *routing.Service, w *want, now time.Time) (choice, bool) {
	if !w.idempotent || w.retry || st.probes.tokens < 1 {
		return choice{}, false
	}
	n := len(svc.Upstreams)
	if n == 0 {
		return choice{}, false
	}
	first := st.rand.IntN(n)
	for k := range n {
		u := &svc.Upstreams[(first+k)%n]
		if u.State == health.Probation && st.inFlight[u.ID] == 0 && !st.avoided(u.ID, now) {
			st.probes.spend()
			return choice{upstream: *u, probe: true}, true
		}
	}
	return choice{}, false
}

// triedAll reports whether the request has tried every upstream in service, so
// that only a second attempt at one of them is left.
func (st *service) triedAll(svc *routing.Service, w *want) bool {
	for i := range svc.Upstreams {
		u := &svc.Upstreams[i]
		if u.State == health.InService && !slices.Contains(w.tried, u.ID) {
			return false
		}
	}
	return true
}

// usable reports whether any upstream can take the request once it has a free
// slot.
func (st *service) usable(svc *routing.Service, w *want) bool {
	for i := range svc.Upstreams {
		u := &svc.Upstreams[i]
		if u.State == health.InService && (st.placing != nil || w.borrowed < maxBorrows || u.HomeSlots > 0) {
			return true
		}
	}
	return false
}

func (st *service) avoided(id string, now time.Time) bool { return now.Before(st.avoid[id]) }
