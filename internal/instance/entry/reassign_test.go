package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"knapweedreel/internal/document"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/entry/upstream"
	"knapweedreel/internal/placement"
	"knapweedreel/internal/routing"
)

// tableSnapshot returns a snapshot whose route /write/ is split evenly among the
// services of split, nil for no route, and that holds the given upstreams of each
// service.
func tableSnapshot(split []string, services map[string][]routing.Upstream) *routing.Snapshot {
	snap := &routing.Snapshot{Ready: true, Shards: 1, Services: make(map[string]*routing.Service)}
	snap.Self.Region = "south"
	retries := 1
	rule := document.Route{Method: "*", Path: "/write/*", DeadlineMS: int(waitTimeout.Milliseconds()), ObjectiveMS: int(waitTimeout.Milliseconds()), MaxBodyBytes: 1 << 20, Retries: &retries}
	var routes []*routing.Route
	if split != nil {
		var parts []routing.WeightedService
		for _, name := range split {
			parts = append(parts, routing.WeightedService{Service: name, Weight: 1})
		}
		routes = append(routes, &routing.Route{Host: "svc", Rule: rule, Split: routing.NewSplit(parts)})
	}
	snap.Table = routing.NewTable(routes)
	for name, ups := range services {
		snap.Services[name] = &routing.Service{Name: name, Revision: 1, Document: &document.Document{Service: name}, InShard: true, Upstreams: ups}
	}
	return snap
}

func (c *fakeControl) setSnapshot(snap *routing.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snap = snap
}

// reassignment is a service with one slot, which a request holds, and one that has
// room.
type reassignment struct {
	control    *fakeControl
	server     *Server
	url        string
	old, moved routing.Upstream
	release    chan struct{} // closed to end the request that holds the slot
	runs       sync.Map      // request path → ID of the upstream that ran it
	refuse     atomic.Bool   // the old upstream refuses requests
	refused    chan struct{} // receives a value for each refusal
	wg         sync.WaitGroup
}

func newReassignment(t *testing.T) *reassignment {
	r := &reassignment{release: make(chan struct{}), refused: make(chan struct{}, 8)}
	held := make(chan struct{})
	serve := func(id string) http.HandlerFunc {
		return func(w http.ResponseWriter, req *http.Request) {
			if id == "old" && r.refuse.Load() {
				w.Header().Set(upstream.HeaderRefused, string(upstream.Shed))
				w.Header().Set("Retry-After", "3") // the retry waits for the change
				w.WriteHeader(http.StatusServiceUnavailable)
				r.refused <- struct{}{}
				return
			}
			r.runs.Store(req.URL.Path, id)
			if strings.HasSuffix(req.URL.Path, "/hold") {
				close(held)
				<-r.release
			}
			_, _ = io.WriteString(w, id)
		}
	}
	r.old, r.moved = standin(t, "old", serve("old")), standin(t, "new", serve("new"))
	r.old.Slots, r.old.MaxConnections = 1, 1
	r.control = &fakeControl{snap: tableSnapshot([]string{"a"}, map[string][]routing.Upstream{"a": {r.old}})}
	r.server, r.url = startServer(t, r.control, func(cfg *Config) {
		cfg.Placement = &Placement{Model: placement.DefaultModel(), RetryShare: 1, RetryReserve: 10}
	})
	r.wg.Go(func() { roundTrip(t, request(t, http.MethodPost, r.url+"/write/hold", []byte("x"))) })
	<-held
	return r
}

// finish ends the request that holds the slot and waits for all requests.
func (r *reassignment) finish() {
	close(r.release)
	r.wg.Wait()
}

func (r *reassignment) awaitQueued(t *testing.T, service string, n int) {
	t.Helper()
	eventually(t, "queued requests", func() bool {
		st := r.server.service(service)
		st.mu.Lock()
		defer st.mu.Unlock()
		return st.queue.Len() == n
	})
}

