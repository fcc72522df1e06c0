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

// quietTime is the time for which no caller may have been active before a
// planned stop ends. A request that is already on its way when a connection is
// closed would be lost.
const quietTime = 250 * time.Millisecond

// quietInterval is the time between looks at the callers' connections.
const quietInterval = 20 * time.Millisecond

// lastAnswers is the time for the answers to requests that are cut off.
const lastAnswers = 150 * time.Millisecond

// drainState is the state of a planned stop.
type drainState struct{ started atomic.Bool }

// Drain stops the server in a planned way. For the drain time it goes on
// accepting requests, because callers may keep its address for that long;
// answers carry Connection: close. Then it waits until no request is in flight
// and none arrives, and stops accepting. Requests that are still in flight when
// the stop limit has passed after the drain time are cut off, and the error
// says so. Callers that go on opening connections delay the end for at most
// the quiet limit. If ctx ends first, Drain returns its error and leaves
// the server running. Requests that are cut off are answered as such.
//
// Run returns only when its own context ends.
func (s *Server) Drain(ctx context.Context) error {
	s.drain.started.Store(true)
	if !supervisor.Sleep(ctx, milliseconds(s.cfg.Times.DrainMS)) {
		return ctx.Err()
	}
	limit, cancel := context.WithTimeout(ctx, milliseconds(s.cfg.Times.StopLimitMS))
	defer cancel()
	s.callers.await(limit, milliseconds(s.cfg.Times.QuietLimitMS), quietTime)
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
	s.end()
	last, cancelLast := context.WithTimeout(ctx, lastAnswers)
	defer cancelLast()
	if server.Shutdown(last) != nil {
		_ = server.Close()
	}
	return errors.Mark(errors.Wrap(err, "planned stop"), errDrainLimit)
}

// callerTable knows which callers' connections have a request in flight.
type callerTable struct {
	mu     sync.Mutex
	active map[net.Conn]struct{}
	idle   map[net.Conn]time.Time // when it became idle
	last   time.Time              // when a connection last changed its state
}

// state is the ConnState hook of the HTTP server. A new connection counts as
// active, because its first request is on its way.
func (t *callerTable) state(c net.Conn, state http.ConnState) {
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
		t.idle[c] = t.last
	}
}

// closeIdle closes the connections that have been idle since before a time.
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
// its state for the given time.
func (t *callerTable) isQuiet(now time.Time, quiet time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.active) == 0 && now.Sub(t.last) >= quiet
}

// await waits until callers have been quiet for the given time, at most for
// limit.
func (t *callerTable) await(ctx context.Context, limit, quiet time.Duration) {
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
