package upstream

import (
	"context"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/errkind"
)

// Refusal is the reason why an upstream did not run a request.
type Refusal string

// Reasons for refusing a request.
const (
	NotRefused Refusal = ""
	Shed       Refusal = "shed"     // all slots are in use
	Draining   Refusal = "draining" // the upstream is shutting down
	Replaced   Refusal = "replaced" // the address now belongs to another upstream
)

// Attempt describes one attempt to send a request to one upstream.
type Attempt struct {
	Target  Target
	Request *http.Request // Body may implement Interrupter
	// Idempotent allows reuse of a connection that has been idle for a while,
	// which the upstream may close just as the request is sent.
	Idempotent bool
	// FreshOnly forces a new connection.
	FreshOnly bool
	// OnLate is called if the response header has not arrived LateAfter after
	// the request was written. It must not block. A LateAfter of 0 disables it.
	LateAfter time.Duration
	OnLate    func()
}

// Interrupter is a request body that can be interrupted: Interrupt makes
// pending and later reads fail. The transport waits for a pending read of the
// body before it reports a failure, so without Interrupt the report is delayed.
type Interrupter interface{ Interrupt() }

// Trace describes how far an attempt got, whether it succeeded or failed.
type Trace struct {
	Fresh             bool // a new connection was opened for this attempt
	Sent              bool // bytes of the request may have been written
	Received          bool // bytes of a response were received
	UnverifiedRefusal bool // refused, but without proof that the request was not run
	OutOfResources    bool // failed because this machine lacked a resource
	Leaving           bool // the upstream has announced in its response that it is leaving
	// Backoff is how long the upstream wants no more requests from this instance,
	// as the response with which it refused this one says; 0 if it doesn't, or if
	// the response was rejected and may be a copy of an earlier one.
	Backoff time.Duration
	// Latency is the time from the end of writing the request to the end of the
	// response header, or 0 if the response came first. It excludes the time
	// that the caller takes to send its body.
	Latency time.Duration
}

// Response is a response whose header has been checked. The body must be closed.
type Response struct {
	*http.Response
	// Refused is set if the upstream provably did not run the request.
	Refused Refusal
}

// Sizes of the receive buffer of a connection in bytes. A caller that doesn't read a
// large response lets the upstream fill it.
const (
	ReceiveBuffer     = 16 << 10 // of a new connection, to be set when it is opened
	OpenReceiveBuffer = 256 << 10
)

// OpenWindow enlarges the receive buffer for the rest of a large response.
func (r *Response) OpenWindow() {
	if b, ok := r.Body.(*body); ok {
		b.exchange.conn.netConn.setWindow(true)
	}
}

// Do makes one attempt: it gets a connection, writes the request and reads the
// response header. It writes the request to at most one connection and never
// resends it. The context covers the whole attempt, including reading the body.
//
// Errors carry an errkind.Kind. After the context has ended, the error also
// matches ctx.Err(). If Trace.Sent is false, no byte of the request was written.
func (p *Pools) Do(ctx context.Context, a Attempt) (*Response, Trace, error) {
	pl, c, err := p.get(ctx, a)
	if err != nil {
		return nil, Trace{Fresh: true, OutOfResources: isResourceError(err)}, markContextError(ctx, err)
	}
	x := &exchange{pool: pl, conn: c, attempt: a, trace: Trace{Fresh: c.fresh}}
	x.writtenBefore, x.receivedBefore = c.netConn.setOnClose(x.interrupt)
	x.ctx, x.cancel = context.WithCancel(ctx)
	if ctx.Err() != nil { // the transport would still write the request
		x.fail()
		return nil, x.trace, markContextError(ctx, errkind.New(errkind.ConnectFailed, "the context ended before sending"))
	}
	resp, err := x.run()
	if err != nil {
		x.fail()
		return nil, x.trace, markContextError(ctx, err)
	}
	return resp, x.trace, nil
}

// exchange is one attempt on one connection.
type exchange struct {
	pool           *pool
	conn           *conn
	attempt        Attempt
	trace          Trace
	timing         timing
	ctx            context.Context
	cancel         context.CancelFunc
	writtenBefore  int64 // byte counts of the connection at the start
	receivedBefore int64
}

