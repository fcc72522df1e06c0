package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxPendingBytes bounds the lines that wait to be written. It holds one second
// of lines at the highest rate that sampling lets through.
const maxPendingBytes = 512 << 10

// AsyncWriter writes lines from its own goroutine. It drops and counts a line
// that does not fit in its buffer: a reader that stops reading the log must not
// block requests.
type AsyncWriter struct {
	w       io.Writer
	wake    chan struct{} // capacity 1
	idle    chan struct{} // capacity 1, signalled when nothing is left to write
	closed  chan struct{}
	dropped atomic.Int64

	mu      sync.Mutex
	pending []byte
	writing bool
}

// NewAsyncWriter returns a writer to w. Close stops its goroutine.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{w: w, wake: make(chan struct{}, 1), idle: make(chan struct{}, 1), closed: make(chan struct{})}
	go a.run()
	return a
}

// Write queues a line. It never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	if len(a.pending)+len(line) > maxPendingBytes {
		a.mu.Unlock()
		a.dropped.Add(1)
		return len(line), nil
	}
	a.pending = append(a.pending, line...)
	a.mu.Unlock()
	signal(a.wake)
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

func (a *AsyncWriter) run() {
	var spare []byte
	for {
		select {
		case <-a.wake:
		case <-a.closed:
			return
		}
		for {
			a.mu.Lock()
			batch := a.pending
			a.pending, a.writing = spare[:0], len(batch) > 0
			spare = nil // belongs to pending now
			a.mu.Unlock()
			if len(batch) == 0 {
				break
			}
			// An error could only be reported to the log itself.
			_, _ = a.w.Write(batch)
			spare = batch
		}
		signal(a.idle)
	}
}

// Flush waits until all lines are written, but no longer than timeout.
func (a *AsyncWriter) Flush(timeout time.Duration) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	for {
		a.mu.Lock()
		done := len(a.pending) == 0 && !a.writing
		a.mu.Unlock()
		if done {
			return
		}
		select {
		case <-a.idle:
		case <-t.C:
			return
		}
	}
}

// Close waits until all lines are written, but no longer than timeout, and stops
// the writer. Later lines are not written. It must be called only once.
func (a *AsyncWriter) Close(timeout time.Duration) {
	a.Flush(timeout)
	close(a.closed)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
