package configcheck

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"strings"

	"knapweedreel/internal/catalog"
)

// prefixOf returns the path prefix that selects a route.
func prefixOf(r *catalog.Route) string { return strings.TrimSuffix(r.Rule.Path, "*") }

// attemptsOf returns the maximum number of attempts of a route's requests.
func attemptsOf(r *catalog.Route) int {
	if r.Rule.Retries == nil {
		return 1
	}
	return 1 + *r.Rule.Retries
}

func (l *linter) checkRoutes() {
	for i := range l.configuration.Routes {
		r := &l.configuration.Routes[i]
		l.checkHost(r)
		l.checkPrefix(r)
		l.checkSplit(r)
		l.checkTimes(r)
	}
	l.checkShadowed()
}

// checkHost finds hosts that no normalized Host header equals: those with a port
// or a trailing dot.
func (l *linter) checkHost(r *catalog.Route) {
	place := Place{Routes, r.Name, Host}
	_, _, err := net.SplitHostPort(r.Host)
	switch {
	case r.Host == "":
		l.add(Error, UnmatchableHost, place, "the host is missing, so no request matches")
	case strings.HasSuffix(r.Host, ".") || strings.Contains(r.Host, ":") && err == nil:
		l.add(Error, UnmatchableHost, place, "no request matches the host %q: it is compared without port and trailing dot", r.Host)
	case strings.ContainsAny(r.Host, " \t/*"):
		l.add(Error, UnmatchableHost, place, "no request matches %q, which is not the name of one host", r.Host)
	}
}

func (l *linter) checkPrefix(r *catalog.Route) {
	place, prefix := Place{Routes, r.Name, Prefix}, prefixOf(r)
	switch {
	case prefix == "":
		l.add(Warning, OpenPrefix, place, `the prefix is missing, so that every path matches; "/" says so`)
	case prefix[0] != '/':
		l.add(Error, UnmatchablePrefix, place, "no path starts with %q, because the first character of a path is a slash", prefix)
	case strings.Contains(prefix, "?"), strings.Contains(prefix, "#"):
		l.add(Error, UnmatchablePrefix, place, "no request matches %q: a path ends before its query and fragment", prefix)
	case strings.Contains(prefix, "*"):
		l.add(Warning, UnmatchablePrefix, place, "the asterisk in %q matches only itself", prefix)
	case !strings.HasSuffix(prefix, "/"):
		l.add(Warning, OpenPrefix, place, "%q has no slash at its end, so %q matches, too", prefix, prefix+"x")
	}
}

// checkSplit finds parts of the traffic that reach no service.
func (l *linter) checkSplit(r *catalog.Route) {
	place := Place{Routes, r.Name, Split}
	if len(r.Split) == 1 {
		place.Field = Service
	}
	seen := make(map[string]bool, len(r.Split))
	for _, part := range r.Split {
		if _, ok := l.configuration.Services[part.Service]; !ok {
			// Parts without weight get no requests, so the missing service does no harm.
			severity := Error
			if part.Weight == 0 {
				severity = Warning
			}
			l.add(severity, UndefinedService, place, "service %q has no definition, so that its requests fail", part.Service)
		}
		switch {
		case part.Weight < 0:
			l.add(Error, Negative, place, "the weight of service %q is %d", part.Service, part.Weight)
		case part.Weight == 0:
			l.add(Warning, NoWeight, place, "service %q has weight 0 and gets no requests", part.Service)
		}
		if seen[part.Service] {
			l.add(Warning, RepeatedPart, place, "service %q occurs twice; its weights add up", part.Service)
		}
		seen[part.Service] = true
	}
}

func (l *linter) checkTimes(r *catalog.Route) {
	deadline, objective := r.Rule.DeadlineMS, r.Rule.ObjectiveMS
	switch {
	case deadline <= 0:
		l.add(Warning, NoDeadline, Place{Routes, r.Name, Deadline}, "the timeout is below 1 ms, so that the default of the instances applies")
	case objective > deadline:
		l.add(Warning, LateObjective, Place{Routes, r.Name, Objective},
			"the objective of %s is over the timeout of %s and never takes effect", milliseconds(objective), milliseconds(deadline))
	}
	if r.Rule.Priority < 0 {
		l.add(Warning, Negative, Place{Routes, r.Name, Priority}, "the priority is %d; 0 is the highest", r.Rule.Priority)
	}
	retries := attemptsOf(r) - 1
	if reserve := l.bounds.RetryReserve; reserve > 0 && retries > reserve {
		l.add(Warning, ManyAttempts, Place{Routes, r.Name, Attempts},
			"%d attempts need %d retries; the retry budget of the whole fleet holds %d at once", retries+1, retries, reserve)
	}
}

// checkShadowed finds routes whose requests another route gets: the route with the
// longest prefix does, and the first name of those with equal prefixes.
func (l *linter) checkShadowed() {
	type selector struct{ host, prefix string }
	first := make(map[selector]*catalog.Route, len(l.configuration.Routes))
	for _, r := range l.routesByName() {
		s := selector{r.Host, prefixOf(r)}
		if other, ok := first[s]; ok {
			l.add(Error, Shadowed, Place{Routes, r.Name, Prefix},
				"route %q has the same host and prefix and gets all requests", other.Name)
			continue
		}
		first[s] = r
	}
	for s, r := range first {
		// All paths start with a slash, so the longer prefix "/" takes everything
		// from an empty one.
		if root := first[selector{s.host, "/"}]; s.prefix == "" && root != nil {
			l.add(Error, Shadowed, Place{Routes, r.Name, Prefix},
				`route %q has the same host and the prefix "/", which is longer, and gets all requests`, root.Name)
		}
	}
}

func (l *linter) routesByName() []*catalog.Route {
	routes := make([]*catalog.Route, len(l.configuration.Routes))
	for i := range routes {
		routes[i] = &l.configuration.Routes[i]
	}
	slices.SortFunc(routes, func(a, b *catalog.Route) int { return cmp.Compare(a.Name, b.Name) })
	return routes
}

func (l *linter) checkServices() {
	type use struct {
		routes   int
		priority int // of the first route
		differs  bool
	}
	uses := make(map[string]*use)
	reached := make(map[string]bool)
	for _, r := range l.routesByName() {
		seen := make(map[string]bool, len(r.Split))
		for _, part := range r.Split {
			if seen[part.Service] {
				continue
			}
			seen[part.Service] = true
			reached[part.Service] = reached[part.Service] || part.Weight > 0
			u := uses[part.Service]
			if u == nil {
				u = &use{priority: r.Rule.Priority}
				uses[part.Service] = u
			}
			u.routes++
			u.differs = u.differs || u.priority != r.Rule.Priority
		}
	}
	for _, name := range slices.Sorted(maps.Keys(l.configuration.Services)) {
		switch u := uses[name]; {
		case u == nil:
			l.add(Warning, UnusedService, Place{Services, name, ""}, "no route leads to the service")
		case !reached[name]:
			l.add(Warning, UnusedService, Place{Services, name, ""}, "only parts with weight 0 lead to the service")
		case u.priority > 0 && !u.differs:
			l.add(Note, PriorityUnused, Place{Services, name, ""},
				"all routes to the service (%d) have priority %d, which orders their requests no differently than 0", u.routes, u.priority)
		}
		if n := l.configuration.Services[name].Connections; n < 0 {
			l.add(Warning, Negative, Place{Services, name, Connections}, "the number of connections is %d, so that each instance opens one", n)
		}
	}
}
