package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// parkLimit is the time given to the reader of a connection to go back to
// waiting after an answer was read. It only has to be scheduled; a shorter time
// makes a busy machine open connections that it does not need.
const parkLimit = 20 * time.Millisecond

// answerGrace is the time for which a failed write is held back while an answer
// may still be read. An upstream that answers without reading the whole body
// and closes its connection makes writing fail, on which the transport closes
// the connection before it has read the answer.
const answerGrace = 100 * time.Millisecond

// countedConn is a connection that knows what passed through it. An attempt
// learns from it whether any byte of its request was written, and the pool
// whether the connection carries bytes that nobody asked for.
type countedConn struct {
	net.Conn
	over chan struct{} // closed when reading has ended or the connection is closed

	mu       sync.Mutex
	written  int64         // bytes accepted by the operating system
	writing  bool          // a Write is in progress
	sealed   bool          // no further Write is let through
	received int64         // bytes received
	ended    bool          // reading failed or reached the end
	isOver   bool          // over is closed
	parked   bool          // the reader waits, with an empty buffer
	onPark   chan struct{} // closed when the reader parks, nil if nobody waits
	onClose  func()        // called when the connection is closed, may be nil
}

// Write counts the bytes that were accepted, also when it fails part way.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writing = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writing = false
	c.written += int64(n)
	c.mu.Unlock()
	if err != nil {
		c.awaitOver()
	}
	return n, err
}

// awaitOver waits until nothing more can be read, for at most answerGrace.
func (c *countedConn) awaitOver() {
	t := time.NewTimer(answerGrace)
	defer t.Stop()
	select {
	case <-c.over:
	case <-t.C:
	}
}

// endLocked lets awaitOver return.
func (c *countedConn) endLocked() {
	if !c.isOver {
		c.isOver = true
		close(c.over)
	}
}

// Read counts the bytes received. The transport calls it only when it has
// nothing buffered.
func (c *countedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.parked = true
	if c.onPark != nil {
		close(c.onPark)
		c.onPark = nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.parked = false
	c.received += int64(n)
	if err != nil {
		c.ended = true
		c.endLocked()
	}
	c.mu.Unlock()
	return n, err
}

// Close closes the connection and tells the attempt that uses it.
func (c *countedConn) Close() error {
	c.mu.Lock()
	f := c.onClose
	c.endLocked()
	c.mu.Unlock()
	err := c.Conn.Close()
	if f != nil {
		f()
	}
	return err
}

// begin starts an attempt. It returns the counts at its start; onClose is
// called, possibly several times, when the connection is closed.
func (c *countedConn) begin(onClose func()) (written, received int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onClose = onClose
	return c.written, c.received
}

// receivedSince reports whether bytes arrived after the count was before.
func (c *countedConn) receivedSince(before int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received != before
}

// hasEnded reports whether reading has failed or reached the end.
func (c *countedConn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// seal lets no further byte be written and reports whether any was written, or
// may have been, after the count was before. Its false is a proof.
func (c *countedConn) seal(before int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writing || c.written != before
}

// waitParked waits until the reader waits for the next answer with an empty
// buffer. It returns false when that takes longer than parkLimit.
func (c *countedConn) waitParked() bool {
	c.mu.Lock()
	if c.parked {
		c.mu.Unlock()
		return true
	}
	if c.onPark == nil {
		c.onPark = make(chan struct{})
	}
	parked := c.onPark
	c.mu.Unlock()
	t := time.NewTimer(parkLimit)
	defer t.Stop()
	select {
	case <-parked:
		return true
	case <-t.C:
		return false
	}
}

// silent reports whether the operating system holds neither bytes nor an end
// of this connection. It does not disturb the reader.
func (c *countedConn) silent() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = err == syscall.EAGAIN
	})
	return err == nil && silent
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
	c := &countedConn{Conn: nc, over: make(chan struct{})}
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

// open opens a connection. It takes at most half of the time that is left, so
// that a request whose upstream cannot be reached has time for another one.
func (p *Pools) open(ctx context.Context, address string) (*conn, error) {
	timeout := p.cfg.ConnectTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	slot := new(dialSlot)
	cc, err := p.transport.NewClientConn(context.WithValue(ctx, dialSlotKey{}, slot), "http", address)
	if err != nil {
		return nil, err
	}
	return &conn{client: cc, counted: slot.conn, fresh: true}, nil
}

// verify reports whether an idle connection may carry a request: it is open,
// its reader waits for the next answer, and nothing has arrived.
func (c *conn) verify() bool {
	return c.counted.waitParked() && c.client.Available() > 0 && c.counted.silent()
}

// close closes the connection. The transport gives a connection away after a
// 101 answer and then leaves it open, hence the second call.
func (c *conn) close() {
	_ = c.client.Close()
	_ = c.counted.Close()
}
