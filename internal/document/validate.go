package document

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"knapweedreel/internal/jsonc"
)

// Upper limits of fields. They keep a typo from overloading the fleet.
const (
	maxTimeMS      = jsonc.MaxTimeMS
	maxSlots       = 100_000
	maxRetries     = 10
	maxQueueLength = 100_000
	// maxPriority is the lowest priority of a route.
	maxPriority   = 100
	maxSlowFactor = 1_000
)

var (
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)
	methodPattern = regexp.MustCompile(`^(\*|[A-Z]+)$`)
)

// Validate returns the problems of a normalized document. They contain the path
// of the field, without file and line.
func (d *Document) Validate() []jsonc.Problem {
	var p jsonc.Problems
	p.CheckName("service", d.Service)
	d.validateHosts(&p)
	d.validateUpstreams(&p)
	d.Unhealthy.validate(&p)
	d.validateRoutes(&p)
	d.validateFloor(&p)
	jsonc.CheckRange(&p, "deadline_ms", d.DeadlineMS, 1, maxTimeMS)
	if d.Retries != nil {
		jsonc.CheckRange(&p, "retries", *d.Retries, 0, maxRetries)
	}
	jsonc.CheckRange(&p, "queue.length", d.Queue.Length, 1, maxQueueLength)
	jsonc.CheckRange(&p, "queue.timeout_ms", d.Queue.TimeoutMS, 1, maxTimeMS)
	jsonc.CheckRange(&p, "idle_timeout_ms", d.IdleTimeoutMS, 1, maxTimeMS)
	return p
}

func (d *Document) validateHosts(p *jsonc.Problems) {
	if len(d.Hosts) == 0 {
		p.Add("hosts", "is empty, at least one host is needed")
	}
	seen := map[string]string{}
	for i, host := range d.Hosts {
		field := fmt.Sprintf("hosts[%d]", i)
		if host != strings.ToLower(host) {
			p.Add(field, "%q must be lower case", host)
		} else if len(host) > jsonc.MaxNameBytes || !hostPattern.MatchString(host) {
			p.Add(field, "%q is not a host name without port", host)
		}
		checkUnique(p, seen, field, host)
	}
}

func (d *Document) validateUpstreams(p *jsonc.Problems) {
	if len(d.Upstreams) == 0 {
		p.Add("upstreams", "is empty, at least one upstream is needed")
	}
	ids, addresses := map[string]string{}, map[string]string{}
	for i := range d.Upstreams {
		u := &d.Upstreams[i]
		field := fmt.Sprintf("upstreams[%d]", i)
		u.validate(p, field)
		checkUnique(p, ids, field+".id", u.ID)
		checkUnique(p, addresses, field+".address", canonicalAddress(u.Address))
	}
}

func (u *Upstream) validate(p *jsonc.Problems, field string) {
	p.CheckName(field+".id", u.ID)
	p.CheckName(field+".region", u.Region)
	p.CheckName(field+".failure_domain", u.FailureDomain)
	p.CheckAddress(field+".address", u.Address)
	jsonc.CheckRange(p, field+".slots", u.Slots, 1, maxSlots)
	jsonc.CheckRange(p, field+".connections", u.Connections, 1, maxSlots)
	if u.State != UpstreamActive && u.State != UpstreamLeaving {
		p.Add(field+".state", "is %q, want %q or %q", u.State, UpstreamActive, UpstreamLeaving)
	}
}

func (u *Unhealthy) validate(p *jsonc.Problems) {
	for i, status := range u.Statuses {
		jsonc.CheckRange(p, fmt.Sprintf("unhealthy.statuses[%d]", i), status, 100, 599)
	}
	jsonc.CheckRange(p, "unhealthy.slow_after_ms", u.SlowAfterMS, 0, maxTimeMS)
	if u.SlowFactor != nil {
		jsonc.CheckRange(p, "unhealthy.slow_factor", *u.SlowFactor, 0, maxSlowFactor)
	}
	if u.Sensitivity != nil {
		jsonc.CheckRange(p, "unhealthy.sensitivity", *u.Sensitivity, 0, 1)
	}
	if u.ColdStartMS != nil {
		jsonc.CheckRange(p, "unhealthy.cold_start_ms", *u.ColdStartMS, 0, maxTimeMS)
	}
}

func (d *Document) validateRoutes(p *jsonc.Problems) {
	if len(d.Routes) == 0 {
		p.Add("routes", "is empty, at least one route is needed")
	}
	seen := map[string]string{}
	for i, r := range d.Routes {
		field := fmt.Sprintf("routes[%d]", i)
		if !methodPattern.MatchString(r.Method) {
			p.Add(field+".method", "is %q, want a method in capitals or \"*\"", r.Method)
		}
		if message := pathProblem(r.Path); message != "" {
			p.Add(field+".path", "%s", message)
		}
		checkUnique(p, seen, field, r.key())
		jsonc.CheckRange(p, field+".deadline_ms", r.DeadlineMS, 1, maxTimeMS)
		jsonc.CheckRange(p, field+".objective_ms", r.ObjectiveMS, 1, maxTimeMS)
		jsonc.CheckRange(p, field+".priority", r.Priority, 0, maxPriority)
		if r.Retries != nil {
			jsonc.CheckRange(p, field+".retries", *r.Retries, 0, maxRetries)
		}
		jsonc.CheckRange(p, field+".max_body_bytes", r.MaxBodyBytes, 1, 1<<40)
	}
}

func (d *Document) validateFloor(p *jsonc.Problems) {
	total := 0
	for _, u := range d.Upstreams {
		if u.State == UpstreamActive {
			total += u.Slots
		}
	}
	if d.FloorSlots < 0 || d.FloorSlots > total {
		p.Add("floor_slots", "is %d, want 0 to %d, the slots of all active upstreams", d.FloorSlots, total)
	}
}

// canonicalAddress converts the spellings of an address to one form.
func canonicalAddress(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()).String()
}

func pathProblem(path string) string {
	trimmed := strings.TrimSuffix(path, "*")
	switch {
	case !strings.HasPrefix(path, "/"):
		return fmt.Sprintf("is %q, must begin with \"/\"", path)
	case strings.ContainsAny(trimmed, "*?# "):
		return fmt.Sprintf("is %q, want an exact path, or a prefix that ends with \"*\"", path)
	}
	return ""
}

// checkUnique adds a problem if key was seen before. Empty keys are skipped:
// other checks report them as missing.
func checkUnique(p *jsonc.Problems, seen map[string]string, field, key string) {
	if key == "" {
		return
	}
	if other, ok := seen[key]; ok {
		p.Add(field, "%q is the same as in %s", key, other)
		return
	}
	seen[key] = field
}
