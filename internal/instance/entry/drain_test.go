package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/settings"
)

// drainAsync calls Drain and returns the channel of its result.
func drainAsync(ctx context.Context, s *Server) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- s.Drain(ctx) }()
	return ended
}

func awaitResult(t *testing.T, ended <-chan error) error {
	t.Helper()
	select {
	case err := <-ended:
		return err
	case <-time.After(waitTimeout):
		t.Fatal("the call did not return")
		return nil
	}
}

// Guards against a graceful shutdown that cancels requests in flight, refuses
// new ones within the drain time or keeps callers' connections open.
func TestDrain(t *testing.T) {
	began, finish := make(chan struct{}), make(chan struct{})
	up := standin(t, "u1", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/long") {
			close(began)
			<-finish
		}
		_, _ = io.WriteString(w, "ok")
	})
	c := &fakeControl{snap: snapshotOf(testDocument(), up)}
	s, url := startServer(t, c, func(cfg *Config) { cfg.Times.DrainMS = 300 })
	long := make(chan string, 1)
	go func() {
		resp, err := callers.RoundTrip(request(t, http.MethodGet, url+"/write/long", nil))
		if err != nil {
			long <- err.Error()
			return
		}
		defer func() { _ = resp.Body.Close() }()
		data, _ := io.ReadAll(resp.Body)
		long <- string(data)
	}()
	<-began
	ended := drainAsync(t.Context(), s)
	eventually(t, "start of the shutdown", s.drain.started.Load)
	resp, got := roundTrip(t, request(t, http.MethodGet, url+"/write/x", nil))
	if string(got) != "ok" || !resp.Close {
		t.Errorf("response %q, close %t", got, resp.Close)
	}
	select {
	case err := <-ended:
		t.Errorf("Drain returned with a request in flight: %v", err)
	case <-time.After(time.Second):
	}
	close(finish)
	if got := <-long; got != "ok" {
		t.Errorf("the request in flight got %q", got)
	}
	if err := awaitResult(t, ended); err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", strings.TrimPrefix(url, "http://")); err == nil {
		t.Error("the server still accepts connections")
	}
}

// Guards against a shutdown that waits forever, and against one that doesn't
// report canceled requests.
func TestDrainLimit(t *testing.T) {
	began := make(chan struct{})
	up := standin(t, "u1", func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
	})
	c := &fakeControl{snap: snapshotOf(testDocument(), up)}
	s, url := startServer(t, c, func(cfg *Config) {
		cfg.Times = settings.Times{DrainMS: 1, StopLimitMS: 50}
	})
	go func() {
		if resp, err := callers.RoundTrip(request(t, http.MethodGet, url+"/write/x", nil)); err == nil {
			_ = resp.Body.Close()
		}
	}()
	<-began
	if err := awaitResult(t, drainAsync(t.Context(), s)); !errors.Is(err, errDrainLimit) {
		t.Errorf("error %v", err)
	}
}

// Guards against closing a connection without a response at the end of a
// shutdown: its caller couldn't tell what happened to the request.
func TestDrainLimitSendsErrorResponses(t *testing.T) {
	began := make(chan struct{})
	up := standin(t, "u1", func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
	})
	s, url := startServer(t, &fakeControl{snap: snapshotOf(testDocument(), up)}, func(cfg *Config) {
		cfg.Times = settings.Times{DrainMS: 1, StopLimitMS: 50}
	})
	kind := make(chan string, 1)
	go func() {
		resp, err := callers.RoundTrip(request(t, http.MethodGet, url+"/write/x", nil))
		if err != nil {
			kind <- err.Error()
			return
		}
		_ = resp.Body.Close()
		kind <- resp.Header.Get(errkind.HeaderError)
	}()
	<-began
	if err := awaitResult(t, drainAsync(t.Context(), s)); !errors.Is(err, errDrainLimit) {
		t.Errorf("error %v", err)
	}
	if got := <-kind; got != string(errkind.Stopping) {
		t.Errorf("the caller got %q", got)
	}
}

// Guards against a shutdown that can't be canceled.
func TestDrainCanceled(t *testing.T) {
	c := &fakeControl{snap: snapshotOf(testDocument())}
	s, _ := startServer(t, c, nil)
	ctx, cancel := context.WithCancel(t.Context())
	ended := drainAsync(ctx, s)
	eventually(t, "start of the shutdown", s.drain.started.Load)
	cancel()
	if err := awaitResult(t, ended); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
}

// Guards against requests that are still running when Run returns.
func TestRunCancelsRequests(t *testing.T) {
	began := make(chan struct{})
	up := standin(t, "u1", func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{Listener: l}, &fakeControl{snap: snapshotOf(testDocument(), up)})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	go func() {
		if resp, err := callers.RoundTrip(request(t, http.MethodGet, "http://"+l.Addr().String()+"/write/x", nil)); err == nil {
			_ = resp.Body.Close()
		}
	}()
	<-began
	cancel()
	if err := awaitResult(t, ended); err != nil || len(s.InFlight()) != 0 {
		t.Errorf("error %v, in flight %v", err, s.InFlight())
	}
}
