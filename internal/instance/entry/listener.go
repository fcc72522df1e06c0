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

// listener accepts callers, at most a number of them at a time. Further callers
// wait in the backlog of the operating system.
type listener struct {
	net.Listener
	places chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newListener(l net.Listener, limit int) *listener {
	return &listener{Listener: l, places: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept waits for a place, then for a caller.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	return &callerConn{Conn: c, l: l}, nil
}

// crowded reports whether nine places in ten are taken. Connections are then
// closed after their answer, so that idle ones do not keep callers out.
func (l *listener) crowded() bool { return 10*len(l.places) >= 9*cap(l.places) }

// Close ends Accept.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	l       *listener
	once    sync.Once
	serving atomic.Bool // a request is being served and its answer not yet written
}

// Close gives the place back.
func (c *callerConn) Close() error {
	c.once.Do(func() { <-c.l.places })
	return c.Conn.Close()
}

func (c *callerConn) crowded() bool { return c.l.crowded() }

// Write replaces the answers that net/http makes up for requests that it cannot
// read, because these carry no error kind. It writes them while no request is
// being served, in one call.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.serving.Load() || !bytes.HasPrefix(p, []byte("HTTP/1.1 ")) {
		return c.Conn.Write(p)
	}
	kind := errkind.BadRequest
	if bytes.HasPrefix(p, []byte("HTTP/1.1 431 ")) {
		kind = errkind.HeaderTooLarge
	}
	if _, err := c.Conn.Write(rawAnswer(kind)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// abort makes the close of the connection a reset. A caller that speaks
// HTTP/1.0 takes any other end for the end of the answer.
func (c *callerConn) abort() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
}

// rawAnswer returns the answer for kind as bytes of a connection that is closed
// afterwards.
func rawAnswer(kind errkind.Kind) []byte {
	w := errorAnswer(kind, errkind.Lookup(kind).Meaning)
	w.header.Set("Connection", "close")
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(w.status) + " " + http.StatusText(w.status) + "\r\n")
	_ = w.header.Write(&b)
	b.WriteString("\r\n")
	b.Write(w.body.Bytes())
	return b.Bytes()
}

// errorAnswer returns the answer for kind with its length.
func errorAnswer(kind errkind.Kind, message string) *rawWriter {
	w := &rawWriter{header: make(http.Header)}
	errkind.WriteAnswer(w, kind, message)
	w.header.Set("Content-Length", strconv.Itoa(w.body.Len()))
	return w
}

// rawWriter collects an answer.
type rawWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (w *rawWriter) Header() http.Header         { return w.header }
func (w *rawWriter) WriteHeader(status int)      { w.status = status }
func (w *rawWriter) Write(p []byte) (int, error) { return w.body.Write(p) }

type callerConnKey struct{}

// withCallerConn lets the handler find the connection of its request.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerConnOf returns the connection of a request, nil outside of Run.
func callerConnOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(callerConnKey{}).(*callerConn)
	return c
}

// errDrainLimit means that requests were still in flight when the time for a
// planned stop was over.
var errDrainLimit = errors.New("requests in flight were cut off at the stop limit")
