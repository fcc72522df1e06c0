package follower

import (
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
	"knapweedreel/internal/instance/relay"
	"knapweedreel/internal/store"
	"knapweedreel/platform"
	"knapweedreel/platform/standin"
)

const waitLimit = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	configuration = `{"version":%VERSION%,"routes":{"r":{"host":"a.example","prefix":"/a/","kind":"safe","timeout":"1s","service":"s"}},"services":{"s":{}}}`
	registration  = `{"address":"10.0.0.1:80","born":7,"info":{"service":"s","zone":"z1","slots":6},"status":{"state":"ready"}}`
)

func put(s *standin.Store, version string) {
	text := configuration
	i := len(`{"version":`)
	s.Put("op/config", []byte(text[:i]+version+text[i+len("%VERSION%"):]))
}

// run starts a follower of the store until the test ends.
func run(t *testing.T, id string, source catalog.Source) *Follower {
	t.Helper()
	peer := freeAddress(t)
	f := New(Config{
		Self:    catalog.Member{ID: id, Address: "10.0.0.9:80", PeerAddress: peer, Region: "south", FailureDomain: "z1", Width: catalog.MinWidth},
		Regions: map[string]string{"z1": "south"}, Log: zap.NewNop(), Scope: tally.NoopScope, Jitter: func() float64 { return 0 },
	}, source)
	ctx, cancel := context.WithCancel(context.Background())
	passOn := &relay.Server{Address: peer, Log: f.Changes(), Keys: f.Keys, Logger: zap.NewNop(), Scope: tally.NoopScope}
	loops := []func(context.Context) error{f.Run, f.Watch, f.Member, passOn.Run}
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

// freeAddress returns a TCP address that is free now.
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
	limit := time.After(waitLimit)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !cond() {
		select {
		case <-limit:
			t.Fatalf("not seen in time: %s", what)
		case <-tick.C:
		}
	}
}

func version(f *Follower) uint64 {
	if svc := f.Snapshot().Services["s"]; svc != nil {
		return svc.Revision
	}
	return 0
}

func upstreams(f *Follower) int {
	if svc := f.Snapshot().Services["s"]; svc != nil {
		return len(svc.Upstreams)
	}
	return 0
}

// Guards against an instance that is ready before it knows a configuration, is
// not registered, or has no key to talk to others.
func TestFollowerBecomesReadyWithTheConfiguration(t *testing.T) {
	s, c := startStore(t)
	f := run(t, "i1", c)
	eventually(t, "the empty store is read", func() bool { return s.Calls()["watch"] > 0 })
	if f.Ready() || len(s.Keys("fleet/")) != 0 {
		t.Errorf("ready %t, keys %v", f.Ready(), s.Keys("fleet/"))
	}
	put(s, "3")
	eventually(t, "ready", f.Ready)
	eventually(t, "registered with a key", func() bool {
		return slices.Equal(s.Keys("fleet/"), []string{"fleet/key", "fleet/members/i1"}) && f.Keys().Seal != nil
	})
	eventually(t, "in the directory", func() bool { return len(f.Directory().Locate("a.example", "south")) == 1 })
	f.Leave()
	eventually(t, "withdrawn", func() bool { return len(s.Keys("fleet/members/")) == 0 })
	if f.Ready() {
		t.Error("ready after leaving")
	}
}

// Guards against an instance that stays with an old configuration after the
// store dropped its history below a waiting watch, which the store does not
// tell. The limit is the time within which it must be in force.
func TestFollowerNoticesALostHistory(t *testing.T) {
	s, c := startStore(t)
	put(s, "3")
	f := run(t, "i1", c)
	eventually(t, "version 3", func() bool { return version(f) == 3 })
	quiet := &silentWatches{Store: c}
	g := run(t, "i2", quiet)
	eventually(t, "version 3 at the second", func() bool { return version(g) == 3 && quiet.waiting.Load() })
	put(s, "4")
	s.Compact()
	eventually(t, "version 4", func() bool { return version(g) == 4 })
}

// silentWatches is a store whose waiting watches hear nothing of changes.
type silentWatches struct {
	*platform.Store
	waiting atomic.Bool
}

func (q *silentWatches) Changes(ctx context.Context, after uint64, wait time.Duration) ([]catalog.Change, uint64, error) {
	q.waiting.Store(true)
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return q.Store.Changes(ctx, after, time.Millisecond)
}

