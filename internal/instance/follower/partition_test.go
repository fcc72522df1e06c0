package follower

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"knapweedreel/internal/catalog"
	"knapweedreel/internal/routing"
	"knapweedreel/internal/store"
	"knapweedreel/internal/supervisor"
)

// cutSource is a store whose calls hang while it is cut off, and for their whole
// time when they began then.
type cutSource struct {
	catalog.Source // only the calls below are made

	loadTime time.Duration // that a whole read takes

	mu      sync.Mutex
	cut     bool
	entries []catalog.Change
}

// follow runs loops of an instance that reads the source, until stop is called or
// the bubble's test ends.
func follow(t *testing.T, source catalog.Source, loops ...func(*Follower, context.Context) error) (f *Follower, stop func()) {
	f = New(Config{
		Self: catalog.Member{ID: "i1", Region: "south", FailureDomain: "z1"}, Regions: map[string]string{"z1": "south"},
		Log: zap.NewNop(), Scope: tally.NoopScope, Jitter: func() float64 { return 1 },
	}, source)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, loop := range loops {
		running.Go(func() { _ = loop(f, ctx) })
	}
	stop = func() {
		cancel()
		running.Wait()
	}
	t.Cleanup(stop)
	return f, stop
}

func theConfiguration() catalog.Change {
	return catalog.Change{Kind: catalog.KindConfiguration, Configuration: &catalog.Configuration{
		Version: 1, Services: map[string]catalog.Service{"s": {}},
		Routes: []catalog.Route{{Name: "r", Host: "a.example", Parts: []routing.Part{{Service: "s", Weight: 1}}}},
	}}
}

func theUpstream() catalog.Change {
	return catalog.Change{Kind: catalog.KindUpstream, ID: "a", Upstream: &catalog.Upstream{
		ID: "a", Service: "s", Address: "10.0.0.1:80", FailureDomain: "z1", Slots: 6,
	}}
}

// hangTime is the time after which a call that hangs is given up.
const hangTime = time.Second

func (s *cutSource) set(cut bool, entries ...catalog.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut, s.entries = cut, entries
}

func (s *cutSource) begin() (hangs bool, entries []catalog.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut, s.entries
}

func (s *cutSource) hang(ctx context.Context) error {
	supervisor.Sleep(ctx, hangTime)
	return errors.Mark(errors.New("no answer"), store.ErrUnavailable)
}

func (s *cutSource) Load(ctx context.Context, _ bool) ([]catalog.Change, uint64, error) {
	hangs, entries := s.begin()
	if hangs {
		return nil, 0, s.hang(ctx)
	}
	if !supervisor.Sleep(ctx, s.loadTime) {
		return nil, 0, ctx.Err()
	}
	return entries, 1, nil
}

func (s *cutSource) Changes(ctx context.Context, after uint64, wait time.Duration) ([]catalog.Change, uint64, error) {
	if hangs, _ := s.begin(); hangs {
		return nil, after, s.hang(ctx)
	}
	supervisor.Sleep(ctx, wait)
	return nil, after, nil
}

// Guards against an instance that never comes back after a cut because its reads
// take longer than it waits for the beginning of an answer: 29,000 upstreams are
// read in 59 pages.
func TestLongReadsEndAfterACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &cutSource{loadTime: 3 * time.Second}
		s.set(false, theConfiguration())
		f, _ := follow(t, s, (*Follower).Run, (*Follower).Watch)
		time.Sleep(4 * time.Second)
		s.set(true)
		time.Sleep(5 * time.Second)
		s.set(false, theConfiguration(), theUpstream())
		time.Sleep(10 * time.Second)
		if n := upstreams(f); n != 1 {
			t.Errorf("%d upstreams 10 s after the cut", n)
		}
	})
}

// Guards against an instance that uses upstreams that left during its cut for
// longer than the time after which it counts as well again, for each moment of a
// call that hangs at which the cut may end.
func TestInstanceDropsWhatLeftDuringItsCut(t *testing.T) {
	const (
		inTouch = 3 * time.Second // shortest of the users' deployments
		step    = 50 * time.Millisecond
	)
	for cut := 4 * time.Second; cut < 8*time.Second; cut += step {
		synctest.Test(t, func(t *testing.T) {
			s := &cutSource{}
			s.set(false, theConfiguration(), theUpstream())
			f, _ := follow(t, s, (*Follower).Run, (*Follower).Watch)
			time.Sleep(time.Second)
			if upstreams(f) != 1 {
				t.Fatal("the upstream is not known")
			}
			s.set(true)
			time.Sleep(cut)
			if upstreams(f) != 1 {
				t.Error("the upstream is dropped during the cut")
			}
			s.set(false, theConfiguration())
			time.Sleep(inTouch)
			if n := upstreams(f); n != 0 {
				t.Errorf("cut of %v: %d upstreams %v after its end", cut, n, inTouch)
			}
		})
	}
}
