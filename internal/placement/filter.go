// Package placement chooses the upstream for each request while some upstreams
// are unhealthy for seconds at a time and still pass their health checks.
//
// A Bayes filter estimates for each upstream and the path to it the probability
// that they are faulty. Each decision uses the latest attempts, pending ones
// included: a request that has been running for longer than a healthy upstream
// takes is evidence before it fails. Without evidence the estimate returns to
// the stationary probability of the model. Attempts of other instances are
// evidence about the upstream, but not about this instance's path to it.
//
// All functions take the time as an argument, and the package does no I/O.
package placement

import (
	"math"
	"slices"
	"time"
)

// Model describes how upstreams and the paths to them become faulty and recover,
// each as a two-state Markov chain.
type Model struct {
	Upstream, Path Chain
	// HealthyFailureRate is the share of requests that fail although both the
	// upstream and the path are healthy.
	HealthyFailureRate float64
}

// Chain is a Markov chain that alternates between healthy and faulty.
type Chain struct {
	// MeanHealthy and MeanFaulty are the mean durations of the two states.
	// The longer they are, the longer evidence affects the estimate.
	MeanHealthy, MeanFaulty time.Duration
	// FailureRate is the share of requests that fail in the faulty state.
	FailureRate float64
}

// DefaultModel assumes that an upstream is faulty for a quarter of the time,
// for a few seconds in a row, and then fails three requests in four. This fits
// the request outcomes of the platform's users best. Paths between one instance
// and one upstream are rarely faulty.
func DefaultModel() Model {
	return Model{
		Upstream:           Chain{MeanHealthy: 20 * time.Second, MeanFaulty: 7 * time.Second, FailureRate: 0.75},
		Path:               Chain{MeanHealthy: 200 * time.Second, MeanFaulty: 8 * time.Second, FailureRate: 0.8},
		HealthyFailureRate: 0.015,
	}
}

// stationary returns the stationary probability of the faulty state.
func (c *Chain) stationary() float64 {
	return c.MeanFaulty.Seconds() / (c.MeanHealthy + c.MeanFaulty).Seconds()
}

// decay returns the weight that an estimate keeps after the time d without
// evidence.
func (c *Chain) decay(d time.Duration) float64 {
	return math.Exp(-(1/c.MeanHealthy.Seconds() + 1/c.MeanFaulty.Seconds()) * d.Seconds())
}

// joint is the joint distribution of the states of an upstream and the path to
// it. The first index is 1 for a faulty upstream, the second is 1 for a faulty
// path.
type joint [2][2]float64

// prior returns the distribution without any evidence.
func (m *Model) prior() joint {
	u, p := m.Upstream.stationary(), m.Path.stationary()
	return joint{{(1 - u) * (1 - p), (1 - u) * p}, {u * (1 - p), u * p}}
}

// predict returns the distribution after the time d without evidence.
func (m *Model) predict(j joint, d time.Duration) joint {
	if d <= 0 {
		return j
	}
	decay, s := m.Upstream.decay(d), m.Upstream.stationary()
	for path := range 2 {
		sum := j[0][path] + j[1][path]
		j[1][path] = decay*j[1][path] + (1-decay)*s*sum
		j[0][path] = sum - j[1][path]
	}
	decay, s = m.Path.decay(d), m.Path.stationary()
	for up := range 2 {
		sum := j[up][0] + j[up][1]
		j[up][1] = decay*j[up][1] + (1-decay)*s*sum
		j[up][0] = sum - j[up][1]
	}
	return j
}

// failureRate returns the share of requests that fail in a state. Attempts of
// peers do not depend on this instance's path.
func (m *Model) failureRate(up, path int, peer bool) float64 {
	success := 1 - m.HealthyFailureRate
	if up == 1 {
		success *= 1 - m.Upstream.FailureRate
	}
	if path == 1 && !peer {
		success *= 1 - m.Path.FailureRate
	}
	return 1 - success
}

