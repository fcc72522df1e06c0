package upstream

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// countedConn counts the bytes of a connection, so that an attempt knows
// whether any byte of its request was written.
type countedConn struct {
	net.Conn
	written atomic.Int64 // bytes accepted by the operating system
	read    atomic.Int64 // bytes received
	writing atomic.Int32 // Write calls in progress
}

// Write counts the bytes that were accepted, also when it fails part way.
func (c *countedConn) Write(p []byte) (int, error) {
	c.writing.Add(1)
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	c.writing.Add(-1)
	return n, err
}

// Read counts the bytes received.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// wroteSince reports whether bytes may have been written after the count was
// before. A call in progress counts as written.
func (c *countedConn) wroteSince(before int64) bool {
	return c.writing.Load() != 0 || c.written.Load() != before
}

// dialSlot carries the connection from the transport's dial function to the
// code that called NewClientConn.
type dialSlot struct{ conn *countedConn }

type dialSlotKey struct{}

func (p *Pools) dial(ctx context.Context, network, address string) (net.Conn, error) {
	nc, err := p.cfg.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &countedConn{Conn: nc}
	if s, ok := ctx.Value(dialSlotKey{}).(*dialSlot); ok {
		s.conn = c
	}
	return c, nil
}

// conn is a connection to an upstream. One attempt owns it at a time.
type conn struct {
	client   *http.ClientConn
	counted  *countedConn
	lastUsed time.Time // end of the last whole answer
	fresh    bool      // has carried no request before the current one
}

// open opens a connection. The context bounds only the opening.
func (p *Pools) open(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.ConnectTimeout)
	defer cancel()
	slot := new(dialSlot)
	cc, err := p.transport.NewClientConn(context.WithValue(ctx, dialSlotKey{}, slot), "http", address)
	if err != nil {
		return nil, err
	}
	return &conn{client: cc, counted: slot.conn, fresh: true}, nil
}

func (c *conn) close() { _ = c.client.Close() }
