package decisions

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"knapweedreel/internal/health"
)

// Parameters of generated requests, without faults.
const (
	baseFailureShare = 0.001
	outlierShare     = 0.005 // share of responses that take 5 times as long
	latencySigma     = 0.4   // sigma of the log-normal latency distribution
	homeShare        = 0.7   // share of an upstream's requests that its home instances send
	regionLatency    = 8 * time.Millisecond
	peerLostAfter    = 3 * time.Second
)

// traceStart is the start time of all generated traces.
var traceStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type generator struct {
	shape        Shape
	period       TrafficPeriod
	rng          *rand.Rand
	effects      []effect
	addsUpstream bool   // an upstream is added to the first service at faultFrom
	partitioned  string // region that is disconnected, empty for none
	callers      []uint64
	faults       []*FaultPeriod
	streams      [][]Record
}

// Generate returns a random trace. The same arguments result in the same trace.
func Generate(shape Shape, fault Fault, period TrafficPeriod, seed uint64) *Trace {
	g := &generator{
		shape: shape, period: period,
		rng:     rand.New(rand.NewPCG(seed, 0x6b6e6170)),
		streams: make([][]Record, instances),
	}
	for range callerCount {
		g.callers = append(g.callers, g.rng.Uint64())
	}
	fault.build(g)
	g.emitDocuments()
	for s, service := range shape.Services {
		for u := range service.Upstreams {
			g.generateRequests(s, u, 0)
		}
	}
	if g.addsUpstream {
		g.generateRequests(0, shape.Services[0].Upstreams, faultFrom)
	}
	t := &Trace{Start: traceStart, End: traceStart.Add(traceEnd), Faults: g.faults}
	for i := range instances {
		t.Instances = append(t.Instances, Instance{Name: instanceName(i), Region: shape.regionOf(i % failureDomains)})
	}
	if g.partitioned != "" {
		t.Partitions = []Partition{{g.partitioned, traceStart.Add(faultFrom), traceStart.Add(faultTo)}}
		g.emitPeerLosses()
	}
	for i := range g.streams {
		slices.SortStableFunc(g.streams[i], func(a, b Record) int { return a.Time.Compare(b.Time) })
	}
	t.Streams = g.streams
	return t
}

func instanceName(i int) string { return fmt.Sprintf("i%02d", i) }

func (g *generator) pickUpstream() (service, upstream int) {
	service = g.rng.IntN(len(g.shape.Services))
	return service, g.rng.IntN(g.shape.Services[service].Upstreams)
}

// addFault makes a random upstream faulty, other than those that already are.
func (g *generator) addFault(target DetectionTarget, apply effect) {
	service, upstream := g.pickUpstream()
	for slices.ContainsFunc(g.faults, func(fault *FaultPeriod) bool { return fault.Upstream == g.key(service, upstream) }) {
		service, upstream = g.pickUpstream()
	}
	fault := &FaultPeriod{Upstream: g.key(service, upstream), To: traceStart.Add(faultTo), Target: target}
	g.faults = append(g.faults, fault)
	g.effects = append(g.effects, func(a *attempt, rng *rand.Rand) {
		if a.service != service || a.upstream != upstream {
			return
		}
		before := *a
		apply(a, rng)
		if fault.From.IsZero() && *a != before {
			fault.From = traceStart.Add(a.at + a.latency)
		}
	})
}

func (g *generator) key(service, upstream int) health.Key {
	return health.Key{Service: g.shape.Services[service].Name, Upstream: fmt.Sprintf("u%02d", upstream)}
}

func (g *generator) emit(instance int, at time.Duration, ev health.Event) {
	g.streams[instance] = append(g.streams[instance], Record{traceStart.Add(at), ev})
}

func (g *generator) emitDocuments() {
	for s, service := range g.shape.Services {
		first := health.Event{Document: &health.DocumentChanged{Service: service.Name, Revision: 1, Document: g.shape.document(service, service.Upstreams)}}
		second := health.Event{Document: &health.DocumentChanged{Service: service.Name, Revision: 2, Document: g.shape.document(service, service.Upstreams+1)}}
		for i := range instances {
			g.emit(i, 0, first)
			if g.addsUpstream && s == 0 {
				g.emit(i, faultFrom, second)
			}
		}
	}
}

// emitPeerLosses reports the instances on each side of the partition as lost to
// those on the other side.
func (g *generator) emitPeerLosses() {
	for i := range instances {
		for j := range instances {
			if (g.shape.regionOf(i%failureDomains) == g.partitioned) != (g.shape.regionOf(j%failureDomains) == g.partitioned) {
				g.emit(i, faultFrom+peerLostAfter, health.Event{PeerLost: &health.PeerLost{Reporter: instanceName(j)}})
			}
		}
	}
}

// generateRequests generates the requests to one upstream. Arrivals follow a
// Poisson process; requests that find no free slot are left out, as they would
// go to other upstreams.
func (g *generator) generateRequests(s, u int, from time.Duration) {
	rng := rand.New(rand.NewPCG(g.rng.Uint64(), g.rng.Uint64()))
	service := g.shape.Services[s]
	homes := make([]int, g.shape.Slots)
	for i := range homes {
		homes[i] = rng.IntN(instances)
	}
	mean := 0.0 // mean time that a request takes, in seconds
	for _, r := range service.Routes {
		mean += r.Share * r.Median.Seconds() * math.Exp(latencySigma*latencySigma/2)
	}
	rate := normalUtilization * float64(g.shape.Slots) / mean
	free := make([]time.Duration, g.shape.Slots) // time at which each slot becomes free
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
		a := g.drawAttempt(rng, s, u, at, homes)
		free[slot] = at + a.latency
		g.emitOutcome(a)
	}
}

func (g *generator) drawAttempt(rng *rand.Rand, s, u int, at time.Duration, homes []int) attempt {
	a := attempt{at: at, service: s, upstream: u, class: health.OK}
	if rng.Float64() < homeShare {
		a.instance = homes[rng.IntN(len(homes))]
	} else {
		a.instance = rng.IntN(instances)
	}
	a.caller = g.callers[callerIndex(rng, a.instance)]
	a.route = pickRoute(rng, g.shape.Services[s].Routes)
	spread := math.Exp(latencySigma * rng.NormFloat64())
	a.latency = time.Duration(float64(g.shape.Services[s].Routes[a.route].Median) * spread)
	if g.shape.regionOf(u%failureDomains) != g.shape.regionOf(a.instance%failureDomains) {
		a.latency += regionLatency
	}
	switch draw := rng.Float64(); {
	case draw < baseFailureShare:
		a.fail("500", a.latency)
	case draw < baseFailureShare+outlierShare:
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

// callerIndex chooses a random caller. The first sends a quarter of the requests,
// through all instances. The others use three instances each, as callers cache
// addresses.
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

func (g *generator) emitOutcome(a attempt) {
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
