package upstream

import (
	"context"
	"sync"
	"time"

	"knapweedreel/internal/errkind"
)

// verifiedFor is the time after a whole answer for which a connection may be
// used for a request that is not idempotent. An upstream closes idle
// connections after some time; a request that meets such a close has an
// unknown result, and a fresh connection avoids that.
const verifiedFor = time.Second

// pool holds the connections to one upstream.
type pool struct {
	address  string
	protocol Protocol

	mu     sync.Mutex
	idle   []*conn // most recently used last
	busy   int     // connections owned by attempts or being opened
	closed bool
}

// get returns a verified idle connection, or opens one. The caller gives it
// back with put or discard.
func (p *Pools) get(ctx context.Context, a Attempt) (*pool, *conn, error) {
	pl := p.pool(a.Target)
	youngest := a.Target.IdleTimeout
	if !a.Idempotent {
		youngest = min(youngest, verifiedFor)
	}
	for !a.FreshOnly {
		c := pl.takeIdle(youngest, a.Target.IdleTimeout)
		if c == nil {
			break
		}
		if c.verify() {
			c.fresh = false
			return pl, c, nil
		}
		pl.discard(c)
	}
	if !pl.reserve(a.Target.MaxConnections) {
		return nil, nil, errkind.New(errkind.NoUpstream, "all %d connections to upstream %s are in use",
			a.Target.MaxConnections, a.Target.Key.Upstream)
	}
	c, err := p.open(ctx, a.Target.Address)
	if err != nil {
		pl.discard(nil)
		return nil, nil, errkind.Wrap(errkind.ConnectFailed, err, "connect to upstream %s", a.Target.Key.Upstream)
	}
	return pl, c, nil
}

// takeIdle returns the idle connection that was used last, if that was within
// youngest. It closes connections that were idle for longer than idleTimeout.
func (pl *pool) takeIdle(youngest, idleTimeout time.Duration) *conn {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.dropIdleLocked(idleTimeout)
	last := len(pl.idle) - 1
	if last < 0 || time.Since(pl.idle[last].lastUsed) >= youngest {
		return nil
	}
	c := pl.idle[last]
	pl.idle = pl.idle[:last]
	pl.busy++
	return c
}

// dropIdle closes connections that were idle for longer than idleTimeout.
func (pl *pool) dropIdle(idleTimeout time.Duration) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.dropIdleLocked(idleTimeout)
}

func (pl *pool) dropIdleLocked(idleTimeout time.Duration) {
	old := 0
	for old < len(pl.idle) && time.Since(pl.idle[old].lastUsed) >= idleTimeout {
		pl.idle[old].close()
		old++
	}
	pl.idle = append(pl.idle[:0], pl.idle[old:]...)
}

// reserve makes room for a connection that is to be opened. At the limit it
// closes the idle connection that was used first.
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

// discard closes a connection that was taken. A nil connection stands for one
// that could not be opened.
func (pl *pool) discard(c *conn) {
	if c != nil {
		c.close()
	}
	pl.mu.Lock()
	pl.busy--
	pl.mu.Unlock()
}

// put gives back a connection after a whole answer.
func (pl *pool) put(c *conn) {
	pl.mu.Lock()
	pl.busy--
	keep := !pl.closed && c.client.Err() == nil
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
