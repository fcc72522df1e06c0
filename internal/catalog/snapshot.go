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

// View is what an instance needs to turn the catalog into a snapshot.
type View struct {
	Self    member.Info
	Regions map[string]string // failure domain → region
}

// upstreamIdle is the time after which idle connections to upstreams are not
// used. It is below the idle timeouts of usual HTTP servers, 5 s and more.
const upstreamIdle = 4 * time.Second

// Table returns the routes of a configuration. It is built once for each
// version, because splits carry their turns.
func (c *Configuration) Table() *routing.Table {
	routes := make([]*routing.Route, 0, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		routes = append(routes, &routing.Route{Name: r.Name, Host: r.Host, Rule: r.Rule, Split: routing.NewSplit(r.Parts)})
	}
	return routing.NewTable(routes)
}

// Snapshot returns what traffic needs. The table must be that of the
// configuration in force, nil before there is one, and the regions always the same.
// Services of which no upstream has changed share their upstreams with the
// snapshot before: at the size of two years one service in hundreds changes at a
// time.
func (c *Catalog) Snapshot(v View, table *routing.Table, now time.Time) *routing.Snapshot {
	s := &routing.Snapshot{
		Built: now, Self: v.Self, Ready: c.Ready(), Shards: 1, Table: table,
		Services: make(map[string]*routing.Service),
	}
	if table == nil {
		s.Table = routing.NewTable(nil)
		return s
	}
	s.CallerIdle = c.configuration.Limits.IdleTimeout
	c.refresh(v)
	for name := range c.configuration.Services {
		s.Services[name] = &routing.Service{
			Name: name, Revision: c.configuration.Version, Served: true, Document: documentOf(name), Upstreams: c.services[name],
		}
	}
	return s
}

// refresh works out the upstreams of the services that have changed.
func (c *Catalog) refresh(v View) {
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
			changed[u.Service] = append(all, c.routed(u, v))
		}
	}
	for name, all := range changed {
		slices.SortFunc(all, func(a, b routing.Upstream) int { return cmp.Compare(a.ID, b.ID) })
		c.services[name] = all
	}
}

// routed returns an upstream as traffic sees it.
func (c *Catalog) routed(u *upstreamEntry, v View) routing.Upstream {
	limit := c.configuration.Services[u.Service].Connections
	return routing.Upstream{
		Upstream: document.Upstream{
			ID: u.ID, Address: u.Address, Slots: u.Slots, Connections: limit,
			Region: v.Regions[u.FailureDomain], FailureDomain: u.FailureDomain, State: document.UpstreamActive,
		},
		State: health.InService, Weight: 1, Cold: !u.coldUntil.IsZero(), MaxConnections: connections(limit),
	}
}

// connectionShare is the share of an upstream's connections that one instance
// uses at most. Few instances serve the callers of a region at a time.
const connectionShare = 4

// defaultConnections stands for a service without a limit.
const defaultConnections = 256

func connections(limit int) int {
	if limit == 0 {
		limit = defaultConnections
	}
	return max(1, limit/connectionShare)
}

// documentOf returns the document that stands for a service of the
// configuration. Its routes are in the routing table.
func documentOf(name string) *document.Document {
	return &document.Document{Service: name, IdleTimeoutMS: int(upstreamIdle / time.Millisecond)}
}

func versions(old, updated uint64) string { return fmt.Sprintf("%d -> %d", old, updated) }
