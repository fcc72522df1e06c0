package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

// readStartTimeout limits the wait for the transport to start the next Read on a
// connection after a response. The transport's goroutine only has to be
// scheduled for that, but a shorter timeout makes a busy machine open
// connections that it does not need.
const readStartTimeout = 20 * time.Millisecond

// writeErrorDelay is the longest time for which a write error is delayed so that
// a response can still be read. Writing fails when an upstream responds without
// reading the complete body and closes the connection. On a write error the
// transport closes the connection at once, before it has read the response.
const writeErrorDelay = 100 * time.Millisecond

// countingConn is a connection that counts the bytes written and received. It
// tells an attempt whether any byte of its request was written, and the pool
// whether unexpected bytes have arrived.
type countingConn struct {
	net.Conn
	done chan struct{} // closed after a read error or EOF, or when the connection is closed
	// windowOpen belongs to the attempt that uses the connection.
	windowOpen bool

	mu            sync.Mutex
	written       int64         // bytes accepted by the operating system
	writing       bool          // a Write is in progress
	writeEnded    chan struct{} // closed when the Write in progress ends, nil if nobody waits for that
	broken        error         // error of a Write that the peer's orderly end does not cause, nil for none
	writesStopped bool          // further Writes fail
	received      int64         // bytes received
	readEnded     bool          // a Read failed or returned EOF
	doneClosed    bool          // done is closed
	reading       bool          // a Read is in progress; the transport's buffer is empty
	readStarted   chan struct{} // closed when a Read starts, nil if nobody waits for that
	onClose       func()        // called when the connection is closed, or nil
}

// Write counts the bytes that were accepted, including those of a partial write.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesStopped {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writing = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writing = false
	c.written += int64(n)
	c.recordWriteErrorLocked(err)
	c.mu.Unlock()
	if err != nil {
		c.waitDone()
	}
	return n, err
}

// waitDone waits until nothing more can be read, at most writeErrorDelay.
func (c *countingConn) waitDone() {
	t := time.NewTimer(writeErrorDelay)
	defer t.Stop()
	select {
	case <-c.done:
	case <-t.C:
	}
}

// closeDoneLocked closes done unless it is closed already.
func (c *countingConn) closeDoneLocked() {
	if !c.doneClosed {
		c.doneClosed = true
		close(c.done)
	}
}

// Read counts the bytes received. The transport calls it only when its buffer is
// empty.
func (c *countingConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	if c.readStarted != nil {
		close(c.readStarted)
		c.readStarted = nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endOfStream()
	}
	c.mu.Lock()
	c.reading = false
	c.received += int64(n)
	if err != nil {
		c.readEnded = true
		c.closeDoneLocked()
	}
	c.mu.Unlock()
	return n, err
}

// Close closes the connection and calls the function set by setOnClose.
func (c *countingConn) Close() error {
	c.mu.Lock()
	onClose := c.onClose
	c.closeDoneLocked()
	c.mu.Unlock()
	err := c.Conn.Close()
	if onClose != nil {
		onClose()
	}
	return err
}

// setWindow makes the receive buffer large for a response, or small again.
func (c *countingConn) setWindow(open bool) {
	if open == c.windowOpen {
		return
	}
	c.windowOpen = open
	size := ReceiveBuffer
	if open {
		size = OpenReceiveBuffer / 2 // which Linux doubles
	}
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.SetReadBuffer(size)
	}
}

// setOnClose sets the function to call when the connection is closed, possibly
// several times. It returns the current byte counts.
func (c *countingConn) setOnClose(onClose func()) (written, received int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onClose = onClose
	return c.written, c.received
}

// receivedSince reports whether bytes have arrived since setOnClose returned
// count as the number of bytes received.
func (c *countingConn) receivedSince(count int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received != count
}

// hasReadEnded reports whether a Read has failed or returned EOF.
func (c *countingConn) hasReadEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readEnded
}

// stopWrites makes further Writes fail. It reports whether any byte was written,
// or may have been, since setOnClose returned count as the number of bytes
// written. False proves that none was.
func (c *countingConn) stopWrites(count int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesStopped = true
	return c.writing || c.written != count
}

// waitReading waits until a Read is in progress, which means that the transport
// has no buffered bytes. It returns false after readStartTimeout.
func (c *countingConn) waitReading() bool {
	c.mu.Lock()
	if c.reading {
		c.mu.Unlock()
		return true
	}
	if c.readStarted == nil {
		c.readStarted = make(chan struct{})
	}
	started := c.readStarted
	c.mu.Unlock()
	t := time.NewTimer(readStartTimeout)
	defer t.Stop()
	select {
	case <-started:
		return true
	case <-t.C:
		return false
	}
}

// receiveBufferEmpty reports whether the operating system has received neither
// further bytes nor the end of the stream. It only peeks, so a Read in progress
// loses nothing.
func (c *countingConn) receiveBufferEmpty() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
	})
	return err == nil && empty
}

// dialResult passes the connection from the transport's dial function to
// Pools.open.
type dialResult struct{ conn *countingConn }

type dialResultKey struct{}

func (p *Pools) dial(ctx context.Context, network, address string) (net.Conn, error) {
	nc, err := p.cfg.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &countingConn{Conn: nc, done: make(chan struct{})}
	if result, ok := ctx.Value(dialResultKey{}).(*dialResult); ok {
		result.conn = c
	}
	return c, nil
}

// conn is a connection to an upstream. One attempt owns it at a time.
type conn struct {
	client   *http.ClientConn
	netConn  *countingConn
	lastUsed time.Time // end of the last complete response
	fresh    bool      // no request was sent on it before the current one
	release  func()    // ends its part of the limit; may be called several times
	// carried holds the hashes of the IDs of all requests sent on the connection.
	// A response echoes the ID of a request, which several attempts may share, so
	// it identifies an attempt only if the connection carries each ID once.
	carried []uint64
}

// maxRequests is the number of requests after which a connection is not reused. It
// bounds conn.carried.
const maxRequests = 512

// hasCarried reports whether a request with the given ID was sent on the
// connection. A hash collision only makes the attempt use another connection.
func (c *conn) hasCarried(id string) bool { return slices.Contains(c.carried, xxhash.Sum64String(id)) }

// carry records that a request with the given ID is sent on the connection.
func (c *conn) carry(id string) { c.carried = append(c.carried, xxhash.Sum64String(id)) }

// open opens a connection. It takes at most half of the time left until the
// deadline, so that an unreachable upstream leaves time to try another one.
func (p *Pools) open(ctx context.Context, address string, release func()) (*conn, error) {
	timeout := p.cfg.ConnectTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result := new(dialResult)
	cc, err := p.transport.NewClientConn(context.WithValue(ctx, dialResultKey{}, result), "http", address)
	if err != nil {
		return nil, err
	}
	return &conn{client: cc, netConn: result.conn, fresh: true, release: release}, nil
}

// verify reports whether an idle connection can be reused: it is open, the
// transport is waiting for the next response, and nothing has arrived.
func (c *conn) verify() bool {
	return c.netConn.waitReading() && c.client.Available() > 0 && c.netConn.receiveBufferEmpty()
}

// close closes the connection. After a 101 response the transport no longer owns
// the network connection and leaves it open, so close closes that as well.
func (c *conn) close() {
	_ = c.client.Close()
	_ = c.netConn.Close()
	c.release()
}
