package instance

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"
	"go.uber.org/zap/zaptest/observer"

	"knapweedreel/internal/adminclient"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/admin"
	"knapweedreel/internal/instance/platform"
	"knapweedreel/internal/keys"
	"knapweedreel/internal/settings"
	"knapweedreel/internal/standin/storeserver"
	"knapweedreel/internal/supervisor"
)

// waitTimeout bounds the wait for an event. It is far longer than any event takes.
const waitTimeout = time.Minute

// testFleet is a platform stand-in with instances on loopback addresses.
type testFleet struct {
	t         *testing.T
	dir       string
	store     *storeserver.Server
	storeAddr string
	authority keys.Files
	operator  *keys.Credentials
}

func newTestFleet(t *testing.T) *testFleet {
	f := &testFleet{t: t, dir: t.TempDir(), store: storeserver.New()}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.storeAddr = server.Listener.Addr().String()
	f.authority = f.files("authority")
	f.must(keys.CreateAuthority(f.authority, "test authority", time.Hour))
	var err error
	f.operator, err = keys.LoadTLS(f.certificate("operator", keys.RoleOperator))
	f.must(err)
	return f
}

func (f *testFleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *testFleet) files(name string) keys.Files {
	return keys.Files{CertificateFile: filepath.Join(f.dir, name+".crt"), KeyFile: filepath.Join(f.dir, name+".key")}
}

func (f *testFleet) certificate(name string, role keys.Role) settings.Keys {
	out := f.files(name)
	f.must(keys.CreateCertificate(f.authority, out, name, role, time.Hour))
	return settings.Keys{CertificateFile: out.CertificateFile, KeyFile: out.KeyFile, AuthorityFile: f.authority.CertificateFile}
}

// freeAddress returns an unused loopback address. Its port is below the ephemeral
// port range, so that no outgoing connection takes it before the instance listens.
func (f *testFleet) freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(20_000))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		if c, err := net.ListenPacket("udp", address); err == nil {
			c.Close()
			return address
		}
	}
}

// testInstance is a running instance.
type testInstance struct {
	settings settings.Settings
	admin    *adminclient.Client
	stop     context.CancelFunc
	ended    chan struct{}
	err      error // valid once ended is closed
}

func (f *testFleet) start(name string) *testInstance {
	i := &testInstance{ended: make(chan struct{}), settings: settings.Settings{
		Instance: name, Region: "south", FailureDomain: "south-1",
		EntryAddress: f.freeAddress(), PeerAddress: f.freeAddress(), AdminAddress: f.freeAddress(),
		StoreAddress: f.storeAddr, Keys: f.certificate(name, keys.RoleInstance),
		Times: settings.Times{KeepMS: 500, DrainMS: 1000},
	}}
	i.settings.Normalize()
	i.admin = adminclient.New(i.settings.AdminAddress, f.operator.AdminClient())
	ctx, cancel := context.WithCancel(context.Background())
	i.stop = cancel
	logger := zaptest.NewLogger(f.t, zaptest.Level(zap.WarnLevel))
	go func() {
		defer close(i.ended)
		i.err = Run(ctx, i.settings, logger)
	}()
	f.t.Cleanup(func() {
		cancel()
		<-i.ended
		if i.err != nil {
			f.t.Errorf("%s: %v", name, i.err)
		}
	})
	return i
}

// eventually waits until cond holds.
func (f *testFleet) eventually(what string, cond func(ctx context.Context) bool) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !cond(ctx) {
		select {
		case <-tick.C:
		case <-ctx.Done():
			f.t.Fatalf("not reached within %v: %s", waitTimeout, what)
		}
	}
}

// put puts a document with the given upstream addresses through an instance.
func (f *testFleet) put(i *testInstance, revision uint64, addresses ...string) {
	f.t.Helper()
	var upstreams []string
	for n, a := range addresses {
		upstreams = append(upstreams, fmt.Sprintf(`{"id":"u%d","address":%q,"region":"south","failure_domain":"south-1","slots":6}`, n, a))
	}
	text := fmt.Sprintf(`{"service":"entries","hosts":["entries.test"],"upstreams":[%s],
		"unhealthy":{"sensitivity":0.8},
		"routes":[{"method":"*","path":"/*","idempotent":true}]}`, strings.Join(upstreams, ","))
	r, err := i.admin.Put(context.Background(), "entries", []byte(text), revision-1, fmt.Sprintf("change-%d", revision))
	if err != nil || r.Outcome != platform.Accepted || r.Revision != revision {
		f.t.Fatalf("put: %+v, %v", r, err)
	}
}

func (f *testFleet) applied(i *testInstance, revision uint64) func(context.Context) bool {
	return func(ctx context.Context) bool {
		e, err := i.admin.Document(ctx, "entries")
		return err == nil && e.Revision == revision
	}
}

// request sends a request to an instance's entry address.
func request(ctx context.Context, i *testInstance, path string) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.settings.EntryAddress+path, nil)
	if err != nil {
		return 0, "", err
	}
	r.Host = "entries.test"
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// upstreamServer responds with its name, or closes the connection if fail is set. A
// request for /slow waits for release.
type upstreamServer struct {
	address string
	arrived chan struct{}
	release chan struct{}
	mu      sync.Mutex
	fail    bool
}

func (f *testFleet) upstream(name string) *upstreamServer {
	u := &upstreamServer{arrived: make(chan struct{}, 16), release: make(chan struct{})}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Knapweedreel-Request-Id", r.Header.Get("Knapweedreel-Request-Id"))
		if r.URL.Path == "/slow" {
			u.arrived <- struct{}{}
			<-u.release
		}
		u.mu.Lock()
		fail := u.fail
		u.mu.Unlock()
		if fail {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, name)
	}))
	f.t.Cleanup(server.Close)
	u.address = server.Listener.Addr().String()
	return u
}

