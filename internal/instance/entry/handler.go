package entry

import (
	"cmp"
	"context"
	"crypto/rand"
	"maps"
	mathrand "math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"knapweedreel/internal/account"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/admin"
	"knapweedreel/internal/membudget"
)

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requestCount.Add(1)
	e := &exchange{
		s: s, w: w, rc: http.NewResponseController(w), r: r,
		started: time.Now(), caller: callerOf(r),
	}
	e.conn = callerConnOf(r)
	e.openMemory()
	e.memory.SetStage(membudget.Queued)
	if r.ContentLength != 0 {
		// The response may begin before the body has ended.
		_ = e.rc.EnableFullDuplex()
		var ctx context.Context
		ctx, e.hangUp = context.WithCancel(r.Context())
		defer e.hangUp()
		e.r = r.WithContext(ctx)
		e.body = newRequestBody(r, s.cfg.Limits.BufferedBodyBytes, e.memory, milliseconds(s.cfg.Times.MemoryWaitMS))
		e.memory.SetStage(membudget.Receiving)
	}
	if e.conn != nil {
		e.conn.begin(e)
		if e.body != nil {
			e.conn.openWindow(r.ContentLength)
		}
	}
	defer s.record(e)
	defer e.finishConn()
	defer s.recoverPanic(e)
	if strings.HasPrefix(r.URL.Path, localPrefix) {
		s.serveLocal(e)
		return
	}
	if err := s.serve(e); err != nil {
		e.fail(err)
	}
}

// recoverPanic responds with an error after a panic, or aborts a response that
// has begun.
func (s *Server) recoverPanic(e *exchange) {
	p := recover()
	if p == nil {
		return
	}
	if p == http.ErrAbortHandler {
		panic(p)
	}
	err := s.panicError(e, p)
	if e.explanation.Status != 0 {
		e.abort(err)
	}
	e.fail(err)
}

// panicError logs a panic and returns the error to respond with.
func (s *Server) panicError(e *exchange, p any) error {
	s.log.Error("panic", zap.String("request_id", e.id), zap.Any("value", p), zap.StackSkip("stack", 2))
	return errkind.New(errkind.Internal, "the instance failed to handle the request")
}

// callerOf returns the caller account of a request, or the caller's IP address if
// there is none.
func callerOf(r *http.Request) string {
	if c := r.Header.Get(headerCaller); c != "" {
		return c
	}
	return callerAddress(r)
}

// serve matches the request and proxies it. An error means that nothing was
// written to the caller.
func (s *Server) serve(e *exchange) error {
	if err := e.checkRequest(); err != nil {
		return err
	}
	defer func() {
		if e.cancel != nil {
			e.cancel()
		}
	}()
	defer e.settleToken()
	c, err := s.admit(e)
	if err != nil {
		return err
	}
	return s.proxy(e, c)
}

// admit matches the request and takes a slot for its first attempt. A request that
// cannot be admitted is matched again if its route leads elsewhere by now.
func (s *Server) admit(e *exchange) (choice, error) {
	for {
		if err := s.matchRequest(e); err != nil {
			return choice{}, err
		}
		c, err := s.acquireFirst(e)
		if err == nil {
			return c, nil
		}
		if !e.isReassigned() {
			return choice{}, e.callerError(err)
		}
		s.log.Info("request_reassigned", zap.String("request_id", e.id), zap.String("service", e.svc.Name), zap.Error(err))
	}
}

// matchRequest sets the service, the route and the deadline of a request.
func (s *Server) matchRequest(e *exchange) error {
	snap := s.control.Snapshot()
	m, err := match(snap, e.r)
	e.svc, e.route = m.service, m.route
	if err != nil {
		return err
	}
	if err := e.identify(snap, m.public); err != nil {
		return err
	}
	if e.deadline, err = e.requestDeadline(); err != nil {
		return err
	}
	if limit := maxBody(e.route); e.r.ContentLength > limit {
		return errkind.New(errkind.BodyTooLarge, "the body of %d bytes exceeds the route's limit of %d", e.r.ContentLength, limit)
	}
	if e.body != nil {
		e.body.setLimit(maxBody(e.route))
		e.body.setDeadline(e.deadline)
	}
	e.setDeadline()
	return nil
}

