package entry

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/account"
	"knapweedreel/internal/document"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/admin"
	"knapweedreel/internal/membudget"
	"knapweedreel/internal/routing"
)

// Defaults for documents that don't set the values.
const (
	defaultDeadline    = 10 * time.Second
	defaultIdleTimeout = 10 * time.Second
	defaultMaxBody     = 16 << 20
)

// exchange is the state of one request. It belongs to the goroutine that serves
// the request.
type exchange struct {
	s      *Server
	w      http.ResponseWriter
	rc     *http.ResponseController
	r      *http.Request
	conn   *callerConn        // nil if ServeHTTP is called without Run, as in tests
	ctx    context.Context    // done at the deadline or when the caller disconnects
	cancel context.CancelFunc // of ctx
	id     string
	caller string
	// credentials are nil before the request is matched.
	credentials *credentials
	account     *account.Account // that was identified, nil for none
	token       requestToken
	started     time.Time
	deadline    time.Time
	svc         *routing.Service
	st          *serviceState
	slotReq     *slotRequest
	route       *document.Route
	body        *requestBody       // nil without a body
	hangUp      context.CancelFunc // cancels the context of r, nil without a body
	memory      *membudget.Holder
	// holdsSlot is set while the request holds a slot and waits for its caller: for
	// the rest of the body, or until the caller reads a streamed response.
	holdsSlot atomic.Bool
	aborted   bool

	// mu guards the fields below and slotReq, which concurrent attempts share.
	mu           sync.Mutex
	unsent       int      // unsent attempts that don't count toward the limit
	deadPooled   []string // upstreams whose pooled connection was dead
	mayHaveRun   error    // first failure after which the request may have been run
	upstreamTime time.Duration
	explanation  admin.RequestExplanation
}

// setDeadline replaces the context by one that ends at the deadline.
func (e *exchange) setDeadline() {
	if e.cancel != nil {
		e.cancel()
	}
	ctx, cancel := context.WithDeadline(e.r.Context(), e.deadline)
	stop := context.AfterFunc(e.s.stopping, cancel)
	e.ctx, e.cancel = ctx, func() {
		stop()
		cancel()
	}
}

// setSending records that an upstream gets the request, and whether the request
// waits for its caller meanwhile.
func (e *exchange) setSending() {
	if e.body == nil {
		e.memory.SetStage(membudget.Sent)
		return
	}
	e.holdsSlot.Store(true)
	e.body.setSending()
}

// acquire takes a slot and records the time spent waiting.
func (e *exchange) acquire() (choice, error) {
	began := time.Now()
	c, err := e.st.acquire(e.ctx, e.slotReq)
	e.explanation.Queued += time.Since(began)
	return c, err
}

// requestDeadline returns the earlier of the document's and the caller's
// deadline.
func (e *exchange) requestDeadline() (time.Time, error) {
	limit := defaultDeadline
	if e.svc.Document.DeadlineMS > 0 {
		limit = milliseconds(e.svc.Document.DeadlineMS)
	}
	if e.route.DeadlineMS > 0 {
		limit = milliseconds(e.route.DeadlineMS)
	}
	if v, ok := e.r.Header[e.s.protocol().Deadline]; ok {
		ms, err := strconv.ParseInt(v[0], 10, 64)
		if err != nil || ms < 0 || len(v) != 1 {
			return time.Time{}, errkind.New(errkind.BadRequest, "%s is not a number of milliseconds: %q", e.s.protocol().Deadline, v)
		}
		if ms < limit.Milliseconds() {
			limit = time.Duration(ms) * time.Millisecond
		}
	}
	return e.started.Add(limit), nil
}

// kindOf returns the error kind of a failed attempt or wait. A failure of the
// caller takes precedence over one of the upstream, because it is the cause.
func (e *exchange) kindOf(err error) errkind.Kind {
	if e.r.Context().Err() != nil {
		return errkind.CallerGone
	}
	if e.body != nil {
		if failure := e.body.failure(); failure != nil {
			return errkind.Of(failure)
		}
	}
	if e.s.stopping.Err() != nil && errors.Is(err, context.Canceled) {
		return errkind.Stopping
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.DeadlineExceeded
	}
	return errkind.Of(err)
}

// callerError returns the error to respond with after err has ended the request.
// It claims that the request was not run only if that holds for every attempt.
func (e *exchange) callerError(err error) error {
	kind := e.kindOf(err)
	if kind == errkind.DeadlineExceeded && e.mayHaveRun == nil {
		kind = errkind.DeadlineBeforeSend
	}
	if kind == errkind.Stopping && e.mayHaveRun == nil {
		kind = errkind.StoppingBeforeSend
	}
	if errkind.Lookup(kind).Run == errkind.NotRun && e.mayHaveRun == nil && kind != errkind.Unauthenticated {
		if revoked := e.checkAccount(); revoked != nil {
			kind, err = errkind.Unauthenticated, revoked
		}
	}
	if kind == errkind.QuotaExceeded && e.mayHaveRun == nil {
		return err // has the time after which to return
	}
	if errkind.Lookup(kind).Run == errkind.NotRun && e.mayHaveRun != nil {
		kind = e.kindOf(e.mayHaveRun)
		err = e.mayHaveRun
	}
	if errkind.Lookup(kind).Run == errkind.NotRun && e.mayHaveRun != nil {
		kind = errkind.UpstreamReset
	}
	err = errkind.Wrap(kind, err, "service %s", e.svc.Name)
	if errkind.Lookup(kind).RetryAfter > 0 && e.st != nil && e.slotReq != nil {
		err = errkind.WithRetryAfter(err, e.st.returnDelay(e.slotReq))
	}
	return err
}

// freshOnly reports whether pooled connections to an upstream must not be used.
func (e *exchange) freshOnly(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.deadPooled, id)
}

// outgoingRequest returns the request to send to an upstream for an account.
func (e *exchange) outgoingRequest(u *routing.Upstream, holder holder) *http.Request {
	p := e.s.protocol()
	h := e.r.Header.Clone()
	removeHopByHop(h)
	holder.setHeaders(h, p)
	h.Del("Expect") // handled by this server when the body is first read
	h.Set(p.RequestID, e.id)
	h.Set(p.Deadline, strconv.FormatInt(max(1, time.Until(e.deadline).Milliseconds()), 10))
	if p.Expect != "" {
		h.Set(p.Expect, u.ID)
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	req := &http.Request{
		Method: e.r.Method,
		URL: &url.URL{
			Scheme: "http", Host: u.Address, Path: e.r.URL.Path, RawPath: e.r.URL.RawPath,
			RawQuery: e.r.URL.RawQuery, ForceQuery: e.r.URL.ForceQuery,
		},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: h, Host: e.r.Host, Body: http.NoBody,
	}
	if e.body != nil {
		req.ContentLength = e.r.ContentLength
	}
	return req
}

func idleTimeout(doc *document.Document) time.Duration {
	if doc.IdleTimeoutMS > 0 {
		return milliseconds(doc.IdleTimeoutMS)
	}
	return defaultIdleTimeout
}

func maxBody(route *document.Route) int64 {
	if route.MaxBodyBytes > 0 {
		return route.MaxBodyBytes
	}
	return defaultMaxBody
}

// routeName returns the name of a route in outcomes and explanations.
func routeName(route *document.Route) string { return route.Method + " " + route.Path }
