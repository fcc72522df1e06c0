package entry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
	"knapweedreel/internal/routing"
	"knapweedreel/internal/wire"
)

// serviceState is this instance's state of one service. It is kept when the
// document changes.
type serviceState struct {
	name    string
	control Control
	drain   *drainState // of the server
	metrics *serviceMetrics

	mu            sync.Mutex
	rand          *rand.Rand
	inFlight      map[string]int           // by upstream
	avoidUntil    map[string]time.Time     // by upstream; no requests before that time
	unreachable   map[string]bool          // by upstream; last connection failed, one request at a time
	departures    map[string]departure     // by upstream; announced in a response
	failures      map[string]failureStreak // by upstream
	borrow        borrowPause
	queue         *requestQueue
	lastQueued    time.Time   // when a request was queued last
	recheck       *time.Timer // runs while requests are queued
	retryBudget   tokenBucket
	refusalBudget tokenBucket
	probeBudget   tokenBucket
	latencies     map[string]*latencyEstimate // by route
	placer        *placer                     // nil if Config.Placement is nil
}

// service returns the state of the named service, creating it if necessary.
func (s *Server) service(name string) *serviceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.services[name]
	if st == nil {
		st = &serviceState{
			name:          name,
			control:       s.control,
			drain:         &s.drain,
			metrics:       newServiceMetrics(s.cfg.Scope, name),
			rand:          rand.New(rand.NewPCG(s.rand.Uint64(), s.rand.Uint64())),
			inFlight:      make(map[string]int),
			avoidUntil:    make(map[string]time.Time),
			unreachable:   make(map[string]bool),
			departures:    make(map[string]departure),
			failures:      make(map[string]failureStreak),
			retryBudget:   newTokenBucket(retryShare, retryReserve, 2*retryReserve),
			refusalBudget: newTokenBucket(refusalShare, refusalReserve, 2*refusalReserve),
			probeBudget:   newTokenBucket(probeShare, 0, 1),
			latencies:     make(map[string]*latencyEstimate),
			placer:        newPlacer(name, s.cfg),
			queue:         newRequestQueue(s.cfg.Placement != nil),
		}
		if p := s.cfg.Placement; p != nil {
			// One budget covers all retries.
			reserve := p.reserve(s.control.Snapshot().ServingInstances)
			st.retryBudget = newTokenBucket(p.RetryShare, reserve, max(1, reserve))
		}
		if st.placer != nil {
			st.placer.scopes.loads = &s.loads
		}
		s.services[name] = st
	}
	return st
}

// requestArrived counts a new request toward the probe budget.
func (st *serviceState) requestArrived() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.probeBudget.earn()
}

// requestAdmitted counts a request that got its first slot toward the retry
// budgets. Requests that are shed earlier don't count: under a surge they would
// allow more retries than there are admitted requests.
func (st *serviceState) requestAdmitted() {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.placer != nil {
		st.retryBudget.limit = max(1, st.placer.cfg.reserve(st.control.Snapshot().ServingInstances))
	}
	st.retryBudget.earn()
	st.refusalBudget.earn()
}

// spendRetry charges the budget for a retry and reports whether it allows one.
// notRun means that the upstream of the previous attempt provably did not run
// the request.
func (st *serviceState) spendRetry(notRun bool) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if notRun && st.placer == nil {
		return st.refusalBudget.spend()
	}
	return st.retryBudget.spend()
}

// avoidFor sends no new requests to the upstream for the duration d.
func (st *serviceState) avoidFor(id string, d time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if until := time.Now().Add(d); until.After(st.avoidUntil[id]) {
		st.avoidUntil[id] = until
	}
}

// setUnreachable records whether the last connection to the upstream failed. If
// so, it gets one request at a time until one has been sent, because each may
// wait for the connect timeout.
func (st *serviceState) setUnreachable(id string, unreachable bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if unreachable {
		st.unreachable[id] = true
	} else {
		delete(st.unreachable, id)
	}
}

