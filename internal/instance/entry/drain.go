package entry

import (
	"context"
	"sync/atomic"
	"time"
)

// drainState is the state of a planned stop.
type drainState struct{ started atomic.Bool }

// Drain stops the server in a planned way. It goes on accepting requests for
// the drain time, in which callers learn of other addresses, with answers that
// close their connections. Then it stops accepting and waits until the requests
// in flight have ended, for at most the stop limit. Requests that are still
// running after that limit are cut off, and the error says so.
func (s *Server) Drain(ctx context.Context) error {
	s.drain.started.Store(true)
	s.http.SetKeepAlivesEnabled(false)
	t := time.NewTimer(milliseconds(s.cfg.Times.DrainMS))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, milliseconds(s.cfg.Times.StopLimitMS))
	defer cancel()
	return s.http.Shutdown(ctx)
}
