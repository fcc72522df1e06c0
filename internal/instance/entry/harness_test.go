package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/entry/upstream"
	"knapweedreel/internal/member"
	"knapweedreel/internal/routing"
	"knapweedreel/internal/settings"
)

// waitTimeout is the timeout for any event that a test waits for.
const waitTimeout = 20 * time.Second

// callers is the transport of the tests' callers.
var callers = &http.Transport{MaxIdleConnsPerHost: 256}

// TestMain guards against goroutines that outlive their request or server.
func TestMain(m *testing.M) {
	code := m.Run()
	callers.CloseIdleConnections()
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// fakeControl is a Control with a fixed snapshot that records outcomes.
type fakeControl struct {
	mu       sync.Mutex
	snap     *routing.Snapshot
	outcomes []health.Outcome
}

func (c *fakeControl) Snapshot() *routing.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snap
}

func (c *fakeControl) ReportOutcome(o health.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

func (c *fakeControl) reported() []health.Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]health.Outcome(nil), c.outcomes...)
}

// snapshotOf returns a snapshot with one service whose host is its name.
func snapshotOf(doc *document.Document, upstreams ...routing.Upstream) *routing.Snapshot {
	svc := &routing.Service{Name: doc.Service, Revision: 7, Document: doc, InShard: true, Upstreams: upstreams}
	self := member.Info{ID: "a", EntryAddress: "127.0.0.1:1", Region: "south", FailureDomain: "s1", State: member.Active}
	return &routing.Snapshot{
		Ready: true, Self: self, Shards: 1,
		Services: map[string]*routing.Service{doc.Service: svc},
		Hosts:    map[string]*routing.Service{doc.Service: svc},
		Members:  []routing.Member{{Info: self, Live: true}},
	}
}

// testDocument returns a document with an idempotent route /read/*, a route
// /write/* that is not, and a small body limit on /small.
func testDocument() *document.Document {
	return &document.Document{
		Service: "svc", Hosts: []string{"svc"}, DeadlineMS: 10_000,
		Routes: []document.Route{
			{Method: "*", Path: "/read/*", Idempotent: true, MaxBodyBytes: 64 << 20},
			{Method: "*", Path: "/write/*", MaxBodyBytes: 64 << 20},
			{Method: "*", Path: "/small", MaxBodyBytes: 10},
		},
		Queue: document.Queue{Length: 64, TimeoutMS: 1_000},
	}
}

// standin starts a stand-in for an upstream that echoes the request ID.
func standin(t testing.TB, id string, h http.HandlerFunc) routing.Upstream {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
		h(w, r)
	}))
	t.Cleanup(srv.Close)
	return upstreamAt(id, srv.Listener.Addr().String())
}

func upstreamAt(id, address string) routing.Upstream {
	return routing.Upstream{
		Upstream: document.Upstream{ID: id, Address: address, Slots: 6, Connections: 330},
		State:    health.InService, Weight: 1, HomeSlots: 6, MaxConnections: 10,
	}
}

// startServer runs a server until the test ends and returns it with its URL.
func startServer(t testing.TB, c Control, change func(*Config)) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{Instance: "a", Listener: l, Times: settings.Times{HeaderMS: 5_000}}
	if change != nil {
		change(&cfg)
	}
	s := New(cfg, c)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("Run: %v", err)
			}
			checkMemoryReturned(t, s)
		case <-time.After(waitTimeout):
			t.Error("Run did not return")
		}
	})
	return s, fmt.Sprintf("http://%s", l.Addr())
}

// checkMemoryReturned guards against reserved memory that doesn't come back on some
// path of a request: success, failure, retry, hedge, abort, panic or shutdown. All
// tests of a server end with it.
func checkMemoryReturned(t testing.TB, s *Server) {
	t.Helper()
	limit := time.Now().Add(waitTimeout)
	for {
		used, waiting := s.budget.Used()
		if used == 0 && waiting == 0 {
			return
		}
		if time.Now().After(limit) {
			t.Errorf("%d reserved bytes and %d reservations are left", used, waiting)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// request returns a request to the service of testDocument.
func request(t *testing.T, method, url string, body []byte) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, bodyReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "svc"
	return req
}

// eventually waits until cond holds.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	limit := time.After(waitTimeout)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !cond() {
		select {
		case <-limit:
			t.Fatalf("timed out waiting for: %s", what)
		case <-tick.C:
		}
	}
}
