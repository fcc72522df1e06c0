package health

import (
	"cmp"
	"slices"
	"time"
)

const (
	// routeSamples is the number of latest responses in a route's median. More
	// samples give a steadier median that follows a surge more slowly.
	routeSamples = 64
	// minRouteSamples and minRouteUpstreams are the minimums for a median.
	minRouteSamples   = 5
	minRouteUpstreams = 3
	// medianInterval is the number of responses between updates of the median. It
	// is updated with each of the first responses.
	medianInterval = 8
	// maxRoutes limits the routes of a service with a median. For further routes
	// only slow_after_ms applies.
	maxRoutes = 256
)

// routes holds the latency estimates of a service's routes.
type routes map[string]*route

// route estimates the median latency of a route over a sliding window of
// responses.
type route struct {
	samples [routeSamples]sample
	count   int // responses so far
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
	if known.count%medianInterval == 0 || known.count < 2*medianInterval {
		known.updateMedian()
	}
}

// updateMedian computes the median with equal weight for each upstream. An
// instance sends most of its requests to the few upstreams of its home slots, and
// one slow home upstream must not determine the median.
func (r *route) updateMedian() {
	samples := slices.Clone(r.samples[:min(r.count, routeSamples)])
	samplesPerUpstream := map[string]float64{}
	for _, s := range samples {
		samplesPerUpstream[s.upstream]++
	}
	if len(samples) < minRouteSamples || len(samplesPerUpstream) < minRouteUpstreams {
		r.median = 0
		return
	}
	slices.SortStableFunc(samples, func(a, b sample) int { return cmp.Compare(a.latency, b.latency) })
	remaining := float64(len(samplesPerUpstream)) / 2
	for _, s := range samples {
		remaining -= 1 / samplesPerUpstream[s.upstream]
		if remaining <= 1e-9 {
			r.median = s.latency
			return
		}
	}
}

// isSlow reports whether a complete response counts as slow.
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
