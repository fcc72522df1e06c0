package entry

import (
	"slices"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/entry/upstream"
)

// defaultRetries is the maximum number of retries if the document sets none.
const defaultRetries = 2

// maxUnsent is the maximum number of attempts of a request that don't count
// toward the limit because there was no connection and nothing was sent.
const maxUnsent = 3

// Causes of retries, for explanations.
const (
	causeRefused    = "refused"
	causeNotSent    = "not-sent"
	causeIdempotent = "idempotent"
	causeLate       = "late"
)

// Reasons for not retrying, for explanations.
const (
	noRetryAttemptLimit    = "attempt-limit"
	noRetryRequestOver     = "request-over"
	noRetryTooLate         = "too-late"
	noRetryBodyNotKept     = "body-not-kept"
	noRetryMayHaveRun      = "may-have-run"
	noRetryBudget          = "retry-budget"
	noRetryNoOtherUpstream = "no-other-upstream"
	noRetryKeyWithdrawn    = "key-withdrawn"
)

// proxy makes the attempts of a request, the first one with the slot c, and writes
// the response. An error means that nothing was written to the caller.
func (s *Server) proxy(e *exchange, c choice) error {
	st := e.st
	st.requestAdmitted()
	var fallback *attempt // complete response with an unhealthy status
	a := e.newAttempt(st, c, "", 0)
	defer func() { // releases the slots, also after a panic
		a.end()
		a.waitForHedges()
	}()
	a.run()
	for !a.final() {
		if a.err == nil {
			fallback.releaseBuffer()
			fallback = a
		}
		if h := a.late.hedge; h != nil {
			e.markTried(a)
			<-h.done
			a = h.attempt
			continue
		}
		c, cause, ok := e.nextAttempt(a)
		if !ok {
			return s.giveUp(e, a, fallback)
		}
		st.metrics.retries.Inc(1)
		a = e.newAttempt(st, c, cause, a.number+1)
		a.run()
	}
	a.cancelHedge()
	fallback.releaseBuffer()
	return s.respond(e, a)
}

// giveUp responds with the last complete response of an upstream, if there is
// one, or else with the error of the last attempt.
func (s *Server) giveUp(e *exchange, last, fallback *attempt) error {
	if fallback != nil {
		return s.respond(e, fallback)
	}
	return e.callerError(last.err)
}

// retryLimit returns the maximum number of retries.
func (e *exchange) retryLimit() int {
	if e.route.Retries != nil {
		return *e.route.Retries
	}
	if e.svc.Document.Retries != nil {
		return *e.svc.Document.Retries
	}
	return defaultRetries
}

// mayRetry returns the cause of another attempt if one is allowed, or "". It
// charges the retry budget.
func (e *exchange) mayRetry(a *attempt) string {
	if reason := e.noRetryReason(a); reason != "" {
		return e.recordNoRetry(reason)
	}
	cause := ""
	switch {
	case a.refused != upstream.NotRefused:
		cause = causeRefused
	case a.err != nil && !a.trace.Sent:
		cause = causeNotSent
	case e.route.Idempotent:
		cause = causeIdempotent
	}
	if cause == "" {
		return e.recordNoRetry(noRetryMayHaveRun)
	}
	uncharged := cause == causeNotSent && a.st.placer != nil // no upstream received the request
	if !uncharged && !a.st.spendRetry(cause != causeIdempotent) {
		return e.recordNoRetry(noRetryBudget)
	}
	return cause
}

// recordNoRetry records why no attempt follows the latest one. It always returns
// "", the absence of a retry cause.
func (e *exchange) recordNoRetry(reason string) string {
	if n := len(e.explanation.Attempts); n > 0 {
		e.explanation.Attempts[n-1].Last = reason
	}
	return ""
}

// noRetryReason returns why no attempt can follow a, whatever the outcome of a,
// or "" if there is no such reason.
func (e *exchange) noRetryReason(a *attempt) string {
	switch {
	case a.number-e.unsent >= e.retryLimit() && !(a.err != nil && !a.trace.Sent && e.unsent < maxUnsent):
		return noRetryAttemptLimit
	case e.ctx.Err() != nil:
		return noRetryRequestOver
	case e.checkAccount() != nil:
		return noRetryKeyWithdrawn
	case e.st.outOfTime(e.slotReq):
		return noRetryTooLate
	case e.body != nil && !e.body.replayable():
		return noRetryBodyNotKept
	}
	return ""
}

// nextAttempt returns the slot and the cause of the attempt after a, or false if
// there is none.
func (e *exchange) nextAttempt(a *attempt) (c choice, cause string, ok bool) {
	if next := a.late.next; next != nil { // acquireLateRetry has charged the budget
		e.markTried(a)
		return *next, causeLate, true
	}
	if cause = e.mayRetry(a); cause == "" {
		return choice{}, "", false
	}
	c, ok = e.acquireRetry(a)
	return c, cause, ok
}

// acquireRetry takes a slot for another attempt after a. It doesn't wait for one
// if a has a response to fall back on.
func (e *exchange) acquireRetry(a *attempt) (choice, bool) {
	e.markTried(a)
	if a.err == nil {
		return e.st.tryAcquire(e.slotReq)
	}
	c, err := e.acquire()
	return c, err == nil
}

// markTried keeps the next attempt away from the upstream of a.
func (e *exchange) markTried(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id, req := a.choice.upstream.ID, e.slotReq
	req.retry = true
	if a.err != nil && !a.trace.Sent && e.unsent < maxUnsent {
		e.unsent++
	}
	if !a.choice.home && !a.choice.probe {
		req.borrowed++
	}
	if a.err != nil && !a.trace.Fresh && !a.trace.Received && errkind.Of(a.err) == errkind.UpstreamReset {
		// Only the pooled connection is known to be dead. A fresh one shows
		// whether the upstream is faulty.
		e.deadPooled = append(e.deadPooled, id)
	} else if !slices.Contains(req.tried, id) {
		req.tried = append(req.tried, id)
	}
}
