package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"knapweedreel/internal/account"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/routing"
)

// revocation is a fleet with accounts and one upstream with one slot.
type revocation struct {
	t       *testing.T
	control *fakeControl
	server  *Server
	url     string
	ups     []routing.Upstream
	handler func(w http.ResponseWriter, r *http.Request)
	version uint64

	mu   sync.Mutex
	runs []string // path and account of each request at the upstream
}

func newRevocation(t *testing.T) *revocation {
	r := &revocation{t: t, handler: succeed}
	up := standin(t, "u1", func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		r.runs = append(r.runs, req.URL.Path+" "+req.Header.Get(headerAccount))
		r.mu.Unlock()
		r.handler(w, req)
	})
	up.Slots, up.MaxConnections = 1, 1
	r.ups = []routing.Upstream{up}
	r.control = &fakeControl{snap: accountSnapshot(nil)}
	r.publish(secretKey)
	r.server, r.url = startServer(t, r.control, withAccounts)
	return r
}

// publish makes a new version with the given keys of the first account current.
func (r *revocation) publish(keys ...account.Key) {
	r.version++
	r.control.setSnapshot(accountSnapshot(testAccounts(r.t, r.version, keys...), r.ups...))
}

func (r *revocation) request(method, path string, body []byte) *http.Request {
	req := request(r.t, method, r.url+path, body)
	req.Header.Set(headerAuthorization, "Bearer "+secretKey)
	return req
}

// ran returns the requests that the upstream got, and forgets them.
func (r *revocation) ran() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := strings.Join(r.runs, ", ")
	r.runs = nil
	return out
}

func (r *revocation) want(resp *http.Response, body []byte, status int, kind errkind.Kind, ran string) {
	r.t.Helper()
	run := ""
	if kind != "" {
		run = string(errkind.Lookup(kind).Run)
	}
	if got := r.ran(); resp.StatusCode != status || resp.Header.Get(errkind.HeaderError) != string(kind) || resp.Header.Get(errkind.HeaderRun) != run || got != ran {
		r.t.Errorf("status %d, header %v, run: %q; want %d %s, %q: %s", resp.StatusCode, resp.Header, got, status, kind, ran, body)
	}
}

// Guards against a withdrawn key that still works on an open connection, and
// against a restored one that does not.
func TestWithdrawnKeyOnAnOpenConnection(t *testing.T) {
	r := newRevocation(t)
	dials := 0
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return new(net.Dialer).DialContext(ctx, network, address)
	}}
	defer transport.CloseIdleConnections()
	send := func(status int, kind errkind.Kind, ran string) {
		t.Helper()
		resp, err := transport.RoundTrip(r.request(http.MethodGet, "/write/x", nil))
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.want(resp, body, status, kind, ran)
	}
	send(http.StatusOK, "", "/write/x first")
	r.publish()
	send(http.StatusUnauthorized, errkind.Unauthenticated, "")
	r.publish(secretKey)
	send(http.StatusOK, "", "/write/x first")
	if dials != 1 {
		t.Errorf("%d connections", dials)
	}
}

