package entry

import (
	"sync"
	"time"

	"knapweedreel/internal/instance/evidence"
	"knapweedreel/internal/locality"
	"knapweedreel/internal/placement"
	"knapweedreel/internal/routing"
)

// loadMaxAge is the time for which the loads of another region are used. Reports
// arrive every second, and two of them may be lost.
const loadMaxAge = 3500 * time.Millisecond

// remoteLoads holds the loads that other regions have reported.
type remoteLoads struct {
	mu      sync.Mutex
	regions map[string]regionLoads
}

type regionLoads struct {
	at       time.Time
	services map[string]locality.Pool // with notable load
}

// ApplyLoads applies the loads of another region.
func (s *Server) ApplyLoads(m evidence.LoadMessage) {
	snap := s.control.Snapshot()
	if m.Region == "" || m.Region == snap.Self.Region {
		return
	}
	loads := regionLoads{at: time.Now(), services: make(map[string]locality.Pool, len(m.Reports))}
	for i := range m.Reports {
		if r := &m.Reports[i]; r.Valid() {
			loads.services[r.Service] = locality.Pool{Slots: r.Slots, Load: r.Load}
		}
	}
	s.loads.mu.Lock()
	defer s.loads.mu.Unlock()
	if s.loads.regions == nil {
		s.loads.regions = make(map[string]regionLoads)
	}
	s.loads.regions[m.Region] = loads
	for region, l := range s.loads.regions {
		if time.Since(l.at) > loadMaxAge {
			delete(s.loads.regions, region)
		}
	}
}

