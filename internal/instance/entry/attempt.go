package entry

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/admin"
	"knapweedreel/internal/instance/entry/upstream"
)

// errLateResponse cancels an attempt that takes much longer than usual when
// another one is allowed.
var errLateResponse = errors.New("no response header within the usual time")

// maxRefusalBody is the maximum number of bytes of a refusal's body that are
// read so that its connection can be reused.
const maxRefusalBody = 4 << 10

// attempt is an attempt to serve a request at one upstream.
type attempt struct {
	s       *Server
	e       *exchange
	st      *serviceState
	choice  choice
	holder  holder
	cause   string   // cause of a retry, empty for the first attempt
	number  int      // from 0
	hedgeOf *attempt // the attempt that this one hedges, nil for none

	ctx     context.Context
	cancel  context.CancelCauseFunc
	view    *bodyView // nil without a body
	started time.Time

	trace    upstream.Trace
	err      error
	refused  upstream.Refusal
	response *upstream.Response
	prefix   []byte        // first bytes of the response body, in a pooled buffer
	complete bool          // prefix is the complete body
	readTime time.Duration // spent reading the rest of a streamed response
	bodyRead int64         // bytes of the response body read so far
	late     lateDetector
	ended    bool
}

// newAttempt returns an attempt that uses the slot of a choice.
func (e *exchange) newAttempt(st *serviceState, c choice, cause string, number int) *attempt {
	a := &attempt{s: e.s, e: e, st: st, choice: c, cause: cause, number: number}
	a.ctx, a.cancel = context.WithCancelCause(e.ctx)
	return a
}

// run makes the attempt. Afterwards either err is set or response is ready to be
// forwarded. The attempt has ended unless the response has to be streamed.
func (a *attempt) run() {
	a.started = time.Now()
	a.st.metrics.attempts.Inc(1)
	if a.e.conn != nil {
		a.e.conn.endIfHungUp() // since the last scan
	}
	if a.holder, a.err = a.e.holder(); a.err == nil {
		a.e.setSending()
		a.response, a.trace, a.err = a.s.pools.Do(a.ctx, a.upstreamAttempt())
	}
	if a.late.stop() { // even if the response has arrived in the meantime
		a.err = errkind.Wrap(errkind.UpstreamSilent, errLateResponse, "upstream %s", a.choice.upstream.ID)
	}
	a.recordLeaving()
	if a.err == nil {
		a.st.recordLoad(a)
		a.readPrefix()
	}
	if a.err != nil || a.complete {
		a.end()
	}
}

// upstreamAttempt returns the attempt as an upstream.Attempt, with the callback
// for a late response.
func (a *attempt) upstreamAttempt() upstream.Attempt {
	e, u := a.e, &a.choice.upstream
	req := e.outgoingRequest(u, a.holder)
	if e.body != nil {
		a.view = e.body.view()
		a.holder.removeHeaders(a.view.trailer, a.s.protocol())
		req.Body, req.Trailer = a.view, a.view.trailer
	}
	up := upstream.Attempt{
		Target: upstream.Target{
			Key:            health.Key{Service: e.svc.Name, Upstream: u.ID},
			Address:        u.Address,
			MaxConnections: u.MaxConnections,
			IdleTimeout:    idleTimeout(e.svc.Document),
		},
		Request:    req,
		Idempotent: e.route.Idempotent,
		FreshOnly:  e.freshOnly(u.ID),
	}
	a.late.arm(a, &up)
	return up
}

// readPrefix reads the first bytes of the response body, or all of a short body.
func (a *attempt) readPrefix() {
	if a.response.Refused != upstream.NotRefused {
		a.refused = a.response.Refused
		a.err = errkind.New(errkind.UpstreamRefused, "upstream %s refused the request: %s", a.choice.upstream.ID, a.refused)
		_, _ = io.CopyN(io.Discard, a.response.Body, maxRefusalBody)
		return
	}
	a.takeBuffer()
	n, err := io.ReadFull(a.response.Body, a.prefix)
	a.prefix = a.prefix[:n]
	a.bodyRead = int64(n)
	switch err {
	case nil: // longer than the buffer
	case io.EOF, io.ErrUnexpectedEOF:
		a.complete = true
	default:
		a.err = err
	}
}

// end closes the response, releases the slot and reports the outcome. A complete
// response ends the attempt before it is written, so that a slow caller doesn't
// occupy the slot.
func (a *attempt) end() {
	if a.ended {
		return
	}
	a.ended = true
	if a.response == nil && a.err == nil {
		a.err = errkind.New(errkind.Internal, "the attempt did not complete")
	}
	if a.response != nil {
		_ = a.response.Body.Close()
	}
	if a.view != nil {
		a.view.Interrupt()
	}
	a.cancel(nil)
	if a.err != nil {
		a.releaseBuffer()
	}
	a.e.holdsSlot.Store(false)
	class, _ := a.class()
	if class == health.OK {
		a.st.recordResponseSize(routeName(a.e.route), a.bodyRead)
	}
	a.avoid() // before a queued request gets the slot
	a.st.releaseChoice(a.choice, class)
	a.st.recordBorrow(a)
	a.report()
	a.recordExplanation()
}

// recordExplanation adds the attempt to the explanation of the request.
func (a *attempt) recordExplanation() {
	r := admin.Attempt{
		Upstream:   a.choice.upstream.ID,
		Home:       a.choice.home,
		Fresh:      a.trace.Fresh,
		Took:       time.Since(a.started),
		BytesSent:  a.trace.Sent,
		RetryCause: a.cause,
		Fails:      a.choice.tracked.fails,
		Load:       a.choice.tracked.load,
		Last:       a.late.noRetry,
	}
	switch {
	case a.refused != upstream.NotRefused:
		r.Result = "refused-" + string(a.refused)
	case a.err != nil:
		r.Result = string(a.e.kindOf(a.err))
	default:
		r.Result = strconv.Itoa(a.response.StatusCode)
	}
	if a.notNeeded() {
		r.Result = resultNotNeeded
	}
	a.e.mu.Lock()
	defer a.e.mu.Unlock()
	a.e.explanation.Attempts = append(a.e.explanation.Attempts, r)
	a.e.upstreamTime += r.Took
	if a.err != nil && a.trace.Sent && a.refused == upstream.NotRefused && a.e.mayHaveRun == nil {
		a.e.mayHaveRun = a.err
	}
}

// resultNotNeeded is the result of an attempt that was canceled because another
// one has responded.
const resultNotNeeded = "not-needed"

// final reports whether the attempt has a response that is forwarded whatever
// the outcome of other attempts.
func (a *attempt) final() bool { return a.err == nil && !(a.unhealthy() && a.complete) }

// unhealthy reports whether the response has a status that the document counts
// as a failure.
func (a *attempt) unhealthy() bool {
	return a.err == nil && unhealthyStatus(a.e.svc.Document, a.response.StatusCode)
}
