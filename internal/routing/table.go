package routing

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"

	"knapweedreel/internal/document"
)

// Table holds the routes of a configuration of the whole fleet, as opposed to the
// document of one service: a host may have routes to several services, and a
// route may be split among services.
type Table struct {
	byHost map[string][]*Route // longest prefix first
}

// Route is a route of a table.
type Route struct {
	Name string
	Host string // lower case, without port
	// Rule holds the settings of the route. Its path is a prefix that ends in "*".
	Rule  document.Route
	Split *Split
	// Public routes need no key of a client account.
	Public bool
}

// prefix returns the path prefix that selects the route.
func (r *Route) prefix() string { return strings.TrimSuffix(r.Rule.Path, "*") }

// NewTable returns a table of the given routes.
func NewTable(routes []*Route) *Table {
	t := &Table{byHost: make(map[string][]*Route)}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortFunc(list, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.prefix()), len(a.prefix())), cmp.Compare(a.Name, b.Name))
		})
	}
	return t
}

// Match returns the route of the host with the longest prefix of path, nil for
// none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.prefix()) {
			return r
		}
	}
	return nil
}

// Hosts returns the hosts that have routes, sorted.
func (t *Table) Hosts() []string { return slices.Sorted(maps.Keys(t.byHost)) }

// WeightedService is a service's share of a route.
type WeightedService struct {
	Service string
	Weight  int // share of the sum of all weights
}

// Split divides the requests of a route among services by smooth weighted
// round-robin, so that the shares also hold over few requests.
type Split struct {
	services []WeightedService
	total    int

	mu      sync.Mutex
	credits []int // of each service
}

// NewSplit returns a split among services. At least one of them must have a
// weight above 0.
func NewSplit(services []WeightedService) *Split {
	s := &Split{services: services, credits: make([]int, len(services))}
	for _, svc := range services {
		s.total += svc.Weight
	}
	return s
}

// Includes reports whether a share of the requests goes to the service.
func (s *Split) Includes(service string) bool {
	return slices.ContainsFunc(s.services, func(w WeightedService) bool { return w.Service == service && w.Weight > 0 })
}

// Next returns the service of the next request.
func (s *Split) Next() string {
	if len(s.services) == 1 {
		return s.services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best := 0
	for i, svc := range s.services {
		s.credits[i] += svc.Weight
		if s.credits[i] > s.credits[best] {
			best = i
		}
	}
	s.credits[best] -= s.total
	return s.services[best].Service
}
