package entry

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/errkind"
)

// bodyChunk is the maximum size, in bytes, of one read of a caller's body, and
// of the buffer of a body that is no longer kept for replay.
const bodyChunk = 32 << 10

var (
	errInterrupted = errors.New("the attempt that read the body has ended")
	errConsumed    = errors.New("the body was consumed by an earlier attempt")
)

// requestBody reads a caller's body for the attempts of a request. Its first
// replayLimit bytes are kept so that another attempt can read a body of up to
// that size from the start. A separate goroutine reads from the caller, because
// the transport waits for a pending read before it reports a failed attempt.
type requestBody struct {
	src            io.Reader
	trailer        http.Header // of the caller's request, set at the end of src
	limit          int64       // maximum size of the body in bytes
	replayLimit    int         // maximum number of bytes kept for another attempt
	chunk          int         // size of one read in bytes
	expectContinue bool        // the caller waits for 100 Continue before it sends the body

	mu            sync.Mutex
	changed       sync.Cond
	buf           []byte // bytes of the body from offset start
	start         int64  // above 0 once bytes have been discarded
	err           error  // io.EOF, or the error that ended the body
	eof           bool   // the end of the body was reached
	readerWaiting bool   // a reader waits at the end of buf
	discard       bool   // the rest is not needed
	closed        bool
	loopDone      chan struct{} // closed when readLoop has ended, nil before it starts
}

func newRequestBody(r *http.Request, replayLimit int) *requestBody {
	b := &requestBody{
		src: r.Body, trailer: r.Trailer, limit: defaultMaxBody, replayLimit: replayLimit, chunk: bodyChunk,
		expectContinue: r.Header.Get("Expect") != "",
	}
	if n := r.ContentLength; n > 0 && n < bodyChunk {
		b.chunk = int(n) // net/http returns io.EOF together with the last byte
	}
	b.changed.L = &b.mu
	return b
}

// setLimit sets the maximum body size. It applies to later reads.
func (b *requestBody) setLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// readLoop reads from the caller until the end of the body.
func (b *requestBody) readLoop() {
	defer close(b.loopDone)
	chunk := make([]byte, b.chunk)
	for {
		size := b.nextReadSize()
		if size == 0 {
			return
		}
		n, err := b.src.Read(chunk[:min(size, len(chunk))])
		if !b.add(chunk[:n], err) {
			return
		}
	}
}

// nextReadSize waits until bytes may be read and returns how many, 0 to stop
// reading.
func (b *requestBody) nextReadSize() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		switch {
		case b.closed:
			return 0
		case b.err == nil && b.start == 0 && len(b.buf) < b.replayLimit:
			return min(bodyChunk, b.replayLimit-len(b.buf))
		case b.err == nil && b.readerWaiting, b.discard:
			b.start += int64(len(b.buf))
			b.buf = b.buf[:0]
			return bodyChunk
		}
		b.changed.Wait()
	}
}

// add appends bytes read from the caller and reports whether to read further.
func (b *requestBody) add(p []byte, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buf = append(b.buf, p...)
	b.readerWaiting = false
	b.eof = err == io.EOF
	switch {
	case b.err != nil: // the rest is discarded
	case b.start+int64(len(b.buf)) > b.limit:
		b.err = errkind.New(errkind.BodyLimitExceeded, "the body exceeds the route's limit of %d bytes", b.limit)
	case err == io.EOF:
		b.err = io.EOF
	case err != nil:
		b.err = errkind.Wrap(errkind.CallerBodyFailed, err, "read the caller's body")
	}
	b.changed.Broadcast()
	return err == nil
}

// startLocked starts readLoop if it isn't running. b.mu is held.
func (b *requestBody) startLocked() {
	if b.loopDone == nil {
		b.loopDone = make(chan struct{})
		go b.readLoop()
	}
}

// awaitBuffered waits until the body has arrived or failed. It returns early if
// the body is too long to be kept.
func (b *requestBody) awaitBuffered(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.changed.Broadcast()
	})
	defer stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startLocked()
	for b.err == nil && b.start == 0 && len(b.buf) < b.replayLimit && ctx.Err() == nil {
		b.changed.Wait()
	}
}

// replayable reports whether another attempt can read the body from its start.
func (b *requestBody) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.start == 0 && (b.err == nil || b.err == io.EOF)
}

// complete reports whether all of the body has arrived.
func (b *requestBody) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.eof
}

// failure returns the error that ended the caller's body, nil if there is none.
func (b *requestBody) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == io.EOF {
		return nil
	}
	return b.err
}

// finish reads and discards the rest of the body for at most limit, and reports
// whether the end was reached. A caller that still waits for 100 Continue isn't
// sent one.
func (b *requestBody) finish(limit time.Duration) bool {
	b.mu.Lock()
	if b.loopDone == nil && b.expectContinue {
		b.mu.Unlock()
		return false
	}
	b.discard = true
	b.startLocked()
	b.changed.Broadcast()
	loopDone := b.loopDone
	b.mu.Unlock()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-loopDone:
	case <-t.C:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.eof
}

// close ends readLoop and waits for it. A read deadline must be set on the
// connection before, or close waits for a pending read.
func (b *requestBody) close() {
	b.mu.Lock()
	b.closed = true
	b.changed.Broadcast()
	loopDone := b.loopDone
	b.mu.Unlock()
	if loopDone != nil {
		<-loopDone
	}
}

// bodyView is the reader of a requestBody for one attempt.
type bodyView struct {
	b           *requestBody
	trailer     http.Header // set at the end of the body
	offset      int64
	interrupted bool // guarded by b.mu
}

func (b *requestBody) view() *bodyView {
	v := &bodyView{b: b}
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.trailer {
		if v.trailer == nil {
			v.trailer = make(http.Header, len(b.trailer))
		}
		v.trailer[name] = nil
	}
	return v
}

// Read returns bytes of the body, waiting for the caller if necessary.
func (v *bodyView) Read(p []byte) (int, error) {
	b := v.b
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if v.interrupted {
			return 0, errInterrupted
		}
		if v.offset < b.start {
			return 0, errConsumed
		}
		if rest := b.buf[v.offset-b.start:]; len(rest) > 0 {
			n := copy(p, rest)
			v.offset += int64(n)
			return n, nil
		}
		if b.err != nil {
			v.copyTrailerLocked()
			return 0, b.err
		}
		b.readerWaiting = true
		b.startLocked()
		b.changed.Broadcast()
		b.changed.Wait()
	}
}

// copyTrailerLocked copies the values of the trailers that the request
// announced. v.b.mu is held.
func (v *bodyView) copyTrailerLocked() {
	for name := range v.trailer {
		v.trailer[name] = v.b.trailer[name]
	}
}

// Interrupt makes pending and later reads fail.
func (v *bodyView) Interrupt() {
	v.b.mu.Lock()
	defer v.b.mu.Unlock()
	v.interrupted = true
	v.b.readerWaiting = false
	v.b.changed.Broadcast()
}

// Close does the same as Interrupt.
func (v *bodyView) Close() error {
	v.Interrupt()
	return nil
}
