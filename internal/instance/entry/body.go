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

// bodyChunk is the size, in bytes, of one read of a caller's body, and the
// memory that a body takes once it is no longer kept.
const bodyChunk = 32 << 10

var (
	errInterrupted = errors.New("the attempt that read the body has ended")
	errConsumed    = errors.New("the body was consumed by an earlier attempt")
)

// requestBody reads a caller's body for the attempts of a request. The first
// bytes are kept, so that another attempt can read the body from its start for
// as long as it is not longer than that. A goroutine of its own reads from the
// caller, because the transport waits for a pending read before it reports a
// failed attempt.
type requestBody struct {
	src     io.Reader
	trailer http.Header // of the caller's request, filled in at the end of src
	limit   int64       // largest body in bytes
	keep    int         // bytes kept for another attempt
	chunk   int         // size of one read in bytes
	asked   bool        // the caller waits for 100 Continue before it sends the body

	mu      sync.Mutex
	changed sync.Cond
	buf     []byte // bytes of the body from offset start on
	start   int64  // above 0 once bytes were dropped
	err     error  // io.EOF, or why the body failed
	whole   bool   // the end of the body was read
	wanted  bool   // a reader is waiting at the end of buf
	discard bool   // nobody reads the rest
	closed  bool
	pump    chan struct{} // closed when the reading goroutine has ended, nil before it starts
}

func newRequestBody(r *http.Request, keep int) *requestBody {
	b := &requestBody{
		src: r.Body, trailer: r.Trailer, limit: defaultMaxBody, keep: keep, chunk: bodyChunk,
		asked: r.Header.Get("Expect") != "",
	}
	if n := r.ContentLength; n > 0 && n < bodyChunk {
		b.chunk = int(n) // net/http gives the end together with the last byte
	}
	b.changed.L = &b.mu
	return b
}

// setLimit sets the largest body. It is called before the first read.
func (b *requestBody) setLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// run reads from the caller until the end of the body.
func (b *requestBody) run() {
	defer close(b.pump)
	chunk := make([]byte, b.chunk)
	for {
		room := b.room()
		if room == 0 {
			return
		}
		n, err := b.src.Read(chunk[:min(room, len(chunk))])
		if !b.add(chunk[:n], err) {
			return
		}
	}
}

// room waits until bytes may be read and returns how many, 0 for none.
func (b *requestBody) room() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		switch {
		case b.closed:
			return 0
		case b.err == nil && b.start == 0 && len(b.buf) < b.keep:
			return min(bodyChunk, b.keep-len(b.buf))
		case b.err == nil && b.wanted, b.discard:
			b.start += int64(len(b.buf))
			b.buf = b.buf[:0]
			return bodyChunk
		}
		b.changed.Wait()
	}
}

// add takes bytes read from the caller and returns whether to read on.
func (b *requestBody) add(p []byte, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buf = append(b.buf, p...)
	b.wanted = false
	b.whole = err == io.EOF
	switch {
	case b.err != nil: // the rest is discarded
	case b.start+int64(len(b.buf)) > b.limit:
		b.err = errkind.New(errkind.BodyLimitExceeded, "the body is over the route's limit of %d bytes", b.limit)
	case err == io.EOF:
		b.err = io.EOF
	case err != nil:
		b.err = errkind.Wrap(errkind.CallerBodyFailed, err, "read the caller's body")
	}
	b.changed.Broadcast()
	return err == nil
}

// startLocked starts the reading goroutine.
func (b *requestBody) startLocked() {
	if b.pump == nil {
		b.pump = make(chan struct{})
		go b.run()
	}
}

// await waits until the body has arrived or failed, but not for one that is too
// long to be kept.
func (b *requestBody) await(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.changed.Broadcast()
	})
	defer stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startLocked()
	for b.err == nil && b.start == 0 && len(b.buf) < b.keep && ctx.Err() == nil {
		b.changed.Wait()
	}
}

// replayable reports whether another attempt can read the body from its start.
func (b *requestBody) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.start == 0 && (b.err == nil || b.err == io.EOF)
}

// complete reports whether the whole body has arrived.
func (b *requestBody) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.whole
}

// failure returns why the caller's body failed, nil if it did not.
func (b *requestBody) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == io.EOF {
		return nil
	}
	return b.err
}

// finish lets the rest of the body arrive, for at most the given time, and
// reports whether its end was reached. A caller that still waits for 100
// Continue is not asked to send its body.
func (b *requestBody) finish(limit time.Duration) bool {
	b.mu.Lock()
	if b.pump == nil && b.asked {
		b.mu.Unlock()
		return false
	}
	b.discard = true
	b.startLocked()
	b.changed.Broadcast()
	pump := b.pump
	b.mu.Unlock()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-pump:
	case <-t.C:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.whole
}

// close ends the reading goroutine. A pending read of the caller's connection
// must have been given a deadline before.
func (b *requestBody) close() {
	b.mu.Lock()
	b.closed = true
	b.changed.Broadcast()
	pump := b.pump
	b.mu.Unlock()
	if pump != nil {
		<-pump
	}
}

// bodyView is the body as one attempt reads it.
type bodyView struct {
	b           *requestBody
	trailer     http.Header // filled in at the end of the body
	offset      int64
	interrupted bool // under b.mu
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

// Read returns bytes of the body, waiting for the caller if need be.
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
		b.wanted = true
		b.startLocked()
		b.changed.Broadcast()
		b.changed.Wait()
	}
}

// copyTrailerLocked takes over the values of the trailers that the request
// announced.
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
	v.b.wanted = false
	v.b.changed.Broadcast()
}

// Close has the effect of Interrupt.
func (v *bodyView) Close() error {
	v.Interrupt()
	return nil
}
