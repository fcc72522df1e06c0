package entry

import (
	"math"
	"slices"
	"time"

	"knapweedreel/internal/admission"
	"knapweedreel/internal/health"
	"knapweedreel/internal/routing"
)

// maxBorrows is the maximum number of attempts of a request that borrow slots,
// that is, use slots that aren't assigned to this instance as home slots. Each
// may collide with another instance's request; more of them turn overload into
// refusals.
const maxBorrows = 2

// slotRequest holds the properties of a request on which the choice of its
// upstream depends.
type slotRequest struct {
	caller      string
	class       admission.Class
	credentials *credentials // nil if the request needs no account
	route       string
	idempotent  bool
	deadline    time.Time
	tried       []string // upstreams that failed or refused this request
	borrowed    int      // previous attempts with borrowed slots
	retry       bool     // not the first attempt
	repeatable  bool     // idempotent, and may be retried
	unreceived  bool     // the caller has not sent the whole body yet

	started   time.Time     // when the request arrived
	objective time.Duration // latency objective of the route
	bodyBytes int64         // size of the request body, -1 if unknown
	// spread is a random number from 0 to 1 that decides whether the request is one
	// of those that leave the failure domain or the region.
	spread float64
}

// choice is the upstream chosen for an attempt, or the error that ends the wait
// for one.
type choice struct {
	upstream routing.Upstream
	home     bool // the attempt uses a home slot of this instance; always set with a placer
	probe    bool // the upstream is in probation
	tracked  trackedAttempt
	err      error
}

// candidate is an upstream with a free slot.
type candidate struct {
	index         int
	home          bool
	remote        bool    // in another region
	deprioritized bool    // chosen only if there is no other, whatever its load
	inFlight      int     // requests in flight from this instance
	load          float64 // known requests in flight per slot
}

// maxSpreadLoad is the known load of a service, in requests in flight per slot,
// up to which requests are spread over all upstreams of the region. With home
// slots only, each upstream gets requests from few instances and each instance
// sends to few upstreams: too few instances then report a faulty upstream, and
// an instance has too few upstreams to compare its failures with. At higher
// load home slots avoid refusals.
const maxSpreadLoad = 1.0 / 3

// shouldSpread reports whether the service's known load is at most
// maxSpreadLoad.
func (st *serviceState) shouldSpread(svc *routing.Service) bool {
	load, slots := 0, 0
	for i := range svc.Upstreams {
		u := &svc.Upstreams[i]
		if u.State == health.InService {
			load += st.inFlight[u.ID] + u.PeerInFlight
			slots += u.Slots
		}
	}
	return float64(load) <= maxSpreadLoad*float64(slots)
}

// better reports whether c is preferred to d. Deprioritized upstreams come last.
// When requests are spread, the region takes precedence over the load. Otherwise
// home slots come before borrowed ones; among home slots the region takes
// precedence, because a home slot is free whatever the load, and among borrowed
// slots the load does.
func (c candidate) better(d candidate, spread bool) bool {
	if c.deprioritized != d.deprioritized {
		return d.deprioritized
	}
	if spread && c.remote != d.remote {
		return d.remote
	}
	if spread {
		// The peers' requests in flight are up to one heartbeat old. Using them
		// would send the requests of all instances to the same upstreams.
		return c.inFlight < d.inFlight
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

// pick chooses an upstream with a free slot. st.mu is held.
func (st *serviceState) pick(snap *routing.Snapshot, svc *routing.Service, req *slotRequest, now time.Time) (choice, bool) {
	if st.placer != nil {
		return st.pickByCost(snap, svc, req, false, now)
	}
	if c, ok := st.pickProbation(svc, req, now); ok {
		return c, true
	}
	var best candidate
	found := false
	allTried := st.triedAll(svc, req)
	top := st.topWeight(svc, now)
	spread := st.shouldSpread(svc)
	tryFailing := req.idempotent && !req.retry && st.rand.Float64() < failingProbeShare
	for _, i := range st.rand.Perm(len(svc.Upstreams)) {
		u := &svc.Upstreams[i]
		if u.State != health.InService || st.avoided(u.ID, now) || st.hasAnnouncedLeaving(u) || !allTried && slices.Contains(req.tried, u.ID) {
			continue
		}
		c, ok := st.candidate(u, min(1, u.Weight/top), req, now)
		if !ok {
			continue
		}
		c.index, c.remote = i, u.Region != snap.Self.Region
		c.deprioritized = st.failing(u.ID, now) != tryFailing
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
// Weights are relative to it: if all upstreams are ramping up, they are used in
// full.
func (st *serviceState) topWeight(svc *routing.Service, now time.Time) float64 {
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

// candidate returns u as a candidate if it has a slot for req. An upstream whose
// weight is below 1 is considered in that share of the choices, with that share
// of its slots.
func (st *serviceState) candidate(u *routing.Upstream, weight float64, req *slotRequest, now time.Time) (candidate, bool) {
	inFlight := st.inFlight[u.ID]
	if inFlight >= max(1, u.MaxConnections) || inFlight > 0 && st.unreachable[u.ID] {
		return candidate{}, false
	}
	if weight < 1 && st.rand.Float64() >= weight {
		return candidate{}, false
	}
	c := candidate{
		home:     float64(inFlight) < math.Ceil(float64(u.HomeSlots)*weight),
		inFlight: inFlight,
		load:     float64(inFlight+u.PeerInFlight) / float64(max(1, u.Slots)),
	}
	mayBorrow := req.borrowed < maxBorrows && st.borrow.over(now) && float64(inFlight+u.PeerInFlight) < math.Ceil(float64(u.Slots)*weight)
	return c, c.home || mayBorrow
}

// pickProbation chooses an upstream in probation for an idempotent request, as
// far as the probe budget allows. Each gets one request at a time.
func (st *serviceState) pickProbation(svc *routing.Service, req *slotRequest, now time.Time) (choice, bool) {
	if !req.idempotent || req.retry || st.probeBudget.tokens < 1 {
		return choice{}, false
	}
	n := len(svc.Upstreams)
	if n == 0 {
		return choice{}, false
	}
	first := st.rand.IntN(n)
	for k := range n {
		u := &svc.Upstreams[(first+k)%n]
		if u.State == health.Probation && st.inFlight[u.ID] == 0 && !st.avoided(u.ID, now) && !st.hasAnnouncedLeaving(u) {
			st.probeBudget.spend()
			return choice{upstream: *u, probe: true}, true
		}
	}
	return choice{}, false
}

// triedAll reports whether the request has tried every upstream in service, so
// that only a second attempt at one of them remains.
func (st *serviceState) triedAll(svc *routing.Service, req *slotRequest) bool {
	for i := range svc.Upstreams {
		u := &svc.Upstreams[i]
		if u.State == health.InService && !st.hasAnnouncedLeaving(u) && !slices.Contains(req.tried, u.ID) {
			return false
		}
	}
	return true
}

// usable reports whether some upstream can serve the request once it has a free
// slot.
func (st *serviceState) usable(svc *routing.Service, req *slotRequest) bool {
	for i := range svc.Upstreams {
		u := &svc.Upstreams[i]
		if u.State == health.InService && !st.hasAnnouncedLeaving(u) && (st.placer != nil || req.borrowed < maxBorrows || u.HomeSlots > 0) {
			return true
		}
	}
	return false
}

func (st *serviceState) avoided(id string, now time.Time) bool { return now.Before(st.avoidUntil[id]) }
