package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/membudget"
)

const (
	// firstRead is the size of the first buffer of net/http, which may contain
	// bytes of the body after the header.
	firstRead = 4 << 10
	// callerSendBuffer is the send buffer of a caller's connection in bytes. Without
	// it the operating system keeps up to several megabytes for a caller that
	// doesn't read.
	callerSendBuffer = 128 << 10
	// shortSendBuffer replaces callerSendBuffer for a large response while memory is
	// short.
	shortSendBuffer = 16 << 10
	// callerReceiveBuffer is the receive buffer of a new connection in bytes. It takes
	// the first flight of a request; those of all connections fit into the part of
	// the instance's memory that is left to sockets.
	callerReceiveBuffer = 16 << 10
	// openReceiveBuffer replaces it while bodies are read.
	openReceiveBuffer = 256 << 10
	// writePiece is the size of one write to a caller. Each counts as progress.
	writePiece = 16 << 10
	// rejectTimeout is how long a rejected header is read on, so that the caller
	// gets the response before its connection is reset.
	rejectTimeout = 200 * time.Millisecond
)

// connPhase is what is read from a caller's connection.
type connPhase int32

const (
	phaseNew    connPhase = iota // nothing was received
	phaseIdle                    // nothing since the last response
	phaseHeader                  // a request header
	phaseServing
)

// headerLimits are the limits of request headers in effect, 0 for none.
type headerLimits struct {
	bytes   int
	timeout time.Duration
}

// callerConn is a connection accepted by a listener.
type callerConn struct {
	net.Conn
	l       *listener
	holder  *membudget.Holder
	serving atomic.Bool // a request is being served and its response isn't written yet
	phase   atomic.Int32

	// The fields below belong to the goroutine that reads the header.
	headerRead  int       // bytes received since the header began
	headerExtra int64     // bytes reserved for it
	headerUntil time.Time // zero for no limit

	// written is the number of bytes written since the last check for bytes that the
	// caller hasn't received.
	written atomic.Int64

	mu         sync.Mutex
	closed     bool
	windowOpen bool      // the receive buffer is large
	exchange   *exchange // the request being served, nil for none
}

// Read counts the bytes received as progress and enforces the limits of headers.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.holder.Advance(n)
		if connPhase(c.phase.Load()) != phaseServing && !c.acceptHeaderBytes(n) {
			return 0, io.EOF // net/http closes the connection without a response
		}
	}
	return n, err
}

// acceptHeaderBytes counts n bytes received before a request is served, and reports
// whether they are within the limits.
func (c *callerConn) acceptHeaderBytes(n int) bool {
	limits := c.l.headerLimits()
	if phase := connPhase(c.phase.Load()); phase != phaseHeader {
		c.headerRead, c.headerUntil = 0, time.Time{}
		if limits.timeout > 0 {
			c.headerUntil = time.Now().Add(limits.timeout)
		}
		if phase == phaseNew && limits.timeout > 0 { // net/http has set its deadline before
			_ = c.Conn.SetReadDeadline(c.headerUntil)
		}
		c.phase.Store(int32(phaseHeader))
		c.holder.SetStage(membudget.Header)
	}
	c.headerRead += n
	if limits.bytes > 0 && c.headerRead > limits.bytes+firstRead {
		c.rejectHeader()
		return false
	}
	if c.headerRead > firstRead {
		extra := int64(headerFactor * n)
		if !c.holder.Reserve(membudget.Connection, extra) {
			return false
		}
		c.headerExtra += extra
	}
	return true
}

// rejectHeader responds to a header that is too large. No request is being served.
func (c *callerConn) rejectHeader() {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(rejectTimeout))
	if _, err := c.Conn.Write(rawErrorResponse(errkind.HeaderTooLarge)); err != nil {
		return
	}
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(rejectTimeout))
	_, _ = io.CopyBuffer(io.Discard, struct{ io.Reader }{c.Conn}, make([]byte, discardChunk))
}

// SetReadDeadline keeps the deadline of a header that is being received.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if connPhase(c.phase.Load()) == phaseHeader && !c.headerUntil.IsZero() && t.After(c.headerUntil) {
		t = c.headerUntil
	}
	return c.Conn.SetReadDeadline(t)
}

