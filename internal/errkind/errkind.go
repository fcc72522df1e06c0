// Package errkind defines the fixed set of error kinds and the table that maps
// each kind to the response that a caller or operator receives.
//
// Code that fails a request returns an error with a Kind:
//
//	return errkind.New(errkind.QueueFull, "queue of service %s is full", service)
//
// The outermost handler gets the kind with Of and writes the response with
// WriteError. An error without a kind counts as Internal.
package errkind

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Header fields of the error responses that the fleet itself generates.
const (
	HeaderError = "Knapweedreel-Error"
	HeaderRun   = "Knapweedreel-Run"
)

// RunState reports whether an upstream may have run a failed request.
type RunState string

// Run states of failed requests.
const (
	NotRun  RunState = "not-run"
	Unknown RunState = "unknown"
)

// Kind is the name of an error kind, as sent in HeaderError.
type Kind string

// Error kinds of callers' requests.
const (
	BadRequest         Kind = "bad-request"
	UnknownService     Kind = "unknown-service"
	NoDocument         Kind = "no-document"
	UnknownRoute       Kind = "unknown-route"
	Misdirected        Kind = "misdirected"
	Unauthenticated    Kind = "unauthenticated"
	HeaderTooLarge     Kind = "header-too-large"
	BodyTooLarge       Kind = "body-too-large"
	BodyLimitExceeded  Kind = "body-limit-exceeded"
	QuotaExceeded      Kind = "quota-exceeded"
	MemoryShort        Kind = "memory-short"
	QueueFull          Kind = "queue-full"
	QueueTimeout       Kind = "queue-timeout"
	DeadlineBeforeSend Kind = "deadline-before-send"
	NoUpstream         Kind = "no-upstream"
	UpstreamRefused    Kind = "upstream-refused"
	ConnectFailed      Kind = "connect-failed"
	DeadlineExceeded   Kind = "deadline-exceeded"
	UpstreamReset      Kind = "upstream-reset"
	UpstreamSilent     Kind = "upstream-silent"
	BadAnswer          Kind = "bad-answer"
	CrossedAnswer      Kind = "crossed-answer"
	TruncatedAnswer    Kind = "truncated-answer"
	StoppingBeforeSend Kind = "stopping-before-send"
	Stopping           Kind = "stopping"
	CallerGone         Kind = "caller-gone"
	CallerBodyFailed   Kind = "caller-body-failed"
	CallerStalled      Kind = "caller-stalled"
	Internal           Kind = "internal"
)

// Error kinds of operators' commands.
const (
	Conflict         Kind = "conflict"
	InvalidDocument  Kind = "invalid-document"
	StoreUnavailable Kind = "store-unavailable"
	StoreUnknown     Kind = "store-unknown"
	StoreStale       Kind = "store-stale"
	Unauthorized     Kind = "unauthorized"
	NotFound         Kind = "not-found"
)

// StatusCallerGone is the status recorded when a caller closed its connection
// before the response. The caller never receives it.
const StatusCallerGone = 499

// Response describes the response for one kind.
type Response struct {
	Kind       Kind
	Status     int           // HTTP status
	Run        RunState      // whether the request may have been run
	RetryAfter time.Duration // Retry-After header unless the error has one; 0 for none
	Meaning    string        // one sentence, repeated in docs/errors.md
}

