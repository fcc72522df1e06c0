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

// Refusal is the reason of an upstream that has not run a request.
type Refusal string

// The refusals.
const (
	NotRefused Refusal = ""
	Shed       Refusal = "shed"     // all slots are in use
	Draining   Refusal = "draining" // the upstream is leaving
	Replaced   Refusal = "replaced" // another upstream has the address now
)

// Attempt is one request to one upstream.
type Attempt struct {
	Target  Target
	Request *http.Request // its Body may be an Interrupter
	// Idempotent allows an older pooled connection, whose close by the upstream
	// may cross the request.
	Idempotent bool
	// FreshOnly makes the attempt open a connection.
	FreshOnly bool
	// Late is called when the answer header is still missing LateAfter after
	// the request was written. 0 turns it off. It must not block.
	LateAfter time.Duration
	Late      func()
}

// Interrupter is a request body whose pending and later reads can be made to
// fail. The transport waits for a pending read before it reports a failure, so
// a body that cannot be interrupted delays it.
type Interrupter interface{ Interrupt() }

// Trace tells what is known of an attempt, also of one that failed.
type Trace struct {
	Fresh    bool // the connection was opened for this attempt
	Sent     bool // bytes of the request may have been written
	Received bool // bytes of an answer were received
	Unproven bool // refused in a way that does not prove that it was not run
	Local    bool // failed for lack of a resource of this machine
	// Latency is the time from the end of writing the request to the end of the
	// answer header, 0 for an answer that came before. The time that a caller
	// takes to send its body is not part of it.
	Latency time.Duration
}

// Answer is an answer whose header has passed the checks. Its body must be
// closed.
type Answer struct {
	*http.Response
	// Refused is set when the upstream has provably not run the request.
	Refused Refusal
}

// Do makes one attempt: it takes or opens a connection, writes the request and
// reads the header of the answer. It writes the request to at most one
// connection and never resends it. The context bounds the whole attempt,
// including the reading of the body.
//
// Errors carry an errkind.Kind. When the context has ended, the error also
// matches its error. When Trace.Sent is false, no byte of the request was
// written.
func (p *Pools) Do(ctx context.Context, a Attempt) (*Answer, Trace, error) {
	pl, c, err := p.get(ctx, a)
	if err != nil {
		return nil, Trace{Fresh: true, Local: local(err)}, contextFirst(ctx, err)
	}
	x := &exchange{pool: pl, conn: c, attempt: a, trace: Trace{Fresh: c.fresh}}
	x.written, x.read = c.counted.begin(x.interrupt)
	x.ctx, x.cancel = context.WithCancel(ctx)
	if ctx.Err() != nil { // the transport would write the request all the same
		x.fail()
		return nil, x.trace, contextFirst(ctx, errkind.New(errkind.ConnectFailed, "the context ended before sending"))
	}
	ans, err := x.run()
	if err != nil {
		x.fail()
		return nil, x.trace, contextFirst(ctx, err)
	}
	return ans, x.trace, nil
}

// exchange is an attempt on a connection.
type exchange struct {
	pool    *pool
	conn    *conn
	attempt Attempt
	trace   Trace
	timing  timing
	ctx     context.Context
	cancel  context.CancelFunc
	written int64 // counts of the connection at the start
	read    int64
}

// run sends the request and returns the answer. After an error the connection
// is still open.
func (x *exchange) run() (*Answer, error) {
	stop := context.AfterFunc(x.ctx, x.interrupt)
	defer stop()
	x.timing.late, x.timing.lateAfter = x.attempt.Late, x.attempt.LateAfter
	resp, err := x.conn.client.RoundTrip(x.attempt.Request.WithContext(x.timing.trace(x.ctx)))
	x.trace.Latency = x.timing.stop()
	x.trace.Sent = true
	x.trace.Received = x.conn.counted.receivedSince(x.read)
	if err != nil {
		return nil, x.roundTripError(err)
	}
	resp.Body = &body{ReadCloser: resp.Body, x: x, last: !framed(x.attempt.Request, resp)}
	ans := &Answer{Response: resp}
	if err := x.check(ans); err != nil {
		return nil, err
	}
	return ans, nil
}

