// Package errkind holds the closed list of error kinds and the table that maps
// each kind to the answer a caller or operator receives.
//
// Code that fails a request returns an error that carries a Kind:
//
//	return errkind.New(errkind.QueueFull, "queue of service %s is full", service)
//
// The outermost handler looks the kind up with Of and writes the answer with
// WriteError. Errors without a kind are answered as Internal.
package errkind

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Header names of the answers that the fleet makes up itself.
const (
	HeaderError = "Knapweedreel-Error"
	HeaderRun   = "Knapweedreel-Run"
)

// RunState tells whether a failed request may have been run by an upstream.
type RunState string

// The run states.
const (
	NotRun  RunState = "not-run"
	Unknown RunState = "unknown"
)

// Kind is the name of an error kind, as shown in HeaderError.
type Kind string

// The error kinds of requests.
const (
	BadRequest         Kind = "bad-request"
	UnknownService     Kind = "unknown-service"
	NoDocument         Kind = "no-document"
	UnknownRoute       Kind = "unknown-route"
	Misdirected        Kind = "misdirected"
	HeaderTooLarge     Kind = "header-too-large"
	BodyTooLarge       Kind = "body-too-large"
	BodyLimitExceeded  Kind = "body-limit-exceeded"
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
	Stopping           Kind = "stopping"
	CallerGone         Kind = "caller-gone"
	CallerBodyFailed   Kind = "caller-body-failed"
	Internal           Kind = "internal"
)

// The error kinds of operators' commands.
const (
	Conflict         Kind = "conflict"
	InvalidDocument  Kind = "invalid-document"
	StoreUnavailable Kind = "store-unavailable"
	StoreUnknown     Kind = "store-unknown"
	StoreStale       Kind = "store-stale"
	Unauthorized     Kind = "unauthorized"
	NotFound         Kind = "not-found"
)

// StatusCallerGone is the status recorded for a caller that closed its
// connection before the answer. It is never seen by that caller.
const StatusCallerGone = 499

// Answer is the row of the table for one kind.
type Answer struct {
	Kind    Kind
	Status  int           // HTTP status
	Run     RunState      // what the caller may assume about the request
	Retry   time.Duration // value of Retry-After, 0 for none
	Meaning string        // one sentence for docs/errors.md
}

// Table lists every kind with its answer, in the order of docs/errors.md.
var Table = []Answer{
	{BadRequest, http.StatusBadRequest, NotRun, 0, "The request is malformed."},
	{UnknownService, http.StatusNotFound, NotRun, 0, "No document names the request's host."},
	{NoDocument, http.StatusServiceUnavailable, NotRun, time.Second, "This instance has not received any document yet."},
	{UnknownRoute, http.StatusNotFound, NotRun, 0, "The service's document has no route for this method and path."},
	{Misdirected, http.StatusMisdirectedRequest, NotRun, 0, "This instance does not serve the service's shard."},
	{HeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge, NotRun, 0, "The request header is over the limit."},
	{BodyTooLarge, http.StatusRequestEntityTooLarge, NotRun, 0, "The announced body is over the route's limit."},
	{BodyLimitExceeded, http.StatusRequestEntityTooLarge, Unknown, 0, "The body grew over the route's limit after part of it was sent."},
	{QueueFull, http.StatusServiceUnavailable, NotRun, time.Second, "The service's queue is full."},
	{QueueTimeout, http.StatusServiceUnavailable, NotRun, time.Second, "No slot became free within the queue's timeout."},
	{DeadlineBeforeSend, http.StatusGatewayTimeout, NotRun, 0, "The deadline passed before the request was sent to an upstream."},
	{NoUpstream, http.StatusServiceUnavailable, NotRun, time.Second, "No upstream of the service can take the request."},
	{UpstreamRefused, http.StatusServiceUnavailable, NotRun, time.Second, "Every upstream that was tried refused the request without running it."},
	{ConnectFailed, http.StatusServiceUnavailable, NotRun, time.Second, "No connection to an upstream could be opened."},
	{DeadlineExceeded, http.StatusGatewayTimeout, Unknown, 0, "The deadline passed after the request was sent to an upstream."},
	{UpstreamReset, http.StatusBadGateway, Unknown, 0, "The upstream's connection broke after part of the request was sent."},
	{UpstreamSilent, http.StatusGatewayTimeout, Unknown, 0, "The upstream sent nothing for longer than the limit."},
	{BadAnswer, http.StatusBadGateway, Unknown, 0, "The upstream's answer is malformed or has no length."},
	{CrossedAnswer, http.StatusBadGateway, Unknown, 0, "The upstream's answer belongs to another request."},
	{TruncatedAnswer, http.StatusBadGateway, Unknown, 0, "The upstream's answer ended early."},
	{Stopping, http.StatusGatewayTimeout, Unknown, 0, "The instance stopped before the upstream had answered."},
	{CallerGone, StatusCallerGone, Unknown, 0, "The caller closed its connection before the answer."},
	{CallerBodyFailed, http.StatusBadRequest, Unknown, 0, "The caller's body ended early."},
	{Internal, http.StatusInternalServerError, Unknown, 0, "The instance failed in an unexpected way."},
	{Conflict, http.StatusConflict, NotRun, 0, "Another operator changed the document first."},
	{InvalidDocument, http.StatusUnprocessableEntity, NotRun, 0, "The document has mistakes."},
	{StoreUnavailable, http.StatusServiceUnavailable, NotRun, 0, "The store could not be reached; nothing was accepted."},
	{StoreUnknown, http.StatusGatewayTimeout, Unknown, 0, "The store's answer was lost; the change may have been accepted."},
	{StoreStale, http.StatusServiceUnavailable, NotRun, 0, "The store holds an older revision than the one in force."},
	{Unauthorized, http.StatusForbidden, NotRun, 0, "The certificate does not allow this command."},
	{NotFound, http.StatusNotFound, NotRun, 0, "There is no such document, upstream or request."},
}

var byKind = func() map[Kind]Answer {
	m := make(map[Kind]Answer, len(Table))
	for _, a := range Table {
		m[a.Kind] = a
	}
	return m
}()

// Lookup returns the answer for kind, or the one for Internal when kind is not
// in the table.
func Lookup(kind Kind) Answer {
	if a, ok := byKind[kind]; ok {
		return a
	}
	return byKind[Internal]
}

// Error is an error with a kind.
type Error struct {
	Kind  Kind
	cause error
}

// New returns an error of the given kind.
func New(kind Kind, format string, args ...any) error {
	return &Error{Kind: kind, cause: errors.NewWithDepthf(1, format, args...)}
}

// Wrap returns err with a kind and a message. It returns nil when err is nil.
func Wrap(kind Kind, err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return &Error{Kind: kind, cause: errors.WrapWithDepthf(1, err, format, args...)}
}

// Error returns the kind and the cause's message.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Kind, e.cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Of returns the kind of err, or Internal when it carries none.
func Of(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// WriteError writes the answer for kind with message as its body. Nothing may
// have been written to w before.
func WriteError(w http.ResponseWriter, kind Kind, message string) {
	a := Lookup(kind)
	h := w.Header()
	h.Set(HeaderError, string(a.Kind))
	h.Set(HeaderRun, string(a.Run))
	if a.Retry > 0 {
		h.Set("Retry-After", strconv.Itoa(int(a.Retry/time.Second)))
	}
	http.Error(w, message, a.Status)
}