// run sends the request and returns the response. It leaves the connection open
// on error.
func (x *exchange) run() (*Response, error) {
	stop := context.AfterFunc(x.ctx, x.interrupt)
	defer stop()
	x.timing.onLate, x.timing.lateAfter = x.attempt.OnLate, x.attempt.LateAfter
	httpResp, err := x.conn.client.RoundTrip(x.attempt.Request.WithContext(x.timing.traceContext(x.ctx)))
	x.trace.Latency = x.timing.stop()
	x.trace.Sent = true
	x.trace.Received = x.conn.netConn.receivedSince(x.receivedBefore)
	if err != nil {
		return nil, x.roundTripError(err)
	}
	httpResp.Body = &body{ReadCloser: httpResp.Body, exchange: x, endsWithConn: !framed(x.attempt.Request, httpResp)}
	resp := &Response{Response: httpResp}
	if err := x.checkResponse(resp); err != nil {
		return nil, err
	}
	x.trace.Backoff = backoffOf(httpResp)
	// A response with which an address was refused is another upstream's.
	x.trace.Leaving = resp.Refused != Replaced && x.pool.protocol.isLeaving(httpResp)
	return resp, nil
}

// interrupt ends a pending read of the request body. Otherwise the transport
// waits for that read even after the connection or the context has ended.
func (x *exchange) interrupt() {
	if b, ok := x.attempt.Request.Body.(Interrupter); ok {
		b.Interrupt()
	}
}

// fail closes the connection and records whether anything was sent.
func (x *exchange) fail() {
	x.trace.Sent = x.conn.netConn.stopWrites(x.writtenBefore)
	x.pool.discard(x.conn)
	x.cancel()
}

func (x *exchange) roundTripError(err error) error {
	switch {
	case !x.conn.netConn.stopWrites(x.writtenBefore):
		return errkind.Wrap(errkind.ConnectFailed, err, "connection closed before the request was written")
	case !x.trace.Received:
		return errkind.Wrap(errkind.UpstreamReset, err, "wait for the response")
	case x.conn.netConn.hasReadEnded():
		return errkind.Wrap(errkind.TruncatedAnswer, err, "read the response header")
	}
	return errkind.Wrap(errkind.BadAnswer, err, "read the response header")
}

// markContextError makes err match ctx.Err() if the context has ended.
func markContextError(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	return errors.Mark(err, ctx.Err())
}

// isResourceError reports whether err means that this machine lacked file
// descriptors, ports or memory. Such an error says nothing about the upstream.
func isResourceError(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// maxStatus is the highest status that HTTP defines a class for.
const maxStatus = 599

// checkResponse rejects a response that cannot be forwarded as the complete
// response to the request, and sets Refused for a refusal.
func (x *exchange) checkResponse(resp *Response) error {
	protocol := &x.pool.protocol
	echo, echoed := resp.Header[protocol.RequestID]
	id := x.attempt.Request.Header.Get(protocol.RequestID)
	if echoed && (len(echo) != 1 || echo[0] != id) {
		return errkind.New(errkind.CrossedAnswer, "the response belongs to request %q", echo)
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return errkind.New(errkind.BadAnswer, "unexpected status %d", resp.StatusCode)
	}
	if !x.pool.protocol.Unframed && !framed(x.attempt.Request, resp.Response) {
		return errkind.New(errkind.BadAnswer, "the response has neither a length nor chunked encoding")
	}
	refused := protocol.ParseRefusal(resp.Response)
	if refused == NotRefused {
		return x.checkOrigin(resp.Response, echoed)
	}
	// A refusal proves that the request was not run only if it cannot belong to
	// another request: it carries this request's ID, or no other request was
	// ever sent on the connection.
	if !echoed && !x.conn.fresh {
		x.trace.UnverifiedRefusal = true
		return errkind.New(errkind.BadAnswer, "a refusal without a request ID on a reused connection")
	}
	resp.Refused = refused
	return nil
}

// checkOrigin rejects a successful response unless its headers show that the
// upstream itself created it for this request, without content encoding, and a
// failure that may be a late copy of another request's. It accepts every response
// if the protocol has no signature header.
func (x *exchange) checkOrigin(resp *http.Response, echoed bool) error {
	protocol := &x.pool.protocol
	switch {
	case protocol.Signature == "":
		return nil
	case resp.StatusCode >= http.StatusMultipleChoices && !echoed && !x.conn.fresh:
		return errkind.New(errkind.BadAnswer, "a failure without a request ID on a reused connection")
	case resp.StatusCode >= http.StatusMultipleChoices:
		return nil
	case !echoed:
		return errkind.New(errkind.BadAnswer, "a successful response without a request ID")
	case resp.Header.Get(protocol.Signature) == "":
		return errkind.New(errkind.BadAnswer, "a successful response without a signature")
	case resp.Header.Get("Content-Encoding") != "":
		return errkind.New(errkind.BadAnswer, "an encoded body that was not requested")
	}
	return nil
}

// framed reports whether the end of the response is known without waiting for
// the connection to close.
func framed(req *http.Request, resp *http.Response) bool {
	return req.Method == http.MethodHead ||
		resp.StatusCode == http.StatusNoContent ||
		resp.StatusCode == http.StatusNotModified ||
		resp.ContentLength >= 0 ||
		slices.Contains(resp.TransferEncoding, "chunked")
}