// failureProbability returns the probability that a request of this instance
// fails.
func (m *Model) failureProbability(j joint) float64 {
	p := 0.0
	for up := range 2 {
		for path := range 2 {
			p += j[up][path] * m.failureRate(up, path, false)
		}
	}
	return p
}

// Outcome is the outcome of an attempt.
type Outcome int

// The outcomes.
const (
	Pending   Outcome = iota
	Succeeded         // a complete response whose status is not a failure
	Failed            // a failure of the upstream
	Neutral           // no evidence about the upstream
	Leaving           // not the outcome of an attempt: the upstream has announced that it is leaving
)

// Attempt is a request sent to an upstream. It is evidence about the upstream's
// state at the start of the attempt.
type Attempt struct {
	start   time.Time
	times   *ResponseTimes // response times of healthy upstreams for the route
	outcome Outcome
	peer    bool // made by another instance
	retest  bool // sent although the upstream was probably faulty
	// callerPaced is set if the caller had not sent the whole body at the start. How
	// long the attempt takes is then no evidence about the upstream.
	callerPaced bool
}

// Limits of the evidence kept for each upstream.
const (
	maxEvidence    = 24
	maxEvidenceAge = 3 * time.Second
	// peerTimeout is the time after which an attempt of another instance whose
	// outcome has not been received becomes Neutral.
	peerTimeout = 8 * time.Second
)

// filter is the Bayes filter of one upstream.
type filter struct {
	base     joint // posterior at baseTime, from evidence that is no longer kept
	baseTime time.Time
	evidence []*Attempt // by start time

	estimate    float64   // failure probability at estimatedAt
	estimatedAt time.Time // zero after new evidence
}

// maxEstimateAge is the time for which an estimate is reused while there is no
// new evidence.
const maxEstimateAge = 20 * time.Millisecond

// failureProbability returns the probability that a request of this instance
// fails.
func (f *filter) failureProbability(m *Model, now time.Time) float64 {
	if f.estimatedAt.IsZero() || now.Sub(f.estimatedAt) >= maxEstimateAge {
		f.estimate, f.estimatedAt = m.failureProbability(f.posterior(m, now)), now
	}
	return f.estimate
}

// invalidate discards the cached estimate after new evidence.
func (f *filter) invalidate() { f.estimatedAt = time.Time{} }

// posterior returns the distribution at the given time.
func (f *filter) posterior(m *Model, now time.Time) joint {
	j, at := f.base, f.baseTime
	for _, a := range f.evidence {
		j = m.predict(j, a.start.Sub(at))
		j = m.update(j, a, now)
		at = a.start
	}
	return m.predict(j, now.Sub(at))
}

// update applies Bayes' rule for one attempt.
func (m *Model) update(j joint, a *Attempt, now time.Time) joint {
	if a.outcome == Neutral || a.outcome == Pending && a.callerPaced {
		return j
	}
	stillPending := 0.0
	if a.outcome == Pending {
		stillPending = a.times.tailProbability(now.Sub(a.start))
	}
	total := 0.0
	for up := range 2 {
		for path := range 2 {
			failure := m.failureRate(up, path, a.peer)
			switch a.outcome {
			case Succeeded:
				j[up][path] *= 1 - failure
			case Failed:
				j[up][path] *= failure
			default:
				j[up][path] *= failure + (1-failure)*stillPending
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

// compact merges attempts beyond the limits of the evidence into the base, oldest
// first and up to the first pending one.
func (f *filter) compact(m *Model, now time.Time) {
	n := 0
	for _, a := range f.evidence {
		old := len(f.evidence)-n > maxEvidence || now.Sub(a.start) > maxEvidenceAge
		if a.peer && a.outcome == Pending && now.Sub(a.start) > peerTimeout {
			a.outcome = Neutral // its outcome was lost on the way
		}
		if a.outcome == Pending || !old {
			break
		}
		f.base = m.update(m.predict(f.base, a.start.Sub(f.baseTime)), a, now)
		f.baseTime = a.start
		n++
	}
	f.evidence = slices.Delete(f.evidence, 0, n)
}
