package follower

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"knapweedreel/internal/catalog"
	"knapweedreel/internal/instance/evidence"
	"knapweedreel/internal/instance/relay"
	"knapweedreel/internal/store"
	"knapweedreel/platform"
	"knapweedreel/platform/standin"
)

const waitTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const configuration = `{"version":%VERSION%,"routes":{"r":{"host":"a.example","prefix":"/a/","kind":"safe","timeout":"1s","service":"s"}},"services":{"s":{}}}`

// registration is the entry of an upstream.
var registration = standin.ReadyEntry("10.0.0.1:80", "s", "z1", 6)

func putConfiguration(s *standin.Store, version string) {
	text := configuration
	i := len(`{"version":`)
	s.Put("op/config", []byte(text[:i]+version+text[i+len("%VERSION%"):]))
}

// startFollower runs a follower and its relay server until the test ends.
func startFollower(t *testing.T, id string, source catalog.Source) *Follower {
	t.Helper()
	peer := freeAddress(t)
	f := New(Config{
		Self:    catalog.Member{ID: id, Address: "10.0.0.9:80", PeerAddress: peer, Region: "south", FailureDomain: "z1", Width: catalog.MinWidth},
		Regions: map[string]string{"z1": "south"}, Log: zap.NewNop(), Scope: tally.NoopScope, Jitter: func() float64 { return 0 },
	}, source)
	ctx, cancel := context.WithCancel(context.Background())
	server := &relay.Server{Address: peer, MaxConnections: 512, ChangeLog: f.ChangeLog(), Keys: f.Keys, Logger: zap.NewNop(), Scope: tally.NoopScope}
	loops := []func(context.Context) error{f.Run, f.Watch, f.MaintainRegistration, server.Run}
	ended := make(chan struct{}, len(loops))
	for _, loop := range loops {
		go func() {
			if err := loop(ctx); err != nil {
				t.Error(err)
			}
			ended <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		cancel()
		for range loops {
			<-ended
		}
	})
	return f
}

// freeAddress returns a TCP address that is currently free.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func startStore(t *testing.T) (*standin.Store, *platform.Store) {
	t.Helper()
	s := standin.NewStore()
	srv := httptest.NewServer(s)
	c := platform.NewStore(srv.Listener.Addr().String())
	t.Cleanup(func() {
		c.Close()
		srv.CloseClientConnections()
		srv.Close()
	})
	return s, c
}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	timeout := time.After(waitTimeout)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !cond() {
		select {
		case <-timeout:
			t.Fatalf("timeout waiting for: %s", what)
		case <-tick.C:
		}
	}
}

func configurationVersion(f *Follower) uint64 {
	if svc := f.Snapshot().Services["s"]; svc != nil {
		return svc.Revision
	}
	return 0
}

func upstreamCount(f *Follower) int {
	if svc := f.Snapshot().Services["s"]; svc != nil {
		return len(svc.Upstreams)
	}
	return 0
}

// Guards against an instance that becomes ready without a configuration, does not
// register, or has no key for messages to other instances.
func TestFollowerBecomesReadyWithTheConfiguration(t *testing.T) {
	s, c := startStore(t)
	f := startFollower(t, "i1", c)
	eventually(t, "read of the empty store", func() bool { return s.Calls()["watch"] > 0 })
	if f.Ready() || len(s.Keys("fleet/")) != 0 {
		t.Errorf("ready %t, keys %v", f.Ready(), s.Keys("fleet/"))
	}
	putConfiguration(s, "3")
	eventually(t, "ready", f.Ready)
	eventually(t, "registered with a key", func() bool {
		return slices.Equal(s.Keys("fleet/"), []string{"fleet/key", "fleet/members/i1"}) && f.Keys().Seal != nil
	})
	eventually(t, "in the directory", func() bool { return len(f.Directory().Locate("a.example", "south")) == 1 })
	f.Leave()
	eventually(t, "withdrawn", func() bool { return len(f.Directory().Locate("a.example", "south")) == 0 })
	eventually(t, "expired", func() bool { return len(s.Keys("fleet/members/")) == 0 })
	if f.Ready() {
		t.Error("ready after leaving")
	}
}

