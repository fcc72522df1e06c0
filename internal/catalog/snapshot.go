package catalog

import (
	"fmt"
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
// configuration in force, nil before there is one.
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
	for name := range c.configuration.Services {
		s.Services[name] = &routing.Service{
			Name: name, Revision: c.configuration.Version, Served: true, Document: documentOf(name),
		}
	}
	for _, u := range c.sortedUpstreams() {
		svc := s.Services[u.Service]
		if svc == nil || u.Leaving {
			continue
		}
		svc.Upstreams = append(svc.Upstreams, routing.Upstream{
			Upstream: document.Upstream{
				ID: u.ID, Address: u.Address, Slots: u.Slots, Connections: c.configuration.Services[u.Service].Connections,
				Region: v.Regions[u.FailureDomain], FailureDomain: u.FailureDomain, State: document.UpstreamActive,
			},
			State: health.InService, Weight: 1, Cold: now.Before(u.coldUntil),
			MaxConnections: connections(c.configuration.Services[u.Service].Connections),
		})
	}
	return s
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