// Guards against long parts of responses to callers in the log: net/http logs bytes
// that arrive on an idle connection.
func TestLibraryLinesAreTruncated(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	restore := redirectStandardLog(zap.New(core))
	log.Print("Unsolicited response: " + strings.Repeat("x", 10_000))
	restore()
	entries := logs.FilterMessage("library").All()
	if len(entries) != 1 || len(entries[0].ContextMap()["text"].(string)) != maxLibraryLine {
		t.Errorf("got %d lines: %.200v", len(entries), entries)
	}
}

// Guards against packages that work alone but not together: documents have to reach
// every instance, requests have to be served, and an instance that starts late has
// to catch up.
func TestFleetServes(t *testing.T) {
	f := newTestFleet(t)
	up := f.upstream("u0")
	a, b := f.start("a"), f.start("b")
	for _, i := range []*testInstance{a, b} {
		f.eventually("instances see each other", func(ctx context.Context) bool {
			s, err := i.admin.Status(ctx)
			return err == nil && s.Ready && countLive(s) == 2
		})
	}
	f.put(a, 1, up.address)
	f.eventually("document applied at b", f.applied(b, 1))
	for _, i := range []*testInstance{a, b} {
		status, body, err := request(context.Background(), i, "/x")
		if err != nil || status != http.StatusOK || body != "u0" {
			t.Errorf("%s: %d %q %v", i.settings.Instance, status, body, err)
		}
	}
	c := f.start("c")
	f.eventually("document applied at the late instance", f.applied(c, 1))
}

func countLive(s admin.Status) int {
	n := 0
	for _, m := range s.Members {
		if m.Live {
			n++
		}
	}
	return n
}

// Guards against a graceful shutdown that cuts off a request in flight, rejects one
// during the drain, or is not announced to the peers.
func TestGracefulShutdownLosesNoRequest(t *testing.T) {
	f := newTestFleet(t)
	up := f.upstream("u0")
	a, b := f.start("a"), f.start("b")
	f.eventually("both are ready", func(ctx context.Context) bool {
		s, err := a.admin.Status(ctx)
		return err == nil && s.Ready && countLive(s) == 2
	})
	f.put(a, 1, up.address)

	type response struct {
		status int
		body   string
		err    error
	}
	slow := make(chan response, 1)
	go func() {
		status, body, err := request(context.Background(), a, "/slow")
		slow <- response{status, body, err}
	}()
	<-up.arrived
	a.stop()
	f.eventually("the peer sees the instance as leaving", func(ctx context.Context) bool {
		s, err := b.admin.Status(ctx)
		if err != nil {
			return false
		}
		for _, m := range s.Members {
			if m.ID == "a" {
				return m.State == "leaving"
			}
		}
		return false
	})
	if status, _, err := request(context.Background(), a, "/x"); err != nil || status != http.StatusOK {
		t.Errorf("request during the drain: %d, %v", status, err)
	}
	select {
	case <-a.ended:
		t.Error("the instance ended with a request in flight")
	case <-time.After(2 * time.Duration(a.settings.Times.DrainMS) * time.Millisecond):
	}
	close(up.release)
	if got := <-slow; got.err != nil || got.status != http.StatusOK || got.body != "u0" {
		t.Errorf("request in flight: %+v", got)
	}
	select {
	case <-a.ended:
	case <-time.After(waitTimeout):
		t.Fatal("the instance did not end")
	}
}

// Guards against an instance that keeps running without its entry, and against an
// error without the kind that sets the exit code.
func TestEntryListenFailureStopsInstance(t *testing.T) {
	f := newTestFleet(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.must(err)
	defer l.Close()
	s := settings.Settings{
		Instance: "a", EntryAddress: l.Addr().String(), PeerAddress: f.freeAddress(), AdminAddress: f.freeAddress(),
		StoreAddress: f.storeAddr, Keys: f.certificate("a", keys.RoleInstance),
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := Run(ctx, s, zap.NewNop()); errkind.Of(err) != errkind.Internal || !errors.Is(err, supervisor.ErrTooManyFailures) {
		t.Errorf("got %v", err)
	}
}

// Guards against evidence that does not lead to an ejection at an instance that
// observed no failure itself.
func TestEjectionReachesEveryInstance(t *testing.T) {
	f := newTestFleet(t)
	faulty := f.upstream("u0")
	faulty.fail = true
	addresses := []string{faulty.address}
	for _, name := range []string{"u1", "u2", "u3"} {
		addresses = append(addresses, f.upstream(name).address)
	}
	a, b := f.start("a"), f.start("b")
	f.eventually("both are ready", func(ctx context.Context) bool {
		s, err := a.admin.Status(ctx)
		return err == nil && s.Ready && countLive(s) == 2
	})
	f.put(a, 1, addresses...)
	f.eventually("document applied at b", f.applied(b, 1))
	f.eventually("u0 is ejected at both", func(ctx context.Context) bool {
		for _, i := range []*testInstance{a, b} {
			if _, _, err := request(ctx, i, "/x"); err != nil {
				t.Fatal(err)
			}
		}
		return ejected(ctx, a) && ejected(ctx, b)
	})
}

func ejected(ctx context.Context, i *testInstance) bool {
	e, err := i.admin.ExplainUpstream(ctx, "entries", "u0")
	return err == nil && e.View.State != health.InService
}