// Guards against a service without upstreams, or callers without addresses,
// while the store is away, however it fails, and against an instance that does
// not come back with it.
func TestFollowerOutlivesTheStore(t *testing.T) {
	for _, fault := range []standin.Fault{standin.Busy, standin.Many, standin.Reset, standin.Silent} {
		s, c := startStore(t)
		put(s, "3")
		s.Put("servers/a", []byte(registration))
		f := run(t, "i1", c)
		eventually(t, "registered", func() bool { return upstreams(f) == 1 && len(f.Directory().Locate("a.example", "south")) == 1 })
		s.SetFault(fault)
		s.Expire()
		eventually(t, "calls that fail", func() bool { return len(s.Keys("fleet/members/")) == 0 && s.Calls()["keep"] > 1 })
		if upstreams(f) != 1 || !f.Ready() || len(f.Directory().Locate("a.example", "south")) == 0 {
			t.Errorf("fault %d: %d upstreams, ready %t", fault, upstreams(f), f.Ready())
		}
		s.SetFault(standin.Sound)
		put(s, "5")
		eventually(t, "version 5 and registered again", func() bool { return version(f) == 5 && len(s.Keys("fleet/members/")) == 1 })
	}
}

// Guards against a fleet that does not come back after all its instances have
// ended: together they may not read the whole content at the store's rate, and
// each refusal would make one begin again.
func TestFollowersStartTogether(t *testing.T) {
	s, c := startStore(t)
	put(s, "3")
	for i := range 40 {
		s.Put(fmt.Sprintf("servers/u-%02d", i), []byte(registration))
	}
	s.SetFault(standin.FewReads)
	for i := range 4 {
		f := run(t, fmt.Sprint("i", i), c)
		eventually(t, "ready with all upstreams", func() bool { return f.Ready() && upstreams(f) == 40 })
	}
}

// Guards against a registration that is lost with the answer to its write.
func TestMemberOutlivesLostAnswers(t *testing.T) {
	s, c := startStore(t)
	s.SetFault(standin.LoseSome)
	put(s, "3")
	run(t, "i1", c)
	eventually(t, "registered", func() bool { return len(s.Keys("fleet/members/")) == 1 })
}

// Guards against evidence that is sent to this instance itself or to nobody.
func TestPeersAreTheOthersThatServeTheRegion(t *testing.T) {
	s, c := startStore(t)
	put(s, "3")
	f, g := run(t, "i1", c), run(t, "i2", c)
	eventually(t, "one peer each", func() bool { return len(f.Peers()) == 1 && len(g.Peers()) == 1 })
}

// Guards against a key that is written by each instance anew.
func TestInstancesShareOneKey(t *testing.T) {
	s, c := startStore(t)
	put(s, "3")
	f, g := run(t, "i1", c), run(t, "i2", c)
	eventually(t, "keys", func() bool { return f.Keys().Seal != nil && g.Keys().Seal != nil })
	plain := []byte("x")
	sealed := f.Keys().Seal.Seal(nil, nil, plain, nil)
	if _, err := g.Keys().Seal.Open(nil, nil, sealed, nil); err != nil {
		t.Error(errors.Wrap(err, "the second instance's key"))
	}
}

// relayOf waits until all but one follow a relay, and returns that one's index.
func relayOf(t *testing.T, all []*Follower) int {
	t.Helper()
	reader := -1
	eventually(t, "one relay for all", func() bool {
		subscribed := 0
		for i, f := range all {
			if f.relayed.Load() {
				subscribed++
			} else {
				reader = i
			}
		}
		return subscribed == len(all)-1
	})
	return reader
}

// runFleet runs n instances of a failure domain, each with a source of its own,
// until they have a relay, and returns its index as well.
func runFleet[S catalog.Source](t *testing.T, n int, source func(c *platform.Store) S) (s *standin.Store, all []*Follower, sources []S, reader int) {
	t.Helper()
	s, c := startStore(t)
	put(s, "3")
	for i := range n {
		sources = append(sources, source(c))
		all = append(all, run(t, fmt.Sprint("i", i), sources[i]))
	}
	return s, all, sources, relayOf(t, all)
}

