package upstream

import (
	"context"
	"slices"
	"sync"
	"time"

	"knapweedreel/internal/errkind"
)

// maxIdleNonIdempotent is the longest idle time after which a connection is
// reused for a request that is not idempotent. If the upstream closes an idle
// connection while a request is being sent, it is unknown whether the request
// was run; a new connection avoids that.
const maxIdleNonIdempotent = time.Second

// pool holds the connections to one upstream.
type pool struct {
	address  string
	protocol Protocol

	mu     sync.Mutex
	idle   []*conn // most recently used last
	busy   int     // connections used by attempts or being opened
	closed bool
}

// get returns a verified idle connection that has not carried a request with the
// same ID, or opens a new one. The caller returns it with put or discard.
func (p *Pools) get(ctx context.Context, a Attempt) (*pool, *conn, error) {
	pl := p.pool(a.Target)
	id := a.Request.Header.Get(pl.protocol.RequestID)
	maxIdle := a.Target.IdleTimeout
	if !a.Idempotent {
		maxIdle = min(maxIdle, maxIdleNonIdempotent)
	}
	for !a.FreshOnly {
		c := pl.takeIdle(id, maxIdle, a.Target.IdleTimeout)
		if c == nil {
			break
		}
		if c.verify() {
			c.fresh = false
			c.carry(id)
			return pl, c, nil
		}
		pl.discard(c)
	}
	if !pl.reserve(a.Target.MaxConnections) {
		return nil, nil, errkind.New(errkind.NoUpstream, "all %d connections to upstream %s are in use",
			a.Target.MaxConnections, a.Target.Key.Upstream)
	}
	if !p.reserveOpen(a.Target.Key.Service) {
		pl.discard(nil)
		return nil, nil, errkind.Wrap(errkind.ConnectFailed, errTooManyOpen, "connect to upstream %s", a.Target.Key.Upstream)
	}
	release := sync.OnceFunc(func() { p.limit.Release(a.Target.Key.Service) })
	c, err := p.open(ctx, a.Target.Address, release)
	if err != nil {
		release()
		pl.discard(nil)
		return nil, nil, errkind.Wrap(errkind.ConnectFailed, err, "connect to upstream %s", a.Target.Key.Upstream)
	}
	c.carry(id)
	return pl, c, nil
}

// takeIdle returns the most recently used of the connections that have been idle
// for less than maxIdle and have not carried a request with the given ID, nil if
// there is none. It closes connections that have been idle for idleTimeout or
// longer.
func (pl *pool) takeIdle(id string, maxIdle, idleTimeout time.Duration) *conn {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.closeIdleLocked(idleTimeout)
	for i, c := range slices.Backward(pl.idle) {
		if time.Since(c.lastUsed) >= maxIdle {
			break
		}
		if !c.hasCarried(id) {
			pl.idle = slices.Delete(pl.idle, i, i+1)
			pl.busy++
			return c
		}
	}
	return nil
}

// closeIdle closes connections that have been idle for idleTimeout or longer.
func (pl *pool) closeIdle(idleTimeout time.Duration) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.closeIdleLocked(idleTimeout)
}

func (pl *pool) closeIdleLocked(idleTimeout time.Duration) {
	expired := 0
	for expired < len(pl.idle) && time.Since(pl.idle[expired].lastUsed) >= idleTimeout {
		pl.idle[expired].close()
		expired++
	}
	pl.idle = append(pl.idle[:0], pl.idle[expired:]...)
}

// reserve counts a connection that is about to be opened as busy. It returns
// false if busy connections reach the limit. If idle connections are in the way,
// it closes the least recently used ones.
func (pl *pool) reserve(limit int) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	limit = max(1, limit)
	if pl.busy >= limit {
		return false
	}
	for pl.busy+len(pl.idle) >= limit {
		pl.idle[0].close()
		pl.idle = append(pl.idle[:0], pl.idle[1:]...)
	}
	pl.busy++
	return true
}

// discard closes a connection obtained by get. A nil connection stands for one
// that could not be opened.
func (pl *pool) discard(c *conn) {
	if c != nil {
		c.close()
	}
	pl.mu.Lock()
	pl.busy--
	pl.mu.Unlock()
}

// put returns a connection to the pool after a complete response.
func (pl *pool) put(c *conn) {
	pl.mu.Lock()
	pl.busy--
	keep := !pl.closed && c.client.Err() == nil && len(c.carried) < maxRequests
	if keep {
		c.lastUsed = time.Now()
		pl.idle = append(pl.idle, c)
	}
	pl.mu.Unlock()
	if !keep {
		c.close()
	}
}

func (pl *pool) close() {
	pl.mu.Lock()
	idle := pl.idle
	pl.idle = nil
	pl.closed = true
	pl.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}
