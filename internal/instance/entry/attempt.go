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

// errLate ends an attempt at an upstream that takes much longer than usual,
// when another attempt is allowed.
var errLate = errors.New("no answer header within the usual time")

// refusalBody is the size, in bytes, up to which the body of a refusal is read,
// so that its connection can be used again.
const refusalBody = 4 << 10

// attempt is one attempt of a request at one upstream.
type attempt struct {
	s      *Server
	e      *exchange
	st     *service
	choice choice
	cause  string   // why it was made, empty for the first one
	number int      // from 0
	before *attempt // beside which it runs, nil for none

	ctx     context.Context
	cancel  context.CancelCauseFunc
	view    *bodyView // nil without a body
	started time.Time

	trace   upstream.Trace
	err     error
	refused upstream.Refusal
	answer  *upstream.Answer
	head    []byte        // the first bytes of the answer, in a buffer of the pool
	whole   bool          // head is the whole body
	reading time.Duration // waiting for the rest of a streamed answer
	late    lateness
	ended   bool
}

// newAttempt returns an attempt with the slot of a choice.
func (e *exchange) newAttempt(st *service, c choice, cause string, number int) *attempt {
	a := &attempt{s: e.s, e: e, st: st, choice: c, cause: cause, number: number}
	a.ctx, a.cancel = context.WithCancelCause(e.ctx)
	return a
}

// run makes the attempt. Afterwards either err is set, or answer is ready to be
// passed on. Unless the answer is to be streamed, the attempt has ended.
func (a *attempt) run() {
	a.started = time.Now()
	a.st.metrics.attempts.Inc(1)
	a.answer, a.trace, a.err = a.s.pools.Do(a.ctx, a.request())
	if a.late.stop() { // even if the answer has come in the meantime
		a.err = errkind.Wrap(errkind.UpstreamSilent, errLate, "upstream %s", a.choice.upstream.ID)
	}
	if a.err == nil {
		a.st.noteLoad(a)
		a.read()
	}
	if a.err != nil || a.whole {
		a.end()
	}
}

// request returns the attempt as the upstream package takes it.
func (a *attempt) request() upstream.Attempt {
	e, u := a.e, &a.choice.upstream
	req := e.outgoing(u)
	if e.body != nil {
		a.view = e.body.view()
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

// read reads the first bytes of the answer, or the whole of it if it is short.
func (a *attempt) read() {
	if a.answer.Refused != upstream.NotRefused {
		a.refused = a.answer.Refused
		a.err = errkind.New(errkind.UpstreamRefused, "upstream %s refused the request: %s", a.choice.upstream.ID, a.refused)
		_, _ = io.CopyN(io.Discard, a.answer.Body, refusalBody)
		return
	}
	a.head = a.s.buffers.get()
	n, err := io.ReadFull(a.answer.Body, a.head)
	a.head = a.head[:n]
	switch err {
	case nil: // longer than the buffer
	case io.EOF, io.ErrUnexpectedEOF:
		a.whole = true
	default:
		a.err = err
	}
}

// end closes the answer, gives the slot back and reports the outcome. A slow
// caller does not hold the slot: a whole answer ends the attempt before it is
// written.
func (a *attempt) end() {
	if a.ended {
		return
	}
	a.ended = true
	if a.answer == nil && a.err == nil {
		a.err = errkind.New(errkind.Internal, "the attempt did not run to its end")
	}
	if a.answer != nil {
		_ = a.answer.Body.Close()
	}
	if a.view != nil {
		a.view.Interrupt()
	}
	a.cancel(nil)
	if a.err != nil && a.head != nil {
		a.s.buffers.put(a.head)
		a.head = nil
	}
	class, _ := a.class()
	a.st.giveBack(a.choice, class)
	a.avoid()
	a.st.noteBorrow(a)
	a.report()
	a.record()
}

// record adds the attempt to the request's explanation.
func (a *attempt) record() {
	r := admin.Attempt{
		Upstream:   a.choice.upstream.ID,
		Home:       a.choice.home,
		Fresh:      a.trace.Fresh,
		Took:       time.Since(a.started),
		BytesSent:  a.trace.Sent,
		RetryCause: a.cause,
		Fails:      a.choice.placed.fails,
		Load:       a.choice.placed.load,
		Last:       a.late.refused,
	}
	switch {
	case a.refused != upstream.NotRefused:
		r.Result = "refused-" + string(a.refused)
	case a.err != nil:
		r.Result = string(a.e.kindOf(a.err))
	default:
		r.Result = strconv.Itoa(a.answer.StatusCode)
	}
	if a.notNeeded() {
		r.Result = resultNotNeeded
	}
	a.e.mu.Lock()
	defer a.e.mu.Unlock()
	a.e.explanation.Attempts = append(a.e.explanation.Attempts, r)
	a.e.upstreamTime += r.Took
	if a.err != nil && a.trace.Sent && a.refused == upstream.NotRefused && a.e.unknown == nil {
		a.e.unknown = a.err
	}
}

// resultNotNeeded stands for the result of an attempt that was ended because
// another one has answered the request.
const resultNotNeeded = "not-needed"

// final reports whether there is an answer that is passed on whatever other
// attempts bring.
func (a *attempt) final() bool { return a.err == nil && !(a.unhealthy() && a.whole) }

// unhealthy reports whether the answer has a status that the document counts
// as a failure.
func (a *attempt) unhealthy() bool {
	return a.err == nil && unhealthyStatus(a.e.svc.Document, a.answer.StatusCode)
}