// acquireFirst takes the slot for the first attempt of a request.
func (s *Server) acquireFirst(e *exchange) (choice, error) {
	e.st = s.service(e.svc.Name)
	if err := e.receiveBody(); err != nil {
		return choice{}, err
	}
	e.st.requestArrived()
	e.slotReq = &slotRequest{
		caller: e.queueCaller(), credentials: e.credentials, class: e.class(), route: routeName(e.route), idempotent: e.route.Idempotent, deadline: e.deadline,
		started: e.started, repeatable: e.route.Idempotent && e.body == nil && e.retryLimit() > 0, objective: milliseconds(e.route.ObjectiveMS), bodyBytes: e.r.ContentLength,
		spread: mathrand.Float64(), unreceived: e.body != nil && !e.body.complete(),
	}
	return e.acquireWithToken()
}

// unreceived is added to the caller of a request whose body hasn't been received.
const unreceived = " (body not received)"

// queueCaller returns the caller as which the request takes turns in the queue. The
// requests of a caller whose bodies haven't been received take turns with its other
// ones, because they may hold a slot for long.
func (e *exchange) queueCaller() string {
	if e.body == nil || e.body.complete() {
		return e.caller
	}
	return e.caller + unreceived
}

// receiveBody reads a body before the request takes a slot, so that a slow caller
// doesn't occupy the slot. A long body, or one without a length, is only read first
// if requests wait for a slot or did so recently, the long one as far as it can be
// kept: the caller of the other may wait for the response before it sends the rest.
func (e *exchange) receiveBody() error {
	if e.body == nil {
		return nil
	}
	n := e.r.ContentLength
	kept := n > 0 && n <= int64(e.s.cfg.Limits.BufferedBodyBytes) || e.st.isContended(time.Now())
	if !kept || e.body.expectContinue {
		if err := e.body.reserveFirst(); err != nil {
			return err
		}
	} else {
		e.body.awaitBuffered(e.ctx)
		if err := cmp.Or(e.body.failure(), e.ctx.Err()); err != nil {
			return err
		}
	}
	e.memory.SetStage(membudget.Queued) // waits for a slot, not for its caller
	return nil
}

// isReassigned reports whether the route of the request no longer leads to the
// service that could not admit it. The service was chosen on arrival, and may have
// left the configuration or lost its upstreams while the request waited.
func (e *exchange) isReassigned() bool {
	return e.ctx.Err() == nil && !leadsTo(e.s.control.Snapshot(), e.r, e.svc.Name)
}

// maxRequestID is the maximum length of a request ID, in bytes.
const maxRequestID = 128

// checkRequest rejects requests that can't be proxied, and sets the request ID.
func (e *exchange) checkRequest() error {
	name := e.s.protocol().RequestID
	ids := e.r.Header[name]
	switch {
	case len(ids) == 0 || len(ids) == 1 && ids[0] == "":
		e.id = rand.Text()
	case len(ids) > 1 || !validID(ids[0]):
		e.id = rand.Text()
		return errkind.New(errkind.BadRequest, "%s must be one value of at most %d visible characters", name, maxRequestID)
	default:
		e.id = ids[0]
	}
	switch {
	case e.headerTooLarge():
		return errkind.New(errkind.HeaderTooLarge, "the request header has more than %d bytes", e.s.headerLimits().bytes)
	case e.r.Method == http.MethodConnect:
		return errkind.New(errkind.BadRequest, "the method CONNECT is not proxied")
	case e.r.Header.Get("Upgrade") != "":
		return errkind.New(errkind.BadRequest, "protocol upgrades are not proxied")
	case hasDotSegment(e.r.URL.Path):
		return errkind.New(errkind.BadRequest, "the path contains a . or .. segment")
	}
	return nil
}

