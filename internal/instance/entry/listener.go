package entry

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/errkind"
)

// listener limits the number of open connections. Further callers wait in the
// listen backlog of the operating system.
type listener struct {
	net.Listener
	sem    chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newListener(l net.Listener, limit int) *listener {
	return &listener{Listener: l, sem: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept waits until the number of connections is below the limit, then for a
// connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case l.sem <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.sem
		return nil, err
	}
	return &callerConn{Conn: c, l: l}, nil
}

// nearLimit reports whether the number of connections is at least 90% of the
// limit. Connections are then closed after their response, so that idle ones
// don't keep callers out.
func (l *listener) nearLimit() bool { return 10*len(l.sem) >= 9*cap(l.sem) }

// Close closes the listener and ends Accept.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// callerConn is a connection accepted by a listener.
type callerConn struct {
	net.Conn
	l       *listener
	once    sync.Once
	serving atomic.Bool // a request is being served and its response isn't written yet
}

// Close closes the connection, which then no longer counts toward the limit.
func (c *callerConn) Close() error {
	c.once.Do(func() { <-c.l.sem })
	return c.Conn.Close()
}

func (c *callerConn) nearLimit() bool { return c.l.nearLimit() }

// Write replaces the responses that net/http generates for requests that it
// can't parse, because these carry no error kind. net/http writes them in one
// call while no request is being served.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.serving.Load() || !bytes.HasPrefix(p, []byte("HTTP/1.1 ")) {
		return c.Conn.Write(p)
	}
	kind := errkind.BadRequest
	if bytes.HasPrefix(p, []byte("HTTP/1.1 431 ")) {
		kind = errkind.HeaderTooLarge
	}
	if _, err := c.Conn.Write(rawErrorResponse(kind)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// abort makes Close reset the connection. An HTTP/1.0 caller takes any other
// close for the end of the response.
func (c *callerConn) abort() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
}

// rawErrorResponse returns the serialized response for kind, with
// Connection: close.
func rawErrorResponse(kind errkind.Kind) []byte {
	w := errorResponse(kind, errkind.Lookup(kind).Meaning)
	w.header.Set("Connection", "close")
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(w.status) + " " + http.StatusText(w.status) + "\r\n")
	_ = w.header.Write(&b)
	b.WriteString("\r\n")
	b.Write(w.body.Bytes())
	return b.Bytes()
}

// errorResponse returns the response for kind with its Content-Length.
func errorResponse(kind errkind.Kind, message string) *responseRecorder {
	w := &responseRecorder{header: make(http.Header)}
	errkind.WriteError(w, kind, message)
	w.header.Set("Content-Length", strconv.Itoa(w.body.Len()))
	return w
}

// responseRecorder is an http.ResponseWriter that records a response.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (w *responseRecorder) Header() http.Header         { return w.header }
func (w *responseRecorder) WriteHeader(status int)      { w.status = status }
func (w *responseRecorder) Write(p []byte) (int, error) { return w.body.Write(p) }

type callerConnKey struct{}

// withCallerConn adds the connection to the context of its requests.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerConnOf returns the connection of a request, nil if Run didn't accept it.
func callerConnOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(callerConnKey{}).(*callerConn)
	return c
}

// errDrainLimit means that requests were still in flight when the stop limit of
// a graceful shutdown had passed.
var errDrainLimit = errors.New("requests in flight were canceled at the stop limit")
