package entry

import (
	"slices"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/entry/upstream"
)

// defaultRetries is the document's default number of further attempts.
const defaultRetries = 2

// maxUnsent is the number of attempts beyond the limit that a request may make
// because others could not be sent at all, for lack of a connection.
const maxUnsent = 3

// Causes of further attempts, for explanations.
const (
	causeRefused    = "refused"
	causeNotSent    = "not-sent"
	causeIdempotent = "idempotent"
	causeLate       = "late"
)

// Reasons for which no further attempt follows, for explanations.
const (
	lastLimit      = "attempt-limit"
	lastOver       = "request-over"
	lastTooLate    = "too-late"
	lastBody       = "body-not-kept"
	lastMayHaveRun = "may-have-run"
	lastBudget     = "retry-budget"
	lastNoSlot     = "no-other-upstream"
)

// proxy makes the attempts of a request and answers it. An error means that
// nothing was written to the caller.
func (s *Server) proxy(e *exchange) error {
	st := s.service(e.svc.Name)
	e.st = st
	st.arrive()
	e.want = &want{
		caller: e.caller, route: routeName(e.route), idempotent: e.route.Idempotent, deadline: e.deadline,
		priority: e.route.Priority, started: e.started, objective: milliseconds(e.route.ObjectiveMS), bytes: e.r.ContentLength,
	}
	c, err := e.acquire()
	if err != nil {
		return e.verdict(err)
	}
	st.admitted()
	var held *attempt // a whole answer with an unhealthy status
	a := e.newAttempt(st, c, "", 0)
	defer func() { // gives the slots back, also after a panic
		a.end()
		a.collectHedges()
	}()
	a.run()
	for !a.final() {
		if a.err == nil {
			held.drop()
			held = a
		}
		if h := a.late.hedge; h != nil {
			e.tried(a)
			<-h.done
			a = h.attempt
			continue
		}
		c, cause, ok := e.another(a)
		if !ok {
			return s.giveUp(e, a, held)
		}
		st.metrics.retries.Inc(1)
		a = e.newAttempt(st, c, cause, a.number+1)
		a.run()
	}
	a.dismissHedge()
	held.drop()
	return s.answer(e, a)
}

// giveUp answers with the last whole answer of an upstream, if there is one,
// else with the error of the last attempt.
func (s *Server) giveUp(e *exchange, last, held *attempt) error {
	if held != nil {
		return s.answer(e, held)
	}
	return e.verdict(last.err)
}

// drop gives back the buffer of an answer that is not passed on.
func (a *attempt) drop() {
	if a != nil && a.head != nil {
		a.s.buffers.put(a.head)
		a.head = nil
	}
}

// retryLimit returns the largest number of further attempts.
func (e *exchange) retryLimit() int {
	if e.route.Retries != nil {
		return *e.route.Retries
	}
	if e.svc.Document.Retries != nil {
		return *e.svc.Document.Retries
	}
	return defaultRetries
}

// mayRetry returns the cause for which another attempt is allowed, or "".
func (e *exchange) mayRetry(a *attempt) string {
	if reason := e.noRetry(a); reason != "" {
		return e.last(reason)
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
		return e.last(lastMayHaveRun)
	}
	unpaid := cause == causeNotSent && a.st.placing != nil // no upstream sees it as a retry
	if !unpaid && !a.st.spend(cause != causeIdempotent) {
		return e.last(lastBudget)
	}
	return cause
}

// last notes why no attempt follows the latest one. It returns no cause.
func (e *exchange) last(reason string) string {
	if n := len(e.explanation.Attempts); n > 0 {
		e.explanation.Attempts[n-1].Last = reason
	}
	return ""
}

// noRetry returns why no attempt can follow a whatever came of it, or "".
func (e *exchange) noRetry(a *attempt) string {
	switch {
	case a.number-e.unsent >= e.retryLimit() && !(a.err != nil && !a.trace.Sent && e.unsent < maxUnsent):
		return lastLimit
	case e.ctx.Err() != nil:
		return lastOver
	case e.st.inVain(e.want):
		return lastTooLate
	case e.body != nil && !e.body.replayable():
		return lastBody
	}
	return ""
}

// another returns the slot and the cause of the attempt after a, or false when
// there is to be none.
func (e *exchange) another(a *attempt) (c choice, cause string, ok bool) {
	if next := a.late.next; next != nil { // takeSuccessor has spent the budget
		e.tried(a)
		return *next, causeLate, true
	}
	if cause = e.mayRetry(a); cause == "" {
		return choice{}, "", false
	}
	c, ok = e.next(a)
	return c, cause, ok
}

// next takes a slot for another attempt after a. While an answer is at hand,
// it does not wait for one.
func (e *exchange) next(a *attempt) (choice, bool) {
	e.tried(a)
	if a.err == nil {
		return e.st.tryAcquire(e.want)
	}
	c, err := e.acquire()
	return c, err == nil
}

// tried keeps the next attempt away from the upstream of a.
func (e *exchange) tried(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id, w := a.choice.upstream.ID, e.want
	w.retry = true
	if a.err != nil && !a.trace.Sent && e.unsent < maxUnsent {
		e.unsent++
	}
	if !a.choice.home && !a.choice.probe {
		w.borrowed++
	}
	if a.err != nil && !a.trace.Fresh && !a.trace.Received && errkind.Of(a.err) == errkind.UpstreamReset {
		// Only the pooled connection is known to be dead. A fresh one shows
		// whether the upstream is.
		e.deadPooled = append(e.deadPooled, id)
	} else if !slices.Contains(w.tried, id) {
		w.tried = append(w.tried, id)
	}
}