// Guards against a fleet in which each instance waits at the store: its calls
// are limited and paid for, and would grow with the number of instances.
func TestOneInstanceOfAFailureDomainWaitsAtTheStore(t *testing.T) {
	s, all, _, _ := runFleet(t, 5, func(c *platform.Store) *platform.Store { return c })
	before := s.Calls()["watch"]
	for v := 4; v <= 8; v++ {
		put(s, fmt.Sprint(v))
		eventually(t, "the new version at all", func() bool {
			return !slices.ContainsFunc(all, func(f *Follower) bool { return version(f) != uint64(v) })
		})
	}
	// The relay asks once for each version and once each 1.2 s; five instances
	// that ask themselves need five calls for each version.
	if calls := s.Calls()["watch"] - before; calls > 15 {
		t.Errorf("%d waits at the store for five versions", calls)
	}
}

// Guards against instances that stay with an old configuration because their
// relay has lost the store, or is frozen, while they reach it themselves.
func TestInstancesLeaveARelayThatIsBehind(t *testing.T) {
	s, all, cuts, reader := runFleet(t, 3, func(c *platform.Store) *cuttable { return &cuttable{Store: c} })
	cuts[reader].cut.Store(true)
	put(s, "4")
	eventually(t, "the new version at the others", func() bool {
		for i, f := range all {
			if i != reader && version(f) != 4 {
				return false
			}
		}
		return true
	})
}

// cuttable is a store that does not answer any more once it is cut.
type cuttable struct {
	*platform.Store
	cut atomic.Bool
}

func (c *cuttable) Changes(ctx context.Context, after uint64, wait time.Duration) ([]catalog.Change, uint64, error) {
	changes, index, err := c.Store.Changes(ctx, after, wait)
	if c.cut.Load() {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return changes, index, err
}

// Guards against an instance that the store turns away and that stays with an
// old configuration, and calls the store all the time, although its relay is
// served.
func TestRelayServesInstancesThatTheStoreTurnsAway(t *testing.T) {
	s, all, doors, reader := runFleet(t, 3, func(c *platform.Store) *door { return &door{Store: c} })
	away := (reader + 1) % len(all)
	doors[away].shut.Store(true)
	// The instance asks the store while it has no relay.
	known := all[away].relays.Swap(new(relays))
	eventually(t, "calls that fail", func() bool { return doors[away].refused.Load() > 2 })
	all[away].relays.Store(known)
	put(s, "4")
	eventually(t, "the new version at the instance that is turned away", func() bool { return version(all[away]) == 4 })
}

// door is a store that can turn its instance away.
type door struct {
	*platform.Store
	shut    atomic.Bool
	refused atomic.Int64
	longest atomic.Int64 // wait of a refused call after the first one, in nanoseconds
}

func (d *door) Changes(ctx context.Context, after uint64, wait time.Duration) ([]catalog.Change, uint64, error) {
	if d.shut.Load() {
		if d.refused.Add(1) > 1 {
			d.longest.Store(max(d.longest.Load(), int64(wait)))
		}
		return nil, 0, store.ErrUnavailable
	}
	changes, index, err := d.Store.Changes(ctx, after, min(wait, 50*time.Millisecond))
	if d.shut.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return changes, index, err
}

func (d *door) Load(ctx context.Context, stale bool) ([]catalog.Change, uint64, error) {
	if d.shut.Load() {
		d.refused.Add(1)
		return nil, 0, store.ErrUnavailable
	}
	return d.Store.Load(ctx, stale)
}

// Guards against an instance that the store turns away and that knows no other
// relay than one that is turned away as well: it hears of no new member.
func TestNextRelayTakesOver(t *testing.T) {
	s, all, doors, reader := runFleet(t, 4, func(c *platform.Store) *door { return &door{Store: c} })
	// One of the two relays that may take over is turned away as well.
	away := slices.IndexFunc(all, func(f *Follower) bool {
		r := f.relays.Load()
		return !r.first && len(r.others) == 2
	})
	doors[reader].shut.Store(true)
	doors[away].shut.Store(true)
	put(s, "4")
	eventually(t, "the new version at all", func() bool {
		return !slices.ContainsFunc(all, func(f *Follower) bool { return version(f) != 4 })
	})
	// A call that hangs must not keep an instance from noticing that it is served
	// again: whether it is, is found out by short waits.
	before := doors[reader].refused.Load()
	eventually(t, "waits at the closed door", func() bool { return doors[reader].refused.Load() > before+3 })
	if wait := time.Duration(doors[reader].longest.Load()); wait > minWait {
		t.Errorf("the store was asked to wait for %v after it had turned the instance away", wait)
	}
}