// pools returns the capacity of a service in the other regions whose load is known.
func (l *remoteLoads) pools(snap *routing.Snapshot, svc *routing.Service, now time.Time) []locality.Pool {
	slots := make(map[string]int)
	for i := range svc.Upstreams {
		if u := &svc.Upstreams[i]; u.Region != snap.Self.Region {
			slots[u.Region] += u.Slots
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []locality.Pool
	for region, n := range slots {
		loads, ok := l.regions[region]
		if !ok || now.Sub(loads.at) > loadMaxAge {
			continue
		}
		pool, ok := loads.services[svc.Name]
		if !ok { // too little to be reported
			pool = locality.Pool{Slots: float64(n), Load: locality.NotableUtilization * float64(n)}
		}
		all = append(all, pool)
	}
	return all
}

// scopes decides how far the requests of a service travel. It is guarded by
// serviceState.mu.
type scopes struct {
	loads  *remoteLoads
	at     time.Time            // when the pools were computed
	domain placement.Pool       // of the own failure domain
	nearby placement.Pool       // of the other failure domains of the region
	remote []locality.Pool      // of other regions whose load is known
	far    placement.Pool       // upstreams of all other regions, as known here
	routes map[string]*planners // by route
}

// planners decide for the requests of one route.
type planners struct{ domain, region locality.Planner }

// scope is how far a request travels.
type scope struct {
	// stayNear adds stayCost to the upstreams of other failure domains.
	stayNear bool
	// stayLocal excludes the upstreams of other regions.
	stayLocal bool
	// leave excludes the upstreams of the own region.
	leave bool
}

// stayCost is the cost, as a failure probability, of another failure domain of the
// region for a request that need not leave its own. It outweighs small differences
// between upstreams, and not a suspicion.
const stayCost = 0.04

// maxLocalRisk is the risk to fail at the best upstream of the region, however
// loaded, up to which requests stay there. Beyond it all of them are probably faulty
// or not known, and each request goes where the risk is lowest.
const maxLocalRisk = 0.12

// scopeOf returns how far a request travels. st.mu is held.
func (st *serviceState) scopeOf(snap *routing.Snapshot, svc *routing.Service, req *slotRequest, now time.Time) scope {
	if !svc.ShareLoads {
		return scope{}
	}
	s := &st.placer.scopes
	if now.Sub(s.at) >= locality.UpdateInterval {
		st.updatePools(snap, svc, now)
	}
	p := s.routes[req.route]
	if p == nil {
		p = new(planners)
		s.routes[req.route] = p
	}
	if p.domain.Due(now) { // both are updated together
		st.updatePlanners(p, req, now)
	}
	if len(s.remote) == 0 {
		return scope{stayNear: !p.domain.Leaves(req.spread)}
	}
	leave := p.region.Leaves(req.spread)
	return scope{
		stayNear:  !p.domain.Leaves(req.spread),
		stayLocal: !leave && s.domain.Slots+s.nearby.Slots >= 1 && min(s.domain.Risk, s.nearby.Risk) <= maxLocalRisk,
		leave:     leave,
	}
}

// updatePools computes the pools of a service. st.mu is held.
func (st *serviceState) updatePools(snap *routing.Snapshot, svc *routing.Service, now time.Time) {
	s := &st.placer.scopes
	s.at, s.remote = now, s.loads.pools(snap, svc, now)
	cands := st.listCandidates(snap, svc, &slotRequest{}, scope{})
	pool := func(keep func(u *routing.Upstream) bool) placement.Pool {
		return st.placer.tracker.Pool(cands, func(i int) bool { return keep(&svc.Upstreams[i]) }, now)
	}
	s.domain = pool(func(u *routing.Upstream) bool { return u.FailureDomain == snap.Self.FailureDomain })
	s.nearby = pool(func(u *routing.Upstream) bool {
		return u.Region == snap.Self.Region && u.FailureDomain != snap.Self.FailureDomain
	})
	s.far = pool(func(u *routing.Upstream) bool { return u.Region != snap.Self.Region })
	for route := range s.routes {
		if _, ok := st.placer.responseKB[route]; !ok {
			delete(s.routes, route)
		}
	}
	// Requests wait here and, as far as known, about as many at each of the other
	// instances of the region.
	waiting := float64(st.queue.Len()) * float64(max(1, snap.ServingInstances/(1+len(s.remote))))
	if slots := s.domain.Slots + s.nearby.Slots; slots > 0 {
		s.domain.Load += waiting * s.domain.Slots / slots
		s.nearby.Load += waiting * s.nearby.Slots / slots
	}
}

// updatePlanners updates the planners of the route of a request. st.mu is held.
func (st *serviceState) updatePlanners(p *planners, req *slotRequest, now time.Time) {
	placer, s := st.placer, &st.placer.scopes
	kb := placer.transferKB(req)
	in := locality.Input{
		Local: s.domain.Locality(), Remote: []locality.Pool{s.nearby.Locality()},
		MeanTime: placer.times(req).Mean(), Objective: max(req.objective, time.Millisecond),
		Price: stayCost + placer.cfg.DomainCostPerKB*kb + max(0, s.nearby.Risk-s.domain.Risk),
	}
	p.domain.Update(in, now)
	in.Local = locality.Pool{Slots: s.domain.Slots + s.nearby.Slots, Load: s.domain.Load + s.nearby.Load}
	in.Remote = s.remote
	in.Price = placer.remoteCost(kb) + max(0, s.far.Risk-min(s.domain.Risk, s.nearby.Risk))
	p.region.Update(in, now)
}

// LoadReports returns the notable loads of the services of this region.
func (s *Server) LoadReports() []locality.Report {
	snap, now := s.control.Snapshot(), time.Now()
	var reports []locality.Report
	for name, svc := range snap.Services {
		if !svc.ShareLoads {
			continue
		}
		st := s.service(name)
		st.mu.Lock()
		if st.placer != nil {
			st.updatePools(snap, svc, now)
			pools := &st.placer.scopes
			r := locality.Report{Service: name, Slots: pools.domain.Slots + pools.nearby.Slots, Load: pools.domain.Load + pools.nearby.Load}
			if r.Load >= locality.NotableUtilization*r.Slots {
				reports = append(reports, r)
			}
		}
		st.mu.Unlock()
	}
	return reports
}

// updateLeavingGauges updates the gauges of the largest shares of a route's requests
// that leave the failure domain and the region. st.mu is held.
func (st *serviceState) updateLeavingGauges() {
	if st.placer == nil {
		return
	}
	domain, region := 0.0, 0.0
	for _, p := range st.placer.scopes.routes {
		domain, region = max(domain, p.domain.Share()), max(region, p.region.Share())
	}
	st.metrics.leaveDomain.Update(domain)
	st.metrics.leaveRegion.Update(region)
}
