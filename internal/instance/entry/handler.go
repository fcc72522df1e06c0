package entry

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"knapweedreel/internal/document"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/admin"
	"knapweedreel/internal/instance/entry/upstream"
	"knapweedreel/internal/routing"
)

// defaultDeadline is the document's default for the time of a request.
const defaultDeadline = 10 * time.Second

// exchange is one request with what is known of it so far.
type exchange struct {
	w           http.ResponseWriter
	r           *http.Request
	id          string
	caller      string
	started     time.Time
	deadline    time.Time
	svc         *routing.Service
	route       *document.Route
	explanation admin.RequestExplanation
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, localPrefix) {
		s.serveLocal(w, r)
		return
	}
	e := &exchange{w: w, r: r, started: time.Now(), caller: callerOf(r), id: r.Header.Get(upstream.HeaderRequestID)}
	if e.id == "" {
		e.id = rand.Text()
	}
	defer s.record(e)
	if err := s.serve(e); err != nil {
		e.explanation.Kind = string(errkind.Of(err))
		e.explanation.Run = string(errkind.Lookup(errkind.Of(err)).Run)
		e.explanation.Status = errkind.Lookup(errkind.Of(err)).Status
		errkind.WriteAnswer(w, errkind.Of(err), err.Error())
	}
}

// callerOf returns the caller account of a request, else its remote IP.
func callerOf(r *http.Request) string {
	if c := r.Header.Get(headerCaller); c != "" {
		return c
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func (s *Server) serve(e *exchange) error {
	snap := s.control.Snapshot()
	var err error
	if e.svc, err = matchService(snap, e.r.Host); err != nil {
		return err
	}
	if e.route, err = matchRoute(e.svc.Document, e.r); err != nil {
		return err
	}
	if e.deadline, err = e.deadlineOf(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(e.r.Context(), e.deadline)
	defer cancel()
	st := s.service(e.svc.Name)
	c, err := st.acquire(e.svc, s.shuffle(len(e.svc.Upstreams)))
	if err != nil {
		return err
	}
	defer st.release(c.upstream.ID)
	return s.attempt(ctx, e, c)
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
	if v := e.r.Header.Get(headerDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms < 0 {
			return time.Time{}, errkind.New(errkind.BadRequest, "%s is not a number of milliseconds: %q", headerDeadline, v)
		}
		if ms < limit.Milliseconds() {
			limit = time.Duration(ms) * time.Millisecond
		}
	}
	return e.started.Add(limit), nil
}

// attempt makes one attempt at the chosen upstream and passes its answer on.
func (s *Server) attempt(ctx context.Context, e *exchange, c choice) error {
	req := e.outgoing(c.upstream.Address)
	target := upstream.Target{
		Key:            health.Key{Service: e.svc.Name, Upstream: c.upstream.ID},
		Address:        c.upstream.Address,
		MaxConnections: c.upstream.MaxConnections,
		IdleTimeout:    idleTimeout(e.svc.Document),
	}
	ans, trace, err := s.pools.Do(ctx, upstream.Attempt{Target: target, Request: req, Idempotent: e.route.Idempotent})
	out := health.Outcome{
		Upstream: target.Key,
		Route:    e.route.Method + " " + e.route.Path,
		Caller:   xxhash.Sum64String(e.caller),
		Latency:  trace.Latency,
	}
	a := admin.Attempt{Upstream: c.upstream.ID, Home: c.home, Fresh: trace.Fresh, BytesSent: trace.Sent}
	if err != nil {
		a.Result, out.Reason = string(errkind.Of(err)), string(errkind.Of(err))
		out.Class = health.Failed
		e.explanation.Attempts = append(e.explanation.Attempts, a)
		s.control.ReportOutcome(out)
		return err
	}
	defer func() { _ = ans.Body.Close() }()
	a.Result = strconv.Itoa(ans.StatusCode)
	out.Class, out.Reason = health.OK, a.Result
	e.explanation.Attempts = append(e.explanation.Attempts, a)
	s.control.ReportOutcome(out)
	e.explanation.Status = ans.StatusCode
	return passOn(e.w, ans)
}

func idleTimeout(doc *document.Document) time.Duration {
	if doc.IdleTimeoutMS > 0 {
		return milliseconds(doc.IdleTimeoutMS)
	}
	return 10 * time.Second
}

// outgoing returns the request as it is sent to an upstream.
func (e *exchange) outgoing(address string) *http.Request {
	h := e.r.Header.Clone()
	removeHopByHop(h)
	h.Del("Expect")
	h.Set(upstream.HeaderRequestID, e.id)
	h.Set(headerDeadline, strconv.FormatInt(max(1, time.Until(e.deadline).Milliseconds()), 10))
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	req := &http.Request{
		Method: e.r.Method,
		URL: &url.URL{
			Scheme: "http", Host: address, Path: e.r.URL.Path, RawPath: e.r.URL.RawPath,
			RawQuery: e.r.URL.RawQuery, ForceQuery: e.r.URL.ForceQuery,
		},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: h, Host: e.r.Host, Body: e.r.Body, ContentLength: e.r.ContentLength,
	}
	if e.r.ContentLength == 0 {
		req.Body = http.NoBody
	}
	return req
}

// passOn writes an upstream's answer to the caller. An answer that ends early
// aborts the caller's connection.
func passOn(w http.ResponseWriter, ans *upstream.Answer) error {
	h := w.Header()
	for k, v := range ans.Header {
		h[k] = v
	}
	removeHopByHop(h)
	for _, name := range reserved {
		h.Del(name)
	}
	w.WriteHeader(ans.StatusCode)
	if _, err := io.Copy(w, ans.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// record keeps the explanation of a request and writes its log line.
func (s *Server) record(e *exchange) {
	x := &e.explanation
	x.RequestID, x.Instance, x.Time, x.Caller = e.id, s.cfg.Instance, e.started, e.caller
	x.Total = time.Since(e.started)
	if e.svc != nil {
		x.Service, x.Revision = e.svc.Name, e.svc.Revision
	}
	if e.route != nil {
		x.Route = fmt.Sprintf("%s %s", e.route.Method, e.route.Path)
	}
	s.ring.add(*x)
	s.log.Info("request", zap.String("request_id", x.RequestID), zap.String("service", x.Service),
		zap.String("route", x.Route), zap.String("caller", x.Caller), zap.Int("status", x.Status),
		zap.String("kind", x.Kind), zap.Int("attempts", len(x.Attempts)), zap.Duration("total", x.Total))
}
