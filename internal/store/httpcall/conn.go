// Package httpcall sends calls to a platform's service over HTTP/1.1, each at
// most once, and tells a call that had no effect from one whose result is
// unknown.
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
	// maxIdle is the number of connections kept between calls: one each for
	// the lease, the list, the audit trail and an operator's call.
	maxIdle = 4
	// idleLimit is below the 30 s and more after which servers and network
	// devices close silent connections.
	idleLimit = 10 * time.Second
)

// connectTimeout is the longest time for opening a connection. The operating
// system sends a lost opening packet again after 1 s, 2 s, 4 s and so on; a new
// connection finds a path that has just come back sooner.
const connectTimeout = 600 * time.Millisecond

// keepAlive finds a dead store below a pending watch within about 4 s; the
// watch itself would notice it after up to 20 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// writeTracker is a connection that knows whether anything may have been
// written to it since the last reset.
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

// wrote reports whether a write was begun. The answer is final once the
// connection is closed.
func (t *writeTracker) wrote() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.written
}

// conn is one connection. An http.ClientConn sends each request exactly once:
// http.Transport.RoundTrip sends a request again by itself when a pooled
// connection breaks and the request counts as replayable.
type conn struct {
	http    *http.ClientConn
	tracker *writeTracker
	reused  bool
	idle    time.Time
}

func (c *conn) close() {
	c.http.Close()
	c.tracker.Close()
}

// Client makes calls to one address. It may be used by several goroutines.
type Client struct {
	address string
	mu      sync.Mutex
	idle    []*conn
}

// New returns a client for the service at address, IP:port. It connects at the
// first call.
func New(address string) *Client { return &Client{address: address} }

// take returns an idle connection, or a new one when there is none or fresh
// is set.
func (p *Client) take(ctx context.Context, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.takeIdle(time.Now()); c != nil {
			return c, nil
		}
	}
	return p.dial(ctx)
}

func (p *Client) takeIdle(now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.http.Err() == nil && now.Sub(c.idle) < idleLimit {
			c.reused = true
			c.tracker.reset()
			return c
		}
		c.close()
	}
	return nil
}

func (p *Client) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive, Timeout: connectTimeout}
	nc, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	tracker := &writeTracker{Conn: nc}
	t := &http.Transport{
		DialContext:        func(context.Context, string, string) (net.Conn, error) { return tracker, nil },
		DisableCompression: true,
	}
	cc, err := t.NewClientConn(ctx, "http", p.address)
	if err != nil {
		tracker.Close()
		return nil, errors.Wrap(err, "connect")
	}
	return &conn{http: cc, tracker: tracker}, nil
}

// put gives a connection back after a complete answer.
func (p *Client) put(c *conn) {
	c.idle = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdle || c.http.Err() != nil {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
}

// CloseIdle closes all idle connections. It is called after a timeout, because
// the other connections to the same address are likely to be silent too.
func (p *Client) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}