// Guards against an instance that keeps an old configuration after the store
// dropped its history during a watch. The store does not report this to a watch
// that is waiting.
func TestFollowerNoticesLostHistory(t *testing.T) {
	s, c := startStore(t)
	putConfiguration(s, "3")
	f := startFollower(t, "i1", c)
	eventually(t, "version 3", func() bool { return configurationVersion(f) == 3 })
	delayed := &delayedWatches{Store: c}
	g := startFollower(t, "i2", delayed)
	eventually(t, "version 3 at the second instance", func() bool { return configurationVersion(g) == 3 && delayed.called.Load() })
	putConfiguration(s, "4")
	s.Compact()
	eventually(t, "version 4", func() bool { return configurationVersion(g) == 4 })
}

// delayedWatches is a store whose watches return no changes before their wait ends.
type delayedWatches struct {
	*platform.Store
	called atomic.Bool
}

func (w *delayedWatches) Changes(ctx context.Context, after catalog.Position, wait time.Duration) ([]catalog.Change, catalog.Position, error) {
	w.called.Store(true)
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return w.Store.Changes(ctx, after, time.Millisecond)
}

// Guards against a service without upstreams, or callers without addresses, during
// any kind of store failure, and against an instance that does not recover after
// it.
func TestFollowerSurvivesStoreOutage(t *testing.T) {
	for _, fault := range []standin.Fault{standin.ServiceUnavailable, standin.TooManyRequests, standin.Reset, standin.Silent} {
		s, c := startStore(t)
		putConfiguration(s, "3")
		s.Put("servers/a", registration)
		f := startFollower(t, "i1", c)
		eventually(t, "registered", func() bool { return upstreamCount(f) == 1 && len(f.Directory().Locate("a.example", "south")) == 1 })
		s.SetFault(fault)
		s.ExpireLeases()
		eventually(t, "failed calls", func() bool { return len(s.Keys("fleet/members/")) == 0 && s.Calls()["keep"] > 1 })
		if upstreamCount(f) != 1 || !f.Ready() || len(f.Directory().Locate("a.example", "south")) == 0 {
			t.Errorf("fault %d: %d upstreams, ready %t", fault, upstreamCount(f), f.Ready())
		}
		s.SetFault(standin.NoFault)
		putConfiguration(s, "5")
		eventually(t, "version 5 and registered again", func() bool { return configurationVersion(f) == 5 && len(s.Keys("fleet/members/")) == 1 })
	}
}

// Guards against a fleet that does not recover after all its instances have
// stopped: if all of them read the complete content at once, they exceed the
// store's rate limit, and each refused call makes an instance start over.
func TestFollowersStartTogether(t *testing.T) {
	s, c := startStore(t)
	putConfiguration(s, "3")
	for i := range 40 {
		s.Put(fmt.Sprintf("servers/u-%02d", i), registration)
	}
	s.SetFault(standin.RefuseFreshReads)
	for i := range 4 {
		f := startFollower(t, fmt.Sprint("i", i), c)
		eventually(t, "ready with all upstreams", func() bool { return f.Ready() && upstreamCount(f) == 40 })
	}
}

// Guards against a registration that fails because the response to its write is
// lost.
func TestRegistrationSurvivesLostResponses(t *testing.T) {
	s, c := startStore(t)
	s.SetFault(standin.LoseResponses)
	putConfiguration(s, "3")
	startFollower(t, "i1", c)
	eventually(t, "registered", func() bool { return len(s.Keys("fleet/members/")) == 1 })
}

// Guards against evidence that an instance sends to itself or to nobody.
func TestPeersAreOtherInstancesServingRegion(t *testing.T) {
	s, c := startStore(t)
	putConfiguration(s, "3")
	f, g := startFollower(t, "i1", c), startFollower(t, "i2", c)
	eventually(t, "one peer each", func() bool { return len(f.Peers()) == 1 && len(g.Peers()) == 1 })
}

// Guards against each instance writing a new key.
func TestInstancesShareOneKey(t *testing.T) {
	s, c := startStore(t)
	putConfiguration(s, "3")
	f, g := startFollower(t, "i1", c), startFollower(t, "i2", c)
	eventually(t, "keys", func() bool { return f.Keys().Seal != nil && g.Keys().Seal != nil })
	plain := []byte("x")
	sealed := f.Keys().Seal.Seal(nil, nil, plain, nil)
	if _, err := g.Keys().Seal.Open(nil, nil, sealed, nil); err != nil {
		t.Error(errors.Wrap(err, "open with the key of the second instance"))
	}
}

