package entry

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"knapweedreel/internal/document"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/entry/upstream"
)

// Times for which an upstream gets nothing new from this instance.
const (
	avoidAfterShed    = 50 * time.Millisecond
	avoidAfterConnect = time.Second
	// avoidAfterDraining bridges the time until the control goroutine publishes
	// the upstream as leaving.
	avoidAfterDraining = 5 * time.Second
)

// minSilence is the time below which a deadline that passed without an answer
// says nothing about the upstream.
const minSilence = 100 * time.Millisecond

// defaultUnhealthy are the statuses that count as failures if the document
// names none.
var defaultUnhealthy = []int{500, 502, 503, 504}

func unhealthyStatus(doc *document.Document, status int) bool {
	statuses := doc.Unhealthy.Statuses
	if len(statuses) == 0 {
		statuses = defaultUnhealthy
	}
	return slices.Contains(statuses, status)
}

// avoid keeps this instance away from an upstream that cannot take requests
// now.
func (a *attempt) avoid() {
	id := a.choice.upstream.ID
	switch {
	case a.refused == upstream.Shed, a.trace.Unproven:
		a.st.avoidFull(id)
	case a.refused == upstream.Draining, a.refused == upstream.Replaced:
		a.st.avoidFor(id, avoidAfterDraining)
	case a.err != nil && !a.trace.Sent && a.trace.Fresh && errkind.Of(a.err) == errkind.ConnectFailed && a.ctxAlive():
		a.st.avoidFor(id, avoidAfterConnect)
		a.st.setUnreached(id, true)
	case a.trace.Sent:
		a.st.setUnreached(id, false)
	}
}

// ctxAlive reports whether neither the caller nor the deadline has ended the
// request.
func (a *attempt) ctxAlive() bool { return a.e.ctx.Err() == nil }

// report hands the outcome to the health engine, unless the attempt says
// nothing that was not reported before.
func (a *attempt) report() {
	class, reason := a.class()
	a.st.noteOutcome(a.choice.upstream.ID, class, time.Now())
	if class == health.OK && a.trace.Latency > 0 {
		a.st.observe(routeName(a.e.route), a.trace.Latency)
	}
	if a.refused == upstream.NotRefused && a.late.reported(class) {
		return
	}
	if reason == string(errkind.NoUpstream) {
		return
	}
	if a.refused != upstream.NotRefused {
		a.st.metrics.refusals.Inc(1)
	}
	out := a.outcome(class, reason, a.trace.Latency)
	out.Draining = a.refused == upstream.Draining
	a.s.control.ReportOutcome(out)
}

// outcome returns an outcome of the attempt. It reads nothing that changes
// while the attempt runs.
func (a *attempt) outcome(class health.Class, reason string, latency time.Duration) health.Outcome {
	return health.Outcome{
		Upstream: health.Key{Service: a.e.svc.Name, Upstream: a.choice.upstream.ID},
		Route:    routeName(a.e.route),
		Caller:   xxhash.Sum64String(a.e.caller),
		Class:    class,
		Latency:  latency,
		Reason:   reason,
	}
}

// class tells what the attempt says about its upstream, and why.
func (a *attempt) class() (health.Class, string) {
	if a.err == nil {
		return a.statusClass()
	}
	kind := a.e.kindOf(a.err)
	switch {
	case a.notNeeded():
		return health.Neutral, resultNotNeeded
	case a.refused != upstream.NotRefused, a.trace.Unproven, a.trace.Local, kind == errkind.Internal, kind == errkind.CallerGone,
		kind == errkind.CallerBodyFailed, kind == errkind.BodyLimitExceeded:
		return health.Neutral, string(kind)
	case errors.Is(a.err, errCallerWrite):
		return health.Neutral, string(errkind.CallerGone)
	case !a.trace.Fresh && !a.trace.Received && errkind.Of(a.err) == errkind.UpstreamReset && a.ctxAlive():
		return health.Neutral, "dead-pooled-connection"
	case !a.ctxAlive() && !a.waitedLong():
		return health.Neutral, string(kind)
	case !a.trace.Sent && !a.trace.Fresh:
		return health.Neutral, string(kind)
	}
	return health.Failed, string(kind)
}

func (a *attempt) statusClass() (health.Class, string) {
	status := a.answer.StatusCode
	reason := strconv.Itoa(status)
	switch {
	case unhealthyStatus(a.e.svc.Document, status):
		return health.Failed, reason
	case status >= 400 && status < 500:
		return health.Neutral, reason
	}
	return health.OK, reason
}

// waitedLong reports whether an upstream that did not answer before the
// deadline had a fair time to do so: at least half of the request's time. What
// a short deadline leaves after the queue says nothing about the upstream.
func (a *attempt) waitedLong() bool {
	waited := time.Since(a.started)
	if a.view != nil || a.answer != nil {
		waited = a.trace.Latency + a.reading // without what the caller took
	}
	return waited >= minSilence && waited >= a.e.deadline.Sub(a.e.started)/2
}
