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
	address string

	mu     sync.Mutex
	idle   []*conn // most recently used last
	busy   int     // connections owned by attempts or being opened
	closed bool
}

// get returns a checked idle connection, or opens one.
func (p *Pools) get(ctx context.Context, t Target, idempotent bool) (*pool, *conn, error) {
	pl := p.pool(t)
	maxIdle := t.IdleTimeout
	if !idempotent {
		maxIdle = min(maxIdle, verifiedFor)
	}
	c, err := pl.take(maxIdle, t.MaxConnections)
	if err != nil || c != nil {
		return pl, c, err
	}
	c, err = p.open(ctx, t.Address)
	if err != nil {
		pl.done()
		return nil, nil, errkind.Wrap(errkind.ConnectFailed, err, "connect to upstream %s at %s", t.Key.Upstream, t.Address)
	}
	return pl, c, nil
}

// take returns an idle connection that was used within maxIdle, or nil when
// one is to be opened. Either way the caller owns one place in the pool.
func (pl *pool) take(maxIdle time.Duration, limit int) (*conn, error) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for len(pl.idle) > 0 {
		last := len(pl.idle) - 1
		c := pl.idle[last]
		pl.idle = pl.idle[:last]
		if time.Since(c.lastUsed) < maxIdle && c.usable() {
			c.fresh = false
			pl.busy++
			return c, nil
		}
		c.close()
	}
	if pl.busy >= max(1, limit) {
		return nil, errkind.New(errkind.NoUpstream, "all %d connections to %s are in use", limit, pl.address)
	}
	pl.busy++
	return nil, nil
}

// usable reports whether an idle connection is still open.
func (c *conn) usable() bool { return c.client.Err() == nil && c.client.Available() > 0 }

// done gives back a place whose connection was closed or never opened.
func (pl *pool) done() {
	pl.mu.Lock()
	pl.busy--
	pl.mu.Unlock()
}

// put gives back a connection after a whole answer.
func (pl *pool) put(c *conn) {
	pl.mu.Lock()
	pl.busy--
	keep := !pl.closed
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
