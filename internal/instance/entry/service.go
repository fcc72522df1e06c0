package entry

import (
	"cmp"
	"slices"
	"sync"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
	"knapweedreel/internal/routing"
	"knapweedreel/internal/wire"
)

// service is what this instance knows of the requests of one service. It
// outlives revisions of the document.
type service struct {
	name string

	mu       sync.Mutex
	inFlight map[string]int // by upstream
}

// service returns the state of the named service.
func (s *Server) service(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.services[name]
	if st == nil {
		st = &service{name: name, inFlight: make(map[string]int)}
		s.services[name] = st
	}
	return st
}

// choice is an upstream that was chosen for an attempt.
type choice struct {
	upstream routing.Upstream
	home     bool // a home slot of this instance
}

// acquire takes a slot at an upstream for one attempt.
func (st *service) acquire(svc *routing.Service, order []int) (choice, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	best, bestHome, bestLoad := -1, false, 0.0
	for _, i := range order {
		u := &svc.Upstreams[i]
		own := st.inFlight[u.ID]
		if u.State != health.InService || own >= max(1, u.MaxConnections) {
			continue
		}
		home := own < u.HomeSlots
		if !home && own+u.PeerInFlight >= u.Slots {
			continue
		}
		load := float64(own+u.PeerInFlight) / float64(max(1, u.Slots))
		if best < 0 || home && !bestHome || home == bestHome && load < bestLoad {
			best, bestHome, bestLoad = i, home, load
		}
	}
	if best < 0 {
		return choice{}, errkind.New(errkind.NoUpstream, "no upstream of service %s has a free slot", st.name)
	}
	st.inFlight[svc.Upstreams[best].ID]++
	return choice{upstream: svc.Upstreams[best], home: bestHome}, nil
}

// release gives back the slot at an upstream.
func (st *service) release(id string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.inFlight[id]--; st.inFlight[id] <= 0 {
		delete(st.inFlight, id)
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