// Guards against requests that are refused, or denied as unknown, because the
// configuration changes while they wait for a slot: they were proper when they
// arrived and are served where their route leads now.
func TestWaitingRequestsFollowTheirRoute(t *testing.T) {
	type services = map[string][]routing.Upstream
	for _, tc := range []struct {
		name   string
		next   func(r *reassignment) *routing.Snapshot
		status int
		kind   errkind.Kind // of an error response
		ranAt  string
	}{
		{"the route moves and its service is removed", func(r *reassignment) *routing.Snapshot {
			return tableSnapshot([]string{"b"}, services{"b": {r.moved}})
		}, http.StatusOK, "", "new"},
		{"a part of a split is removed", func(r *reassignment) *routing.Snapshot {
			return tableSnapshot([]string{"b", "c"}, services{"b": {r.moved}, "c": {r.moved}})
		}, http.StatusOK, "", "new"},
		{"the route moves and the service has lost its upstreams", func(r *reassignment) *routing.Snapshot {
			return tableSnapshot([]string{"b"}, services{"a": nil, "b": {r.moved}})
		}, http.StatusOK, "", "new"},
		{"the service has lost its upstreams", func(r *reassignment) *routing.Snapshot {
			return tableSnapshot([]string{"a"}, services{"a": nil, "b": {r.moved}})
		}, http.StatusServiceUnavailable, errkind.NoUpstream, ""},
		{"the new service has no upstreams", func(r *reassignment) *routing.Snapshot {
			return tableSnapshot([]string{"b"}, services{"b": nil})
		}, http.StatusServiceUnavailable, errkind.NoUpstream, ""},
		{"the new service is not known", func(r *reassignment) *routing.Snapshot {
			return tableSnapshot([]string{"b"}, services{})
		}, http.StatusServiceUnavailable, errkind.NoDocument, ""},
		{"the route is removed with its service", func(r *reassignment) *routing.Snapshot {
			return tableSnapshot(nil, services{"b": {r.moved}})
		}, http.StatusNotFound, errkind.UnknownRoute, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newReassignment(t)
			defer r.finish()
			done := make(chan struct{})
			r.wg.Go(func() {
				defer close(done)
				resp, body := roundTrip(t, request(t, http.MethodPost, r.url+"/write/waits", []byte("x")))
				ran, _ := r.runs.Load("/write/waits")
				if resp.StatusCode != tc.status || resp.Header.Get(errkind.HeaderError) != string(tc.kind) || ran != any(tc.ranAt) && (ran != nil || tc.ranAt != "") {
					t.Errorf("status %d, run at %v: %s", resp.StatusCode, ran, body)
				}
			})
			r.awaitQueued(t, "a", 1)
			r.control.setSnapshot(tc.next(r))
			<-done
		})
	}
}

// Guards against requests that leave the queue of a service that can still serve
// them: the configuration of their arrival allowed it.
func TestWaitingRequestStaysWhileItsServiceCanServeIt(t *testing.T) {
	r := newReassignment(t)
	r.wg.Go(func() {
		if resp, body := roundTrip(t, request(t, http.MethodPost, r.url+"/write/waits", []byte("x"))); string(body) != "old" {
			t.Errorf("status %d: %s", resp.StatusCode, body)
		}
	})
	r.awaitQueued(t, "a", 1)
	r.control.setSnapshot(tableSnapshot([]string{"b"}, map[string][]routing.Upstream{"a": {r.old}, "b": {r.moved}}))
	r.finish()
}

// Guards against a request that is denied because the configuration changes while
// its body arrives.
func TestRequestFollowsItsRouteWhileItsBodyArrives(t *testing.T) {
	r := newReassignment(t)
	defer r.finish()
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	before := r.server.Requests()
	_, _ = io.WriteString(conn, "POST /write/slow HTTP/1.1\r\nHost: svc\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbo")
	eventually(t, "the request's header", func() bool { return r.server.Requests() > before })
	r.control.setSnapshot(tableSnapshot([]string{"b"}, map[string][]routing.Upstream{"b": {r.moved}}))
	_, _ = io.WriteString(conn, "dy")
	if got, err := io.ReadAll(conn); err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 200") || !strings.HasSuffix(string(got), "new") {
		t.Errorf("response %q, error %v", got, err)
	}
}

// Guards against a retry that is denied as unknown because its service is removed
// while it waits. The upstream's refusal is the response: the request has not run.
func TestWaitingRetryOfRemovedServiceIsRefused(t *testing.T) {
	r := newReassignment(t)
	r.old.Slots, r.old.MaxConnections = 2, 2
	r.control.setSnapshot(tableSnapshot([]string{"a"}, map[string][]routing.Upstream{"a": {r.old}}))
	defer r.finish()
	r.refuse.Store(true)
	done := make(chan struct{})
	r.wg.Go(func() {
		defer close(done)
		resp, body := roundTrip(t, request(t, http.MethodPost, r.url+"/write/waits", []byte("x")))
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(errkind.HeaderRun) != string(errkind.NotRun) {
			t.Errorf("status %d: %s", resp.StatusCode, body)
		}
	})
	<-r.refused
	r.awaitQueued(t, "a", 1)
	r.control.setSnapshot(tableSnapshot([]string{"b"}, map[string][]routing.Upstream{"b": {r.moved}}))
	<-done
}
