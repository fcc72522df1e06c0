package httpstore_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"knapweedreel/internal/standin/storeserver"
	"knapweedreel/internal/store"
	"knapweedreel/internal/store/httpstore"
)

func newStore(t *testing.T, timeout time.Duration) (*storeserver.Server, *httpstore.Client) {
	t.Helper()
	server := storeserver.New()
	hs := httptest.NewServer(server)
	t.Cleanup(hs.Close)
	c := httpstore.New(httpstore.Config{StoreAddress: hs.Listener.Addr().String(), Timeout: timeout})
	t.Cleanup(c.Close)
	return server, c
}

func wantErr(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("got error %v, want %v", err, want)
	}
}

// Guards against keys that are altered by URL escaping, and against a write that
// replaces a newer version.
func TestPutComparesVersions(t *testing.T) {
	ctx := t.Context()
	_, c := newStore(t, 0)
	for _, key := range []string{"documents/entries", "documents/a b%2F..?#ü", "documents/.."} {
		v, err := c.Get(ctx, key)
		if err != nil || v.Version != 0 {
			t.Fatalf("absent %q: %v, %v", key, v, err)
		}
		version, err := c.Put(ctx, key, []byte("one"), 0, "")
		if err != nil || version != 1 {
			t.Fatalf("Put %q = %d, %v", key, version, err)
		}
		_, err = c.Put(ctx, key, []byte("two"), 0, "")
		wantErr(t, err, store.ErrConflict)
		v, err = c.Get(ctx, key)
		if err != nil || string(v.Data) != "one" || v.Version != 1 {
			t.Fatalf("Get %q = %v, %v", key, v, err)
		}
	}
	kvs, err := c.List(ctx, "documents/")
	if err != nil || len(kvs) != 3 {
		t.Fatalf("List = %v, %v", kvs, err)
	}
}

// Guards against a write that is reported as having no effect although it may
// have taken effect, and against a failed read that is reported as an unknown
// result.
func TestLostResponseIsUnknown(t *testing.T) {
	ctx := t.Context()
	server, c := newStore(t, 0)
	server.Apply(storeserver.Control{LoseAnswers: new(1)})
	_, err := c.Put(ctx, "k", []byte("one"), 0, "")
	wantErr(t, err, store.ErrUnknownResult)
	if errors.Is(err, store.ErrUnavailable) {
		t.Fatal("error is ErrUnavailable too")
	}
	v, err := c.Get(ctx, "k")
	if err != nil || v.Version != 1 {
		t.Fatalf("Get = %v, %v", v, err)
	}
	if n := server.Calls()[store.CallPut]; n != 1 {
		t.Errorf("the write was sent %d times", n)
	}
	server.Apply(storeserver.Control{Outage: new(true)})
	_, err = c.Get(ctx, "k")
	wantErr(t, err, store.ErrUnavailable)
}

// Guards against a refusal or a failed connection that is reported as an unknown
// result, which would make an operator repeat the call without need.
func TestNoEffectIsUnavailable(t *testing.T) {
	ctx := t.Context()
	server, c := newStore(t, 0)
	server.Apply(storeserver.Control{Refuse: new(true)})
	_, err := c.Put(ctx, "k", []byte("one"), 0, "")
	wantErr(t, err, store.ErrUnavailable)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	closed := httpstore.New(httpstore.Config{StoreAddress: l.Addr().String()})
	_, err = closed.Put(ctx, "k", []byte("one"), 0, "")
	wantErr(t, err, store.ErrUnavailable)
}

// Guards against an error status of an intermediary, such as a gateway, that is
// treated as the store's refusal.
func TestIntermediaryErrorStatusIsUnknown(t *testing.T) {
	hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "gateway overloaded", http.StatusServiceUnavailable)
	}))
	defer hs.Close()
	c := httpstore.New(httpstore.Config{StoreAddress: hs.Listener.Addr().String()})
	_, err := c.Put(t.Context(), "k", nil, 0, "")
	wantErr(t, err, store.ErrUnknownResult)
	_, err = c.Get(t.Context(), "k")
	wantErr(t, err, store.ErrUnavailable)
}

