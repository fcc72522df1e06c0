// Package httpcall sends calls to a platform's services over HTTP/1.1. A write
// is sent at most once, and its error states whether the call had no effect or
// an unknown result.
package httpcall

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxIdleConns is the maximum number of idle connections: one each for the
	// lease, the instance list, the audit trail and an operator's call.
	maxIdleConns = 4
	// idleConnTimeout is below the 30 s or more after which servers and network
	// devices close idle connections.
	idleConnTimeout = 10 * time.Second
)

// connectTimeout is the timeout for opening a connection. The operating system
// retransmits a lost SYN after 1 s, 2 s, 4 s and so on, so a new attempt succeeds
// sooner once the network has recovered.
const connectTimeout = 600 * time.Millisecond

// keepAlive detects an unreachable store during a pending watch within about
// 4 s; the timeout of the watch would take up to 20 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// writeTracker is a connection that records whether a write was started since
// the last reset.
type writeTracker struct {
	net.Conn
	mu      sync.Mutex
	written bool
	closed  bool
}

func (t *writeTracker) Write(b []byte) (int, error) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return 0, net.ErrClosed
	}
	t.written = true
	t.mu.Unlock()
	return t.Conn.Write(b)
}

func (t *writeTracker) Close() error {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	return t.Conn.Close()
}

func (t *writeTracker) reset() {
	t.mu.Lock()
	t.written = false
	t.mu.Unlock()
}

// wrote reports whether a write was started. The result is final once the
// connection is closed.
func (t *writeTracker) wrote() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.written
}

// conn is one connection. It uses http.ClientConn, which sends each request
// exactly once, because http.Transport.RoundTrip retries replayable requests by
// itself when a pooled connection breaks.
type conn struct {
	http      *http.ClientConn
	tracker   *writeTracker
	reused    bool
	idleSince time.Time
}

func (c *conn) close() {
	c.http.Close()
	c.tracker.Close()
}

// Client makes calls to one address. It is safe for concurrent use.
type Client struct {
	address   string
	mu        sync.Mutex
	idleConns []*conn
}

// New returns a client for the service at address, IP:port. It connects at the
// first call.
func New(address string) *Client { return &Client{address: address} }

// getConn returns an idle connection, or a new one if there is none or fresh is
// set.
func (cl *Client) getConn(ctx context.Context, fresh bool) (*conn, error) {
	if !fresh {
		if c := cl.getIdleConn(time.Now()); c != nil {
			return c, nil
		}
	}
	return cl.dial(ctx)
}

func (cl *Client) getIdleConn(now time.Time) *conn {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for len(cl.idleConns) > 0 {
		c := cl.idleConns[len(cl.idleConns)-1]
		cl.idleConns = cl.idleConns[:len(cl.idleConns)-1]
		if c.http.Err() == nil && now.Sub(c.idleSince) < idleConnTimeout {
			c.reused = true
			c.tracker.reset()
			return c
		}
		c.close()
	}
	return nil
}

func (cl *Client) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive, Timeout: connectTimeout}
	nc, err := d.DialContext(ctx, "tcp", cl.address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	tracker := &writeTracker{Conn: nc}
	t := &http.Transport{
		DialContext:        func(context.Context, string, string) (net.Conn, error) { return tracker, nil },
		DisableCompression: true,
	}
	cc, err := t.NewClientConn(ctx, "http", cl.address)
	if err != nil {
		tracker.Close()
		return nil, errors.Wrap(err, "connect")
	}
	return &conn{http: cc, tracker: tracker}, nil
}

// putConn makes a connection idle after a complete response, or closes it.
func (cl *Client) putConn(c *conn) {
	c.idleSince = time.Now()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.idleConns) >= maxIdleConns || c.http.Err() != nil {
		c.close()
		return
	}
	cl.idleConns = append(cl.idleConns, c)
}

// CloseIdle closes all idle connections. It is called after a timeout, because
// the other connections to the same address are likely to be dead too.
func (cl *Client) CloseIdle() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, c := range cl.idleConns {
		c.close()
	}
	cl.idleConns = nil
}
