// Package placement decides which upstream runs a request when upstreams fall
// ill for seconds at a time while their health checks pass.
//
// It keeps a belief about each upstream and the path to it, the probabilities
// that they are faulty at the moment, and computes it anew for each decision
// from the latest attempts, the pending ones included: a request that has been
// running for longer than healthy ones take is evidence before it fails. The
// belief drifts towards the share of time that upstreams and paths are faulty
// while nothing is heard of them. Attempts of other instances tell of the
// upstream, but not of the own path to it.
//
// All functions take the time as an argument; nothing here does input or
// output.
package placement

import (
	"math"
	"slices"
	"time"
)

// Model describes how upstreams and the paths to them fall ill and recover, each
// as a Markov chain with two states.
type Model struct {
	Upstream, Path Chain
	// HealthyFailure is the share of requests that fail at a healthy upstream
	// over a healthy path.
	HealthyFailure float64
}

// Chain describes what is healthy or faulty by turns.
type Chain struct {
	// MeanHealthy and MeanFaulty are the mean times between two changes.
	// Longer times make the belief follow evidence for longer.
	MeanHealthy, MeanFaulty time.Duration
	// Failure is the share of requests that fail while it is faulty.
	Failure float64
}

// DefaultModel assumes that an upstream is faulty for a quarter of the time, some
// seconds on end, and then fails three requests in four. That fits the
// upstreams of the platform's users best: of the models tried, it makes their
// requests' outcomes most likely. Paths between one instance and one upstream
// are rarely faulty.
func DefaultModel() Model {
	return Model{
		Upstream:       Chain{MeanHealthy: 20 * time.Second, MeanFaulty: 7 * time.Second, Failure: 0.75},
		Path:           Chain{MeanHealthy: 200 * time.Second, MeanFaulty: 8 * time.Second, Failure: 0.8},
		HealthyFailure: 0.015,
	}
}

// stationary returns the share of time for which it is faulty.
func (c *Chain) stationary() float64 {
	return c.MeanFaulty.Seconds() / (c.MeanHealthy + c.MeanFaulty).Seconds()
}

// memory returns how much of a belief is left after the time d without
// evidence.
func (c *Chain) memory(d time.Duration) float64 {
	return math.Exp(-(1/c.MeanHealthy.Seconds() + 1/c.MeanFaulty.Seconds()) * d.Seconds())
}

// joint holds the probabilities of the four states of an upstream and the path
// to it. The first index is 1 for a faulty upstream, the second for a faulty
// path.
type joint [2][2]float64

// start returns the belief without any evidence.
func (m *Model) start() joint {
	u, p := m.Upstream.stationary(), m.Path.stationary()
	return joint{{(1 - u) * (1 - p), (1 - u) * p}, {u * (1 - p), u * p}}
}

// drift returns the belief after the time d without evidence.
func (m *Model) drift(j joint, d time.Duration) joint {
	if d <= 0 {
		return j
	}
	keep, s := m.Upstream.memory(d), m.Upstream.stationary()
	for path := range 2 {
		sum := j[0][path] + j[1][path]
		j[1][path] = keep*j[1][path] + (1-keep)*s*sum
		j[0][path] = sum - j[1][path]
	}
	keep, s = m.Path.memory(d), m.Path.stationary()
	for up := range 2 {
		sum := j[up][0] + j[up][1]
		j[up][1] = keep*j[up][1] + (1-keep)*s*sum
		j[up][0] = sum - j[up][1]
	}
	return j
}

// failure returns the share of requests that fail in a state.
func (m *Model) failure(up, path int, remote bool) float64 {
	good := 1 - m.HealthyFailure
	if up == 1 {
		good *= 1 - m.Upstream.Failure
	}
	if path == 1 && !remote { // another instance has a path of its own
		good *= 1 - m.Path.Failure
	}
	return 1 - good
}

// prospects returns the probability that a request of this instance fails.
func (m *Model) prospects(j joint) float64 {
	sum := 0.0
	for up := range 2 {
		for path := range 2 {
			sum += j[up][path] * m.failure(up, path, false)
		}
	}
	return sum
}

// Outcome is what came of an attempt.
type Outcome int

// The outcomes.
const (
	Pending Outcome = iota
	Good            // a whole answer with a status that is not a failure
	Bad             // a failure of the upstream
	Void            // says nothing about the upstream
)

// Attempt is a request at an upstream. It is evidence of the upstream's state
// at its start.
type Attempt struct {
	start   time.Time
	times   *Times // of healthy answers to such requests
	outcome Outcome
	remote  bool // made by another instance
	retest  bool // sent although the upstream was believed to be faulty
}

// limits of the evidence kept for each upstream.
const (
	maxEvidence = 24
	evidenceAge = 3 * time.Second
	// remoteLimit is the time after which an attempt of another instance counts
	// as ended without news.
	remoteLimit = 8 * time.Second
)

// belief is what is known of one upstream.
type belief struct {
	settled  joint // as of the time at, from evidence that is not kept
	at       time.Time
	evidence []*Attempt // in the order of their starts

	estimate  float64   // probability of failure
	estimated time.Time // when it was computed, zero after new evidence
}

// estimateAge is the time for which an estimate is used without new evidence.
const estimateAge = 20 * time.Millisecond

// fails returns the probability that a request of this instance fails.
func (b *belief) fails(m *Model, now time.Time) float64 {
	if b.estimated.IsZero() || now.Sub(b.estimated) >= estimateAge {
		b.estimate, b.estimated = m.prospects(b.now(m, now)), now
	}
	return b.estimate
}

// changed makes the next estimate take in new evidence.
func (b *belief) changed() { b.estimated = time.Time{} }

// now returns the belief at the given time.
func (b *belief) now(m *Model, now time.Time) joint {
	j, at := b.settled, b.at
	for _, a := range b.evidence {
		j = m.drift(j, a.start.Sub(at))
		j = m.update(j, a, now)
		at = a.start
	}
	return m.drift(j, now.Sub(at))
}

// update applies Bayes' rule for one attempt.
func (m *Model) update(j joint, a *Attempt, now time.Time) joint {
	if a.outcome == Void {
		return j
	}
	slow := 0.0
	if a.outcome == Pending {
		slow = a.times.slower(now.Sub(a.start))
	}
	total := 0.0
	for up := range 2 {
		for path := range 2 {
			fails := m.failure(up, path, a.remote)
			switch a.outcome {
			case Good:
				j[up][path] *= 1 - fails
			case Bad:
				j[up][path] *= fails
			default:
				j[up][path] *= fails + (1-fails)*slow
			}
			total += j[up][path]
		}
	}
	for up := range 2 {
		for path := range 2 {
			j[up][path] /= total
		}
	}
	return j
}

// fold drops the oldest evidence that is settled and keeps its effect.
func (b *belief) fold(m *Model, now time.Time) {
	n := 0
	for _, a := range b.evidence {
		old := len(b.evidence)-n > maxEvidence || now.Sub(a.start) > evidenceAge
		if a.remote && a.outcome == Pending && now.Sub(a.start) > remoteLimit {
			a.outcome = Void // the news of its end was lost
		}
		if a.outcome == Pending || !old {
			break
		}
		b.settled = m.update(m.drift(b.settled, a.start.Sub(b.at)), a, now)
		b.at = a.start
		n++
	}
	b.evidence = slices.Delete(b.evidence, 0, n)
}
