package decisions

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a trace that leads to other decisions after it was written and
// read back.
func TestStoredTraceReplaysIdentically(t *testing.T) {
	shape := Shapes[1]
	shape.Services = shape.Services[:1]
	trace := Generate(shape, Fault{Name: "fails all", build: func(g *generator) { g.addFault(Total, failing(1)) }}, Periods[1], 1)
	want := Replay(trace, buildEngine, true, 1)
	for i, stream := range trace.Streams {
		var stored bytes.Buffer
		if err := WriteStream(&stored, stream); err != nil {
			t.Fatal(err)
		}
		read, err := ReadStream(&stored)
		if err != nil {
			t.Fatal(err)
		}
		trace.Streams[i] = read
	}
	if diff := cmp.Diff(want, Replay(trace, buildEngine, true, 1)); diff != "" {
		t.Fatalf("decisions differ:\n%s", diff)
	}
	if len(want.Decisions) == 0 {
		t.Fatal("the trace leads to no decisions")
	}
}

// Guards against reading a damaged trace as a shorter one.
func TestReadStreamRejectsDamagedInput(t *testing.T) {
	for _, damaged := range []string{`{"time":"2026-01-01T00:00:00Z","event":{"tick":{}}`, `{"when":1}`} {
		if _, err := ReadStream(bytes.NewBufferString(damaged)); err == nil {
			t.Errorf("%s was read without an error", damaged)
		}
	}
}
