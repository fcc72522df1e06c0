package telemetry

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against metric names that the registry rejects with a panic, and
// against metrics that the handler does not expose.
func TestMetricsAreExposed(t *testing.T) {
	m := NewMetrics(func(err error) { t.Error(err) })
	m.Scope.SubScope("test-scope").Counter("events").Inc(3)
	if err := m.Close(); err != nil { // reports once more
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	m.Handler.ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
	if !strings.Contains(w.Body.String(), "knapweedreel_test_scope_events 3") {
		t.Errorf("the response lacks the counter: %s", w.Body.String())
	}
}
