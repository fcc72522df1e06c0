package health

import (
	"fmt"
	"time"
)

// Return of an ejected upstream.
const (
	// firstWait is the time out of service after the first ejection. It
	// doubles with each recent ejection up to maxWait.
	firstWait = 5 * time.Second
	maxWait   = 5 * time.Minute
	// probationSuccesses is the number of successes, from all reporters, that
	// end probation.
	probationSuccesses = 5
	// probationWeight is the largest share of the service's requests that an
	// upstream in probation gets.
	probationWeight = 0.05
	// probationPatience ends a probation in which no outcome was seen at all: a
	// service without idempotent requests never tries the upstream.
	probationPatience = 30 * time.Second
	// rampTime is the time over which work returns after probation.
	rampTime = 10 * time.Second
	// rampStart is the weight at the start of the ramp.
	rampStart = 0.1
	// servedForStep is the number of requests served here for which the
	// ejection count falls by one. Time alone does not lower it, or an
	// upstream that flaps slowly would be forgiven each time.
	servedForStep = 200
)

// recovery is the way back of an upstream that was ejected.
type recovery struct {
	ejections int // recent ones
	served    int // requests served here since the count last changed
	ejectedAt time.Time
	rampFrom  time.Time // zero: no ramp
	probation probation
	// failedBy is the reporter that failed the last probation. It does not decide
	// the next one alone: an instance that cannot reach the upstream would keep
	// it out of service everywhere.
	failedBy string
}

// probation counts what was seen since it began.
type probation struct {
	successes uint64
	outcomes  uint64
}

// wait returns the time out of service for the given number of ejections.
func wait(ejections int) time.Duration {
	w := firstWait
	for range ejections - 1 {
		w *= 2
		if w >= maxWait {
			return maxWait
		}
	}
	return w
}

// eject takes the upstream out of service, unless the floor holds it.
func (e *Engine) eject(s *service, u *upstream, detail string) {
	if !s.mayEject(u) {
		if !u.held {
			u.held = true
			e.record(s, u, u.state, RuleHeldByFloor, detail)
		}
		return
	}
	e.takeOut(s, u, RuleEvidence, detail)
}

// takeOut ejects and starts the wait.
func (e *Engine) takeOut(s *service, u *upstream, rule Rule, detail string) {
	u.recovery.ejections++
	u.recovery.served = 0
	u.recovery.ejectedAt = e.now
	u.recovery.rampFrom = time.Time{}
	e.setState(s, u, Ejected, rule, detail)
}

// advance moves ejected upstreams to probation when their wait is over, and
// ends probations in which nothing was seen.
func (e *Engine) advance(s *service) {
	for _, u := range s.upstreams {
		switch {
		case u.state == Ejected && e.now.Sub(u.since) >= wait(u.recovery.ejections):
			u.resetScores()
			u.recovery.probation = probation{}
			e.setState(s, u, Probation, RuleWaitOver, fmt.Sprintf("waited %v", wait(u.recovery.ejections)))
		case u.state == Probation && u.recovery.probation.outcomes == 0 && e.now.Sub(u.since) >= probationPatience:
			e.passProbation(s, u, "no outcomes during probation")
		}
	}
}

// probationOutcomes takes new counts of an upstream in probation.
func (e *Engine) probationOutcomes(s *service, u *upstream, r report) {
	p := &u.recovery.probation
	successes, failures := r.successes, r.failed+r.slow
	p.successes += successes
	p.outcomes += successes + failures
	switch {
	case failures > 0 && r.reporter == u.recovery.failedBy:
		p.outcomes -= failures
	case failures > 0:
		u.recovery.failedBy = r.reporter
		e.takeOut(s, u, RuleProbationFailed, "failure seen by "+r.reporter)
	case p.successes >= probationSuccesses:
		e.passProbation(s, u, fmt.Sprintf("%d successes", p.successes))
	}
}

func (e *Engine) passProbation(s *service, u *upstream, detail string) {
	u.resetScores()
	u.recovery.failedBy = ""
	e.setState(s, u, InService, RuleProbationPassed, detail)
	u.recovery.rampFrom = e.now
}

// countServed lowers the ejection count with work that was served.
func (u *upstream) countServed() {
	if u.recovery.ejections == 0 || u.state != InService {
		return
	}
	u.recovery.served++
	if u.recovery.served >= servedForStep {
		u.recovery.served = 0
		u.recovery.ejections--
	}
}

// weight returns the share of normal work for the upstream, 0 to 1.
func (e *Engine) weight(u *upstream) float64 {
	switch u.state {
	case Probation:
		return probationWeight
	case InService:
		if u.recovery.rampFrom.IsZero() {
			return 1
		}
		done := float64(e.now.Sub(u.recovery.rampFrom)) / float64(rampTime)
		return min(1, rampStart+(1-rampStart)*done)
	default:
		return 0
	}
}
