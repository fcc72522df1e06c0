package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/supervisor"
)

// quietPeriod is how long callers must be inactive before a graceful shutdown
// completes. A request that is in transit when its connection is closed is lost.
const quietPeriod = 250 * time.Millisecond

// quietInterval is the polling interval of awaitQuiet.
const quietInterval = 20 * time.Millisecond

// finalResponseTimeout is the time for the error responses to requests that are
// canceled.
const finalResponseTimeout = 150 * time.Millisecond

// drainState is the state of a graceful shutdown.
type drainState struct {
	limit atomic.Pointer[time.Time] // when requests in flight are canceled; nil before the shutdown
}

func (d *drainState) started() bool { return d.limit.Load() != nil }

// endsBefore reports whether requests in flight are canceled before the given time.
func (d *drainState) endsBefore(t time.Time) bool {
	limit := d.limit.Load()
	return limit != nil && limit.Before(t)
}

// Drain shuts the server down gracefully. For the drain time it still accepts
// requests, because callers may cache its address for that long; responses
// carry Connection: close. Then it waits until no request is in flight and none
// arrives, and stops accepting. Callers that keep opening connections delay
// this for at most the quiet limit. Requests that are still in flight when the
// stop limit has passed after the drain time are canceled with an error
// response, and Drain returns an error. Requests that arrive so late that their
// response is not expected before then are refused instead of being sent to an
// upstream. If ctx is done first, Drain returns its error and leaves the server
// running.
//
// Run returns only when its own context is done.
func (s *Server) Drain(ctx context.Context) error {
	stopAt := time.Now().Add(milliseconds(s.cfg.Times.DrainMS) + milliseconds(s.cfg.Times.StopLimitMS))
	s.drain.limit.Store(&stopAt)
	if !supervisor.Sleep(ctx, milliseconds(s.cfg.Times.DrainMS)) {
		return ctx.Err()
	}
	limit, cancel := context.WithDeadline(ctx, stopAt)
	defer cancel()
	s.callers.awaitQuiet(limit, milliseconds(s.cfg.Times.QuietLimitMS), quietPeriod)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	server := s.server()
	if server == nil {
		return nil
	}
	err := server.Shutdown(limit)
	if err == nil {
		return nil
	}
	s.cancelRequests()
	final, cancelFinal := context.WithTimeout(ctx, finalResponseTimeout)
	defer cancelFinal()
	if server.Shutdown(final) != nil {
		_ = server.Close()
	}
	return errors.Mark(errors.Wrap(err, "graceful shutdown"), errDrainLimit)
}

// callerTable tracks which callers' connections have a request in flight.
type callerTable struct {
	mu     sync.Mutex
	active map[net.Conn]struct{}
	idle   map[net.Conn]time.Time // since when it has been idle
	last   time.Time              // last state change of any connection
}

// connState is the ConnState hook of the HTTP server. A new connection counts as
// active, because its first request is about to arrive.
func (t *callerTable) connState(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last = time.Now()
	delete(t.idle, c)
	if state == http.StateNew || state == http.StateActive {
		t.active[c] = struct{}{}
		return
	}
	delete(t.active, c)
	if state == http.StateIdle {
		if conn, ok := c.(*callerConn); ok {
			conn.setIdle()
		}
		t.idle[c] = t.last
	}
}

// closeIdle closes the connections that have been idle since before the given
// time.
func (t *callerTable) closeIdle(before time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, since := range t.idle {
		if since.Before(before) {
			_ = c.Close()
			delete(t.idle, c)
		}
	}
}

// isQuiet reports whether no request is in flight and no connection has changed
// state for the duration quiet.
func (t *callerTable) isQuiet(now time.Time, quiet time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.active) == 0 && now.Sub(t.last) >= quiet
}

// awaitQuiet waits until callers have been quiet for the duration quiet, for at
// most limit.
func (t *callerTable) awaitQuiet(ctx context.Context, limit, quiet time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	tick := time.NewTicker(quietInterval)
	defer tick.Stop()
	for !t.isQuiet(time.Now(), quiet) {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
