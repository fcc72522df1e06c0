package health

import (
	"cmp"
	"slices"
	"time"
)

const (
	// routeSamples is the number of latest answers that a route's median rests
	// on. More samples give a steadier median that follows a surge later.
	routeSamples = 64
	// minRouteSamples and minRouteUpstreams are needed for a median.
	minRouteSamples   = 5
	minRouteUpstreams = 3
	// medianEvery is the number of answers after which the median is computed
	// anew, once there are some.
	medianEvery = 8
	// maxRoutes bounds the routes of a service with a median. Answers of
	// further routes are slow only by slow_after_ms.
	maxRoutes = 256
)

// routes holds the latency estimates of a service's routes.
type routes map[string]*route

// route estimates the median time of a route over a sliding window of answers.
type route struct {
	samples [routeSamples]sample
	count   int // answers so far
	median  time.Duration
}

type sample struct {
	upstream string
	latency  time.Duration
}

func (r routes) add(name, upstream string, latency time.Duration) {
	known := r[name]
	if known == nil {
		if len(r) >= maxRoutes {
			return
		}
		known = &route{}
		r[name] = known
	}
	known.samples[known.count%routeSamples] = sample{upstream, latency}
	known.count++
	if known.count%medianEvery == 0 || known.count < 2*medianEvery {
		known.update()
	}
}

// update computes the median with the same weight for each upstream. An
// instance sends most of its work to the few upstreams of its home slots; one
// slow home upstream must not set the median.
func (r *route) update() {
	samples := slices.Clone(r.samples[:min(r.count, routeSamples)])
	share := map[string]float64{}
	for _, s := range samples {
		share[s.upstream]++
	}
	if len(samples) < minRouteSamples || len(share) < minRouteUpstreams {
		r.median = 0
		return
	}
	slices.SortStableFunc(samples, func(a, b sample) int { return cmp.Compare(a.latency, b.latency) })
	left := float64(len(share)) / 2
	for _, s := range samples {
		left -= 1 / share[s.upstream]
		if left <= 1e-9 {
			r.median = s.latency
			return
		}
	}
}

// isSlow reports whether a complete answer counts as slow.
func (s *service) isSlow(o Outcome) bool {
	if s.limits.slowAfter > 0 && o.Latency >= s.limits.slowAfter {
		return true
	}
	r := s.routes[o.Route]
	if r == nil || r.median == 0 || s.limits.slowFactor < 1 {
		return false
	}
	return float64(o.Latency) > s.limits.slowFactor*float64(r.median)
}
