package entry

import (
	"net/http"
	"testing"
	"time"

	"knapweedreel/internal/settings"
)

// Guards against closing an idle connection before the configured idle timeout,
// when the caller may still send a request on it, and against never closing it.
func TestIdleTimeoutOfCallerConnections(t *testing.T) {
	c := &fakeControl{snap: snapshotOf(testDocument(), standin(t, "u1", succeed))}
	c.snap.CallerIdle = 2 * time.Second
	s, url := startServer(t, c, func(cfg *Config) { cfg.Times = settings.Times{HeaderMS: 100} })
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(request(t, http.MethodGet, url+"/read/x", nil))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	idleCount := func() int {
		s.callers.mu.Lock()
		defer s.callers.mu.Unlock()
		return len(s.callers.idle)
	}
	eventually(t, "an idle connection", func() bool { return idleCount() == 1 })
	began := time.Now()
	eventually(t, "close of the idle connection", func() bool { return idleCount() == 0 })
	if idle := time.Since(began); idle < c.snap.CallerIdle {
		t.Errorf("closed after %v", idle)
	}
}
