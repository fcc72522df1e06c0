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

// service is what this instance knows of the requests of one service. It
// outlives revisions of the document.
type service struct {
	name    string
	control Control
	metrics *serviceMetrics

	mu        sync.Mutex
	rand      *rand.Rand
	inFlight  map[string]int       // by upstream
	avoid     map[string]time.Time // upstream gets nothing before that time
	unreached map[string]bool      // last connection failed: one request at a time
	failures  map[string]failures  // by upstream
	borrow    borrowPause
	queue     fairQueue
	recheck   *time.Timer // runs while requests wait
	retries   bucket
	refusals  bucket
	probes    bucket
	latencies map[string]*estimate // by route
	placing   *placing             // nil with home slots
}

// service returns the state of the named service.
func (s *Server) service(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.services[name]
	if st == nil {
		st = &service{
			name:      name,
			control:   s.control,
			metrics:   newServiceMetrics(s.cfg.Scope, name),
			rand:      rand.New(rand.NewPCG(s.rand.Uint64(), s.rand.Uint64())),
			inFlight:  make(map[string]int),
			avoid:     make(map[string]time.Time),
			unreached: make(map[string]bool),
			failures:  make(map[string]failures),
			retries:   newBucket(retryShare, retryReserve, 2*retryReserve),
			refusals:  newBucket(refusalShare, refusalReserve, 2*refusalReserve),
			probes:    newBucket(probeShare, 0, 1),
			latencies: make(map[string]*estimate),
			placing:   newPlacing(name, s.cfg),
		}
		if p := s.cfg.Placement; p != nil {
			// One budget covers all further attempts.
			reserve := p.reserve(s.control.Snapshot().Serving)
			st.retries = newBucket(p.RetryShare, reserve, max(1, reserve))
		}
		s.services[name] = st
	}
	return st
}

// arrive counts a new request for the share of probes.
func (st *service) arrive() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.probes.earn()
}

// admitted counts a request that has its first slot for the budgets. Requests
// that are shed before do not count: under a surge these would pay for more
// further attempts than there is work.
func (st *service) admitted() {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.placing != nil {
		st.retries.limit = max(1, st.placing.cfg.reserve(st.control.Snapshot().Serving))
	}
	st.retries.earn()
	st.refusals.earn()
}

// spend takes a token for a further attempt. A cheap attempt follows one that
// was provably not run.
func (st *service) spend(cheap bool) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if cheap && st.placing == nil {
		return st.refusals.spend()
	}
	return st.retries.spend()
}

// avoidFor gives the upstream nothing new for the time d.
func (st *service) avoidFor(id string, d time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if until := time.Now().Add(d); until.After(st.avoid[id]) {
		st.avoid[id] = until
	}
}

// setUnreached records whether the last connection to the upstream failed. If
// so, one request at a time finds out whether it can be reached again, because
// each may wait for the connection until the timeout.
func (st *service) setUnreached(id string, unreached bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if unreached {
		st.unreached[id] = true
	} else {
		delete(st.unreached, id)
	}
}

// take notes that the request has a slot at the upstream. The caller holds
// st.mu.
func (st *service) take(c choice, w *want, now time.Time) choice {
	st.inFlight[c.upstream.ID]++
	if st.placing != nil {
		st.placing.start(&c, w, now)
	}
	return c
}

// giveBack gives back the slot of a choice, of which the class tells what came.
func (st *service) giveBack(c choice, class health.Class) {
	if st.placing != nil {
		st.mu.Lock()
		st.placing.end(c, class, time.Now())
		st.mu.Unlock()
	}
	st.release(c.upstream.ID)
}

// release gives back the slot at an upstream.
func (st *service) release(id string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.inFlight[id]--; st.inFlight[id] <= 0 {
		delete(st.inFlight, id)
	}
	st.dispatchLocked()
}

// latency returns the estimate for a route. The caller holds st.mu.
func (st *service) latency(route string) *estimate {
	l := st.latencies[route]
	if l == nil {
		l = new(estimate)
		st.latencies[route] = l
	}
	return l
}

// observe adds the latency of a good answer to the estimate of its route.
func (st *service) observe(route string, d time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.latency(route).add(d)
}

// highLatency returns a time that healthy answers of a route rarely exceed.
func (st *service) highLatency(route string) (time.Duration, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.latency(route).high()
}

// measure publishes how many requests wait, how many are at upstreams, and how
// many slots the upstreams of the own region have.
func (st *service) measure(snap *routing.Snapshot) {
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
	st.metrics.waiting.Update(float64(st.queue.length))
	st.metrics.inFlight.Update(float64(inFlight))
	st.metrics.slots.Update(float64(slots))
}

// forget drops what is known of routes and upstreams that are no longer in the
// document, and avoidances that are over. A removed service is nil.
func (st *service) forget(svc *routing.Service, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for id, until := range st.avoid {
		if !now.Before(until) {
			delete(st.avoid, id)
		}
	}
	if st.placing != nil {
		st.placing.forget(svc, now)
	}
	for id, f := range st.failures {
		if now.Sub(f.last) >= failingTime {
			delete(st.failures, id)
		}
	}
	for id := range st.unreached {
		if svc == nil || !slices.ContainsFunc(svc.Upstreams, func(u routing.Upstream) bool { return u.ID == id }) {
			delete(st.unreached, id)
		}
	}
	for route := range st.latencies {
		if svc == nil || svc.Document == nil || !slices.ContainsFunc(svc.Document.Routes, func(r document.Route) bool { return routeName(&r) == route }) {
			delete(st.latencies, route)
		}
	}
}

// InFlight returns the number of requests in flight at each upstream where it
// is not zero, in the order of services and upstreams.
func (s *Server) InFlight() []wire.InFlight {
	s.mu.Lock()
	services := make([]*service, 0, len(s.services))
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
