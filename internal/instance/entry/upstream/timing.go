package upstream

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"
)

// timing measures how long an upstream takes to answer once it has the whole
// request.
type timing struct {
	late      func() // called lateAfter after the request was written
	lateAfter time.Duration

	mu      sync.Mutex
	wrote   time.Time // end of writing, zero before
	timer   *time.Timer
	stopped bool
}

// trace returns a context by which the transport reports the end of writing.
func (t *timing) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: t.wroteRequest})
}

func (t *timing) wroteRequest(info httptrace.WroteRequestInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if info.Err != nil || t.stopped {
		return
	}
	t.wrote = time.Now()
	if t.lateAfter > 0 && t.late != nil {
		t.timer = time.AfterFunc(t.lateAfter, t.late)
	}
}

// stop ends the measurement and returns the time since the request was
// written, or 0 when it was not written to its end.
func (t *timing) stop() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.wrote.IsZero() {
		return 0
	}
	return time.Since(t.wrote)
}
