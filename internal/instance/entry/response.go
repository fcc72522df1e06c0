package entry

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/entry/upstream"
	"knapweedreel/internal/membudget"
)

// errCallerWrite marks failed writes to the caller.
var errCallerWrite = errors.New("write to the caller")

// bufferPool pools the buffers into which responses are read.
type bufferPool struct {
	size int
	pool sync.Pool
}

func (p *bufferPool) get() []byte {
	if b, ok := p.pool.Get().(*[]byte); ok {
		return (*b)[:p.size]
	}
	return make([]byte, p.size)
}

func (p *bufferPool) put(b []byte) { p.pool.Put(&b) }

// respond forwards the response of a to the caller. A complete response is
// written with its length. A longer one is streamed; if it is truncated, the
// caller's connection is aborted, so that the caller doesn't mistake it for
// complete.
func (s *Server) respond(e *exchange, a *attempt) error {
	defer a.releaseBuffer()
	resp := a.response
	h := e.w.Header()
	for k, v := range resp.Header {
		h[k] = v
	}
	removeHopByHop(h)
	for _, name := range reserved {
		h.Del(name)
	}
	h.Set(s.protocol().RequestID, e.id) // also if the upstream has not echoed it
	for _, name := range reserved {
		resp.Trailer.Del(name)
	}
	for name := range resp.Trailer {
		h.Add("Trailer", name)
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from detecting one
	}
	if a.complete && len(resp.Trailer) == 0 && e.r.Method != http.MethodHead && bodyAllowed(resp.StatusCode) {
		h.Set("Content-Length", strconv.Itoa(len(a.prefix)))
	}
	e.explanation.Status = resp.StatusCode
	e.prepareHeader(!a.complete)
	e.w.WriteHeader(resp.StatusCode)
	e.holdsSlot.Store(!a.complete)
	if n := resp.ContentLength; e.conn != nil && (n < 0 || n > smallAnswer) && !(a.complete && len(a.prefix) <= smallAnswer) {
		e.conn.reserveSocket(n)
	}
	if !a.complete && e.memory.ReserveSpare(membudget.Answer, upstream.OpenReceiveBuffer) {
		resp.OpenWindow()
	}
	if a.complete && e.body != nil {
		e.body.release()
	}
	err := s.writeBody(e, a)
	if err != nil {
		a.err = err
		a.end()
		e.abort(err)
	}
	for name, v := range resp.Trailer {
		h[name] = v
	}
	a.end()
	return nil
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// smallAnswer is the size up to which the memory of a response isn't reserved but
// is part of the connection's.
const smallAnswer = 4 << 10

// takeBuffer takes a buffer for the response of a. If memory is short, the buffer
// is a small one, and the response is streamed.
func (a *attempt) takeBuffer() {
	n := a.response.ContentLength
	if (n < 0 || n > smallAnswer) && a.e.memory.Reserve(membudget.Answer, int64(a.s.buffers.size)) {
		a.prefix = a.s.buffers.get()
	} else {
		a.prefix = a.s.pieces.get()
	}
}

// releaseBuffer returns the buffer of the attempt's response to its pool. a may be
// nil.
func (a *attempt) releaseBuffer() {
	if a == nil || a.prefix == nil {
		return
	}
	if cap(a.prefix) >= a.s.buffers.size {
		a.s.buffers.put(a.prefix)
		a.e.memory.Return(membudget.Answer, int64(a.s.buffers.size))
	} else {
		a.s.pieces.put(a.prefix)
	}
	a.prefix = nil
}

// writeBody writes the buffered prefix and streams the rest, if any.
func (s *Server) writeBody(e *exchange, a *attempt) error {
	if err := e.write(a.prefix); err != nil || a.complete {
		return err
	}
	flush := a.response.ContentLength < 0 // forward each part as it arrives
	buf := a.prefix[:cap(a.prefix)]
	for {
		began := time.Now()
		n, err := a.response.Body.Read(buf)
		a.readTime += time.Since(began)
		a.bodyRead += int64(n)
		if n > 0 {
			if werr := e.write(buf[:n]); werr != nil {
				return werr
			}
			if flush {
				_ = e.rc.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (e *exchange) write(p []byte) error {
	if len(p) == 0 || e.r.Method == http.MethodHead {
		return nil
	}
	e.memory.SetStage(membudget.Writing)
	defer e.memory.SetStage(membudget.Sent)
	if _, err := e.w.Write(p); err != nil {
		return errors.Mark(errkind.Wrap(errkind.CallerGone, err, "write the response"), errCallerWrite)
	}
	return nil
}

// Time limits around the end of a request.
const (
	// bodySettleTimeout is how long a response that doesn't depend on the rest
	// of the caller's body waits for it. The connection is reused if it
	// arrives.
	bodySettleTimeout = 20 * time.Millisecond
	// lingerTimeout is how long the rest of a caller's body is read after the
	// response. A connection that is closed with unread bytes is reset, and the
	// reset can discard a response that the caller has not read yet.
	lingerTimeout = time.Second
	// writeGrace is the minimum time for writing a response, even beyond the
	// deadline.
	writeGrace = 10 * time.Second
)

// prepareHeader prepares the caller's connection for the response header. While
// a response is streamed, the upstream may still be reading the caller's body.
func (e *exchange) prepareHeader(streaming bool) {
	_ = e.rc.SetWriteDeadline(e.writeDeadline())
	complete := e.body == nil || e.body.complete() || !streaming && e.body.finish(bodySettleTimeout)
	if !complete || e.s.drain.started() || e.conn != nil && e.conn.nearLimit() {
		e.w.Header().Set("Connection", "close")
	}
}

// writeDeadline returns the write deadline for the caller's connection. It
// bounds how long a caller that reads a streamed response slowly occupies a
// slot.
func (e *exchange) writeDeadline() time.Time {
	limit := time.Now().Add(writeGrace)
	if e.deadline.After(limit) {
		return e.deadline
	}
	return limit
}

// abort closes the caller's connection without completing the response.
func (e *exchange) abort(err error) {
	e.explanation.Kind = string(e.kindOf(err))
	e.explanation.Run = string(errkind.Unknown)
	e.aborted = true
	if e.conn != nil {
		e.conn.abort()
	}
	panic(http.ErrAbortHandler)
}

// setServing sets whether bytes written to the connection belong to the response
// of this request.
func (e *exchange) setServing(serving bool) {
	if e.conn != nil {
		e.conn.serving.Store(serving)
	}
}

// finishConn reads the rest of the caller's body once the response is written.
func (e *exchange) finishConn() {
	defer e.closeMemory()
	if !e.aborted {
		e.memory.SetStage(membudget.Writing)
		_ = e.rc.Flush()
		if e.conn != nil {
			e.settleSocket()
		}
		e.setServing(false)
	}
	if e.body == nil {
		return
	}
	if !e.aborted {
		e.body.finish(lingerTimeout)
	}
	// Any pending read from the caller is ended here. The connection is not
	// reused: the response header said so, or it was aborted.
	if !e.body.finish(0) {
		_ = e.rc.SetReadDeadline(time.Unix(1, 0))
	}
	e.body.close()
}
