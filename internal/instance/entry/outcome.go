package entry

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"knapweedreel/internal/document"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/entry/upstream"
)

// Durations for which this instance sends no new requests to an upstream.
const (
	avoidAfterShed    = 50 * time.Millisecond
	avoidAfterConnect = time.Second
	// avoidAfterDraining covers the time until the control goroutine publishes
	// the upstream as leaving.
	avoidAfterDraining = 5 * time.Second
)

// minDeadlineWait is the minimum wait for a response after which a missed
// deadline is evidence against the upstream.
const minDeadlineWait = 100 * time.Millisecond

// defaultUnhealthyStatuses are the statuses that count as failures if the
// document lists none.
var defaultUnhealthyStatuses = []int{500, 502, 503, 504}

func unhealthyStatus(doc *document.Document, status int) bool {
	statuses := doc.Unhealthy.Statuses
	if len(statuses) == 0 {
		statuses = defaultUnhealthyStatuses
	}
	return slices.Contains(statuses, status)
}

// avoid keeps new requests away from an upstream that currently can't accept
// them.
func (a *attempt) avoid() {
	id := a.choice.upstream.ID
	switch {
	case a.refused == upstream.Shed, a.trace.UnverifiedRefusal, a.trace.Backoff > 0:
		if a.st.markFull(&a.choice.upstream, a.trace.Backoff) && a.trace.Backoff > 0 {
			a.s.log.Info("upstream_backoff", zap.String("id", id), zap.String("service", a.st.name),
				zap.Duration("backoff", a.trace.Backoff), zap.String("request_id", a.e.id))
		}
	case a.refused == upstream.Draining, a.refused == upstream.Replaced:
		a.st.avoidFor(id, avoidAfterDraining)
	case a.err != nil && !a.trace.Sent && a.trace.Fresh && !a.trace.OutOfResources && errkind.Of(a.err) == errkind.ConnectFailed && a.ctxAlive():
		a.st.avoidFor(id, avoidAfterConnect)
		a.st.setUnreachable(id, true)
	case a.trace.Sent:
		a.st.setUnreachable(id, false)
	}
}

// ctxAlive reports whether neither the caller nor the deadline has ended the
// request.
func (a *attempt) ctxAlive() bool { return a.e.ctx.Err() == nil }

// report reports the outcome to the health engine, unless it adds nothing to
// what was reported before.
func (a *attempt) report() {
	class, reason := a.class()
	a.st.recordOutcome(a.choice.upstream.ID, class, time.Now())
	if class == health.OK && a.trace.Latency > 0 {
		a.st.observe(routeName(a.e.route), a.trace.Latency)
	}
	if a.refused == upstream.NotRefused && a.late.alreadyReported(class) {
		return
	}
	if reason == string(errkind.NoUpstream) || reason == string(errkind.Unauthenticated) {
		return // no upstream was involved
	}
	if a.refused != upstream.NotRefused {
		a.st.metrics.refusals.Inc(1)
	}
	out := a.outcome(class, reason, a.trace.Latency)
	out.Draining = a.refused == upstream.Draining
	a.s.control.ReportOutcome(out)
}

// outcome returns an outcome of the attempt. It reads no field that changes
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

// class returns the class of the attempt as evidence about its upstream, and the
// reason.
func (a *attempt) class() (health.Class, string) {
	if a.err == nil {
		return a.statusClass()
	}
	kind := a.e.kindOf(a.err)
	switch {
	case a.notNeeded():
		return health.Neutral, resultNotNeeded
	case a.refused != upstream.NotRefused, a.trace.UnverifiedRefusal, a.trace.OutOfResources, kind == errkind.Internal, kind == errkind.CallerGone,
		kind == errkind.CallerBodyFailed, kind == errkind.BodyLimitExceeded, kind == errkind.MemoryShort, kind == errkind.CallerStalled:
		return health.Neutral, string(kind)
	case errors.Is(a.err, errCallerWrite):
		return health.Neutral, string(errkind.CallerGone)
	case !a.trace.Fresh && !a.trace.Received && errkind.Of(a.err) == errkind.UpstreamReset && a.ctxAlive():
		return health.Neutral, "dead-pooled-connection"
	case !a.ctxAlive() && !a.waitedLongEnough():
		return health.Neutral, string(kind)
	case !a.trace.Sent && !a.trace.Fresh:
		return health.Neutral, string(kind)
	}
	return health.Failed, string(kind)
}

func (a *attempt) statusClass() (health.Class, string) {
	status := a.response.StatusCode
	reason := strconv.Itoa(status)
	switch {
	case unhealthyStatus(a.e.svc.Document, status):
		return health.Failed, reason
	case status >= 400 && status < 500:
		return health.Neutral, reason
	}
	return health.OK, reason
}

// waitedLongEnough reports whether an upstream that didn't respond before the
// deadline had at least half of the request's time to do so, and
// minDeadlineWait. Missing the rest of a deadline that the queue has mostly
// used up isn't evidence against the upstream.
func (a *attempt) waitedLongEnough() bool {
	waited := time.Since(a.started)
	if a.view != nil || a.response != nil {
		waited = a.trace.Latency + a.readTime // excludes the time spent on the caller
	}
	return waited >= minDeadlineWait && waited >= a.e.deadline.Sub(a.e.started)/2
}