// setIdle is called by net/http when a response is complete and the connection
// stays open.
func (c *callerConn) setIdle() {
	if c.headerExtra > 0 {
		c.holder.Return(membudget.Connection, c.headerExtra)
		c.headerExtra = 0
	}
	c.phase.Store(int32(phaseIdle))
	c.holder.SetStage(membudget.Idle)
}

// begin starts a request.
func (c *callerConn) begin(e *exchange) {
	c.phase.Store(int32(phaseServing))
	c.serving.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange = e
}

// end ends the request and returns the memory of its body and response.
func (c *callerConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange = nil
	if c.closed {
		c.holder.Close()
		return
	}
	c.holder.ReturnAll(membudget.Body, membudget.Answer)
}

// Close closes the connection, which then no longer counts toward the limit. The
// memory of a request that is being served is returned when that ends.
func (c *callerConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeLocked()
}

func (c *callerConn) closeLocked() error {
	if !c.closed {
		c.closed = true
		c.l.open.Add(-1)
		if c.exchange == nil {
			c.holder.Close()
		}
	}
	return c.Conn.Close()
}

// evict ends the request or the connection, and reports whether it did. A request
// that is at an upstream stays.
func (c *callerConn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch stage := c.holder.Stage(); {
	case c.closed, stage == membudget.Sent:
		return false
	case stage == membudget.Receiving && c.exchange != nil && c.exchange.body != nil:
		return c.exchange.body.fail(errkind.New(errkind.MemoryShort, "the body made no progress or its caller holds the most memory"))
	case stage == membudget.Streaming && c.exchange != nil && c.exchange.body != nil:
		return c.exchange.body.fail(errkind.New(errkind.CallerStalled, "the body came too slowly while others waited"))
	default:
		_ = c.closeLocked()
	}
	return true
}

// evictConn closes the connection for a new one, and reports whether it did. A
// request that is at an upstream stays.
func (c *callerConn) evictConn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.holder.Stage() == membudget.Sent {
		return false
	}
	if c.exchange != nil && c.exchange.body != nil { // ends a wait for memory
		c.exchange.body.fail(errkind.New(errkind.CallerGone, "the connection was closed for a new one"))
	}
	_ = c.closeLocked()
	return true
}

// endIfHungUp cancels the request if its caller has closed the connection. Nothing
// else notices that while nobody reads the body.
func (c *callerConn) endIfHungUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.exchange; e != nil && e.body != nil && !e.body.complete() && c.isHungUp() {
		e.hangUp()
	}
}

// blocksSlot reports whether the request holds the slot of an upstream while others
// wait for one. It is called at stage Streaming or Writing.
func (c *callerConn) blocksSlot() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.exchange
	if e == nil || !e.holdsSlot.Load() {
		return false
	}
	return e.st.hasWaiting()
}

// bodyEndsLate reports whether the rest of the request's body can't arrive before the
// deadline at the rate at which it comes.
func (c *callerConn) bodyEndsLate(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.exchange
	return e != nil && e.body != nil && e.body.endsLate(now)
}

func (c *callerConn) nearLimit() bool { return c.l.nearLimit() }

// Write replaces the responses that net/http generates for requests that it
// can't parse, because these carry no error kind. net/http writes them in one
// call while no request is being served.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.serving.Load() || !bytes.HasPrefix(p, []byte("HTTP/1.1 ")) {
		return c.writePieces(p)
	}
	kind := errkind.BadRequest
	if bytes.HasPrefix(p, []byte("HTTP/1.1 431 ")) {
		kind = errkind.HeaderTooLarge
	}
	if _, err := c.Conn.Write(rawErrorResponse(kind)); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *callerConn) writePieces(p []byte) (int, error) {
	written := 0
	for {
		n, err := c.Conn.Write(p[written:min(len(p), written+writePiece)])
		written += n
		c.written.Add(int64(n))
		c.holder.Advance(n)
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// abort makes Close reset the connection. An HTTP/1.0 caller takes any other
// close for the end of the response.
func (c *callerConn) abort() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
}

type callerConnKey struct{}

// withCallerConn adds the connection to the context of its requests.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerConnOf returns the connection of a request, nil if Run didn't accept it.
func callerConnOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(callerConnKey{}).(*callerConn)
	return c
}