// waitForRelay waits until all but one of the followers use a relay, and returns
// the index of the remaining one.
func waitForRelay(t *testing.T, all []*Follower) int {
	t.Helper()
	relayIndex := -1
	eventually(t, "one relay for all instances", func() bool {
		subscribed := 0
		for i, f := range all {
			if f.usingRelay.Load() {
				subscribed++
			} else {
				relayIndex = i
			}
		}
		return subscribed == len(all)-1
	})
	return relayIndex
}

// runFleet runs n instances of a failure domain, each with its own source. It
// returns once all others follow one of them, and also returns that one's index.
func runFleet[S catalog.Source](t *testing.T, n int, source func(c *platform.Store) S) (s *standin.Store, all []*Follower, sources []S, relayIndex int) {
	t.Helper()
	s, c := startStore(t)
	putConfiguration(s, "3")
	for i := range n {
		sources = append(sources, source(c))
		all = append(all, startFollower(t, fmt.Sprint("i", i), sources[i]))
	}
	return s, all, sources, waitForRelay(t, all)
}

// Guards against a fleet in which every instance watches the store: calls to the
// store are limited and cost money, and would grow with the number of instances.
func TestOneInstancePerFailureDomainWatchesStore(t *testing.T) {
	s, all, _, _ := runFleet(t, 5, func(c *platform.Store) *platform.Store { return c })
	before := s.Calls()["watch"]
	for v := 4; v <= 8; v++ {
		putConfiguration(s, fmt.Sprint(v))
		eventually(t, "the new version at all instances", func() bool {
			return !slices.ContainsFunc(all, func(f *Follower) bool { return configurationVersion(f) != uint64(v) })
		})
	}
	// The relay makes one call per version and one every 1.2 s; five instances
	// that watch the store themselves make five calls per version.
	if calls := s.Calls()["watch"] - before; calls > 15 {
		t.Errorf("%d watch calls for five versions, want at most 15", calls)
	}
}

// Guards against instances that keep an old configuration because their relay is
// frozen or disconnected from the store, while they can reach it themselves.
func TestInstancesLeaveStaleRelay(t *testing.T) {
	s, all, stores, relayIndex := runFleet(t, 3, func(c *platform.Store) *hangingStore { return &hangingStore{Store: c} })
	stores[relayIndex].hanging.Store(true)
	putConfiguration(s, "4")
	eventually(t, "the new version at the others", func() bool {
		for i, f := range all {
			if i != relayIndex && configurationVersion(f) != 4 {
				return false
			}
		}
		return true
	})
}

// hangingStore is a store whose watches hang once hanging is set.
type hangingStore struct {
	*platform.Store
	hanging atomic.Bool
}

func (s *hangingStore) Changes(ctx context.Context, after catalog.Position, wait time.Duration) ([]catalog.Change, catalog.Position, error) {
	changes, index, err := s.Store.Changes(ctx, after, wait)
	if s.hanging.Load() {
		<-ctx.Done()
		return nil, after, ctx.Err()
	}
	return changes, index, err
}

// Guards against an instance refused by the store that keeps an old configuration
// and calls the store all the time, although the store serves its relay.
func TestRelayServesInstancesRefusedByStore(t *testing.T) {
	s, all, stores, relayIndex := runFleet(t, 3, func(c *platform.Store) *refusingStore { return &refusingStore{Store: c} })
	refused := (relayIndex + 1) % len(all)
	stores[refused].refusing.Store(true)
	// Without a relay the instance calls the store.
	previous := all[refused].relays.Load()
	eventually(t, "failed calls", func() bool {
		all[refused].relays.Store(new(relays)) // each time, since a change of the members publishes them again
		return stores[refused].refusals.Load() > 2
	})
	all[refused].relays.Store(previous)
	putConfiguration(s, "4")
	eventually(t, "the new version at the refused instance", func() bool { return configurationVersion(all[refused]) == 4 })
}

// refusingStore is a store that can refuse all reads of its instance.
type refusingStore struct {
	*platform.Store
	refusing    atomic.Bool
	refusals    atomic.Int64
	longestWait atomic.Int64 // longest wait in a refused call after the first one, in nanoseconds
}

