package telemetry

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

const waitLimit = 20 * time.Second

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// Guards against a process that blocks because nobody reads its log, and against
// dropped lines that are not counted.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	r, w := io.Pipe() // nobody reads
	a := NewAsyncWriter(w)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 4 * maxPendingBytes / 1024
	for range lines {
		_, _ = a.Write(line)
	}
	if n := a.Dropped(); n < lines/2 || n >= lines {
		t.Errorf("%d of %d lines dropped", n, lines)
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	a.Flush(waitLimit)
	_ = w.Close()
}

// Guards against a process that ends without writing its last lines.
func TestAsyncWriterFlushes(t *testing.T) {
	var b syncBuffer
	a := NewAsyncWriter(&b)
	for range 100 {
		_, _ = a.Write([]byte("line\n"))
	}
	a.Flush(waitLimit)
	if n := strings.Count(b.String(), "line\n"); n != 100 {
		t.Errorf("%d lines", n)
	}
}

// Guards against a log whose volume grows with the load, and against failures
// that are sampled out because of the successes before them.
func TestSampledLoggerKeepsFailures(t *testing.T) {
	var b syncBuffer
	log, stop, err := NewServiceLogger(&b, "info", func() {})
	if err != nil {
		t.Fatal(err)
	}
	for range 20 * sampleFirst {
		log.Info("request")
	}
	log.Warn("request_failed", zap.String("request_id", "one"))
	stop()
	requests := strings.Count(b.String(), "event=request ") + strings.Count(b.String(), "event=request\n")
	// A second of the sampler may end, and the next begin, while the lines are
	// written.
	if limit := 2 * (sampleFirst + 20*sampleFirst/sampleThereafter); requests < sampleFirst || requests > limit {
		t.Errorf("%d lines of requests", requests)
	}
	if !strings.Contains(b.String(), "request_id=one") {
		t.Error("the failure is not logged")
	}
}