// Table lists the responses of all kinds in the order of docs/errors.md.
var Table = []Response{
	{BadRequest, http.StatusBadRequest, NotRun, 0, "The request is malformed."},
	{UnknownService, http.StatusNotFound, NotRun, 0, "No document names the request's host."},
	{NoDocument, http.StatusServiceUnavailable, NotRun, time.Second, "This instance has not received any document yet."},
	{UnknownRoute, http.StatusNotFound, NotRun, 0, "The service's document has no route for this method and path."},
	{Misdirected, http.StatusMisdirectedRequest, NotRun, 0, "This instance does not serve the service's shard."},
	{Unauthenticated, http.StatusUnauthorized, NotRun, 0, "The request has no key of a client account, or one that is not known."},
	{HeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge, NotRun, 0, "The request header is over the limit."},
	{BodyTooLarge, http.StatusRequestEntityTooLarge, NotRun, 0, "The announced body is over the route's limit."},
	{BodyLimitExceeded, http.StatusRequestEntityTooLarge, Unknown, 0, "The body grew over the route's limit after part of it was sent."},
	{QuotaExceeded, http.StatusTooManyRequests, NotRun, time.Second, "The client account sent more requests than its limit allows."},
	{MemoryShort, http.StatusServiceUnavailable, NotRun, time.Second, "The instance has no memory for the body."},
	{QueueFull, http.StatusServiceUnavailable, NotRun, time.Second, "The service's queue is full."},
	{QueueTimeout, http.StatusServiceUnavailable, NotRun, time.Second, "No slot became free within the queue's timeout."},
	{DeadlineBeforeSend, http.StatusGatewayTimeout, NotRun, 0, "The deadline passed before the request was sent to an upstream."},
	{NoUpstream, http.StatusServiceUnavailable, NotRun, time.Second, "No upstream of the service can take the request."},
	{UpstreamRefused, http.StatusServiceUnavailable, NotRun, time.Second, "Every upstream that was tried refused the request without running it."},
	{ConnectFailed, http.StatusServiceUnavailable, NotRun, time.Second, "No connection to an upstream could be opened."},
	{DeadlineExceeded, http.StatusGatewayTimeout, Unknown, 0, "The deadline passed after the request was sent to an upstream."},
	{UpstreamReset, http.StatusBadGateway, Unknown, 0, "The upstream's connection broke after part of the request was sent."},
	{UpstreamSilent, http.StatusGatewayTimeout, Unknown, 0, "The upstream sent nothing for longer than the limit."},
	{BadAnswer, http.StatusBadGateway, Unknown, 0, "The upstream's response is malformed or has no length."},
	{CrossedAnswer, http.StatusBadGateway, Unknown, 0, "The upstream's response belongs to another request."},
	{TruncatedAnswer, http.StatusBadGateway, Unknown, 0, "The upstream's response was truncated."},
	{StoppingBeforeSend, http.StatusServiceUnavailable, NotRun, 0, "The instance is shutting down and has not sent the request to an upstream."},
	{Stopping, http.StatusGatewayTimeout, Unknown, 0, "The instance shut down before the upstream responded."},
	{CallerGone, StatusCallerGone, Unknown, 0, "The caller closed its connection before the response."},
	{CallerBodyFailed, http.StatusBadRequest, Unknown, 0, "The caller's body ended early."},
	{CallerStalled, http.StatusGatewayTimeout, Unknown, 0, "The caller's body came too slowly while others waited for its upstream."},
	{Internal, http.StatusInternalServerError, Unknown, 0, "The instance failed in an unexpected way."},
	{Conflict, http.StatusConflict, NotRun, 0, "Another operator changed the document first."},
	{InvalidDocument, http.StatusUnprocessableEntity, NotRun, 0, "The document has errors."},
	{StoreUnavailable, http.StatusServiceUnavailable, NotRun, 0, "The store could not be reached; nothing was accepted."},
	{StoreUnknown, http.StatusGatewayTimeout, Unknown, 0, "The store's response was lost; the change may have been accepted."},
	{StoreStale, http.StatusServiceUnavailable, NotRun, 0, "The store holds an older revision than the one in effect."},
	{Unauthorized, http.StatusForbidden, NotRun, 0, "The certificate does not allow this command."},
	{NotFound, http.StatusNotFound, NotRun, 0, "There is no such document, upstream or request."},
}

var responseByKind = func() map[Kind]Response {
	m := make(map[Kind]Response, len(Table))
	for _, r := range Table {
		m[r.Kind] = r
	}
	return m
}()

// Lookup returns the response for kind, or the one for Internal if kind is not
// in Table.
func Lookup(kind Kind) Response {
	if r, ok := responseByKind[kind]; ok {
		return r
	}
	return responseByKind[Internal]
}

// Error is an error with a kind.
type Error struct {
	Kind Kind
	// RetryAfter is when a later attempt is likely to succeed, if that is known. It
	// replaces the Table's for kinds that have one there.
	RetryAfter time.Duration
	cause      error
}

// New returns an error with a kind.
func New(kind Kind, format string, args ...any) error {
	return &Error{Kind: kind, cause: errors.NewWithDepthf(1, format, args...)}
}

// Wrap returns err with a kind and a message, or nil if err is nil.
func Wrap(kind Kind, err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return &Error{Kind: kind, cause: errors.WrapWithDepthf(1, err, format, args...)}
}

// WithRetryAfter returns err, an *Error, with the time after which a later attempt
// is likely to succeed. It returns err itself if d is 0.
func WithRetryAfter(err error, d time.Duration) error {
	var e *Error
	if d <= 0 || !errors.As(err, &e) {
		return err
	}
	return &Error{Kind: e.Kind, RetryAfter: d, cause: e.cause}
}

// RetryAfterOf returns the time set by WithRetryAfter, or the one that the Table
// has for the kind of err. It returns 0 if a later attempt is no remedy.
func RetryAfterOf(err error) time.Duration {
	r := Lookup(Of(err))
	var e *Error
	if r.RetryAfter > 0 && errors.As(err, &e) && e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return r.RetryAfter
}

// Error returns the kind and the cause's message.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Kind, e.cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Of returns the kind of err, or Internal if err has none.
func Of(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// WriteError writes the response for kind with message as its body. It must be
// called before anything else is written to w.
func WriteError(w http.ResponseWriter, kind Kind, message string) {
	r := Lookup(kind)
	h := w.Header()
	h.Set(HeaderError, string(r.Kind))
	h.Set(HeaderRun, string(r.Run))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(r.RetryAfter/time.Second)))
	}
	http.Error(w, message, r.Status)
}
