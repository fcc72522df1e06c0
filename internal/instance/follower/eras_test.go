package follower

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"knapweedreel/internal/catalog"
	"knapweedreel/internal/instance/evidence"
	"knapweedreel/platform"
	"knapweedreel/platform/standin"
)

// startEraFleet runs n instances of a failure domain, each with its own client of a
// store that reports its era.
func startEraFleet(t *testing.T, n int) (*standin.Store, []*Follower) {
	t.Helper()
	s := standin.NewStore()
	s.SetEra(1)
	putConfiguration(s, "3")
	srv := httptest.NewServer(s)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	var all []*Follower
	for i := range n {
		c := platform.NewStore(srv.Listener.Addr().String())
		t.Cleanup(c.Close)
		all = append(all, startFollower(t, fmt.Sprint("i", i), c))
	}
	waitForRelay(t, all)
	return s, all
}

func allHave(all []*Follower, cond func(*Follower) bool) bool {
	return !slices.ContainsFunc(all, func(f *Follower) bool { return !cond(f) })
}

// Guards against instances that return to an older configuration, lose upstreams,
// keep changes that the store has lost, miss later ones whose revisions were issued
// before, or have no key or registration in the store, after it has come back from an
// older copy. The revisions of the new era are lower than those of the previous one,
// or have reached them when the instances call.
func TestFleetFollowsStoreThatReturnsFromCopy(t *testing.T) {
	for _, reissued := range []bool{false, true} {
		t.Run(fmt.Sprintf("reissued=%t", reissued), func(t *testing.T) {
			s := standin.NewStore()
			s.SetEra(1)
			putConfiguration(s, "3")
			s.Put("servers/a", registration)
			saved := s.Copy() // before any member or key
			srv := httptest.NewServer(s)
			defer srv.Close()
			defer srv.CloseClientConnections()
			var all []*Follower
			for i := range 4 {
				c := platform.NewStore(srv.Listener.Addr().String())
				t.Cleanup(c.Close)
				all = append(all, startFollower(t, fmt.Sprint("i", i), c))
			}
			waitForRelay(t, all)
			s.Put("servers/b", registration)
			s.Put("servers/lost", registration)
			putConfiguration(s, "6")
			eventually(t, "the configuration before the return", func() bool {
				return allHave(all, func(f *Follower) bool { return configurationVersion(f) == 6 && upstreamCount(f) == 3 })
			})
			var keys []evidence.Keys
			for _, f := range all {
				keys = append(keys, f.Keys())
			}
			before := s.Calls()
			s.SetFault(standin.Reset)
			pause(t, 300*time.Millisecond)
			s.ReturnFrom(saved)
			if reissued {
				for n := range 100 {
					s.Put(fmt.Sprint("other/", n), nil)
				}
			}
			s.SetFault(standin.NoFault)
			returned := time.Now()
			pause(t, 700*time.Millisecond)
			for i, f := range all {
				if v, n := configurationVersion(f), upstreamCount(f); v != 6 || n != 3 {
					t.Errorf("instance %d: configuration %d, %d upstreams; want 6 and 3", i, v, n)
				}
			}
			s.Put("servers/b", registration)
			putConfiguration(s, "6")
			eventually(t, "registered again", func() bool {
				return slices.Equal(s.Keys("fleet/"), []string{"fleet/key", "fleet/members/i0", "fleet/members/i1", "fleet/members/i2", "fleet/members/i3"})
			})
			t.Logf("registered again after %v", time.Since(returned))
			eventually(t, "the end of the grace", func() bool {
				return allHave(all, func(f *Follower) bool { return upstreamCount(f) == 2 })
			})
			putConfiguration(s, "7")
			written := time.Now()
			eventually(t, "a later configuration", func() bool {
				return allHave(all, func(f *Follower) bool { return configurationVersion(f) == 7 })
			})
			if d := time.Since(written); d > 2*time.Second {
				t.Errorf("the configuration is in effect after %v", d)
			}
			for i, f := range all {
				if now := f.Keys(); now.Seal != keys[i].Seal || len(now.Open) != 1 {
					t.Errorf("instance %d uses another key", i)
				}
			}
			// Instances on standby to which callers are directed meanwhile, at most as many
			// as serve a region, register with a shorter lease.
			if n := s.Calls()["lease"] - before["lease"]; n < len(all) || n > len(all)+catalog.MinWidth {
				t.Errorf("%d registrations of %d instances", n, len(all))
			}
		})
	}
}

// Guards against an instance that, after a start, uses content of an earlier era from
// a replica: an upstream that has left, an older configuration, or a key that was
// withdrawn.
func TestStaleFirstReadOfEarlierEra(t *testing.T) {
	s, _ := startEraFleet(t, 1)
	s.Put("servers/left", registration)
	s.Put("fleet/key", bytes.Repeat([]byte{1}, evidence.KeyBytes))
	s.FreezeReplica(func(string) bool { return true })
	saved := s.Copy()
	s.ReturnFrom(saved)
	s.Delete("servers/left")
	s.Put("servers/stays", registration)
	s.Put("fleet/key", bytes.Repeat([]byte{2}, evidence.KeyBytes))
	putConfiguration(s, "9")
	srv := httptest.NewServer(s)
	defer srv.Close()
	defer srv.CloseClientConnections()
	c := platform.NewStore(srv.Listener.Addr().String())
	defer c.Close()
	f := startFollower(t, "i9", c)
	eventually(t, "ready", f.Ready)
	if v, n, keys := configurationVersion(f), upstreamCount(f), f.Keys(); v != 9 || n != 1 || len(keys.Open) != 1 {
		t.Errorf("configuration %d, %d upstreams, %d keys", v, n, len(keys.Open))
	}
	// A running instance that reads from the replica keeps what it has.
	s.SetFault(standin.ServiceUnavailable)
	pause(t, 500*time.Millisecond)
	s.SetFault(standin.RefuseFreshReads)
	pause(t, 500*time.Millisecond)
	if v, n := configurationVersion(f), upstreamCount(f); v != 9 || n != 1 {
		t.Errorf("while only the replica can be read: configuration %d, %d upstreams", v, n)
	}
	s.SetFault(standin.NoFault)
	s.Put("servers/next", registration)
	eventually(t, "changes afterwards", func() bool { return upstreamCount(f) == 2 })
}

// Guards against registrations that are repeated, and a key that is written again,
// although the store doesn't report its era.
func TestStoreWithoutErasStaysInEraZero(t *testing.T) {
	s, all, _, _ := runFleet(t, 2, func(c *platform.Store) *platform.Store { return c })
	s.SetFault(standin.Reset)
	pause(t, 300*time.Millisecond)
	s.SetFault(standin.NoFault)
	putConfiguration(s, "4")
	eventually(t, "the next version", func() bool {
		return allHave(all, func(f *Follower) bool { return configurationVersion(f) == 4 })
	})
	for _, f := range all {
		if f.missingKey.Load() != nil {
			t.Error("the key counts as missing")
		}
		select {
		case <-f.newEra:
			t.Error("a new era")
		default:
		}
	}
}
