package health

import (
	"fmt"
	"time"
)

// Parameters of reinstatement.
const (
	// baseEjectionTime is the duration of a first ejection. It doubles with
	// each further recent ejection up to maxEjectionTime.
	baseEjectionTime = 5 * time.Second
	maxEjectionTime  = 5 * time.Minute
	// probationSuccesses is the number of successes, counted over all reporters,
	// that end probation.
	probationSuccesses = 5
	// probationWeight is the maximum share of the service's requests that an
	// upstream in probation receives.
	probationWeight = 0.05
	// probationTimeout ends a probation without any outcomes: a service without
	// idempotent requests never tries the upstream.
	probationTimeout = 30 * time.Second
	// rampTime is the time over which the weight returns to 1 after probation.
	rampTime = 10 * time.Second
	// rampStart is the weight at the start of the ramp.
	rampStart = 0.1
	// servedPerDecrement is the number of requests served at this instance that
	// lowers the ejection count by one. Time does not lower it, or a slowly
	// flapping upstream would get the shortest ejection time every time.
	servedPerDecrement = 200
)

// recovery tracks the ejections of an upstream and its return to service.
type recovery struct {
	ejections     int // lowered by served requests
	served        int // requests served at this instance since ejections changed
	ejectedAt     time.Time
	rampStartedAt time.Time // zero: no ramp
	probation     probation
	// probationFailedBy is the reporter whose failure ended the last probation.
	// Its failures do not end the next one, or an instance that cannot reach the
	// upstream would keep it ejected everywhere.
	probationFailedBy string
}

// probation counts the outcomes since the start of the current probation.
type probation struct {
	successes uint64
	outcomes  uint64
}

// ejectionTime returns the ejection time after the given number of ejections.
func ejectionTime(ejections int) time.Duration {
	d := baseEjectionTime
	for range ejections - 1 {
		d *= 2
		if d >= maxEjectionTime {
			return maxEjectionTime
		}
	}
	return d
}

// tryEject ejects the upstream unless the floor prevents it.
func (e *Engine) tryEject(s *service, u *upstream, detail string) {
	if !s.mayEject(u) {
		if !u.heldByFloor {
			u.heldByFloor = true
			e.record(s, u, u.state, RuleHeldByFloor, detail)
		}
		return
	}
	e.eject(s, u, RuleEvidence, detail)
}

// eject ejects the upstream and starts its ejection time.
func (e *Engine) eject(s *service, u *upstream, rule Rule, detail string) {
	u.recovery.ejections++
	u.recovery.served = 0
	u.recovery.ejectedAt = e.now
	u.recovery.rampStartedAt = time.Time{}
	e.setState(s, u, Ejected, rule, detail)
}

// advanceRecovery moves ejected upstreams to probation after their ejection time,
// and ends probations without outcomes after probationTimeout.
func (e *Engine) advanceRecovery(s *service) {
	for _, u := range s.upstreams {
		switch {
		case u.state == Ejected && e.now.Sub(u.since) >= ejectionTime(u.recovery.ejections):
			u.resetScores()
			u.recovery.probation = probation{}
			e.setState(s, u, Probation, RuleWaitOver, fmt.Sprintf("waited %v", ejectionTime(u.recovery.ejections)))
		case u.state == Probation && u.recovery.probation.outcomes == 0 && e.now.Sub(u.since) >= probationTimeout:
			e.passProbation(s, u, "no outcomes during probation")
		}
	}
}

// updateProbation processes a report on an upstream in probation.
func (e *Engine) updateProbation(s *service, u *upstream, r report) {
	p := &u.recovery.probation
	successes, failures := r.successes, r.failed+r.slow
	p.successes += successes
	p.outcomes += successes + failures
	switch {
	case failures > 0 && r.reporter == u.recovery.probationFailedBy:
		p.outcomes -= failures
	case failures > 0:
		u.recovery.probationFailedBy = r.reporter
		e.eject(s, u, RuleProbationFailed, "failure seen by "+r.reporter)
	case p.successes >= probationSuccesses:
		e.passProbation(s, u, fmt.Sprintf("%d successes", p.successes))
	}
}

func (e *Engine) passProbation(s *service, u *upstream, detail string) {
	u.resetScores()
	u.recovery.probationFailedBy = ""
	e.setState(s, u, InService, RuleProbationPassed, detail)
	u.recovery.rampStartedAt = e.now
}

// countServed counts a served request and lowers the ejection count when due.
func (u *upstream) countServed() {
	if u.recovery.ejections == 0 || u.state != InService {
		return
	}
	u.recovery.served++
	if u.recovery.served >= servedPerDecrement {
		u.recovery.served = 0
		u.recovery.ejections--
	}
}

// weight returns the share of its normal traffic that the upstream receives, 0 to
// 1.
func (e *Engine) weight(u *upstream) float64 {
	switch u.state {
	case Probation:
		return probationWeight
	case InService:
		if u.recovery.rampStartedAt.IsZero() {
			return 1
		}
		done := float64(e.now.Sub(u.recovery.rampStartedAt)) / float64(rampTime)
		return min(1, rampStart+(1-rampStart)*done)
	default:
		return 0
	}
}
