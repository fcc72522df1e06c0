package entry

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/membudget"
)

// Sizes of the buffers of a body, in bytes.
const (
	// bodyChunk is the maximum size of one read of a caller's body, and of one
	// buffer.
	bodyChunk = 32 << 10
	// firstChunk is the size of the first buffer of a body without a length.
	firstChunk = 4 << 10
	// discardChunk is the size of the buffer of a body that is not needed.
	discardChunk = 4 << 10
)

var (
	errInterrupted = errors.New("the attempt that read the body has ended")
	errConsumed    = errors.New("the body was consumed by an earlier attempt")
)

// requestBody reads a caller's body for the attempts of a request. Its first
// replayLimit bytes are kept so that another attempt can read a body of up to
// that size from the start. A separate goroutine reads from the caller, because
// the transport waits for a pending read before it reports a failed attempt.
// Memory is reserved before it is filled.
type requestBody struct {
	src            io.Reader
	trailer        http.Header // of the caller's request, set at the end of src
	length         int64       // announced size in bytes, negative for none
	limit          int64       // maximum size of the body in bytes
	replayLimit    int         // maximum number of bytes kept for another attempt
	first          int         // size of the first buffer in bytes
	expectContinue bool        // the caller waits for 100 Continue before it sends the body
	holder         *membudget.Holder
	memoryWait     time.Duration // maximum wait for memory

	mu            sync.Mutex
	changed       sync.Cond
	kept          buffers // bytes of the body from offset start
	scratch       []byte  // for bytes that are not needed
	start         int64   // above 0 once bytes have been discarded
	err           error   // io.EOF, or the error that ended the body
	reading       bool    // a read from the caller is pending
	sending       bool    // an upstream gets the body
	sendingSince  time.Time
	sendingFrom   int64     // bytes received by then
	deadline      time.Time // of the request
	short         bool      // no memory to keep more of the body
	eof           bool      // the end of the body was reached
	readerWaiting bool      // a reader waits at the end of kept
	attempted     bool      // an attempt has begun to read
	discard       bool      // the rest is not needed
	closed        bool
	abandoned     chan struct{} // closed when no memory is needed any more
	loopDone      chan struct{} // closed when readLoop has ended, nil before it starts
}