func (s *refusingStore) Changes(ctx context.Context, after catalog.Position, wait time.Duration) ([]catalog.Change, catalog.Position, error) {
	if s.refusing.Load() {
		if s.refusals.Add(1) > 1 {
			s.longestWait.Store(max(s.longestWait.Load(), int64(wait)))
		}
		return nil, after, store.ErrUnavailable
	}
	changes, index, err := s.Store.Changes(ctx, after, min(wait, 50*time.Millisecond))
	if s.refusing.Load() {
		return nil, after, store.ErrUnavailable
	}
	return changes, index, err
}

func (s *refusingStore) Load(ctx context.Context, stale bool) (catalog.Content, error) {
	if s.refusing.Load() {
		s.refusals.Add(1)
		return catalog.Content{}, store.ErrUnavailable
	}
	return s.Store.Load(ctx, stale)
}

// Guards against an instance refused by the store that knows only a relay that is
// refused as well: it would not learn of new members.
func TestNextRelayTakesOver(t *testing.T) {
	s, all, stores, relayIndex := runFleet(t, 4, func(c *platform.Store) *refusingStore { return &refusingStore{Store: c} })
	// One of the two relays that could take over is refused as well.
	refused := slices.IndexFunc(all, func(f *Follower) bool {
		r := f.relays.Load()
		return !r.primary && len(r.others) == 2
	})
	stores[relayIndex].refusing.Store(true)
	stores[refused].refusing.Store(true)
	putConfiguration(s, "4")
	eventually(t, "the new version at all instances", func() bool {
		return !slices.ContainsFunc(all, func(f *Follower) bool { return configurationVersion(f) != 4 })
	})
	// After a refusal the instance must use short waits: a call that hangs would
	// delay noticing that the store serves it again.
	before := stores[relayIndex].refusals.Load()
	eventually(t, "further refused calls", func() bool { return stores[relayIndex].refusals.Load() > before+3 })
	if wait := time.Duration(stores[relayIndex].longestWait.Load()); wait > minWatchWait {
		t.Errorf("wait of %v in a call after a refused call, want at most the minimum", wait)
	}
}

// staleStore returns recorded content for reads that may be stale, and holds back
// changes until it is released.
type staleStore struct {
	*platform.Store
	content catalog.Content
	loads   atomic.Int64 // stale ones
	release chan struct{}
}

func (s *staleStore) Load(ctx context.Context, stale bool) (catalog.Content, error) {
	if !stale {
		return s.Store.Load(ctx, false)
	}
	s.loads.Add(1)
	return s.content, nil
}

func (s *staleStore) Changes(ctx context.Context, after catalog.Position, wait time.Duration) ([]catalog.Change, catalog.Position, error) {
	select {
	case <-s.release:
	case <-ctx.Done():
	}
	return s.Store.Changes(ctx, after, wait)
}

