package health

import (
	"slices"
	"time"
)

const (
	// doubtWindow is the time for which an upstream counts as used by this
	// instance.
	doubtWindow = 10 * time.Second
	// doubtLatest bounds the upstreams that are looked at to those used last, so
	// that a sudden fault shows before every upstream was tried again.
	doubtLatest = 12
	// doubtUpstreams is the number of failing upstreams that doubt needs. With
	// fewer, the reporter's cap limits the harm.
	doubtUpstreams = 3
	// doubtShare is the share of used upstreams that fail at this instance above
	// which it doubts itself. At or below it the doubt ends: with a lower limit
	// an instance whose region had failed as a whole, a third of all upstreams,
	// never trusted itself again.
	doubtShare = 0.5
	// maxPause is the pause from which own failures are doubted: timeouts that
	// ran out while the process stood still say nothing about upstreams.
	maxPause = 500 * time.Millisecond
	// pauseDoubt is the time after such a pause for which they are doubted.
	pauseDoubt = 2 * time.Second
)

// doubt tells whether this instance takes its own failures for its own fault.
type doubt struct {
	failing bool      // it fails at most of its upstreams
	resumed time.Time // end of the last pause
	until   time.Time // end of the doubt after it
}

// ownLast is the latest own outcome at an upstream.
type ownLast struct {
	at     time.Time
	failed bool
}

func (e *Engine) selfSuspect() bool {
	return e.doubt.failing || e.now.Before(e.doubt.until)
}

// applyPaused takes note that the process did not run.
func (e *Engine) applyPaused(p Paused) {
	if p.Duration <= maxPause {
		return
	}
	e.doubt.resumed = e.now
	e.doubt.until = e.now.Add(pauseDoubt)
	e.dropOwnShares()
}

// ignoresOwnFailure records an own failure and reports whether it is left out of
// the evidence: the instance doubts itself, or the attempt began before a pause
// ended.
func (e *Engine) ignoresOwnFailure(o Outcome, u *upstream) bool {
	u.ownLast = ownLast{at: e.now, failed: true}
	return e.selfSuspect() || e.now.Add(-o.Latency).Before(e.doubt.resumed)
}

// updateDoubt looks at the upstreams that this instance used last, and at how many
// of them the latest own outcome failed.
func (e *Engine) updateDoubt() {
	var used []ownLast
	e.eachService(func(s *service) {
		for _, u := range s.upstreams {
			if !u.ownLast.at.IsZero() && e.now.Sub(u.ownLast.at) <= doubtWindow {
				used = append(used, u.ownLast)
			}
		}
	})
	slices.SortStableFunc(used, func(a, b ownLast) int { return b.at.Compare(a.at) })
	used = used[:min(len(used), doubtLatest)]
	failing := 0
	for _, l := range used {
		if l.failed {
			failing++
		}
	}
	switch {
	case !e.doubt.failing && failing >= doubtUpstreams && float64(failing) > doubtShare*float64(len(used)):
		e.doubt.failing = true
		e.dropOwnShares()
	case e.doubt.failing && float64(failing) <= doubtShare*float64(len(used)):
		e.doubt.failing = false
	}
}

// dropOwnShares takes this instance's failures out of all scores.
func (e *Engine) dropOwnShares() {
	e.eachService(func(s *service) {
		for _, u := range s.upstreams {
			u.failed.drop(e.config.Instance)
			u.slow.drop(e.config.Instance)
		}
	})
}
