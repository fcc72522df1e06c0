package entry

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/errkind"
)

// errCallerWrite means that the caller did not take the answer.
var errCallerWrite = errors.New("write to the caller")

// bufferPool holds the buffers into which answers are read.
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

// answer passes the answer of a on to the caller. A whole answer is written
// with its length. A longer one is streamed; when it ends early, the caller's
// connection is aborted, so that the part is not taken for the whole.
func (s *Server) answer(e *exchange, a *attempt) error {
	defer a.drop()
	resp := a.answer
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
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	if a.whole && len(resp.Trailer) == 0 && e.r.Method != http.MethodHead && bodyAllowed(resp.StatusCode) {
		h.Set("Content-Length", strconv.Itoa(len(a.head)))
	}
	e.explanation.Status = resp.StatusCode
	e.beforeHeader(!a.whole)
	e.w.WriteHeader(resp.StatusCode)
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

// writeBody writes the first bytes and, if there are more, streams the rest.
func (s *Server) writeBody(e *exchange, a *attempt) error {
	if err := e.write(a.head); err != nil || a.whole {
		return err
	}
	flush := a.answer.ContentLength < 0 // the upstream decides on the pace
	buf := a.head[:cap(a.head)]
	for {
		began := time.Now()
		n, err := a.answer.Body.Read(buf)
		a.reading += time.Since(began)
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
	if _, err := e.w.Write(p); err != nil {
		return errors.Mark(errkind.Wrap(errkind.CallerGone, err, "write the answer"), errCallerWrite)
	}
	return nil
}

// Times around the end of a request.
const (
	// settleLimit is the time given to the rest of a caller's body before an
	// answer that does not need it. The connection stays in use if it arrives.
	settleLimit = 20 * time.Millisecond
	// lingerLimit is the time for which the rest of a caller's body is read
	// after an answer. A connection that is closed with unread bytes is reset,
	// and the reset can destroy the answer on its way.
	lingerLimit = time.Second
	// writeGrace is the time for writing an answer beyond the deadline.
	writeGrace = 10 * time.Second
)

// beforeHeader prepares the caller's connection for the answer header. With
// streaming the upstream may still be reading the rest of the caller's body.
func (e *exchange) beforeHeader(streaming bool) {
	_ = e.rc.SetWriteDeadline(e.writeLimit())
	complete := e.body == nil || e.body.complete() || !streaming && e.body.finish(settleLimit)
	if !complete || e.s.drain.started.Load() || e.conn != nil && e.conn.crowded() {
		e.w.Header().Set("Connection", "close")
	}
}

// writeLimit bounds the time for which a caller that reads slowly holds a
// streamed answer and with it the slot of its upstream.
func (e *exchange) writeLimit() time.Time {
	limit := time.Now().Add(writeGrace)
	if e.deadline.After(limit) {
		return e.deadline
	}
	return limit
}

// abort closes the caller's connection without ending the answer.
func (e *exchange) abort(err error) {
	e.explanation.Kind = string(e.kindOf(err))
	e.explanation.Run = string(errkind.Unknown)
	e.aborted = true
	if e.conn != nil {
		e.conn.abort()
	}
	panic(http.ErrAbortHandler)
}

// setServing tells the connection whether bytes written to it belong to the
// answer of this request.
func (e *exchange) setServing(serving bool) {
	if e.conn != nil {
		e.conn.serving.Store(serving)
	}
}

// after leaves the caller's connection in order once the answer is written.
func (e *exchange) after() {
	if !e.aborted {
		_ = e.rc.Flush()
		e.setServing(false)
	}
	if e.body == nil {
		return
	}
	if !e.aborted {
		e.body.finish(lingerLimit)
	}
	// Whatever still reads from the caller ends now. The connection is not used
	// again, because its header said so or because it is aborted.
	if !e.body.finish(0) {
		_ = e.rc.SetReadDeadline(time.Unix(1, 0))
	}
	e.body.close()
}
