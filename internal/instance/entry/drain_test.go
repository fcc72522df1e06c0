package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/placement"
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
	eventually(t, "start of the shutdown", s.drain.started)
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

// Guards against a request that is passed on although the shutdown ends before its
// response is expected, so that it would be canceled while it runs. It is refused
// at once as not run; one that can be served is served.
func TestDrainRefusesRequestsThatItWouldCancel(t *testing.T) {
	for _, tc := range []struct {
		name   string
		usual  time.Duration // response time observed before
		status int
	}{{"slow route", waitTimeout, http.StatusServiceUnavailable}, {"fast route", time.Millisecond, http.StatusOK}} {
		for _, withPlacement := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, placement %t", tc.name, withPlacement), func(t *testing.T) {
				var n atomic.Int64
				up := countingStandin(t, "u1", &n, succeedSigned)
				s, url := startServer(t, &fakeControl{snap: snapshotOf(testDocument(), up)}, func(cfg *Config) {
					cfg.Times = settings.Times{DrainMS: int(waitTimeout.Milliseconds()), StopLimitMS: int(waitTimeout.Milliseconds())}
					if withPlacement {
						cfg.Placement = &Placement{Model: placement.DefaultModel()}
					}
				})
				st := s.service("svc")
				for range 2 * minSamples {
					st.observe("* /write/*", 3*tc.usual)
					if withPlacement {
						st.placer.tracker.ResponseTimes("* /write/*", tc.usual).Add(3 * tc.usual)
					}
				}
				ctx, cancel := context.WithCancel(t.Context())
				ended := drainAsync(ctx, s)
				defer func() {
					cancel()
					_ = awaitResult(t, ended)
				}()
				eventually(t, "start of the shutdown", s.drain.started)
				resp, body := roundTrip(t, request(t, http.MethodPost, url+"/write/x", []byte("b")))
				refused := resp.StatusCode == http.StatusServiceUnavailable
				if resp.StatusCode != tc.status || refused != (resp.Header.Get(errkind.HeaderError) == string(errkind.StoppingBeforeSend)) || refused != (n.Load() == 0) {
					t.Errorf("status %d, %d requests at the upstream: %s", resp.StatusCode, n.Load(), body)
				}
			})
		}
	}
}

// Guards against requests that still wait for a slot, or for the rest of their
// body, at the stop limit and are not told that they have not run.
func TestDrainLimitRefusesRequestsThatWait(t *testing.T) {
	began := make(chan struct{})
	up := standin(t, "u1", func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
	})
	up.Slots, up.HomeSlots = 1, 1
	doc := testDocument()
	doc.Queue.TimeoutMS = int(waitTimeout.Milliseconds())
	s, url := startServer(t, &fakeControl{snap: snapshotOf(doc, up)}, func(cfg *Config) {
		cfg.Times = settings.Times{DrainMS: 1, StopLimitMS: 300}
	})
	var wg sync.WaitGroup
	post := func(body io.Reader, length int64, status int, kind errkind.Kind) {
		wg.Go(func() {
			req := request(t, http.MethodPost, url+"/write/x", nil)
			if body != nil {
				req.Body, req.ContentLength = io.NopCloser(body), length
			}
			resp, err := callers.RoundTrip(req)
			if err != nil {
				t.Errorf("%s: %v", kind, err)
				return
			}
			_ = resp.Body.Close()
			if resp.StatusCode != status || resp.Header.Get(errkind.HeaderError) != string(kind) {
				t.Errorf("status %d, kind %q, want %q", resp.StatusCode, resp.Header.Get(errkind.HeaderError), kind)
			}
		})
	}
	rest, unsent := io.Pipe()
	post(nil, 0, http.StatusGatewayTimeout, errkind.Stopping)
	<-began
	post(nil, 0, http.StatusServiceUnavailable, errkind.StoppingBeforeSend)
	post(rest, 4, http.StatusServiceUnavailable, errkind.StoppingBeforeSend)
	eventually(t, "requests that wait", func() bool {
		st := s.service("svc")
		st.mu.Lock()
		defer st.mu.Unlock()
		return st.queue.Len() == 1 && s.Requests() == 3
	})
	if err := awaitResult(t, drainAsync(t.Context(), s)); !errors.Is(err, errDrainLimit) {
		t.Errorf("error %v", err)
	}
	_ = unsent.Close()
	wg.Wait()
}

// Guards against a shutdown that can't be canceled.
func TestDrainCanceled(t *testing.T) {
	c := &fakeControl{snap: snapshotOf(testDocument())}
	s, _ := startServer(t, c, nil)
	ctx, cancel := context.WithCancel(t.Context())
	ended := drainAsync(ctx, s)
	eventually(t, "start of the shutdown", s.drain.started)
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