func validID(id string) bool {
	if len(id) > maxRequestID {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return true
}

// hasDotSegment reports whether a path has a . or .. segment. An upstream may
// resolve it and run the request under a path whose route, and with it its
// idempotence, differs from the matched one.
func hasDotSegment(path string) bool {
	for seg := range strings.FieldsFuncSeq(path, func(r rune) bool { return r == '/' || r == '\\' }) {
		if seg == "." || seg == ".." {
			return true
		}
	}
	return false
}

// fail responds with an error.
func (e *exchange) fail(err error) {
	description := errkind.Lookup(errkind.Of(err))
	e.explanation.Kind, e.explanation.Run, e.explanation.Status = string(description.Kind), string(description.Run), description.Status
	w := errorResponse(description.Kind, errorMessage(err))
	maps.Copy(e.w.Header(), w.header)
	if description.Kind == errkind.Unauthenticated {
		e.explanation.Reason = credentialFault(err)
		e.w.Header().Set("Www-Authenticate", account.Scheme) // RFC 9110, section 15.5.2
	}
	if d := errkind.RetryAfterOf(err); d > 0 {
		e.w.Header().Set("Retry-After", e.s.protocol().FormatRetryAfter(d))
		e.explanation.RetryAfter = d
	}
	if e.id != "" {
		e.w.Header().Set(e.s.protocol().RequestID, e.id)
	}
	e.prepareHeader(false)
	e.w.WriteHeader(w.status)
	_ = e.write(w.body.Bytes())
}

// errorMessage returns the text of an error. It avoids errkind.Error.Error,
// which formats all wrapped errors again and takes a large part of the response
// time under a surge.
func errorMessage(err error) string {
	var e *errkind.Error
	if errors.As(err, &e) {
		return string(e.Kind) + ": " + e.Unwrap().Error()
	}
	return err.Error()
}

// record stores the explanation of a request, counts it and logs it.
func (s *Server) record(e *exchange) {
	explanation := &e.explanation
	explanation.RequestID, explanation.Instance, explanation.Time, explanation.Caller = e.id, s.cfg.Instance, e.started, e.caller
	explanation.Total = time.Since(e.started)
	if e.svc != nil {
		explanation.Service, explanation.Revision = e.svc.Name, e.svc.Revision
	}
	if e.route != nil {
		explanation.Route = routeName(e.route)
	}
	s.explanations.add(*explanation)
	metrics := s.metrics
	if e.st != nil {
		metrics = e.st.metrics
		e.st.metrics.total.RecordDuration(explanation.Total)
		e.st.metrics.queued.RecordDuration(explanation.Queued)
		e.st.metrics.overhead.RecordDuration(max(0, explanation.Total-explanation.Queued-e.upstreamTime))
	}
	metrics.request(explanation.Status, explanation.Kind).Inc(1)
	level, event := zap.InfoLevel, "request"
	if explanation.Kind != "" || explanation.Status >= http.StatusInternalServerError {
		level, event = zap.WarnLevel, "request_failed"
	}
	reason := zap.Skip()
	if explanation.Reason != "" {
		reason = zap.String("reason", explanation.Reason)
	}
	retryAfter := zap.Skip()
	if explanation.RetryAfter > 0 {
		retryAfter = zap.Duration("retry_after", explanation.RetryAfter)
	}
	limit, limitVersion := zap.Skip(), zap.Skip()
	if explanation.LimitVersion > 0 {
		limit, limitVersion = zap.Float64("limit", explanation.Limit), zap.Uint64("limit_version", explanation.LimitVersion)
	}
	s.log.Log(level, event, zap.String("request_id", explanation.RequestID), zap.String("service", explanation.Service), zap.Uint64("revision", explanation.Revision),
		zap.String("route", explanation.Route), zap.String("caller", explanation.Caller), zap.Int("status", explanation.Status), reason,
		zap.String("kind", explanation.Kind), zap.String("run", explanation.Run), zap.Int("attempts", len(explanation.Attempts)),
		zap.String("tries", admin.FormatAttempts(explanation.Attempts)), zap.Duration("queued", explanation.Queued), zap.Duration("total", explanation.Total), retryAfter, limit, limitVersion)
}
