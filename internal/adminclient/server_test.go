package adminclient_test

import (
	"context"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"knapweedreel/internal/adminclient"
	"knapweedreel/internal/document"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/admin"
	"knapweedreel/internal/instance/platform"
	"knapweedreel/internal/keys"
	"knapweedreel/internal/member"
	"knapweedreel/internal/routing"
	"knapweedreel/internal/settings"
	"knapweedreel/internal/standin/storeserver"
	"knapweedreel/internal/store"
	"knapweedreel/internal/wire"
)

// fakeControl stands in for the control goroutine. Each of its services has the
// upstreams u1 and u2.
type fakeControl struct {
	platform.Control // nil: the other methods are not called

	mu        sync.Mutex
	envelopes map[string]document.Envelope
	traced    chan admin.TracedEvent
}

func (c *fakeControl) Snapshot() *routing.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &routing.Snapshot{
		Sequence: 7, Built: time.Now(), Self: member.Info{ID: "i1"}, Ready: true, Shards: 1,
		Services: map[string]*routing.Service{},
		Members:  []routing.Member{{Info: member.Info{ID: "i2", AdminAddress: "127.0.0.1:2"}}, {Info: member.Info{ID: "i1"}, Live: true}},
	}
	for name, e := range c.envelopes {
		s.Services[name] = &routing.Service{Name: name, Revision: e.Revision, InShard: true, Upstreams: []routing.Upstream{
			{Upstream: document.Upstream{ID: "u1", Slots: 6}, State: health.InService, Weight: 1},
			{Upstream: document.Upstream{ID: "u2", Slots: 6}, State: health.Ejected},
		}}
	}
	return s
}

func (c *fakeControl) Offer(_ context.Context, e document.Envelope, _ platform.DocumentSource) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.envelopes[e.Service] = e
	return e.Revision, nil
}

func (c *fakeControl) Envelope(_ context.Context, service string) (document.Envelope, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.envelopes[service]
	return e, ok, nil
}

func (c *fakeControl) Holder() *wire.Holder { return &wire.Holder{Instance: "i2", Fence: 3} }

func (c *fakeControl) ExplainUpstream(_ context.Context, key health.Key) (health.View, []health.Change, error) {
	if key.Upstream != "u1" {
		return health.View{}, nil, errkind.New(errkind.NotFound, "no upstream %s", key.Upstream)
	}
	return health.View{Upstream: key, State: health.InService}, []health.Change{{Upstream: key, Rule: health.RuleEvidence}}, nil
}

func (c *fakeControl) Trace(context.Context) (<-chan admin.TracedEvent, error) { return c.traced, nil }

func (c *fakeControl) ExplainRequest(id string) (admin.RequestExplanation, bool) {
	return admin.RequestExplanation{RequestID: id, Status: 200}, id == "r1"
}

// testServer is a running admin server, with credentials for clients of both
// roles.
type testServer struct {
	control     *fakeControl
	store       *storeserver.Memory
	credentials map[string]*keys.Credentials
	address     string
	stop        func()
}

func newTestServer(t *testing.T, replace ...admin.Putter) *testServer {
	t.Helper()
	ts := &testServer{
		control:     &fakeControl{envelopes: map[string]document.Envelope{}, traced: make(chan admin.TracedEvent, 4)},
		store:       storeserver.NewMemory(),
		credentials: loadCredentials(t),
	}
	counter := store.NewCounter(nil)
	s := counter.Store(ts.store)
	listening := make(chan string, 1)
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("knapweedreel_x 1\n")) })
	var putter admin.Putter = platform.NewPutter(platform.PutterConfig{Instance: "i1"}, ts.control, s)
	if len(replace) > 0 {
		putter = replace[0]
	}
	server := admin.New(admin.Config{
		Address: "127.0.0.1:0", TLS: ts.credentials["i1"].AdminServer(), Metrics: metrics, Counter: counter,
		Listening: func(a net.Addr) { listening <- a.String() },
	}, ts.control, putter, ts.control, s)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	ts.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Run: %v", err)
		}
	})
	t.Cleanup(ts.stop)
	select {
	case ts.address = <-listening:
	case err := <-done:
		t.Fatal(err)
	}
	return ts
}

func loadCredentials(t *testing.T) map[string]*keys.Credentials {
	t.Helper()
	dir := t.TempDir()
	files := func(name string) keys.Files {
		return keys.Files{CertificateFile: filepath.Join(dir, name+".pem"), KeyFile: filepath.Join(dir, name+".key")}
	}
	if err := keys.CreateAuthority(files("ca"), "ca", time.Hour); err != nil {
		t.Fatal(err)
	}
	m := map[string]*keys.Credentials{}
	for name, role := range map[string]keys.Role{"i1": keys.RoleInstance, "i2": keys.RoleInstance, "anna": keys.RoleOperator} {
		if err := keys.CreateCertificate(files("ca"), files(name), name, role, time.Hour); err != nil {
			t.Fatal(err)
		}
		var err error
		m[name], err = keys.LoadTLS(settings.Keys{
			CertificateFile: files(name).CertificateFile, KeyFile: files(name).KeyFile, AuthorityFile: files("ca").CertificateFile,
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return m
}

func (ts *testServer) client(name string) *adminclient.Client {
	return adminclient.New(ts.address, ts.credentials[name].AdminClient())
}
