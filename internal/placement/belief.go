// Package placement decides which upstream runs a request when upstreams fall
// ill for seconds at a time while their health checks pass.
//
// It keeps a belief about each upstream, the probability that it is faulty at
// the moment, and computes it anew for each decision from the latest attempts,
// the pending ones included: a request that has been running for longer than
// healthy ones take is evidence before it fails. The belief drifts towards the
// share of time that upstreams are faulty while nothing is heard of one.
//
// All functions take the time as an argument; nothing here does input or
// output.
package placement

import (
	"math"
	"slices"
	"time"
)

// Model describes how upstreams fall ill and recover, as a Markov chain with
// two states.
type Model struct {
	// MeanHealthy and MeanFaulty are the mean times between two changes.
	// Longer times make the belief follow evidence for longer.
	MeanHealthy, MeanFaulty time.Duration
	// FaultyFailure and HealthyFailure are the shares of requests that an
	// upstream fails in each state.
	FaultyFailure, HealthyFailure float64
}

// DefaultModel assumes that an upstream is faulty for nearly a third of the
// time, a few seconds on end, and then fails three requests in four. The spells
// are those that the platform's users report of their services.
func DefaultModel() Model {
	return Model{
		MeanHealthy: 7 * time.Second, MeanFaulty: 3 * time.Second,
		FaultyFailure: 0.75, HealthyFailure: 0.02,
	}
}

// stationary returns the share of time for which an upstream is faulty.
func (m *Model) stationary() float64 {
	return m.MeanFaulty.Seconds() / (m.MeanHealthy + m.MeanFaulty).Seconds()
}

// drift returns the belief p after the time d without evidence.
func (m *Model) drift(p float64, d time.Duration) float64 {
	if d <= 0 {
		return p
	}
	rate := 1/m.MeanHealthy.Seconds() + 1/m.MeanFaulty.Seconds()
	s := m.stationary()
	return s + (p-s)*math.Exp(-rate*d.Seconds())
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
	faulty   float64 // as of the time at, from evidence that is not kept
	at       time.Time
	evidence []*Attempt // in the order of their starts
}

// now returns the probability that the upstream is faulty at the given time.
func (b *belief) now(m *Model, now time.Time) float64 {
	p, at := b.faulty, b.at
	for _, a := range b.evidence {
		p = m.drift(p, a.start.Sub(at))
		p = m.update(p, a, now)
		at = a.start
	}
	return m.drift(p, now.Sub(at))
}

// update applies Bayes' rule for one attempt.
func (m *Model) update(p float64, a *Attempt, now time.Time) float64 {
	var faulty, healthy float64
	switch a.outcome {
	case Good:
		faulty, healthy = 1-m.FaultyFailure, 1-m.HealthyFailure
	case Bad:
		faulty, healthy = m.FaultyFailure, m.HealthyFailure
	case Pending:
		slow := a.times.slower(now.Sub(a.start))
		faulty = m.FaultyFailure + (1-m.FaultyFailure)*slow
		healthy = m.HealthyFailure + (1-m.HealthyFailure)*slow
	default:
		return p
	}
	return p * faulty / (p*faulty + (1-p)*healthy)
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
		b.faulty = m.update(m.drift(b.faulty, a.start.Sub(b.at)), a, now)
		b.at = a.start
		n++
	}
	b.evidence = slices.Delete(b.evidence, 0, n)
}
