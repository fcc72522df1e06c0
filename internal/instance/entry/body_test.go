package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"

	"knapweedreel/internal/errkind"
)

func bodyOf(src io.Reader, limit int64, replayLimit int) *requestBody {
	b := newRequestBody(&http.Request{Body: io.NopCloser(src), Header: http.Header{}}, replayLimit, nil, 0)
	b.setLimit(limit)
	return b
}

// Guards against attempts that read a different body than the caller sent, and
// against a consumed body being reported as replayable.
func TestBodyReplay(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		data := bytes.Repeat([]byte("0123456789"), rapid.IntRange(0, 20_000).Draw(rt, "tens"))
		replayLimit := rapid.IntRange(1, 100_000).Draw(rt, "keep")
		b := bodyOf(iotest.HalfReader(bytes.NewReader(data)), 1<<20, replayLimit)
		defer b.close()
		for range rapid.IntRange(0, 3).Draw(rt, "failed attempts") {
			v := b.view()
			part := make([]byte, rapid.IntRange(0, len(data)).Draw(rt, "part"))
			_, err := io.ReadFull(v, part)
			v.Interrupt()
			if err != nil && errors.Is(err, errConsumed) {
				return
			}
			if !bytes.Equal(part, data[:len(part)]) {
				rt.Fatal("the body read differs from the body sent")
			}
			if !b.replayable() {
				if len(data) <= replayLimit {
					rt.Fatalf("a body of %d bytes was not kept", len(data))
				}
				if _, err := io.ReadAll(b.view()); !errors.Is(err, errConsumed) {
					rt.Fatalf("error %v", err)
				}
				return
			}
		}
		got, err := io.ReadAll(b.view())
		if err != nil || !bytes.Equal(got, data) {
			rt.Fatalf("%d of %d bytes, %v", len(got), len(data), err)
		}
	})
}

// Guards against an ended attempt that still waits for the caller, and against
// the next attempt missing bytes that arrive in the meantime.
func TestBodyInterrupt(t *testing.T) {
	r, w := io.Pipe()
	b := bodyOf(r, 1<<20, 1<<10)
	first := b.view()
	failed := make(chan error, 1)
	go func() {
		_, err := first.Read(make([]byte, 10))
		failed <- err
	}()
	eventually(t, "reading", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.readerWaiting
	})
	first.Interrupt()
	select {
	case err := <-failed:
		if !errors.Is(err, errInterrupted) {
			t.Errorf("error %v", err)
		}
	case <-time.After(waitTimeout):
		t.Fatal("the read was not interrupted")
	}
	go func() {
		_, _ = io.WriteString(w, "body")
		_ = w.Close()
	}()
	if got, err := io.ReadAll(b.view()); err != nil || string(got) != "body" {
		t.Errorf("%q, %v", got, err)
	}
	b.close()
}

// Guards against a body that accumulates in memory beyond the replay limit.
func TestBodyMemory(t *testing.T) {
	const replayLimit = 4 << 10
	b := bodyOf(bytes.NewReader(make([]byte, 1<<20)), 1<<30, replayLimit)
	v := b.view()
	largest := 0
	buf := make([]byte, 512)
	for {
		_, err := v.Read(buf)
		b.mu.Lock()
		largest = max(largest, b.kept.size())
		b.mu.Unlock()
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if largest > replayLimit+bodyChunk {
		t.Errorf("%d bytes in memory", largest)
	}
	b.close()
}

// Guards against mistaking a failure of the caller for the end of the body.
func TestBodyFailure(t *testing.T) {
	b := bodyOf(io.MultiReader(bytes.NewReader([]byte("part")), iotest.ErrReader(io.ErrUnexpectedEOF)), 1<<20, 1<<10)
	if _, err := io.ReadAll(b.view()); errkind.Of(err) != errkind.CallerBodyFailed || errkind.Of(b.failure()) != errkind.CallerBodyFailed {
		t.Errorf("error %v", err)
	}
	if b.replayable() || b.complete() {
		t.Error("a failed body is replayable or complete")
	}
	b.close()
}
