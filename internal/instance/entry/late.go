package entry

import (
	"slices"
	"sync"
	"time"

	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/entry/upstream"
)

// Multiples of the time that healthy answers rarely exceed.
const (
	lateFactor = 2 // reported as slow before the answer is there
	cutFactor  = 4 // an idempotent request moves to another upstream
)

// Least times for these, so that short pauses of either side do not count.
const (
	minLate = 50 * time.Millisecond
	minCut  = 250 * time.Millisecond
)

// defaultSlowFactor is the document's default multiple of the route's median
// from which an answer is slow.
const defaultSlowFactor = 2.5

// lateness watches for an answer that takes much longer than usual. An upstream
// that accepts requests and never answers would otherwise be noticed only when
// deadlines pass.
type lateness struct {
	mu   sync.Mutex
	sent bool // the outcome was reported as slow
	done bool // the answer header is there, or the attempt has failed
	cut  *time.Timer
	next *choice // slot taken for the attempt after a cut; read after stop
}

// arm lets up call back when its answer is late.
func (l *lateness) arm(a *attempt, up *upstream.Attempt) {
	high, known := a.st.highLatency(routeName(a.e.route))
	after, ok := lateAfter(a.e.svc.Document, high, known)
	if !ok {
		return
	}
	cutAfter := max(cutFactor*high, minCut, after)
	up.LateAfter = after
	up.Late = func() { l.fire(a, after, cutAfter-after, known) }
}

// lateAfter returns the time after which an answer is slow by the document's
// rules, or false when these do not say so before the answer is there.
func lateAfter(doc *document.Document, high time.Duration, known bool) (time.Duration, bool) {
	factor := defaultSlowFactor
	if doc.Unhealthy.SlowFactor != nil {
		factor = *doc.Unhealthy.SlowFactor
	}
	var after time.Duration
	if known && factor >= 1 {
		after = max(lateFactor*time.Duration(factor*float64(high)), minLate)
	}
	if limit := milliseconds(doc.Unhealthy.SlowAfterMS); limit > 0 && (after == 0 || limit < after) {
		after = limit
	}
	return after, after > 0
}

// fire reports a late answer. The class is OK with the time so far, because the
// engine judges slowness and makes allowance for cold starts.
func (l *lateness) fire(a *attempt, waited, cutIn time.Duration, mayCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
		return
	}
	l.sent = true
	a.s.control.ReportOutcome(a.outcome(health.OK, "late", waited))
	if mayCut && a.e.route.Idempotent && a.number < a.e.retryLimit() {
		l.cut = time.AfterFunc(cutIn, func() { l.cutOff(a) })
	}
}

// cutOff ends a late attempt, if another one is allowed and has a slot.
func (l *lateness) cutOff(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done || a.e.body != nil && !a.e.body.replayable() {
		return
	}
	w := *a.e.want
	w.retry = true
	w.tried = append(slices.Clone(w.tried), a.choice.upstream.ID)
	c, ok := a.st.tryAcquire(&w)
	if !ok {
		return
	}
	if slices.Contains(w.tried, c.upstream.ID) || !a.st.spend(false) {
		a.st.release(c.upstream.ID)
		return
	}
	l.next = &c
	a.cancel(errLate)
}

// stop ends the watch and tells whether the attempt was cut off.
func (l *lateness) stop() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done = true
	if l.cut != nil {
		l.cut.Stop()
	}
	return l.next != nil
}
