package errkind

import (
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
)

// Guards against an answer that lacks the kind or the run state.
func TestWriteAnswerSetsKindAndRunState(t *testing.T) {
	for _, a := range Table {
		w := httptest.NewRecorder()
		WriteError(w, a.Kind, "message")
		if w.Code != a.Status || w.Header().Get(HeaderError) != string(a.Kind) || w.Header().Get(HeaderRun) != string(a.Run) {
			t.Errorf("%s: got status %d, header %v", a.Kind, w.Code, w.Header())
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
