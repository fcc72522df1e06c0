package entry

import "net/http"

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
		if rest := b.kept.from(int(v.offset - b.start)); len(rest) > 0 {
			n := copy(p, rest)
			v.offset += int64(n)
			return n, nil
		}
		if b.err != nil {
			v.copyTrailerLocked()
			return 0, b.err
		}
		b.readerWaiting, b.attempted = true, true
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
