package decisions

import (
	"math/rand/v2"
	"time"

	"knapweedreel/internal/health"
)

// Times in a generated trace, from its start.
const (
	faultFrom = 14 * time.Second
	faultTo   = 34 * time.Second
	traceEnd  = 44 * time.Second
	// periodFrom is when quiet hours or a surge begin, after normal traffic.
	// With quiet hours from the start, the engines would see too few requests
	// to learn the median response times of the routes before the fault.
	periodFrom = 12 * time.Second
	// connectTimeout is the time after which a connection attempt without a
	// response fails.
	connectTimeout = 500 * time.Millisecond
)

// attempt is one request to one upstream. Faults change its outcome.
type attempt struct {
	at       time.Duration // time of sending, from the start of the trace
	service  int
	upstream int
	instance int
	caller   uint64
	route    int
	class    health.Class
	latency  time.Duration
	reason   string
}

func (a *attempt) fail(reason string, latency time.Duration) {
	a.class, a.reason, a.latency = health.Failed, reason, latency
}

// effect changes an attempt that takes place during a fault.
type effect func(a *attempt, rng *rand.Rand)

// Fault is a fault model.
type Fault struct {
	Name string
	// build adds the fault's effects to the generator, and the faulty upstreams
	// to its list of faults.
	build func(g *generator)
}

// Faults are the fault models to measure.
var Faults = []Fault{
	{"none", func(*generator) {}},
	{"fails all", func(g *generator) { g.addFault(Total, failing(1)) }},
	{"fails 20%", func(g *generator) { g.addFault(Partial, failing(0.2)) }},
	{"one path fails", buildOnePath},
	{"slow 3x", func(g *generator) { g.addFault(NoTarget, slowed(3)) }},
	{"slow 20x", func(g *generator) { g.addFault(NoTarget, slowed(20)) }},
	{"hangs", func(g *generator) { g.addFault(Total, g.hanging()) }},
	{"flaps, period 2 s", func(g *generator) { g.addFault(NoTarget, flapping(2*time.Second)) }},
	{"flaps, period 10 s", func(g *generator) { g.addFault(NoTarget, flapping(10*time.Second)) }},
	{"flaps, period 30 s", func(g *generator) { g.addFault(NoTarget, flapping(30*time.Second)) }},
	{"truncates 40%", func(g *generator) { g.addFault(NoTarget, truncating(0.4)) }},
	{"two at once", func(g *generator) { g.addFault(Total, failing(1)); g.addFault(NoTarget, slowed(20)) }},
	{"cold start", buildColdStart},
	{"load shedding", buildShedding},
	{"poisonous caller", buildPoisonousCaller},
	{"faulty instance, all", func(g *generator) { g.effects = append(g.effects, faultyInstance(g.rng.IntN(instances), 1)) }},
	{"faulty instance, 30%", func(g *generator) { g.effects = append(g.effects, faultyInstance(g.rng.IntN(instances), 0.3)) }},
	{"cut region", buildPartition},
	{"dead connections", buildDeadConnections},
	{"service fails 30%", buildFailingService},
}

func failing(share float64) effect {
	return func(a *attempt, rng *rand.Rand) {
		if rng.Float64() < share {
			a.fail("500", a.latency/2)
		}
	}
}

func truncating(share float64) effect {
	return func(a *attempt, rng *rand.Rand) {
		if rng.Float64() < share {
			a.fail("truncated-answer", a.latency)
		}
	}
}

func slowed(factor int) effect {
	return func(a *attempt, _ *rand.Rand) { a.latency *= time.Duration(factor) }
}

// flapping fails all attempts in the first half of each period.
func flapping(period time.Duration) effect {
	return func(a *attempt, _ *rand.Rand) {
		if (a.at-faultFrom)%period < period/2 {
			a.fail("500", a.latency/2)
		}
	}
}

func (g *generator) hanging() effect {
	return func(a *attempt, _ *rand.Rand) {
		a.fail("upstream-silent", g.shape.Services[a.service].Deadline)
	}
}

func buildOnePath(g *generator) {
	// The first two routes have enough traffic. If a route's share of the
	// requests is below the failure rate at which the score rises, its failures
	// are not visible in the upstream's merged failure rate.
	route := g.rng.IntN(2)
	g.addFault(NoTarget, func(a *attempt, _ *rand.Rand) {
		if a.route == route {
			a.fail("500", a.latency/2)
		}
	})
}

// buildColdStart adds an upstream that is slow for most of its cold start.
func buildColdStart(g *generator) {
	g.addsUpstream = true
	service, upstream := 0, g.shape.Services[0].Upstreams
	g.effects = append(g.effects, func(a *attempt, _ *rand.Rand) {
		if a.service == service && a.upstream == upstream && a.at < faultFrom+coldStart*9/10 {
			a.latency *= 4
		}
	})
}

// buildShedding makes all upstreams refuse requests, some with a plain 503 that
// looks like a failure. Some upstreams shed up to twice as much as others.
func buildShedding(g *generator) {
	g.effects = append(g.effects, func(a *attempt, rng *rand.Rand) {
		factor := 0.7 + 0.6*float64(a.upstream%5)/4
		switch draw := rng.Float64(); {
		case draw < 0.15*factor:
			a.fail("503", 2*time.Millisecond)
		case draw < 0.35*factor:
			a.class, a.reason, a.latency = health.Neutral, "shed", 2*time.Millisecond
		}
	})
}

// buildPoisonousCaller makes most requests of one caller to one service fail at
// all upstreams.
func buildPoisonousCaller(g *generator) {
	service, caller := g.rng.IntN(3), g.callers[g.rng.IntN(8)]
	g.effects = append(g.effects, func(a *attempt, rng *rand.Rand) {
		if a.service == service && a.caller == caller && rng.Float64() < 0.9 {
			a.fail("500", a.latency/2)
		}
	})
}

func faultyInstance(instance int, share float64) effect {
	return func(a *attempt, rng *rand.Rand) {
		if a.instance == instance && rng.Float64() < share {
			a.fail("connect-failed", 5*time.Millisecond)
		}
	}
}

// buildPartition disconnects one region from the others.
func buildPartition(g *generator) {
	region := g.shape.Regions[g.rng.IntN(len(g.shape.Regions))]
	g.partitioned = region
	g.effects = append(g.effects, func(a *attempt, _ *rand.Rand) {
		upstreamInside := g.shape.regionOf(a.upstream%failureDomains) == region
		instanceInside := g.shape.regionOf(a.instance%failureDomains) == region
		if upstreamInside != instanceInside {
			a.fail("connect-failed", connectTimeout)
		}
	})
}

// buildDeadConnections makes an upstream drop its connections: for 3 s, half of
// the attempts get a dead connection from the pool.
func buildDeadConnections(g *generator) {
	service, upstream := g.pickUpstream()
	g.effects = append(g.effects, func(a *attempt, rng *rand.Rand) {
		if a.service == service && a.upstream == upstream && a.at < faultFrom+3*time.Second && rng.Float64() < 0.5 {
			a.class, a.reason, a.latency = health.Neutral, "dead-connection", time.Millisecond
		}
	})
}

// buildFailingService makes requests fail at all upstreams of a service, as if
// a shared dependency failed.
func buildFailingService(g *generator) {
	service := g.rng.IntN(3)
	g.effects = append(g.effects, func(a *attempt, rng *rand.Rand) {
		if a.service == service && rng.Float64() < 0.3 {
			a.fail("500", a.latency/2)
		}
	})
}
