package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
	"knapweedreel/internal/member"
	"knapweedreel/internal/routing"
)

// SnapshotInput holds the data of this instance that a snapshot needs in addition
// to the catalog.
type SnapshotInput struct {
	Self    member.Info
	Regions map[string]string // failure domain → region
}

// upstreamIdleTimeout is the time after which idle connections to upstreams are
// no longer used. It is below the idle timeouts of common HTTP servers, which are
// 5 s or more.
const upstreamIdleTimeout = 4 * time.Second

// Table returns a new table of the configuration's routes. It should be called
// only once for each version, because splits keep the state of their round-robin.
func (c *Configuration) Table() *routing.Table {
	routes := make([]*routing.Route, 0, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		routes = append(routes, &routing.Route{Name: r.Name, Host: r.Host, Rule: r.Rule, Split: routing.NewSplit(r.Split), Public: r.Public})
	}
	return routing.NewTable(routes)
}

// Snapshot returns a routing snapshot. The table must be that of the
// configuration in effect, nil if there is none, and the regions must be the same
// in all calls. Services without a changed upstream share their upstreams with
// the previous snapshot: at the size expected in two years, one service in
// hundreds changes at a time.
func (c *Catalog) Snapshot(in SnapshotInput, table *routing.Table, now time.Time) *routing.Snapshot {
	s := &routing.Snapshot{
		Built: now, Self: in.Self, Ready: c.Ready(), Shards: 1, Table: table,
		Services: make(map[string]*routing.Service),
	}
	if table == nil {
		s.Table = routing.NewTable(nil)
		return s
	}
	s.CallerIdle = c.configuration.Limits.IdleTimeout
	s.CallerHeaderBytes, s.CallerHeaderTimeout = c.configuration.Limits.HeaderBytes, c.configuration.Limits.HeaderTimeout
	s.Accounts = c.configuration.Accounts
	c.refreshServices(in)
	sharing := c.configuration.loadSharing()
	for name := range c.configuration.Services {
		s.Services[name] = &routing.Service{
			Name: name, Revision: c.configuration.Version, InShard: true, Document: documentOf(name), Upstreams: c.services[name], ShareLoads: sharing(name),
		}
	}
	return s
}

// SharesLoads reports whether the regions compare the loads of any service.
func (c *Configuration) SharesLoads() bool {
	return c.Accounts != nil || slices.ContainsFunc(c.Routes, func(r Route) bool { return r.Rule.LargeResponses })
}

// loadSharing returns a function that reports whether the regions compare the loads
// of a service: if accounts compete for its upstreams, or its responses are large.
func (c *Configuration) loadSharing() func(service string) bool {
	large := make(map[string]bool)
	for i := range c.Routes {
		if r := &c.Routes[i]; r.Rule.LargeResponses {
			for _, s := range r.Split {
				large[s.Service] = true
			}
		}
	}
	return func(service string) bool { return c.Accounts != nil || large[service] }
}

// refreshServices computes the upstreams of the services that have changed.
func (c *Catalog) refreshServices(in SnapshotInput) {
	changed := make(map[string][]routing.Upstream)
	for name := range c.configuration.Services {
		if _, ok := c.services[name]; !ok {
			changed[name] = nil
		}
	}
	if len(changed) == 0 {
		return
	}
	for _, u := range c.upstreams {
		if all, ok := changed[u.Service]; ok && !u.Leaving {
			changed[u.Service] = append(all, c.routingUpstream(u, in))
		}
	}
	for name, all := range changed {
		slices.SortFunc(all, func(a, b routing.Upstream) int { return cmp.Compare(a.ID, b.ID) })
		c.services[name] = all
	}
}

// routingUpstream returns an upstream for a snapshot.
func (c *Catalog) routingUpstream(u *upstreamEntry, in SnapshotInput) routing.Upstream {
	limit := c.configuration.Services[u.Service].Connections
	return routing.Upstream{
		Upstream: document.Upstream{
			ID: u.ID, Address: u.Address, Slots: u.Slots, Connections: limit,
			Region: in.Regions[u.FailureDomain], FailureDomain: u.FailureDomain, State: document.UpstreamActive,
		},
		State: health.InService, Weight: 1, Cold: !u.coldUntil.IsZero(), MaxConnections: maxConnections(limit),
		Incarnation: u.Incarnation,
	}
}

// connectionDivisor divides the connection limit of an upstream to get that of
// one instance. Few instances serve the callers of a region at a time.
const connectionDivisor = 4

// defaultConnections is the connection limit for services that set none.
const defaultConnections = 256

func maxConnections(limit int) int {
	if limit == 0 {
		limit = defaultConnections
	}
	return max(1, limit/connectionDivisor)
}

// documentOf returns the document of a service of the configuration. Its routes
// are in the routing table.
func documentOf(name string) *document.Document {
	return &document.Document{Service: name, IdleTimeoutMS: int(upstreamIdleTimeout / time.Millisecond)}
}

func eras(old, updated Era) string { return fmt.Sprintf("%d -> %d", old, updated) }

func versions(old, updated uint64) string { return fmt.Sprintf("%d -> %d", old, updated) }
