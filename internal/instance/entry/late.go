package entry

import (
	"slices"
	"sync"
	"time"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/entry/upstream"
)

// An upstream counts as silent when its answer takes silentFactor times as long
// as healthy answers rarely exceed, and at least minSilent. Smaller values find
// upstreams that accept requests and never answer sooner, and take slow starts
// and short pauses for faults.
const (
	silentFactor = 8
	minSilent    = 500 * time.Millisecond
)

// lateness watches for an answer that takes much longer than it should. An
// upstream that accepts requests and never answers would otherwise be noticed
// only when deadlines pass.
type lateness struct {
	slowAfter   time.Duration // the document's, 0 for none
	silentAfter time.Duration // 0 while the usual time is not known

	mu     sync.Mutex
	slow   bool // reported as slow
	silent bool // reported as silent
	done   bool // the answer header is there, or the attempt has failed
	timer  *time.Timer
	next   *choice // slot taken for the attempt after a cut; read after stop
	hedge  *hedge  // runs beside the attempt, nil for none; read after stop
	beaten bool    // the hedge has answered first
	// refused tells why the request was not sent to another upstream when its
	// answer was late; read after stop
	refused string
}

// arm lets up call back when its answer is late.
func (l *lateness) arm(a *attempt, up *upstream.Attempt) {
	high, known := a.st.highLatency(routeName(a.e.route))
	l.slowAfter = milliseconds(a.e.svc.Document.Unhealthy.SlowAfterMS)
	if a.st.placing != nil {
		l.silentAfter = a.st.giveUpAfter(a.choice, a.e.deadline)
	} else if known {
		l.silentAfter = max(silentFactor*high, minSilent, l.slowAfter)
	}
	switch {
	case l.slowAfter > 0:
		up.LateAfter, up.Late = l.slowAfter, func() { l.reportSlow(a) }
	case l.silentAfter > 0:
		up.LateAfter, up.Late = l.silentAfter, func() { l.reportSilent(a) }
	}
}

// reportSlow reports an answer that is slow by the document's limit. The class
// is OK with the time so far, because the engine judges slowness and makes
// allowance for cold starts.
func (l *lateness) reportSlow(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
		return
	}
	l.slow = true
	a.s.control.ReportOutcome(a.outcome(health.OK, "late", l.slowAfter))
	if l.silentAfter > 0 {
		l.timer = time.AfterFunc(l.silentAfter-l.slowAfter, func() { l.reportSilent(a) })
	}
}

// reportSilent reports a silent upstream, and begins another attempt if that is
// allowed and has a slot. The late one goes on beside it, unless both would need
// the request's body.
func (l *lateness) reportSilent(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
		return
	}
	l.silent = true
	a.s.control.ReportOutcome(a.outcome(health.Failed, string(errkind.UpstreamSilent), l.silentAfter))
	c := a.takeSuccessor()
	switch {
	case c == nil:
	case a.e.body == nil:
		l.hedge = a.startHedge(*c)
	default:
		l.next = c
		a.cancel(errLate)
	}
}

// takeSuccessor takes a slot and pays for another attempt of an idempotent
// request, if that is allowed. The goroutine that serves the request waits for
// the upstream meanwhile.
func (a *attempt) takeSuccessor() *choice {
	a.e.mu.Lock()
	defer a.e.mu.Unlock()
	if a.late.refused = a.e.noRetry(a); !a.e.route.Idempotent || a.late.refused != "" {
		return nil
	}
	w := *a.e.want
	w.retry = true
	w.tried = slices.Clone(w.tried)
	for b := a; b != nil; b = b.before { // the earlier ones may still go on
		w.tried = append(w.tried, b.choice.upstream.ID)
	}
	c, ok := a.st.tryAcquire(&w)
	switch {
	case !ok:
		a.late.refused = lastNoSlot
		return nil
	case slices.Contains(w.tried, c.upstream.ID):
		a.late.refused = lastNoSlot
	case !a.st.spend(false):
		a.late.refused = lastBudget
	default:
		return &c
	}
	a.st.giveBack(c, health.Neutral)
	return nil
}

// beat ends the attempt because a hedge has answered, unless its own answer has
// begun.
func (l *lateness) beat(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.done {
		l.beaten = true
		a.cancel(errLate)
	}
}

// stop ends the watch and tells whether the attempt was cut off.
func (l *lateness) stop() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done = true
	if l.timer != nil {
		l.timer.Stop()
	}
	return l.next != nil || l.beaten
}

// reported tells whether an outcome of the given class adds nothing to what was
// reported while the answer was awaited. It is called after stop.
func (l *lateness) reported(class health.Class) bool {
	return l.silent || l.slow && class != health.Failed
}
