package decisions

import (
	"math/rand/v2"
	"time"

	"knapweedreel/internal/health"
)

// Times of a generated trace, after its start.
const (
	faultFrom = 14 * time.Second
	faultTo   = 34 * time.Second
	traceEnd  = 44 * time.Second
	// periodFrom is when quiet hours or a surge begin, after normal traffic. In
	// quiet hours alone the engines would hardly learn the routes' medians
	// before the fault.
	periodFrom = 12 * time.Second
	// connectLimit is the time after which a connection attempt fails when
	// nothing answers.
	connectLimit = 500 * time.Millisecond
)

// attempt is one request at one upstream. Faults change its outcome.
type attempt struct {
	at       time.Duration // of sending, after the start of the trace
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

// effect changes attempts during a fault.
type effect func(a *attempt, rng *rand.Rand)

// Fault is a fault model.
type Fault struct {
	Name string
	// build adds effects, and the truth, to a trace.
	build func(g *generator)
}

// Faults are the fault models of the measurement.
var Faults = []Fault{
	{"none", func(*generator) {}},
	{"fails all", func(g *generator) { g.faulty(Total, failing(1)) }},
	{"fails 20%", func(g *generator) { g.faulty(Partial, failing(0.2)) }},
	{"one path fails", buildOnePath},
	{"slow 3x", func(g *generator) { g.faulty(NoTarget, slowed(3)) }},
	{"slow 20x", func(g *generator) { g.faulty(NoTarget, slowed(20)) }},
	{"hangs", func(g *generator) { g.faulty(Total, g.hanging()) }},
	{"flaps, period 2 s", func(g *generator) { g.faulty(NoTarget, flapping(2*time.Second)) }},
	{"flaps, period 10 s", func(g *generator) { g.faulty(NoTarget, flapping(10*time.Second)) }},
	{"flaps, period 30 s", func(g *generator) { g.faulty(NoTarget, flapping(30*time.Second)) }},
	{"truncates 40%", func(g *generator) { g.faulty(NoTarget, truncating(0.4)) }},
	{"two at once", func(g *generator) { g.faulty(Total, failing(1)); g.faulty(NoTarget, slowed(20)) }},
	{"cold start", buildColdStart},
	{"load shedding", buildShedding},
	{"poisonous caller", buildPoisonous},
	{"faulty instance, all", func(g *generator) { g.effects = append(g.effects, faultyInstance(g.rng.IntN(instances), 1)) }},
	{"faulty instance, 30%", func(g *generator) { g.effects = append(g.effects, faultyInstance(g.rng.IntN(instances), 0.3)) }},
	{"cut region", buildCut},
	{"dead connections", buildDeadConnections},
	{"service fails 30%", buildServiceWide},
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

// flapping fails everything in the first half of each period.
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
	// A path with less than the rate at which the score rises would not be
	// seen in an upstream's merged failure rate.
	path := g.rng.IntN(2)
	g.faulty(NoTarget, func(a *attempt, _ *rand.Rand) {
		if a.route == path {
			a.fail("500", a.latency/2)
		}
	})
}

// buildColdStart adds an upstream that is slow at first.
func buildColdStart(g *generator) {
	g.added = true
	service, upstream := 0, g.shape.Services[0].Upstreams
	g.effects = append(g.effects, func(a *attempt, _ *rand.Rand) {
		if a.service == service && a.upstream == upstream && a.at < faultFrom+coldStart*9/10 {
			a.latency *= 4
		}
	})
}

// buildShedding lets every upstream refuse work, partly with a bare 503 that
// cannot be told from a failure; some shed up to twice as much as others.
func buildShedding(g *generator) {
	g.effects = append(g.effects, func(a *attempt, rng *rand.Rand) {
		uneven := 0.7 + 0.6*float64(a.upstream%5)/4
		switch draw := rng.Float64(); {
		case draw < 0.15*uneven:
			a.fail("503", 2*time.Millisecond)
		case draw < 0.35*uneven:
			a.class, a.reason, a.latency = health.Neutral, "shed", 2*time.Millisecond
		}
	})
}

// buildPoisonous lets most requests of one caller to one service fail anywhere.
func buildPoisonous(g *generator) {
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

func buildCut(g *generator) {
	region := g.shape.Regions[g.rng.IntN(len(g.shape.Regions))]
	g.cut = region
	g.effects = append(g.effects, func(a *attempt, _ *rand.Rand) {
		there := g.shape.regionOf(a.upstream%failureDomains) == region
		here := g.shape.regionOf(a.instance%failureDomains) == region
		if there != here {
			a.fail("connect-failed", connectLimit)
		}
	})
}

// buildDeadConnections lets an upstream drop its connections: for 3 s half of
// the attempts find a dead pooled connection.
func buildDeadConnections(g *generator) {
	service, upstream := g.pick()
	g.effects = append(g.effects, func(a *attempt, rng *rand.Rand) {
		if a.service == service && a.upstream == upstream && a.at < faultFrom+3*time.Second && rng.Float64() < 0.5 {
			a.class, a.reason, a.latency = health.Neutral, "dead-connection", time.Millisecond
		}
	})
}

// buildServiceWide lets all upstreams of a service fail, as when a dependency of
// theirs does.
func buildServiceWide(g *generator) {
	service := g.rng.IntN(3)
	g.effects = append(g.effects, func(a *attempt, rng *rand.Rand) {
		if a.service == service && rng.Float64() < 0.3 {
			a.fail("500", a.latency/2)
		}
	})
}
