package decisions

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"knapweedreel/internal/health"
)

// Noise of healthy upstreams.
const (
	baseFailures  = 0.001
	baseOutliers  = 0.005 // answers that take 5 times as long
	latencySpread = 0.4   // sigma of the lognormal latency
	homeShare     = 0.7   // of an upstream's work comes from its home instances
	regionLatency = 8 * time.Millisecond
	peerLostAfter = 3 * time.Second
)

// epoch is the start of every generated trace.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type generator struct {
	shape   Shape
	period  Period
	rng     *rand.Rand
	effects []effect
	added   bool   // an upstream is added to the first service
	cut     string // region without contact
	callers []uint64
	faults  []*Window
	streams [][]Record
}

// Generate draws a trace. The same arguments give the same trace.
func Generate(shape Shape, fault Fault, period Period, seed uint64) *Trace {
	g := &generator{
		shape: shape, period: period,
		rng:     rand.New(rand.NewPCG(seed, 0x6b6e6170)),
		streams: make([][]Record, instances),
	}
	for range callerCount {
		g.callers = append(g.callers, g.rng.Uint64())
	}
	fault.build(g)
	g.documents()
	for s, service := range shape.Services {
		for u := range service.Upstreams {
			g.upstream(s, u, 0)
		}
	}
	if g.added {
		g.upstream(0, shape.Services[0].Upstreams, faultFrom)
	}
	t := &Trace{Start: epoch, End: epoch.Add(traceEnd), Faults: g.faults}
	for i := range instances {
		t.Instances = append(t.Instances, Instance{Name: instanceName(i), Region: shape.regionOf(i % failureDomains)})
	}
	if g.cut != "" {
		t.Cuts = []Cut{{g.cut, epoch.Add(faultFrom), epoch.Add(faultTo)}}
		g.losePeers()
	}
	for i := range g.streams {
		slices.SortStableFunc(g.streams[i], func(a, b Record) int { return a.Time.Compare(b.Time) })
	}
	t.Streams = g.streams
	return t
}

func instanceName(i int) string { return fmt.Sprintf("i%02d", i) }

func (g *generator) pick() (service, upstream int) {
	service = g.rng.IntN(len(g.shape.Services))
	return service, g.rng.IntN(g.shape.Services[service].Upstreams)
}

// faulty gives an effect to an upstream that has none yet.
func (g *generator) faulty(target Target, f effect) {
	service, upstream := g.pick()
	for slices.ContainsFunc(g.faults, func(w *Window) bool { return w.Upstream == g.key(service, upstream) }) {
		service, upstream = g.pick()
	}
	w := &Window{Upstream: g.key(service, upstream), To: epoch.Add(faultTo), Target: target}
	g.faults = append(g.faults, w)
	g.effects = append(g.effects, func(a *attempt, rng *rand.Rand) {
		if a.service != service || a.upstream != upstream {
			return
		}
		before := *a
		f(a, rng)
		if w.From.IsZero() && *a != before {
			w.From = epoch.Add(a.at + a.latency)
		}
	})
}

func (g *generator) key(service, upstream int) health.Key {
	return health.Key{Service: g.shape.Services[service].Name, Upstream: fmt.Sprintf("u%02d", upstream)}
}

func (g *generator) emit(instance int, at time.Duration, ev health.Event) {
	g.streams[instance] = append(g.streams[instance], Record{epoch.Add(at), ev})
}

func (g *generator) documents() {
	for s, service := range g.shape.Services {
		first := health.Event{Document: &health.DocumentChanged{Service: service.Name, Revision: 1, Document: g.shape.document(service, service.Upstreams)}}
		second := health.Event{Document: &health.DocumentChanged{Service: service.Name, Revision: 2, Document: g.shape.document(service, service.Upstreams+1)}}
		for i := range instances {
			g.emit(i, 0, first)
			if g.added && s == 0 {
				g.emit(i, faultFrom, second)
			}
		}
	}
}