// Guards against a waiting request that is sent although its key was withdrawn
// meanwhile, or under the name of the account that held the key on arrival, and
// against one that is refused although its key or its route allows it now.
func TestWaitingRequestIsResolvedAgain(t *testing.T) {
	moved := func(version uint64) *account.Set {
		s, err := account.NewSet([]account.Definition{{Account: account.Account{Name: "heir"}, Keys: []account.Key{secretKey}}}, version)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	public := func(r *revocation, path string, public bool) {
		r.control.snap.Table.Match("svc", path).Public = public
	}
	for _, tc := range []struct {
		name   string
		path   string
		key    string
		change func(r *revocation)
		status int
		ran    string
	}{
		{"withdrawn", "/write/x", secretKey, func(r *revocation) { r.publish() }, http.StatusUnauthorized, ""},
		{"withdrawn and restored", "/write/x", secretKey, func(r *revocation) {
			r.publish()
			r.publish(secretKey)
		}, http.StatusOK, "/write/x first"},
		{"another key withdrawn", "/write/x", secretKey, func(r *revocation) { r.publish(secretKey, "more") }, http.StatusOK, "/write/x first"},
		{"moved to another account", "/write/x", secretKey, func(r *revocation) {
			r.control.setSnapshot(accountSnapshot(moved(99), r.ups...))
		}, http.StatusOK, "/write/x heir"},
		{"all accounts removed", "/write/x", secretKey, func(r *revocation) {
			r.control.setSnapshot(accountSnapshot(nil, r.ups...))
		}, http.StatusOK, "/write/x "},
		{"withdrawn, on a public route", "/open/x", secretKey, func(r *revocation) { r.publish() }, http.StatusOK, "/open/x "},
		{"withdrawn, and the route becomes public", "/write/x", secretKey, func(r *revocation) {
			r.publish()
			public(r, "/write/x", true)
		}, http.StatusOK, "/write/x "},
		{"no key, and the route is public no longer", "/open/x", "", func(r *revocation) {
			r.publish(secretKey)
			public(r, "/open/x", false)
		}, http.StatusUnauthorized, ""},
		{"a key that was unknown on arrival", "/open/x", "new", func(r *revocation) { r.publish(secretKey, "new") }, http.StatusOK, "/open/x first"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRevocation(t)
			held, release := make(chan struct{}), make(chan struct{})
			r.handler = func(w http.ResponseWriter, req *http.Request) {
				if req.URL.Path == "/write/hold" {
					close(held)
					<-release
				}
				succeed(w, req)
			}
			var wg sync.WaitGroup
			wg.Go(func() {
				req := r.request(http.MethodGet, "/write/hold", nil)
				if resp, body := roundTrip(t, req); resp.StatusCode != http.StatusOK {
					t.Errorf("the request in progress: status %d: %s", resp.StatusCode, body)
				}
			})
			<-held
			r.ran()
			wg.Go(func() {
				req := r.request(http.MethodGet, tc.path, nil)
				req.Header.Set(headerAuthorization, "Bearer "+tc.key)
				kind := errkind.Kind("")
				if tc.status == http.StatusUnauthorized {
					kind = errkind.Unauthenticated
				}
				resp, body := roundTrip(t, req)
				r.want(resp, body, tc.status, kind, tc.ran)
			})
			eventually(t, "a queued request", func() bool {
				st := r.server.service("svc")
				st.mu.Lock()
				defer st.mu.Unlock()
				return st.queue.Len() == 1
			})
			tc.change(r)
			if tc.status == http.StatusUnauthorized {
				// The refusal waits neither for a slot nor for the end of the wait, which
				// may last for more than 10 s.
				began := time.Now()
				eventually(t, "the end of the wait", func() bool {
					st := r.server.service("svc")
					st.mu.Lock()
					defer st.mu.Unlock()
					return st.queue.Len() == 0
				})
				if d := time.Since(began); d > 5*time.Second {
					t.Errorf("refused after %v", d)
				}
			}
			close(release)
			wg.Wait()
		})
	}
}

// Guards against a request without a key that is sent because the configuration
// had no accounts when it arrived.
func TestAccountsAppearWhileARequestWaits(t *testing.T) {
	for key, status := range map[string]int{"": http.StatusUnauthorized, secretKey: http.StatusOK} {
		r := newRevocation(t)
		r.control.setSnapshot(accountSnapshot(nil, r.ups...))
		conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		before := r.server.Requests()
		_, _ = io.WriteString(conn, "POST /write/x HTTP/1.1\r\nHost: svc\r\nConnection: close\r\nAuthorization: Bearer "+key+"\r\nContent-Length: 4\r\n\r\nbo")
		eventually(t, "the request's header", func() bool { return r.server.Requests() > before })
		r.publish(secretKey)
		_, _ = io.WriteString(conn, "dy")
		got, _ := io.ReadAll(conn)
		_ = conn.Close()
		if !strings.HasPrefix(string(got), "HTTP/1.1 "+map[int]string{http.StatusUnauthorized: "401", http.StatusOK: "200"}[status]) {
			t.Errorf("key %q: %q", key, got)
		}
	}
}

// Guards against a request that is sent although its key was withdrawn while its
// body arrived.
func TestKeyIsWithdrawnWhileTheBodyArrives(t *testing.T) {
	r := newRevocation(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	before := r.server.Requests()
	_, _ = io.WriteString(conn, "POST /write/x HTTP/1.1\r\nHost: svc\r\nConnection: close\r\nAuthorization: Bearer "+secretKey+"\r\nContent-Length: 4\r\n\r\nbo")
	eventually(t, "the request's header", func() bool { return r.server.Requests() > before })
	r.publish()
	_, _ = io.WriteString(conn, "dy")
	got, err := io.ReadAll(conn)
	if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 401 ") || !strings.Contains(string(got), "Knapweedreel-Run: not-run\r\n") || strings.Contains(string(got), "Retry-After") {
		t.Errorf("response %q, error %v", got, err)
	}
	if ran := r.ran(); ran != "" {
		t.Errorf("the upstream got %s", ran)
	}
}

