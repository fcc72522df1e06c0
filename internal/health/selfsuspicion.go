package health

import (
	"slices"
	"time"
)

const (
	// selfSuspicionWindow is the maximum age of the outcomes that are considered.
	selfSuspicionWindow = 10 * time.Second
	// selfSuspicionSample is the number of most recently used upstreams that are
	// considered, so that a sudden fault is detected before every upstream has
	// been tried again.
	selfSuspicionSample = 12
	// selfSuspicionUpstreams is the minimum number of failing upstreams. With
	// fewer, the reporter cap limits the effect on the scores.
	selfSuspicionUpstreams = 3
	// selfSuspicionShare is the share of failing upstreams above which the
	// instance suspects itself. The suspicion ends at the same share: with a lower
	// one, an instance whose whole region had failed, a third of all upstreams,
	// would never stop suspecting itself.
	selfSuspicionShare = 0.5
	// maxPause is the longest process pause without self-suspicion. Timeouts that
	// expired during a pause are no evidence about upstreams.
	maxPause = 500 * time.Millisecond
	// selfSuspicionAfterPause is the duration of self-suspicion after a longer
	// pause.
	selfSuspicionAfterPause = 2 * time.Second
)

// selfSuspicion holds the reasons why this instance suspects itself of causing
// the failures that it observes.
type selfSuspicion struct {
	failing bool      // requests to most of its upstreams fail
	resumed time.Time // end of the last pause
	until   time.Time // end of the suspicion after that pause
}

// ownOutcome is this instance's latest outcome at an upstream.
type ownOutcome struct {
	at     time.Time
	failed bool
}

func (e *Engine) selfSuspect() bool {
	return e.selfSuspicion.failing || e.now.Before(e.selfSuspicion.until)
}

// applyPaused starts self-suspicion after a long pause of the process.
func (e *Engine) applyPaused(p Paused) {
	if p.Duration <= maxPause {
		return
	}
	e.selfSuspicion.resumed = e.now
	e.selfSuspicion.until = e.now.Add(selfSuspicionAfterPause)
	e.dropOwnShares()
}

// ignoreOwnFailure records a failure at this instance and reports whether to
// exclude it from the evidence: the instance suspects itself, or the attempt
// began before the end of a pause.
func (e *Engine) ignoreOwnFailure(o Outcome, u *upstream) bool {
	u.lastOwnOutcome = ownOutcome{at: e.now, failed: true}
	return e.selfSuspect() || e.now.Add(-o.Latency).Before(e.selfSuspicion.resumed)
}

// updateSelfSuspicion starts or ends self-suspicion by the share of the recently
// used upstreams at which this instance's latest outcome is a failure.
func (e *Engine) updateSelfSuspicion() {
	var used []ownOutcome
	e.eachService(func(s *service) {
		for _, u := range s.upstreams {
			if !u.lastOwnOutcome.at.IsZero() && e.now.Sub(u.lastOwnOutcome.at) <= selfSuspicionWindow {
				used = append(used, u.lastOwnOutcome)
			}
		}
	})
	slices.SortStableFunc(used, func(a, b ownOutcome) int { return b.at.Compare(a.at) })
	used = used[:min(len(used), selfSuspicionSample)]
	failing := 0
	for _, o := range used {
		if o.failed {
			failing++
		}
	}
	switch {
	case !e.selfSuspicion.failing && failing >= selfSuspicionUpstreams && float64(failing) > selfSuspicionShare*float64(len(used)):
		e.selfSuspicion.failing = true
		e.dropOwnShares()
	case e.selfSuspicion.failing && float64(failing) <= selfSuspicionShare*float64(len(used)):
		e.selfSuspicion.failing = false
	}
}

// dropOwnShares removes this instance's share from all scores.
func (e *Engine) dropOwnShares() {
	e.eachService(func(s *service) {
		for _, u := range s.upstreams {
			u.failed.dropReporter(e.config.Instance)
			u.slow.dropReporter(e.config.Instance)
		}
	})
}
