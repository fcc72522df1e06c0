package errkind

import (
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
)

// Guards against a response without the kind or the run state.
func TestWriteErrorSetsKindAndRunState(t *testing.T) {
	for _, r := range Table {
		w := httptest.NewRecorder()
		WriteError(w, r.Kind, "message")
		if w.Code != r.Status || w.Header().Get(HeaderError) != string(r.Kind) || w.Header().Get(HeaderRun) != string(r.Run) {
			t.Errorf("%s: got status %d, header %v", r.Kind, w.Code, w.Header())
		}
	}
}

// Guards against a kind that is lost when the error is wrapped.
func TestOfFindsKindThroughWrapping(t *testing.T) {
	err := errors.Wrap(New(QueueFull, "queue of service %s is full", "entries"), "admit")
	if got := Of(err); got != QueueFull {
		t.Errorf("Of = %s, want %s", got, QueueFull)
	}
}