// Guards against a retry with a withdrawn key, against 401 for a request that may
// have been run, and against attempts in progress that are ended.
func TestKeyIsWithdrawnDuringAnAttempt(t *testing.T) {
	for _, tc := range []struct {
		name, path string
		handler    http.HandlerFunc
		status     int
		kind       errkind.Kind
		last       string // why no attempt followed
	}{
		{"the response", "/write/x", succeed, http.StatusOK, "", ""},
		{"a refusal", "/write/x", refuse("shed"), http.StatusUnauthorized, errkind.Unauthenticated, noRetryKeyWithdrawn},
		{"a failure of an idempotent request", "/read/x", reset, http.StatusBadGateway, errkind.UpstreamReset, noRetryKeyWithdrawn},
		{"a failure of another request", "/write/x", reset, http.StatusBadGateway, errkind.UpstreamReset, noRetryKeyWithdrawn},
		{"an unhealthy response", "/read/x", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
			http.StatusInternalServerError, "", noRetryKeyWithdrawn},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRevocation(t)
			r.handler = func(w http.ResponseWriter, req *http.Request) {
				r.publish()
				tc.handler(w, req)
			}
			req := r.request(http.MethodGet, tc.path, nil)
			req.Header.Set("Knapweedreel-Request-Id", "id")
			resp, body := roundTrip(t, req)
			r.want(resp, body, tc.status, tc.kind, tc.path+" first")
			eventually(t, "the explanation", func() bool { _, ok := r.server.ExplainRequest("id"); return ok })
			if x, _ := r.server.ExplainRequest("id"); len(x.Attempts) != 1 || x.Attempts[0].Last != tc.last {
				t.Errorf("attempts %+v", x.Attempts)
			}
		})
	}
}

// Guards against a hedge with a withdrawn key. The attempt that is late goes on.
func TestNoHedgeWithAWithdrawnKey(t *testing.T) {
	r := newRevocation(t)
	far := standin(t, "u2", func(http.ResponseWriter, *http.Request) { t.Error("the hedge was sent") })
	far.Region, far.FailureDomain = "elsewhere", "far"
	r.ups[0].Region = "south"
	r.ups = append(r.ups, far)
	r.publish(secretKey)
	for range 30 {
		roundTrip(t, r.request(http.MethodGet, "/read/x", nil))
	}
	r.ran()
	reported := len(r.control.reported())
	r.handler = func(w http.ResponseWriter, req *http.Request) {
		r.publish()
		eventually(t, "the report of the late response", func() bool { return len(r.control.reported()) > reported })
		time.Sleep(50 * time.Millisecond) // a hedge would follow at once
		succeed(w, req)
	}
	req := r.request(http.MethodGet, "/read/x", nil)
	req.Header.Set("Knapweedreel-Request-Id", "id")
	resp, body := roundTrip(t, req)
	r.want(resp, body, http.StatusOK, "", "/read/x first")
	eventually(t, "the explanation", func() bool { _, ok := r.server.ExplainRequest("id"); return ok })
	if x, _ := r.server.ExplainRequest("id"); len(x.Attempts) != 1 || x.Attempts[0].Last != noRetryKeyWithdrawn {
		t.Errorf("attempts %+v", x.Attempts)
	}
}

// Guards against an attempt that is sent because its slot was assigned just before
// the key was withdrawn, and against a slot that it keeps.
func TestAttemptIsNotSentWithAWithdrawnKey(t *testing.T) {
	r := newRevocation(t)
	e := &exchange{s: r.server, r: r.request(http.MethodGet, "/write/x", nil), id: "id"}
	if err := r.server.matchRequest(e); err != nil {
		t.Fatal(err)
	}
	defer func() { e.cancel() }()
	c, err := r.server.acquireFirst(e)
	if err != nil {
		t.Fatal(err)
	}
	r.publish()
	a := e.newAttempt(e.st, c, "", 0)
	a.run()
	if errkind.Of(a.err) != errkind.Unauthenticated || r.ran() != "" || len(r.server.InFlight()) != 0 || len(r.control.reported()) != 0 {
		t.Errorf("error %v, in flight %v, outcomes %v", a.err, r.server.InFlight(), r.control.reported())
	}
	if err := e.callerError(a.err); errkind.Of(err) != errkind.Unauthenticated {
		t.Errorf("error for the caller: %v", err)
	}
	e.mayHaveRun = errkind.New(errkind.UpstreamReset, "an earlier attempt failed")
	if err := e.callerError(a.err); errkind.Of(err) != errkind.UpstreamReset {
		t.Errorf("error for the caller: %v", err)
	}
}
