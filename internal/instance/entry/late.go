package entry

import (
	"slices"
	"sync"
	"time"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/entry/upstream"
)

// An upstream counts as silent when a response takes silentFactor times the high
// latency estimate of its route, and at least minSilentAfter. Smaller values
// detect hanging upstreams sooner, but mistake cold starts and short pauses for
// faults.
const (
	silentFactor   = 8
	minSilentAfter = 500 * time.Millisecond
)

// lateDetector detects a response header that takes much longer than usual. An
// upstream that accepts requests and never responds would otherwise be detected
// only when deadlines pass.
type lateDetector struct {
	slowAfter   time.Duration // from the document, 0 for none
	silentAfter time.Duration // 0 until the usual latency is known

	mu         sync.Mutex
	slow       bool // reported as slow
	silent     bool // reported as silent
	done       bool // the response header has arrived, or the attempt has failed
	timer      *time.Timer
	next       *choice // slot for the attempt that follows this canceled one; read after stop
	hedge      *hedge  // hedge of this attempt, nil for none; read after stop
	superseded bool    // a hedge has responded first
	// noRetry is why a late request was not sent to another upstream. It is read
	// after stop.
	noRetry string
}

// arm sets the callback of up for a late response.
func (l *lateDetector) arm(a *attempt, up *upstream.Attempt) {
	high, known := a.st.highLatency(routeName(a.e.route))
	l.slowAfter = milliseconds(a.e.svc.Document.Unhealthy.SlowAfterMS)
	if a.st.placer != nil {
		l.silentAfter = a.st.hedgeDelay(a.choice, a.e.deadline)
	} else if known {
		l.silentAfter = max(silentFactor*high, minSilentAfter, l.slowAfter)
	}
	switch {
	case l.slowAfter > 0:
		up.LateAfter, up.OnLate = l.slowAfter, func() { l.reportSlow(a) }
	case l.silentAfter > 0:
		up.LateAfter, up.OnLate = l.silentAfter, func() { l.reportSilent(a) }
	}
}

// reportSlow reports a response that exceeds the document's slowness limit. The
// class is OK with the elapsed time, because the health engine evaluates latency
// and allows for cold starts.
func (l *lateDetector) reportSlow(a *attempt) {
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

// reportSilent reports a silent upstream and starts another attempt, if that is
// allowed and a slot is free. The late attempt continues as well, unless the
// request has a body, which both would have to read.
func (l *lateDetector) reportSilent(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
		return
	}
	l.silent = true
	a.s.control.ReportOutcome(a.outcome(health.Failed, string(errkind.UpstreamSilent), l.silentAfter))
	c := a.acquireLateRetry()
	switch {
	case c == nil:
	case a.e.body == nil:
		l.hedge = a.startHedge(*c)
	default:
		l.next = c
		a.cancel(errLateResponse)
	}
}

// acquireLateRetry takes a slot and charges the retry budget for another attempt
// of an idempotent request, if that is allowed. It runs while the goroutine that
// serves the request waits for the upstream.
func (a *attempt) acquireLateRetry() *choice {
	a.e.mu.Lock()
	defer a.e.mu.Unlock()
	if a.late.noRetry = a.e.noRetryReason(a); !a.e.route.Idempotent || a.late.noRetry != "" {
		return nil
	}
	req := *a.e.slotReq
	req.retry = true
	req.tried = slices.Clone(req.tried)
	for b := a; b != nil; b = b.hedgeOf { // the earlier ones may still be running
		req.tried = append(req.tried, b.choice.upstream.ID)
	}
	c, ok := a.st.tryAcquire(&req)
	switch {
	case !ok:
		a.late.noRetry = noRetryNoOtherUpstream
		return nil
	case slices.Contains(req.tried, c.upstream.ID):
		a.late.noRetry = noRetryNoOtherUpstream
	case !a.st.spendRetry(false):
		a.late.noRetry = noRetryBudget
	default:
		return &c
	}
	a.st.releaseChoice(c, health.Neutral)
	return nil
}

// supersede cancels a because a hedge has responded, unless the response to a
// has begun.
func (l *lateDetector) supersede(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.done {
		l.superseded = true
		a.cancel(errLateResponse)
	}
}

// stop ends the detection and reports whether the attempt was canceled.
func (l *lateDetector) stop() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done = true
	if l.timer != nil {
		l.timer.Stop()
	}
	return l.next != nil || l.superseded
}

// alreadyReported reports whether an outcome of the given class adds nothing to
// what was reported while waiting for the response. It is called after stop.
func (l *lateDetector) alreadyReported(class health.Class) bool {
	return l.silent || l.slow && class != health.Failed
}