// losePeers lets each side of a cut notice the loss of the other.
func (g *generator) losePeers() {
	for i := range instances {
		for j := range instances {
			if (g.shape.regionOf(i%failureDomains) == g.cut) != (g.shape.regionOf(j%failureDomains) == g.cut) {
				g.emit(i, faultFrom+peerLostAfter, health.Event{PeerLost: &health.PeerLost{Reporter: instanceName(j)}})
			}
		}
	}
}

// upstream draws the work of one upstream: Poisson arrivals, of which those that
// find all slots in use go elsewhere.
func (g *generator) upstream(s, u int, from time.Duration) {
	rng := rand.New(rand.NewPCG(g.rng.Uint64(), g.rng.Uint64()))
	service := g.shape.Services[s]
	homes := make([]int, g.shape.Slots)
	for i := range homes {
		homes[i] = rng.IntN(instances)
	}
	mean := 0.0 // seconds of work for one request
	for _, r := range service.Routes {
		mean += r.Share * r.Median.Seconds() * math.Exp(latencySpread*latencySpread/2)
	}
	rate := normalUse * float64(g.shape.Slots) / mean
	free := make([]time.Duration, g.shape.Slots) // when each slot is free again
	for at := from; ; {
		traffic := 1.0
		if at >= periodFrom {
			traffic = g.period.Traffic
		}
		at += time.Duration(rng.ExpFloat64() / (rate * traffic) * float64(time.Second))
		if at >= traceEnd {
			return
		}
		slot := slices.Index(free, slices.Min(free))
		if free[slot] > at {
			continue
		}
		a := g.attempt(rng, s, u, at, homes)
		free[slot] = at + a.latency
		g.record(a)
	}
}

func (g *generator) attempt(rng *rand.Rand, s, u int, at time.Duration, homes []int) attempt {
	a := attempt{at: at, service: s, upstream: u, class: health.OK}
	if rng.Float64() < homeShare {
		a.instance = homes[rng.IntN(len(homes))]
	} else {
		a.instance = rng.IntN(instances)
	}
	a.caller = g.callers[callerIndex(rng, a.instance)]
	a.route = pickRoute(rng, g.shape.Services[s].Routes)
	spread := math.Exp(latencySpread * rng.NormFloat64())
	a.latency = time.Duration(float64(g.shape.Services[s].Routes[a.route].Median) * spread)
	if g.shape.regionOf(u%failureDomains) != g.shape.regionOf(a.instance%failureDomains) {
		a.latency += regionLatency
	}
	switch draw := rng.Float64(); {
	case draw < baseFailures:
		a.fail("500", a.latency)
	case draw < baseFailures+baseOutliers:
		a.latency *= 5
	}
	if at >= faultFrom && at < faultTo {
		for _, f := range g.effects {
			f(&a, rng)
		}
	}
	if limit := g.shape.Services[s].Deadline; a.latency > limit {
		a.fail("deadline-exceeded", limit)
	}
	return a
}

// callerIndex draws a caller. The first is large and uses every instance; the
// others use three instances each, as callers cache addresses.
func callerIndex(rng *rand.Rand, instance int) int {
	if rng.Float64() < 0.25 {
		return 0
	}
	return 1 + (instance+[]int{0, 5, 11}[rng.IntN(3)])%(callerCount-1)
}

func pickRoute(rng *rand.Rand, routes []Route) int {
	draw := rng.Float64()
	for i, r := range routes {
		if draw -= r.Share; draw < 0 {
			return i
		}
	}
	return len(routes) - 1
}

func (g *generator) record(a attempt) {
	end := a.at + a.latency
	if end >= traceEnd {
		return
	}
	g.emit(a.instance, end, health.Event{Outcome: &health.Outcome{
		Upstream: g.key(a.service, a.upstream),
		Route:    g.shape.Services[a.service].Routes[a.route].Path,
		Caller:   a.caller, Class: a.class, Latency: a.latency, Reason: a.reason,
	}})
}
