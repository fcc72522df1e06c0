package follower

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/catalog"
	"knapweedreel/internal/store"
	"knapweedreel/internal/supervisor"
)

// leaseSource is a store that grants leases and can fail renewals and entries.
type leaseSource struct {
	catalog.Source // only the methods below are called

	fail func(renewal int) (hangs time.Duration, fails bool)

	refuseEntries int // number of entries that are still to be refused

	members []catalog.Change // in addition to the configuration

	mu          sync.Mutex
	ttl         time.Duration // of the latest registration
	renewals    int
	registered  int
	entryStored bool
	expires     time.Time
}

func (s *leaseSource) Load(context.Context, bool) (catalog.Content, error) {
	return catalog.Content{Changes: append([]catalog.Change{testConfiguration()}, s.members...), Index: catalog.Position{Revision: 1}, Newest: catalog.Position{Revision: 1}}, nil
}

func (s *leaseSource) Changes(ctx context.Context, after catalog.Position, wait time.Duration) ([]catalog.Change, catalog.Position, error) {
	supervisor.Sleep(ctx, wait)
	return nil, after, nil
}

func (s *leaseSource) Register(_ context.Context, _ catalog.Member, ttl time.Duration) (catalog.Registration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registered++
	s.ttl = ttl
	s.expires = time.Now().Add(ttl)
	return catalog.Registration{Lease: 1, TTL: ttl}, s.put()
}

// put stores an entry or refuses it.
func (s *leaseSource) put() error {
	if s.refuseEntries > 0 {
		s.refuseEntries--
		return errors.Mark(errors.New("refused"), store.ErrUnavailable)
	}
	s.entryStored = true
	return nil
}

func (s *leaseSource) Update(context.Context, catalog.Registration, catalog.Member) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().After(s.expires) {
		return catalog.ErrExpired
	}
	return s.put()
}

func (s *leaseSource) Renew(ctx context.Context, r catalog.Registration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewals++
	if time.Now().After(s.expires) {
		return catalog.ErrExpired
	}
	if hangs, fails := s.fail(s.renewals); fails {
		supervisor.Sleep(ctx, hangs)
		return errors.Mark(errors.New("refused"), store.ErrUnavailable)
	}
	s.expires = time.Now().Add(r.TTL)
	return nil
}

func (s *leaseSource) OfferKey(context.Context, []byte) error { return nil }

// Guards against acquiring a new lease for each attempt while the store refuses
// the entries: after the start of a whole fleet the leases would use half of the
// writes.
func TestLeaseIsReusedUntilEntryIsStored(t *testing.T) {
	for _, refused := range []int{0, 1, 3, 6} { // without renewal a lease lasts for four attempts
		synctest.Test(t, func(t *testing.T) {
			s := &leaseSource{refuseEntries: refused, fail: func(int) (time.Duration, bool) { return 0, false }}
			_, stop := startLoops(t, s, (*Follower).Run, (*Follower).Watch, (*Follower).MaintainRegistration)
			time.Sleep(10 * time.Second)
			stop()
			if !s.entryStored || s.registered != 1 {
				t.Errorf("%d entries refused: entry stored %t with %d leases, want 1", refused, s.entryStored, s.registered)
			}
		})
	}
}

// Guards against members that callers are no longer directed to because two
// renewals in a row were refused or one had no response, and against more renewals
// than the lease needs: with 2,800 instances they are most of the calls.
func TestRegistrationSurvivesFailedRenewals(t *testing.T) {
	const seconds, perMinute = 60, 60 * 2 / 3
	for name, fail := range map[string]func(n int) (time.Duration, bool){
		"none fails":           func(int) (time.Duration, bool) { return 0, false },
		"two in three refused": func(n int) (time.Duration, bool) { return 0, n%3 != 0 },
		"every second hangs":   func(n int) (time.Duration, bool) { return time.Second, n%2 == 0 },
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &leaseSource{fail: fail}
			_, stop := startLoops(t, s, (*Follower).Run, (*Follower).Watch, (*Follower).MaintainRegistration)
			time.Sleep(seconds * time.Second)
			stop()
			if s.registered != 1 {
				t.Errorf("%s: registered %d times", name, s.registered)
			}
			if _, fails := fail(2); !fails && s.renewals > perMinute {
				t.Errorf("%s: %d renewals in %d s, want at most %d", name, s.renewals, seconds, perMinute)
			}
		})
	}
}

// Guards against renewals of instances that serve no callers as often as of those
// that do, and against an instance that serves callers and is still named for long
// after it has crashed.
func TestStandbyInstancesRenewSeldom(t *testing.T) {
	member := func(id string, width int) catalog.Change {
		return catalog.Change{Kind: catalog.KindMember, ID: id, Member: &catalog.Member{
			ID: id, Address: "10.0.0.1:80", PeerAddress: "10.0.0.1:81", Region: "south", FailureDomain: id, Width: width, Capacity: 1,
		}}
	}
	for _, c := range []struct {
		name              string
		members           []catalog.Change
		ttl               time.Duration
		registered, renew int // in a minute
	}{
		{"others serve", []catalog.Change{member("a", 2), member("b", 2), member("c", 2)}, standbyTTL, 1, 14},
		{"serves", []catalog.Change{member("i1", 2), member("b", 2)}, memberTTL, 2, 41},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &leaseSource{members: c.members, fail: func(int) (time.Duration, bool) { return 0, false }}
			_, stop := startLoops(t, s, (*Follower).Run, (*Follower).Watch, (*Follower).MaintainRegistration)
			time.Sleep(time.Minute)
			stop()
			if s.ttl != c.ttl || s.registered > c.registered || s.renewals > c.renew {
				t.Errorf("%s: TTL %v, registered %d times, %d renewals", c.name, s.ttl, s.registered, s.renewals)
			}
		})
	}
}

// Guards against an instance that gives up its registration when callers are
// directed to it while the store refuses the new one.
func TestFailedPromotionKeepsRegistration(t *testing.T) {
	member := func(id string) catalog.Change {
		return catalog.Change{Kind: catalog.KindMember, ID: id, Member: &catalog.Member{
			ID: id, Address: "10.0.0.1:80", PeerAddress: "10.0.0.1:81", Region: "south", FailureDomain: id, Width: 2, Capacity: 1,
		}}
	}
	synctest.Test(t, func(t *testing.T) {
		s := &leaseSource{members: []catalog.Change{member("i1"), member("b")}, fail: func(int) (time.Duration, bool) { return 0, false }}
		_, stop := startLoops(t, s, (*Follower).Run, (*Follower).Watch, (*Follower).MaintainRegistration)
		time.Sleep(time.Second)
		s.mu.Lock()
		s.refuseEntries = 1 << 30
		s.mu.Unlock()
		time.Sleep(20 * time.Second)
		stop()
		if s.renewals < 5 || time.Now().After(s.expires) {
			t.Errorf("%d renewals, expires %v", s.renewals, s.expires)
		}
	})
}
