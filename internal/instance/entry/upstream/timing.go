package upstream

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"
)

// timing measures the time from the end of writing a request to the response
// header.
type timing struct {
	onLate    func() // called once lateAfter has passed since the request was written
	lateAfter time.Duration

	mu        sync.Mutex
	writtenAt time.Time // when the request was completely written, else zero
	timer     *time.Timer
	stopped   bool
}

// traceContext returns a context through which the transport reports that the
// request was written.
func (t *timing) traceContext(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: t.wroteRequest})
}

func (t *timing) wroteRequest(info httptrace.WroteRequestInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if info.Err != nil || t.stopped {
		return
	}
	t.writtenAt = time.Now()
	if t.lateAfter > 0 && t.onLate != nil {
		t.timer = time.AfterFunc(t.lateAfter, t.onLate)
	}
}

// stop ends the measurement and returns the time since the request was written,
// or 0 if it was not completely written.
func (t *timing) stop() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.writtenAt.IsZero() {
		return 0
	}
	return time.Since(t.writtenAt)
}