// take takes the slot of a choice. st.mu is held.
func (st *serviceState) take(c choice, req *slotRequest, now time.Time) choice {
	st.inFlight[c.upstream.ID]++
	if st.placer != nil {
		st.placer.start(&c, req, now)
	}
	return c
}

// releaseChoice releases the slot of a choice. class is the outcome of the
// attempt.
func (st *serviceState) releaseChoice(c choice, class health.Class) {
	if st.placer != nil {
		st.mu.Lock()
		st.placer.end(c, class, time.Now())
		st.mu.Unlock()
	}
	st.release(c.upstream.ID)
}

// release releases a slot of an upstream and dispatches the queue.
func (st *serviceState) release(id string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.inFlight[id]--; st.inFlight[id] <= 0 {
		delete(st.inFlight, id)
	}
	st.dispatchLocked()
}

// latency returns the estimate of a route. st.mu is held.
func (st *serviceState) latency(route string) *latencyEstimate {
	l := st.latencies[route]
	if l == nil {
		l = new(latencyEstimate)
		st.latencies[route] = l
	}
	return l
}

// observe adds the latency of a healthy response to the estimate of its route.
func (st *serviceState) observe(route string, d time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.latency(route).add(d)
}

// highLatency returns a latency that healthy responses of a route rarely exceed,
// or false if there are too few samples.
func (st *serviceState) highLatency(route string) (time.Duration, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.latency(route).high()
}

// updateGauges updates the gauges of queued requests, requests in flight and
// slots of the local region's upstreams.
func (st *serviceState) updateGauges(snap *routing.Snapshot) {
	st.mu.Lock()
	defer st.mu.Unlock()
	inFlight, slots := 0, 0
	for _, n := range st.inFlight {
		inFlight += n
	}
	if svc := snap.Services[st.name]; svc != nil {
		for i := range svc.Upstreams {
			if svc.Upstreams[i].Region == snap.Self.Region {
				slots += svc.Upstreams[i].Slots
			}
		}
	}
	st.updateLeavingGauges()
	st.metrics.waiting.Update(float64(st.queue.Len()))
	st.metrics.inFlight.Update(float64(inFlight))
	st.metrics.slots.Update(float64(slots))
	st.updateClassGauges(time.Now())
}

// prune drops the state of routes and upstreams that are no longer in the
// document, and state that has expired. svc is nil if the service was removed.
func (st *serviceState) prune(svc *routing.Service, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for id, until := range st.avoidUntil {
		if !now.Before(until) {
			delete(st.avoidUntil, id)
		}
	}
	st.pruneDepartures(svc, now)
	if st.placer != nil {
		st.placer.prune(svc, now)
	}
	for id, f := range st.failures {
		if now.Sub(f.last) >= failingDuration {
			delete(st.failures, id)
		}
	}
	for id := range st.unreachable {
		if svc == nil || !slices.ContainsFunc(svc.Upstreams, func(u routing.Upstream) bool { return u.ID == id }) {
			delete(st.unreachable, id)
		}
	}
	for route := range st.latencies {
		if svc == nil || svc.Document == nil || !slices.ContainsFunc(svc.Document.Routes, func(r document.Route) bool { return routeName(&r) == route }) {
			delete(st.latencies, route)
		}
	}
}

// InFlight returns the number of requests in flight at each upstream that has
// any, sorted by service and upstream.
func (s *Server) InFlight() []wire.InFlight {
	s.mu.Lock()
	services := make([]*serviceState, 0, len(s.services))
	for _, st := range s.services {
		services = append(services, st)
	}
	s.mu.Unlock()
	var all []wire.InFlight
	for _, st := range services {
		st.mu.Lock()
		for id, n := range st.inFlight {
			all = append(all, wire.InFlight{Upstream: health.Key{Service: st.name, Upstream: id}, Count: uint32(n)})
		}
		st.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b wire.InFlight) int {
		return cmp.Or(cmp.Compare(a.Upstream.Service, b.Upstream.Service), cmp.Compare(a.Upstream.Upstream, b.Upstream.Upstream))
	})
	return all
}
