package entry

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/document"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/admin"
	"knapweedreel/internal/routing"
)

// Defaults of the document.
const (
	defaultDeadline    = 10 * time.Second
	defaultIdleTimeout = 10 * time.Second
	defaultMaxBody     = 16 << 20
)

// exchange is one request with what is known of it so far. It belongs to the
// goroutine that serves the request.
type exchange struct {
	s        *Server
	w        http.ResponseWriter
	rc       *http.ResponseController
	r        *http.Request
	conn     *callerConn     // nil in a test without listener
	ctx      context.Context // ends with the deadline or the caller
	id       string
	caller   string
	started  time.Time
	deadline time.Time
	svc      *routing.Service
	st       *service
	want     *want
	route    *document.Route
	body     *requestBody // nil without a body
	aborted  bool

	// Guards what follows, and want, while attempts run side by side.
	mu           sync.Mutex
	unsent       int      // attempts that were not sent and do not count as attempts
	deadPooled   []string // upstreams whose pooled connection was dead
	unknown      error    // first failure after which the request may have been run
	upstreamTime time.Duration
	explanation  admin.RequestExplanation
}

// acquire takes a slot and adds the time that it took.
func (e *exchange) acquire() (choice, error) {
	began := time.Now()
	c, err := e.st.acquire(e.ctx, e.want)
	e.explanation.Queued += time.Since(began)
	return c, err
}

// deadlineOf returns the smaller of the document's and the caller's deadline.
func (e *exchange) deadlineOf() (time.Time, error) {
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

// kindOf returns the kind of a failed attempt or wait. What the caller did
// comes before what the upstream did, because it is the cause.
func (e *exchange) kindOf(err error) errkind.Kind {
	if e.r.Context().Err() != nil {
		return errkind.CallerGone
	}
	if e.body != nil {
		if failure := e.body.failure(); failure != nil {
			return errkind.Of(failure)
		}
	}
	if e.s.ending.Err() != nil && errors.Is(err, context.Canceled) {
		return errkind.Stopping
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.DeadlineExceeded
	}
	return errkind.Of(err)
}

// verdict returns the error that the caller is told after err has ended the
// request. It claims that the request was not run only if that is true of every
// attempt.
func (e *exchange) verdict(err error) error {
	kind := e.kindOf(err)
	if kind == errkind.DeadlineExceeded && e.unknown == nil {
		kind = errkind.DeadlineBeforeSend
	}
	if errkind.Lookup(kind).Run == errkind.NotRun && e.unknown != nil {
		kind = e.kindOf(e.unknown)
		err = e.unknown
	}
	if errkind.Lookup(kind).Run == errkind.NotRun && e.unknown != nil {
		kind = errkind.UpstreamReset
	}
	return errkind.Wrap(kind, err, "service %s", e.svc.Name)
}

// freshOnly reports whether kept connections to an upstream are not to be used.
func (e *exchange) freshOnly(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.deadPooled, id)
}

// outgoing returns the request as it is sent to an upstream.
func (e *exchange) outgoing(u *routing.Upstream) *http.Request {
	p := e.s.protocol()
	h := e.r.Header.Clone()
	removeHopByHop(h)
	h.Del("Expect") // answered here, when the body is first read
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

// routeName names a route in outcomes and explanations.
func routeName(route *document.Route) string { return route.Method + " " + route.Path }