// Guards against reusing a connection after a timeout on it, and against a call
// without a timeout.
func TestFreshConnectionAfterTimeout(t *testing.T) {
	t.Parallel()
	ctx := t.Context()
	silent := make(chan struct{})
	var connections atomic.Int32
	hs := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/silent") {
			<-silent
		}
		_, _ = w.Write([]byte(`{"version":3}`))
	}))
	hs.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	hs.Start()
	defer hs.Close()
	defer close(silent)
	c := httpstore.New(httpstore.Config{StoreAddress: hs.Listener.Addr().String(), Timeout: 2 * time.Second})
	defer c.Close()
	_, err := c.Get(ctx, "silent")
	wantErr(t, err, store.ErrUnavailable)
	_, err = c.Put(ctx, "silent", nil, 0, "")
	wantErr(t, err, store.ErrUnknownResult)
	for range 3 {
		if v, err := c.Get(ctx, "k"); err != nil || v.Version != 3 {
			t.Fatalf("Get = %v, %v", v, err)
		}
	}
	if n := connections.Load(); n != 3 {
		t.Errorf("%d connections, want one for each timeout and one for the rest", n)
	}
}

// Guards against further calls on the other idle connections after one
// connection has timed out: each could cost another timeout.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	t.Parallel()
	ctx := t.Context()
	silent := make(chan struct{})
	var connections atomic.Int32
	var pair sync.WaitGroup
	pair.Add(2)
	hs := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasSuffix(r.URL.Path, "/silent"):
			<-silent
		case strings.HasSuffix(r.URL.Path, "/pair"):
			pair.Done()
			pair.Wait() // both calls run at the same time, each on its own connection
		}
		_, _ = w.Write([]byte(`{"version":3}`))
	}))
	hs.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	hs.Start()
	defer hs.Close()
	defer close(silent)
	c := httpstore.New(httpstore.Config{StoreAddress: hs.Listener.Addr().String(), Timeout: 2 * time.Second})
	defer c.Close()
	var calls sync.WaitGroup
	for range 2 {
		calls.Go(func() {
			if _, err := c.Get(ctx, "pair"); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	_, err := c.Get(ctx, "silent")
	wantErr(t, err, store.ErrUnavailable)
	if _, err := c.Get(ctx, "k"); err != nil {
		t.Fatal(err)
	}
	if n := connections.Load(); n != 3 {
		t.Errorf("%d connections, want a third one after the timeout", n)
	}
}

// Guards against a read that fails because the store closed an idle connection,
// and against a write that is sent twice in that case.
func TestClosedIdleConnection(t *testing.T) {
	ctx := t.Context()
	var puts, abort atomic.Int32
	hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			puts.Add(1)
		}
		if abort.Add(-1) == 0 {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(`{"version":3}`))
	}))
	defer hs.Close()
	c := httpstore.New(httpstore.Config{StoreAddress: hs.Listener.Addr().String()})
	defer c.Close()
	abort.Store(2)
	for range 2 {
		if _, err := c.Get(ctx, "k"); err != nil {
			t.Fatalf("Get: %v", err)
		}
	}
	abort.Store(1)
	_, err := c.Put(ctx, "k", nil, 0, "")
	wantErr(t, err, store.ErrUnknownResult)
	if n := puts.Load(); n != 1 {
		t.Errorf("the write was sent %d times", n)
	}
}

// Guards against a watch that misses a change or returns one again.
func TestWatchReturnsEachChangeOnce(t *testing.T) {
	ctx := t.Context()
	server, c := newStore(t, 0)
	put := func(key string, version uint64) {
		if _, err := server.Memory().Put(ctx, key, []byte(key), version, ""); err != nil {
			t.Error(err)
		}
	}
	put("documents/a", 0)
	put("other", 0)
	kvs, index, err := c.Watch(ctx, "documents/", 0)
	if err != nil || len(kvs) != 1 || kvs[0].Key != "documents/a" {
		t.Fatalf("first watch = %v, %d, %v", kvs, index, err)
	}
	go put("documents/b", 0)
	kvs, next, err := c.Watch(ctx, "documents/", index)
	want := []store.KeyValue{{Key: "documents/b", Value: store.Value{Data: []byte("documents/b"), Version: 1}}}
	if err != nil || next <= index || !cmp.Equal(kvs, want) {
		t.Fatalf("second watch = %v, %d, %v", kvs, next, err)
	}
	kvs, next, err = c.Watch(ctx, "documents/", 1000)
	if err != nil || next >= 1000 || len(kvs) != 2 {
		t.Fatalf("watch after an index above the store's = %v, %d, %v", kvs, next, err)
	}
	canceled, cancel := context.WithCancel(ctx)
	cancel()
	_, _, err = c.Watch(canceled, "documents/", next)
	wantErr(t, err, context.Canceled)
}