// record returns a source whose stale content is that of now.
func record(t *testing.T, c *platform.Store) *staleStore {
	t.Helper()
	s := &staleStore{Store: c, release: make(chan struct{})}
	var err error
	if s.content, err = c.Load(t.Context(), false); err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against an instance that, after a restart, uses an upstream that has left
// or a key that was withdrawn, because the first content that it reads is stale.
func TestRestartedInstanceDoesNotUseStaleContent(t *testing.T) {
	s, c := startStore(t)
	putConfiguration(s, "3")
	s.Put("servers/left", registration)
	s.Put("servers/stays", registration)
	s.Put("fleet/key", bytes.Repeat([]byte{1}, evidence.KeyBytes))
	source := record(t, c)
	s.Delete("servers/left")
	s.Put("fleet/key", bytes.Repeat([]byte{2}, evidence.KeyBytes))
	f := startFollower(t, "i1", source)
	eventually(t, "read of stale content", func() bool { return source.loads.Load() > 0 })
	for range 20 {
		if f.Ready() || upstreamCount(f) != 0 || f.Keys().Seal != nil {
			t.Fatalf("ready %t, %d upstreams, key known %t", f.Ready(), upstreamCount(f), f.Keys().Seal != nil)
		}
		pause(t, 5*time.Millisecond)
	}
	close(source.release)
	eventually(t, "ready", f.Ready)
	if n := upstreamCount(f); n != 1 || len(f.Keys().Open) != 1 {
		t.Errorf("%d upstreams, %d keys accepted, want one of each", n, len(f.Keys().Open))
	}
}

// Guards against an instance that waits for an unreachable store although it has
// read its content.
func TestStaleContentIsUsedWhileStoreIsLost(t *testing.T) {
	s, c := startStore(t)
	putConfiguration(s, "3")
	s.Put("servers/a", registration)
	source := record(t, c)
	f := startFollower(t, "i1", source)
	eventually(t, "read of stale content", func() bool { return source.loads.Load() > 0 })
	s.SetFault(standin.Reset)
	close(source.release)
	eventually(t, "ready without the store", func() bool { return f.Ready() && upstreamCount(f) == 1 })
}

// Guards against stale content, read while the store refuses calls, that undoes
// changes that were applied before.
func TestStaleContentDoesNotUndoChanges(t *testing.T) {
	s, c := startStore(t)
	putConfiguration(s, "3")
	s.Put("servers/left", registration)
	source := record(t, c)
	close(source.release)
	f := startFollower(t, "i1", source)
	eventually(t, "ready", func() bool { return f.Ready() && upstreamCount(f) == 1 })
	s.Delete("servers/left")
	eventually(t, "removed", func() bool { return upstreamCount(f) == 0 })
	before := source.loads.Load()
	s.SetFault(standin.ServiceUnavailable)
	eventually(t, "another read of stale content", func() bool {
		if n := upstreamCount(f); n != 0 {
			t.Fatalf("%d upstreams while the store refuses calls", n)
		}
		return source.loads.Load() > before+3
	})
	s.SetFault(standin.NoFault)
	putConfiguration(s, "4")
	eventually(t, "the next version", func() bool { return configurationVersion(f) == 4 })
	if n := upstreamCount(f); n != 0 {
		t.Errorf("%d upstreams after the store's return", n)
	}
}

// Guards against a withdrawn key that is accepted for as long as the instance runs.
func TestWithdrawnKeyIsAcceptedForLimitedTime(t *testing.T) {
	f := New(Config{Log: zap.NewNop(), Scope: tally.NoopScope}, nil)
	key := func(b byte) catalog.Change {
		return catalog.Change{Kind: catalog.KindKey, ID: "key", Key: bytes.Repeat([]byte{b}, evidence.KeyBytes)}
	}
	now := time.Now()
	for b := range byte(2) {
		f.apply(event{changes: []catalog.Change{key(b)}}, now)
	}
	f.dropOldKey(now.Add(oldKeyGrace / 2))
	if n := len(f.Keys().Open); n != 2 {
		t.Errorf("%d keys are accepted just after the change, want 2", n)
	}
	f.dropOldKey(now.Add(2 * oldKeyGrace))
	if keys := f.Keys(); len(keys.Open) != 1 || keys.Open[0] != keys.Seal {
		t.Errorf("%d keys are accepted later, want the new one only", len(keys.Open))
	}
}

// pause waits in real time, while the follower's loops could do something wrong.
func pause(t *testing.T, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	<-ctx.Done()
}

// countingStore counts the loads of all its followers.
type countingStore struct {
	*platform.Store
	loads *atomic.Int64
}

func (s countingStore) Load(ctx context.Context, stale bool) (catalog.Content, error) {
	s.loads.Add(1)
	return s.Store.Load(ctx, stale)
}

// Guards against calls to a store that is down whose number grows with the number
// of instances, and against instances that then notice its return late: the load is
// a failure domain of six instances in an outage.
func TestRelayPollsLostStoreForItsSubscribers(t *testing.T) {
	var loads atomic.Int64
	s, all, _, _ := runFleet(t, 6, func(c *platform.Store) countingStore { return countingStore{c, &loads} })
	s.SetFault(standin.ServiceUnavailable)
	pause(t, 3*time.Second) // the first calls come at short intervals
	before := loads.Load()
	const outage = 4 * time.Second
	pause(t, outage)
	// One relay calls about every 0.3 s, as the jitter is 0, and each of the others
	// every 1.1 s; all six by themselves would make 80 calls.
	if n := loads.Load() - before; n > 45 {
		t.Errorf("%d calls in %v, want at most 45", n, outage)
	}
	putConfiguration(s, "4")
	s.SetFault(standin.NoFault)
	began := time.Now()
	eventually(t, "the new version at all instances", func() bool {
		return !slices.ContainsFunc(all, func(f *Follower) bool { return configurationVersion(f) != 4 })
	})
	t.Logf("%d calls, the new version after %v", loads.Load()-before, time.Since(began))
}
