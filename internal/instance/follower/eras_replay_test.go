package follower

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"knapweedreel/internal/catalog"
	"knapweedreel/internal/store"
	"knapweedreel/internal/supervisor"
)

// modelStore is a model of a store with eras, which counts its calls. A read returns
// pages of modelPageItems.
type modelStore struct {
	mu            sync.Mutex
	down          bool
	at            catalog.Position
	items         map[string]catalog.Change
	history       []catalog.Change
	changed       chan struct{}
	reads, writes []time.Time
	registrations int
}

const (
	modelPageItems    = 100
	modelResponseTime = 4 * time.Millisecond
)

var errModelDown = errors.Mark(errors.New("the store is down"), store.ErrUnavailable)

// call counts a call and waits for its response.
func (s *modelStore) call(ctx context.Context, times *[]time.Time) error {
	supervisor.Sleep(ctx, modelResponseTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	*times = append(*times, time.Now())
	if s.down {
		return errModelDown
	}
	return nil
}

// put writes an item. s.mu is held unless the store is not in use yet.
func (s *modelStore) put(c catalog.Change) {
	s.at.Revision++
	c.Revision = s.at.Revision
	s.items[string(c.Kind)+c.ID] = c
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// modelClient is a client of a modelStore for one instance. Like that of the
// platform, it knows the latest era of a response.
type modelClient struct {
	*modelStore
	catalog.Source // only the methods below are called
	latest         catalog.Era
}

func (c *modelClient) Load(ctx context.Context, _ bool) (catalog.Content, error) {
	c.mu.Lock()
	pages := (len(c.items) + modelPageItems - 1) / modelPageItems
	c.mu.Unlock()
	for range pages {
		if err := c.call(ctx, &c.reads); err != nil {
			return catalog.Content{}, err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	content := catalog.Content{Index: c.at, Newest: c.at}
	for _, i := range c.items {
		content.Changes = append(content.Changes, i)
	}
	c.latest = c.at.Era
	return content, nil
}

func (c *modelClient) Changes(ctx context.Context, after catalog.Position, wait time.Duration) ([]catalog.Change, catalog.Position, error) {
	if err := c.call(ctx, &c.reads); err != nil {
		return nil, after, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		c.mu.Lock()
		era, revision, changed, down := c.at.Era, c.at.Revision, c.changed, c.down
		c.latest = max(c.latest, era)
		var changes []catalog.Change
		for n := len(c.history) - 1; n >= 0 && c.history[n].Revision > after.Revision; n-- {
			changes = append([]catalog.Change{c.history[n]}, changes...)
		}
		c.mu.Unlock()
		switch {
		case down:
			return nil, after, errModelDown
		case era != after.Era:
			return nil, after, catalog.ErrOtherEra
		case len(changes) > 0:
			return changes, catalog.Position{Era: era, Revision: revision}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, after, nil
		}
	}
}

func (c *modelClient) Register(ctx context.Context, m catalog.Member, ttl time.Duration) (catalog.Registration, error) {
	if err := c.call(ctx, &c.writes); err != nil { // the lease
		return catalog.Registration{}, err
	}
	c.mu.Lock()
	c.registrations++
	c.latest = c.at.Era
	r := catalog.Registration{Lease: 1, TTL: ttl, Era: c.at.Era}
	c.mu.Unlock()
	return r, c.Update(ctx, r, m)
}

func (c *modelClient) Update(ctx context.Context, r catalog.Registration, m catalog.Member) error {
	if err := c.call(ctx, &c.writes); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Era != c.at.Era {
		return catalog.ErrExpired
	}
	c.put(catalog.Change{Kind: catalog.KindMember, ID: m.ID, Member: &m})
	return nil
}

func (c *modelClient) Renew(ctx context.Context, r catalog.Registration) error {
	c.mu.Lock()
	known := c.latest
	c.mu.Unlock()
	if known > r.Era {
		return catalog.ErrExpired
	}
	if err := c.call(ctx, &c.writes); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latest = c.at.Era
	if r.Era != c.at.Era {
		return catalog.ErrExpired
	}
	return nil
}

func (c *modelClient) OfferKey(ctx context.Context, key []byte) error {
	if err := c.call(ctx, &c.writes); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.items[string(catalog.KindKey)+"key"]; ok {
		return store.ErrConflict
	}
	c.put(catalog.Change{Kind: catalog.KindKey, ID: "key", Key: key})
	return nil
}

// busiest returns the largest number of calls within one second, from the given time
// on, and the number of all of them.
func busiest(times []time.Time, from time.Time) (most, total int) {
	var recent []time.Time
	for _, at := range times {
		if at.Before(from) {
			continue
		}
		for len(recent) > 0 && at.Sub(recent[0]) >= time.Second {
			recent = recent[1:]
		}
		recent = append(recent, at)
		total++
		most = max(most, len(recent))
	}
	return most, total
}

// Guards against calls that exceed the rates of the store, 1,200 writes and 6,000
// reads per second, when it comes back from an older copy and all instances find out
// at once. The load is the largest deployment of today: 206 instances in six failure
// domains of three regions and 386 upstreams, which write their entries again within
// two seconds. No instance reaches a relay, so that each of them calls the store.
func TestReplayReturnFromCopyWith206Instances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			instances = 206
			upstreams = 386
			domains   = 6
			regions   = 3
		)
		s := &modelStore{at: catalog.Position{Era: 1}, items: make(map[string]catalog.Change), changed: make(chan struct{})}
		putUpstream := func(n int) {
			u := *testUpstream().Upstream
			u.ID = fmt.Sprint("u", n)
			s.put(catalog.Change{Kind: catalog.KindUpstream, ID: u.ID, Upstream: &u})
		}
		putVersion := func(v uint64) {
			c := testConfiguration()
			c.Configuration.Version = v
			s.put(c)
		}
		putVersion(3)
		for n := range upstreams {
			putUpstream(n)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var loops sync.WaitGroup
		defer loops.Wait()
		defer cancel()
		var all []*Follower
		for n := range instances {
			rng, mu := rand.New(rand.NewPCG(uint64(n), 1)), new(sync.Mutex)
			f := New(Config{
				Self: catalog.Member{
					ID: fmt.Sprint("i", n), Address: "10.0.0.9:80", PeerAddress: "unreachable", Width: catalog.MinWidth,
					Region: fmt.Sprint("r", n%regions), FailureDomain: fmt.Sprint("z", n%domains),
				},
				Regions: map[string]string{"z1": "r1"}, Log: zap.NewNop(), Scope: tally.NoopScope,
				Jitter: func() float64 {
					mu.Lock()
					defer mu.Unlock()
					return rng.Float64()
				},
			}, &modelClient{modelStore: s})
			for _, loop := range []func(context.Context) error{f.Run, f.Watch, f.MaintainRegistration} {
				loops.Go(func() { _ = loop(ctx) })
			}
			all = append(all, f)
		}
		time.Sleep(12 * time.Second)
		s.mu.Lock()
		saved, items, history := s.at, maps.Clone(s.items), s.history[:len(s.history):len(s.history)]
		putVersion(4)
		s.mu.Unlock()
		time.Sleep(2 * time.Second)
		s.mu.Lock()
		s.down = true
		close(s.changed)
		s.changed = make(chan struct{})
		s.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		s.mu.Lock()
		s.down, s.at, s.items, s.history = false, catalog.Position{Era: saved.Era + 1, Revision: saved.Revision}, items, history
		delete(s.items, string(catalog.KindKey)+"key") // as if it had been written after the copy
		putVersion(4)
		before := s.registrations
		s.mu.Unlock()
		returned := time.Now()
		for n := range upstreams {
			time.Sleep(5 * time.Millisecond)
			s.mu.Lock()
			putUpstream(n)
			s.mu.Unlock()
		}
		s.mu.Lock()
		putVersion(5)
		s.mu.Unlock()
		time.Sleep(3 * time.Second)
		for n, f := range all {
			if v, u := configurationVersion(f), upstreamCount(f); v != 5 || u != upstreams {
				t.Errorf("instance %d: configuration %d, %d upstreams", n, v, u)
			}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if _, ok := s.items[string(catalog.KindKey)+"key"]; !ok {
			t.Error("the key was not written again")
		}
		reads, allReads := busiest(s.reads, returned)
		writes, allWrites := busiest(s.writes, returned)
		t.Logf("within %v after the return: at most %d reads and %d writes within a second, %d and %d in all, %d registrations",
			time.Since(returned), reads, writes, allReads, allWrites, s.registrations-before)
		if reads > 6000 || writes > 1200 {
			t.Errorf("%d reads and %d writes within a second, want at most 6000 and 1200", reads, writes)
		}
		if n := s.registrations - before; n < instances || n > instances+instances/10 {
			t.Errorf("%d registrations of %d instances", n, instances)
		}
	})
}
