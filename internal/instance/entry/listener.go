package entry

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/membudget"
)

// listener limits the number of open connections and their memory. When a limit is
// reached, it closes another connection for each new one.
type listener struct {
	net.Listener
	limit        int64
	open         atomic.Int64
	budget       *membudget.Budget
	closed       chan struct{}
	once         sync.Once
	headerLimits func() headerLimits
	metrics      *memoryMetrics
}

func newListener(l net.Listener, limit int, budget *membudget.Budget, limits func() headerLimits, metrics *memoryMetrics) *listener {
	return &listener{Listener: l, limit: int64(limit), budget: budget, closed: make(chan struct{}), headerLimits: limits, metrics: metrics}
}

// Accept waits for a connection. While there is neither room nor another connection
// to close, it waits on; further callers then wait in the listen backlog of the
// operating system. A connection of a caller that itself holds too much is closed
// unread, because waiting for that caller would keep all others out.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetWriteBuffer(callerSendBuffer)
		}
		c := &callerConn{Conn: nc, l: l}
		c.holder = l.budget.Open(membudget.CallerOf(nc.RemoteAddr()), c, time.Now())
		c.holder.SetStage(membudget.Sent) // is not closed in favor of itself
		if l.awaitRoom(c) {
			c.holder.SetStage(membudget.Header)
			return c, nil
		}
		c.holder.Close()
		_ = nc.Close()
	}
}

// admitInterval is the time between attempts to make room for a connection.
const admitInterval = 10 * time.Millisecond

// awaitRoom waits until a connection is admitted. It reports false if the
// connection's caller is at its limit or the listener was closed.
func (l *listener) awaitRoom(c *callerConn) bool {
	for !l.admit(c) {
		if c.holder.ExceedsShare(connectionBytes) {
			l.metrics.refused.Inc(1)
			return false
		}
		select {
		case <-time.After(admitInterval):
		case <-l.closed:
			return false
		}
	}
	return true
}

// admit reserves the memory of a connection and counts it, closing others if
// necessary. It reports false if there is no room.
func (l *listener) admit(c *callerConn) bool {
	now := time.Now()
	for l.open.Load() >= l.limit || !c.holder.Reserve(membudget.Connection, connectionBytes) {
		victim := l.evictFor(c, now)
		if victim == nil {
			return false
		}
		// A request on the closed connection returns its memory when it has ended.
		if l.open.Load() < l.limit && c.holder.TakeOver(victim, membudget.Connection, connectionBytes) {
			break
		}
	}
	l.open.Add(1)
	return true
}

// evictFor closes a connection for a new one and returns its holder, nil if there is
// none to close.
func (l *listener) evictFor(c *callerConn, now time.Time) *membudget.Holder {
	for {
		h := l.budget.EvictConnectionFor(c.holder, connectionBytes, now)
		if h == nil {
			return nil
		}
		if victim, ok := h.Owner.(*callerConn); ok && victim.evictConn() {
			l.metrics.displaced.Inc(1)
			return h
		}
	}
}

// Close closes the listener and ends Accept.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// nearLimit reports whether the number of connections is at least 90% of the
// limit. Connections are then closed after their response, so that idle ones
// don't keep callers out.
func (l *listener) nearLimit() bool { return 10*l.open.Load() >= 9*l.limit }

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

// errDrainLimit means that requests were still in flight when the stop limit of
// a graceful shutdown had passed.
var errDrainLimit = errors.New("requests in flight were canceled at the stop limit")
