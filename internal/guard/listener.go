// Package guard bounds what clients can take of an instance at the listeners beside
// its entry: connections, receive and send buffers, headers and time. These listeners
// have no part in the memory for callers, so the bounds are fixed and small.
package guard

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"knapweedreel/internal/membudget"
	"knapweedreel/internal/sockbuf"
)

const (
	// receiveBuffer and sendBuffer are the sizes of a connection's buffers in the
	// operating system, in bytes. Linux doubles them for its own bookkeeping.
	receiveBuffer = 8 << 10
	sendBuffer    = 16 << 10
	// stall is the time without progress after which a connection may be closed for
	// a new one of the same address.
	stall = time.Second
	// connectionUnit is what a connection takes of the budget, which counts
	// connections.
	connectionUnit = 1
)

// Listener limits the number of open connections. At the limit, it closes another
// connection for each new one: an idle one, else the one with the least recent
// progress of the address that has most. An address may have three quarters of the
// connections; beyond that, its new ones are closed.
type Listener struct {
	net.Listener
	budget             *membudget.Budget
	displaced, refused tally.Counter
}

// Listen listens at a TCP address, IP:port. The name labels the metrics.
func Listen(ctx context.Context, name, address string, connections int, scope tally.Scope) (*Listener, error) {
	l, err := sockbuf.ListenConfig(receiveBuffer).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	closed := func(reason string) tally.Counter {
		return scope.Tagged(map[string]string{"listener": name, "reason": reason}).Counter("listener_connections_closed")
	}
	return &Listener{
		Listener: l, budget: membudget.New(membudget.Config{Limit: int64(connections) * connectionUnit, Stall: stall}),
		displaced: closed("displaced"), refused: closed("refused"),
	}, nil
}

// Accept waits for a connection, which is a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetWriteBuffer(sendBuffer)
		}
		now := time.Now()
		c := &Conn{Conn: nc}
		c.holder = l.budget.Open(membudget.CallerOf(nc.RemoteAddr()), c, now)
		c.holder.SetStage(membudget.Sent) // is not closed in favor of itself
		if l.admit(c, now) {
			c.holder.SetStage(membudget.Header)
			return c, nil
		}
		l.refused.Inc(1)
		_ = c.Close()
	}
}

// admit counts a connection, closing another one if necessary. It reports false if
// there is no room.
func (l *Listener) admit(c *Conn, now time.Time) bool {
	if c.holder.Reserve(membudget.Connection, connectionUnit) {
		return true
	}
	l.budget.Scan(now) // records progress, by which connections are chosen
	h := l.budget.EvictConnectionFor(c.holder, connectionUnit, now)
	if h == nil {
		return false
	}
	l.displaced.Inc(1)
	_ = h.Owner.(*Conn).Close()
	return c.holder.Reserve(membudget.Connection, connectionUnit)
}

// Conn is a connection accepted by a Listener.
type Conn struct {
	net.Conn
	holder *membudget.Holder
}

// Read counts the bytes received as progress.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.holder.Advance(n)
	return n, err
}

// Write counts the bytes written as progress.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.holder.Advance(n)
	return n, err
}

// SetIdle sets whether the connection waits for its client's next request.
func (c *Conn) SetIdle(idle bool) {
	if idle {
		c.holder.SetStage(membudget.Idle)
	} else {
		c.holder.SetStage(membudget.Header)
	}
}

// Keep exempts the connection of an authenticated client from being closed for a new
// one.
func (c *Conn) Keep() { c.holder.SetStage(membudget.Sent) }

// Close closes the connection, which then no longer counts. It may be called several
// times.
func (c *Conn) Close() error {
	c.holder.Close()
	return c.Conn.Close()
}
