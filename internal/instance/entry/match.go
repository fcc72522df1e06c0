package entry

import (
	"net"
	"net/http"
	"strings"

	"knapweedreel/internal/document"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/routing"
)

// matched is the result of matching a request.
type matched struct {
	service *routing.Service
	route   *document.Route
	public  bool // the request needs no key of a client account
}

// match returns the service and the route of a request. A routing table takes
// precedence over the hosts of single documents.
func match(snap *routing.Snapshot, r *http.Request) (matched, error) {
	if snap.Table != nil {
		return matchTable(snap, r)
	}
	svc, err := matchService(snap, r.Host)
	if err != nil {
		return matched{}, err
	}
	route, err := matchRoute(svc.Document, r)
	return matched{service: svc, route: route}, err
}

// matchTable returns the route of the host with the longest matching prefix, and
// one of the services among which its traffic is split.
func matchTable(snap *routing.Snapshot, r *http.Request) (matched, error) {
	route := snap.Table.Match(normalizeHost(r.Host), r.URL.Path)
	if route == nil {
		if !snap.Ready {
			return matched{}, errkind.New(errkind.NoDocument, "this instance has received no configuration yet")
		}
		return matched{}, errkind.New(errkind.UnknownRoute, "no route for host %q and path %s", r.Host, r.URL.Path)
	}
	name := route.Split.Next()
	svc := snap.Services[name]
	if svc == nil {
		return matched{}, errkind.New(errkind.NoDocument, "route %s refers to the unknown service %s", route.Rule.Path, name)
	}
	return matched{svc, &route.Rule, route.Public}, nil
}

// leadsTo reports whether match may return the service for the request.
func leadsTo(snap *routing.Snapshot, r *http.Request, service string) bool {
	if snap.Services[service] == nil {
		return false
	}
	if snap.Table != nil {
		route := snap.Table.Match(normalizeHost(r.Host), r.URL.Path)
		return route != nil && route.Split.Includes(service)
	}
	svc := snap.Hosts[normalizeHost(r.Host)]
	return svc != nil && svc.Name == service
}

// matchService returns the service of a Host header.
func matchService(snap *routing.Snapshot, host string) (*routing.Service, error) {
	svc := snap.Hosts[normalizeHost(host)]
	if svc == nil {
		if !snap.Ready {
			return nil, errkind.New(errkind.NoDocument, "this instance has received no document yet")
		}
		return nil, errkind.New(errkind.UnknownService, "no service has the host %q", host)
	}
	if svc.Document == nil {
		return nil, errkind.New(errkind.NoDocument, "this instance has no document of service %s", svc.Name)
	}
	if !svc.InShard {
		return nil, errkind.New(errkind.Misdirected, "service %s is served by other instances", svc.Name)
	}
	return svc, nil
}

// normalizeHost returns a Host header in lower case, without port and trailing
// dot.
func normalizeHost(host string) string {
	if strings.Contains(host, ":") {
		if h, _, err := net.SplitHostPort(host); err == nil {
			host = h
		}
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// matchRoute returns the first route that matches the request.
func matchRoute(doc *document.Document, r *http.Request) (*document.Route, error) {
	for i := range doc.Routes {
		rt := &doc.Routes[i]
		if (rt.Method == "*" || rt.Method == r.Method) && matchPath(rt.Path, r.URL.Path) {
			return rt, nil
		}
	}
	return nil, errkind.New(errkind.UnknownRoute, "service %s has no route for %s %s", doc.Service, r.Method, r.URL.Path)
}

func matchPath(pattern, path string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return pattern == path
}