// newRequestBody returns the body of r. Its memory is reserved by holder, or not at
// all if that is nil.
func newRequestBody(r *http.Request, replayLimit int, holder *membudget.Holder, memoryWait time.Duration) *requestBody {
	b := &requestBody{
		src: r.Body, trailer: r.Trailer, length: r.ContentLength, limit: defaultMaxBody, replayLimit: replayLimit, first: bodyChunk,
		expectContinue: r.Header.Get("Expect") != "", holder: holder, memoryWait: memoryWait,
		abandoned: make(chan struct{}),
	}
	switch n := r.ContentLength; {
	case n < 0:
		b.first = firstChunk
	case n > 0 && n < bodyChunk:
		b.first = int(n) // net/http returns io.EOF together with the last byte
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

// setDeadline sets the deadline of the request.
func (b *requestBody) setDeadline(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deadline = t
}

// received returns the number of bytes received. b.mu is held.
func (b *requestBody) received() int64 { return b.start + int64(b.kept.length) }

// endsLate reports whether the rest of a body of known length can't arrive before the
// deadline at the mean rate since an upstream gets it.
func (b *requestBody) endsLate(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := now.Sub(b.sendingSince)
	if !b.sending || b.length < 0 || b.err != nil || elapsed <= 0 {
		return false
	}
	rate := float64(b.received()-b.sendingFrom) / elapsed.Seconds()
	return float64(b.length-b.received()) > rate*b.deadline.Sub(now).Seconds()
}

// readLoop reads from the caller until the end of the body.
func (b *requestBody) readLoop() {
	defer close(b.loopDone)
	for {
		p, kept := b.nextRead()
		if p == nil {
			return
		}
		n, err := b.src.Read(p)
		if !b.add(n, kept, err) {
			return
		}
	}
}

// nextRead waits until bytes may be read and returns where to. The result is nil
// to stop reading. kept is false if the bytes are not needed.
func (b *requestBody) nextRead() (p []byte, kept bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, kept = b.nextReadLocked()
	b.setReadingLocked(p != nil)
	return p, kept
}

// setReadingLocked records whether a read from the caller is pending. While it is,
// the request depends on its caller, otherwise on the upstream that gets the body.
// b.mu is held.
func (b *requestBody) setReadingLocked(reading bool) {
	b.reading = reading
	switch {
	case !b.sending || b.holder == nil:
	case reading:
		b.holder.Transition(membudget.Sent, membudget.Streaming)
	default:
		b.holder.Transition(membudget.Streaming, membudget.Sent)
	}
}

// setSending records that an upstream gets the body.
func (b *requestBody) setSending() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.sending {
		b.sending, b.sendingSince, b.sendingFrom = true, time.Now(), b.received()
	}
	b.holder.SetStage(membudget.Sent)
	b.setReadingLocked(b.reading)
}

// nextReadLocked is like nextRead. b.mu is held.
func (b *requestBody) nextReadLocked() (p []byte, kept bool) {
	for {
		switch {
		case b.closed:
			return nil, false
		case b.discard:
			b.dropLocked()
			if b.scratch == nil {
				b.scratch = make([]byte, discardChunk)
			}
			return b.scratch, false
		case b.err != nil:
		case b.start == 0 && b.kept.length < b.replayLimit:
			if p := b.kept.free(); len(p) > 0 {
				return p[:min(len(p), b.replayLimit-b.kept.length)], true
			}
			if b.growLocked() {
				continue
			}
			// A running attempt goes on without a copy for another one.
			if b.attempted && b.kept.length > 0 && b.readerWaiting {
				b.rewindLocked()
			}
			continue
		case b.readerWaiting:
			b.rewindLocked()
			return b.kept.free(), true
		}
		b.changed.Wait()
	}
}

// growLocked adds a buffer once its memory is reserved. It reports false if there
// is none and b's state may have changed meanwhile, or the body has failed. b.mu is
// held; it is released while waiting.
func (b *requestBody) growLocked() bool {
	size := b.first
	if len(b.kept.chunks) > 0 {
		size = bodyChunk
	}
	if b.holder == nil || b.holder.Reserve(membudget.Body, int64(size)) {
		b.kept.add(size)
		return true
	}
	if b.kept.length > 0 && (b.attempted || b.isLong()) {
		// A part of a long body is enough to begin with. The reader frees the memory
		// it has read, or the body is abandoned.
		b.short = true
		b.changed.Broadcast()
		for !b.readerWaiting && b.err == nil && !b.discard && !b.closed {
			b.changed.Wait()
		}
		return false
	}
	b.mu.Unlock()
	granted := b.awaitMemory(size)
	b.mu.Lock()
	if granted {
		b.kept.add(size)
		return true
	}
	if b.err == nil && !b.discard && !b.closed {
		b.err = errMemoryShort(size)
	}
	b.changed.Broadcast()
	return false
}

// rewindLocked drops the kept bytes but one buffer, and returns their memory. b.mu
// is held.
func (b *requestBody) rewindLocked() {
	size := b.kept.size()
	b.start += int64(b.kept.rewind())
	if b.holder != nil && size > b.kept.size() {
		b.holder.Return(membudget.Body, int64(size-b.kept.size()))
	}
}

// errMemoryShort returns the error of a body for which there is no memory.
func errMemoryShort(size int) error {
	return errkind.New(errkind.MemoryShort, "no memory for %d bytes of the body", size)
}

// awaitMemory reserves size bytes, waiting briefly, and reports whether it did.
func (b *requestBody) awaitMemory(size int) bool {
	r, ok := b.holder.ReserveOrWait(membudget.Body, int64(size))
	if !ok || r == nil {
		return ok
	}
	t := time.NewTimer(b.memoryWait)
	defer t.Stop()
	select {
	case <-r.Granted():
		return true
	case <-t.C:
	case <-b.abandoned:
	}
	return !r.Cancel()
}

// dropLocked drops all kept bytes and returns their memory. b.mu is held.
func (b *requestBody) dropLocked() {
	b.start += int64(b.kept.length)
	b.kept.clear()
	if b.holder != nil {
		b.holder.ReturnAll(membudget.Body)
	}
}

// add adds n bytes read from the caller and reports whether to read further.
func (b *requestBody) add(n int, kept bool, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setReadingLocked(false)
	switch {
	case !kept || len(b.kept.chunks) == 0:
		b.start += int64(n)
	default:
		b.kept.extend(n)
	}
	b.readerWaiting = false
	b.eof = err == io.EOF
	switch {
	case b.err != nil: // the rest is discarded
	case b.start+int64(b.kept.length) > b.limit:
		b.err = errkind.New(errkind.BodyLimitExceeded, "the body exceeds the route's limit of %d bytes", b.limit)
	case err == io.EOF:
		b.err = io.EOF
	case err != nil:
		b.err = errkind.Wrap(errkind.CallerBodyFailed, err, "read the caller's body")
	}
	b.changed.Broadcast()
	return err == nil
}

// fail ends the body with an error unless it has ended, and reports whether it did.
func (b *requestBody) fail(err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return false
	}
	b.err = err
	b.abandonLocked()
	return true
}

// release returns the memory of a complete body that no attempt needs any more.
func (b *requestBody) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.eof {
		b.dropLocked()
	}
}

// abandonLocked ends a wait for memory. b.mu is held.
func (b *requestBody) abandonLocked() {
	select {
	case <-b.abandoned:
	default:
		close(b.abandoned)
	}
	b.changed.Broadcast()
}

// reserveFirst reserves the first buffer, so that a body that is streamed doesn't
// wait for memory while it occupies a slot.
func (b *requestBody) reserveFirst() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.kept.chunks) == 0 && b.loopDone == nil && !b.growLocked() {
		return b.err
	}
	return nil
}

// startLocked starts readLoop if it isn't running. b.mu is held.
func (b *requestBody) startLocked() {
	if b.loopDone == nil {
		b.loopDone = make(chan struct{})
		go b.readLoop()
	}
}

// isLong reports whether the body is too long to be kept.
func (b *requestBody) isLong() bool { return b.length > int64(b.replayLimit) }

// awaitBuffered waits until the body has arrived or failed. It returns early if
// the body is too long to be kept, and as much as possible has arrived.
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
	for b.err == nil && b.start == 0 && b.kept.length < b.replayLimit && !b.short && ctx.Err() == nil {
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
	b.abandonLocked()
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
	b.abandonLocked()
	loopDone := b.loopDone
	b.mu.Unlock()
	if loopDone != nil {
		<-loopDone
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropLocked()
}
