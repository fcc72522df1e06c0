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

// limit is generous: a test waits for events and not for this time.
const limit = time.Minute

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

// freeAddress returns a loopback address that nothing uses at the moment. The
// port is below the range from which the system takes ports for connections,
// so that none of them takes it before the instance listens.
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
	err      error // valid when ended is closed
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

// await waits until done returns true.
func (f *testFleet) await(what string, done func(ctx context.Context) bool) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !done(ctx) {
		select {
		case <-tick.C:
		case <-ctx.Done():
			f.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// put puts a document with the given upstream addresses at an instance.
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

func (f *testFleet) inForce(i *testInstance, revision uint64) func(context.Context) bool {
	return func(ctx context.Context) bool {
		e, err := i.admin.Document(ctx, "entries")
		return err == nil && e.Revision == revision
	}
}

// request sends a request to an instance's entry.
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

// upstreamServer answers with its name, or closes the connection when it fails.
// A request for /slow waits for release.
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

// Guards against bytes of callers' answers in the log, which net/http writes
// when they arrive on an idle connection.
func TestLibraryLinesAreCut(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	restore := redirectStandardLog(zap.New(core))
	log.Print("Unsolicited response: " + strings.Repeat("x", 10_000))
	restore()
	entries := logs.FilterMessage("library").All()
	if len(entries) != 1 || len(entries[0].ContextMap()["text"].(string)) != maxLibraryLine {
		t.Errorf("got %d lines: %.200v", len(entries), entries)
	}
}

// Guards against a fleet whose parts work alone and not together: documents
// reach every instance, requests are answered, and a late instance catches up.
func TestFleetServes(t *testing.T) {
	f := newTestFleet(t)
	up := f.upstream("u0")
	a, b := f.start("a"), f.start("b")
	for _, i := range []*testInstance{a, b} {
		f.await("instances see each other", func(ctx context.Context) bool {
			s, err := i.admin.Status(ctx)
			return err == nil && s.Ready && live(s) == 2
		})
	}
	f.put(a, 1, up.address)
	f.await("document in force at b", f.inForce(b, 1))
	for _, i := range []*testInstance{a, b} {
		status, body, err := request(context.Background(), i, "/x")
		if err != nil || status != http.StatusOK || body != "u0" {
			t.Errorf("%s: %d %q %v", i.settings.Instance, status, body, err)
		}
	}
	c := f.start("c")
	f.await("document in force at the late instance", f.inForce(c, 1))
}

func live(s admin.Status) int {
	n := 0
	for _, m := range s.Members {
		if m.Live {
			n++
		}
	}
	return n
}

// Guards against a planned stop that cuts off a request in flight, refuses one
// during the drain, or leaves peers with a member that is gone.
func TestPlannedStopLosesNoRequest(t *testing.T) {
	f := newTestFleet(t)
	up := f.upstream("u0")
	a, b := f.start("a"), f.start("b")
	f.await("both are ready", func(ctx context.Context) bool {
		s, err := a.admin.Status(ctx)
		return err == nil && s.Ready && live(s) == 2
	})
	f.put(a, 1, up.address)

	type answer struct {
		status int
		body   string
		err    error
	}
	slow := make(chan answer, 1)
	go func() {
		status, body, err := request(context.Background(), a, "/slow")
		slow <- answer{status, body, err}
	}()
	<-up.arrived
	a.stop()
	f.await("the peer sees the leaving", func(ctx context.Context) bool {
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
	case <-time.After(limit):
		t.Fatal("the instance did not end")
	}
}

// Guards against an instance that lives on without its entry, and against an
// error that does not lead to the exit code of a failed child.
func TestEntryThatCannotListenEndsTheInstance(t *testing.T) {
	f := newTestFleet(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.must(err)
	defer l.Close()
	s := settings.Settings{
		Instance: "a", EntryAddress: l.Addr().String(), PeerAddress: f.freeAddress(), AdminAddress: f.freeAddress(),
		StoreAddress: f.storeAddr, Keys: f.certificate("a", keys.RoleInstance),
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := Run(ctx, s, zap.NewNop()); errkind.Of(err) != errkind.Internal || !errors.Is(err, supervisor.ErrTooManyFailures) {
		t.Errorf("got %v", err)
	}
}

// Guards against evidence that does not lead to an ejection at an instance that
// saw no failure itself.
func TestEjectionReachesEveryInstance(t *testing.T) {
	f := newTestFleet(t)
	bad := f.upstream("u0")
	bad.fail = true
	addresses := []string{bad.address}
	for _, name := range []string{"u1", "u2", "u3"} {
		addresses = append(addresses, f.upstream(name).address)
	}
	a, b := f.start("a"), f.start("b")
	f.await("both are ready", func(ctx context.Context) bool {
		s, err := a.admin.Status(ctx)
		return err == nil && s.Ready && live(s) == 2
	})
	f.put(a, 1, addresses...)
	f.await("document in force at b", f.inForce(b, 1))
	f.await("u0 is out at both", func(ctx context.Context) bool {
		for _, i := range []*testInstance{a, b} {
			if _, _, err := request(ctx, i, "/x"); err != nil {
				t.Fatal(err)
			}
		}
		return out(ctx, a) && out(ctx, b)
	})
}

func out(ctx context.Context, i *testInstance) bool {
	e, err := i.admin.ExplainUpstream(ctx, "entries", "u0")
	return err == nil && e.View.State != health.InService
}
