package entry

import (
	"net/http"
	"testing"
	"time"

	"knapweedreel/internal/settings"
)

// Guards against a kept connection that is closed before the configuration's
// time, so that the caller's next request meets the close, and against one that
// stays open for ever.
func TestIdleConnectionsLiveAsLongAsTheConfigurationSays(t *testing.T) {
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
	open := func() int {
		s.callers.mu.Lock()
		defer s.callers.mu.Unlock()
		return len(s.callers.idle)
	}
	eventually(t, "an idle connection", func() bool { return open() == 1 })
	began := time.Now()
	eventually(t, "its end", func() bool { return open() == 0 })
	if idle := time.Since(began); idle < c.snap.CallerIdle {
		t.Errorf("closed after %v", idle)
	}
}