// Guards against two holders of a lease and against a write under an expired
// lease.
func TestLeases(t *testing.T) {
	t.Parallel()
	ctx := t.Context()
	_, c := newStore(t, 0)
	const ttl = 3 * time.Second // long enough to use the lease on a slow machine
	first, err := c.AcquireLease(ctx, "leases/shard-0", "a", ttl)
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.AcquireLease(ctx, "leases/shard-0", "b", ttl)
	wantErr(t, err, store.ErrHeld)
	if first, err = c.RenewLease(ctx, first); err != nil || first.TTL != ttl || first.Holder != "a" {
		t.Fatalf("RenewLease = %v, %v", first, err)
	}
	if _, err = c.Put(ctx, "audit/0/0", []byte("x"), 0, first.ID); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(time.Minute)
	second, err := c.AcquireLease(ctx, "leases/shard-0", "b", time.Minute)
	for errors.Is(err, store.ErrHeld) && time.Now().Before(deadline) {
		<-time.After(50 * time.Millisecond)
		second, err = c.AcquireLease(ctx, "leases/shard-0", "b", time.Minute)
	}
	if err != nil || second.Fence <= first.Fence {
		t.Fatalf("second lease = %v, %v", second, err)
	}
	_, err = c.Put(ctx, "audit/0/0", []byte("y"), 1, first.ID)
	wantErr(t, err, store.ErrLeaseLost)
	_, err = c.RenewLease(ctx, first)
	wantErr(t, err, store.ErrLeaseLost)
	wantErr(t, c.ReleaseLease(ctx, first), store.ErrLeaseLost)
	if err := c.ReleaseLease(ctx, second); err != nil {
		t.Fatal(err)
	}
}

// Guards against a stand-in that mixes stale and current reads, or whose
// instance list doesn't lag.
func TestStaleReadsAndListLag(t *testing.T) {
	ctx := t.Context()
	server, c := newStore(t, 0)
	if _, err := c.Put(ctx, "k", []byte("one"), 0, ""); err != nil {
		t.Fatal(err)
	}
	server.Apply(storeserver.Control{Stale: new(true), ListLagMS: new(60_000)})
	if _, err := c.Put(ctx, "k", []byte("two"), 1, ""); err != nil {
		t.Fatal(err)
	}
	if v, err := c.Get(ctx, "k"); err != nil || string(v.Data) != "one" {
		t.Fatalf("stale Get = %v, %v", v, err)
	}
	if err := c.Register(ctx, store.Instance{ID: "i1", Role: store.RoleEntry, State: store.StateLive}); err != nil {
		t.Fatal(err)
	}
	if instances, err := c.Instances(ctx); err != nil || len(instances) != 0 {
		t.Fatalf("lagging list = %v, %v", instances, err)
	}
	server.Apply(storeserver.Control{Stale: new(false), ListLagMS: new(0)})
	if v, err := c.Get(ctx, "k"); err != nil || string(v.Data) != "two" {
		t.Fatalf("Get = %v, %v", v, err)
	}
	if instances, err := c.Instances(ctx); err != nil || len(instances) != 1 {
		t.Fatalf("list = %v, %v", instances, err)
	}
}

// Guards against a client that misses changes when it requests only changes, or
// that keeps an old list after the list's server was replaced.
func TestInstancesFollowChanges(t *testing.T) {
	ctx := t.Context()
	var server atomic.Pointer[storeserver.Server]
	server.Store(storeserver.New())
	hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { server.Load().ServeHTTP(w, r) }))
	defer hs.Close()
	c := httpstore.New(httpstore.Config{StoreAddress: hs.Listener.Addr().String()})
	defer c.Close()
	check := func(want ...store.Instance) {
		t.Helper()
		got, err := c.Instances(ctx)
		if err != nil || !cmp.Equal(got, want) {
			t.Fatalf("Instances = %v, %v; want %v", got, err, want)
		}
	}
	entry := func(id string, state store.State) store.Instance { return store.Instance{ID: id, State: state} }
	register := func(i store.Instance) {
		t.Helper()
		if err := c.Register(ctx, i); err != nil {
			t.Fatal(err)
		}
	}
	a, b, leaving := entry("a", store.StateLive), entry("b", store.StateLive), entry("a", store.StateLeaving)
	register(b)
	check(b)
	register(a)
	check(a, b)
	check(a, b)
	register(leaving)
	check(leaving, b)
	server.Load().Apply(storeserver.Control{HideInstances: &[]string{"a"}})
	check(b)
	server.Load().Apply(storeserver.Control{HideInstances: &[]string{}})
	check(leaving, b)
	server.Store(storeserver.New())
	register(b)
	check(b)
}