// interrupt ends a pending read of the request's body, for which the transport
// waits when the connection or the context has ended.
func (x *exchange) interrupt() {
	if b, ok := x.attempt.Request.Body.(Interrupter); ok {
		b.Interrupt()
	}
}

// fail closes the connection and settles whether anything was sent.
func (x *exchange) fail() {
	x.trace.Sent = x.conn.counted.seal(x.written)
	x.pool.discard(x.conn)
	x.cancel()
}

func (x *exchange) roundTripError(err error) error {
	switch {
	case !x.conn.counted.seal(x.written):
		return errkind.Wrap(errkind.ConnectFailed, err, "connection closed before the request was written")
	case !x.trace.Received:
		return errkind.Wrap(errkind.UpstreamReset, err, "wait for the answer")
	case x.conn.counted.hasEnded():
		return errkind.Wrap(errkind.TruncatedAnswer, err, "read the answer header")
	}
	return errkind.Wrap(errkind.BadAnswer, err, "read the answer header")
}

// contextFirst makes err match the error of a context that has ended.
func contextFirst(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	return errors.Mark(err, ctx.Err())
}

// local reports whether a connection failed for lack of descriptors, ports or
// memory of this machine, which says nothing about the upstream.
func local(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// check refuses answers that cannot be passed on as the whole answer to the
// request, and recognises refusals.
func (x *exchange) check(ans *Answer) error {
	p := &x.pool.protocol
	echo, echoed := ans.Header[p.RequestID]
	id := x.attempt.Request.Header.Get(p.RequestID)
	if echoed && (len(echo) != 1 || echo[0] != id) {
		return errkind.New(errkind.CrossedAnswer, "the answer belongs to request %q", echo)
	}
	if ans.StatusCode < http.StatusOK {
		return errkind.New(errkind.BadAnswer, "unexpected status %d", ans.StatusCode)
	}
	if !x.pool.protocol.Unframed && !framed(x.attempt.Request, ans.Response) {
		return errkind.New(errkind.BadAnswer, "the answer has neither a length nor chunked framing")
	}
	refused := p.Refused(ans.Response)
	if refused == NotRefused {
		return x.checkGenuine(ans.Response, echoed)
	}
	// A refusal proves that the request was not run only if it cannot be meant
	// for another one: it names this request, or no other request was ever sent
	// on the connection.
	if !echoed && !x.conn.fresh {
		x.trace.Unproven = true
		return errkind.New(errkind.BadAnswer, "a refusal without request identity on a reused connection")
	}
	ans.Refused = refused
	return nil
}

// checkGenuine refuses a success that the protocol's marks do not show to be
// the upstream's own, unencoded answer to this request.
func (x *exchange) checkGenuine(resp *http.Response, echoed bool) error {
	p := &x.pool.protocol
	if p.Signature == "" || resp.StatusCode >= http.StatusMultipleChoices {
		return nil
	}
	switch {
	case !echoed:
		return errkind.New(errkind.BadAnswer, "a success without request identity")
	case resp.Header.Get(p.Signature) == "":
		return errkind.New(errkind.BadAnswer, "a success without signature")
	case resp.Header.Get("Content-Encoding") != "":
		return errkind.New(errkind.BadAnswer, "an encoded body that was not asked for")
	}
	return nil
}

// framed reports whether the end of the answer can be told from the end of
// the connection.
func framed(req *http.Request, resp *http.Response) bool {
	return req.Method == http.MethodHead ||
		resp.StatusCode == http.StatusNoContent ||
		resp.StatusCode == http.StatusNotModified ||
		resp.ContentLength >= 0 ||
		slices.Contains(resp.TransferEncoding, "chunked")
}
