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

// partitionedSource is a store that can be partitioned. Calls that start during a
// partition hang for callTimeout.
type partitionedSource struct {
	catalog.Source // only the methods below are called

	loadTime time.Duration // time for a complete read

	mu          sync.Mutex
	partitioned bool
	entries     []catalog.Change
}

// startLoops runs loops of a follower of the source until stop is called or the
// test in the synctest bubble ends.
func startLoops(t *testing.T, source catalog.Source, loops ...func(*Follower, context.Context) error) (f *Follower, stop func()) {
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

func testConfiguration() catalog.Change {
	return catalog.Change{Kind: catalog.KindConfiguration, Configuration: &catalog.Configuration{
		Version: 1, Services: map[string]catalog.Service{"s": {}},
		Routes: []catalog.Route{{Name: "r", Host: "a.example", Split: []routing.WeightedService{{Service: "s", Weight: 1}}}},
	}}
}

func testUpstream() catalog.Change {
	return catalog.Change{Kind: catalog.KindUpstream, ID: "a", Upstream: &catalog.Upstream{
		ID: "a", Service: "s", Address: "10.0.0.1:80", FailureDomain: "z1", Slots: 6,
	}}
}

// callTimeout is the time after which a hanging call fails.
const callTimeout = time.Second

func (s *partitionedSource) set(partitioned bool, entries ...catalog.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned, s.entries = partitioned, entries
}

func (s *partitionedSource) state() (partitioned bool, entries []catalog.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partitioned, s.entries
}

func (s *partitionedSource) hang(ctx context.Context) error {
	supervisor.Sleep(ctx, callTimeout)
	return errors.Mark(errors.New("no response"), store.ErrUnavailable)
}

func (s *partitionedSource) Load(ctx context.Context, _ bool) (catalog.Content, error) {
	partitioned, entries := s.state()
	if partitioned {
		return catalog.Content{}, s.hang(ctx)
	}
	if !supervisor.Sleep(ctx, s.loadTime) {
		return catalog.Content{}, ctx.Err()
	}
	return catalog.Content{Changes: entries, Index: catalog.Position{Revision: 1}, Newest: catalog.Position{Revision: 1}}, nil
}

func (s *partitionedSource) Changes(ctx context.Context, after catalog.Position, wait time.Duration) ([]catalog.Change, catalog.Position, error) {
	if partitioned, _ := s.state(); partitioned {
		return nil, after, s.hang(ctx)
	}
	supervisor.Sleep(ctx, wait)
	return nil, after, nil
}

// Guards against an instance that never recovers from a partition because a read
// takes longer than it waits for a response to begin: 29,000 upstreams are read in
// 59 pages.
func TestLongLoadCompletesAfterPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &partitionedSource{loadTime: 3 * time.Second}
		s.set(false, testConfiguration())
		f, _ := startLoops(t, s, (*Follower).Run, (*Follower).Watch)
		time.Sleep(4 * time.Second)
		s.set(true)
		time.Sleep(5 * time.Second)
		s.set(false, testConfiguration(), testUpstream())
		time.Sleep(10 * time.Second)
		if n := upstreamCount(f); n != 1 {
			t.Errorf("%d upstreams 10 s after the partition, want 1", n)
		}
	})
}

// Guards against an instance that still uses upstreams that left during a
// partition when it counts as healthy again. The partition ends at different
// moments of a hanging call.
func TestInstanceRemovesUpstreamsThatLeftDuringPartition(t *testing.T) {
	const (
		healthyAfter = 3 * time.Second // after a partition; shortest of the users' deployments
		step         = 50 * time.Millisecond
	)
	for partitionTime := 4 * time.Second; partitionTime < 8*time.Second; partitionTime += step {
		synctest.Test(t, func(t *testing.T) {
			s := &partitionedSource{}
			s.set(false, testConfiguration(), testUpstream())
			f, _ := startLoops(t, s, (*Follower).Run, (*Follower).Watch)
			time.Sleep(time.Second)
			if upstreamCount(f) != 1 {
				t.Fatal("the upstream is missing before the partition")
			}
			s.set(true)
			time.Sleep(partitionTime)
			if upstreamCount(f) != 1 {
				t.Error("the upstream is removed during the partition")
			}
			s.set(false, testConfiguration())
			time.Sleep(healthyAfter)
			if n := upstreamCount(f); n != 0 {
				t.Errorf("partition of %v: %d upstreams %v after its end, want 0", partitionTime, n, healthyAfter)
			}
		})
	}
}

// pausedSource returns changes after a pause of this process, which began when the
// store had sent its response.
type pausedSource struct {
	catalog.Source // only Changes is called
	pause          time.Duration
}

func (s pausedSource) Changes(_ context.Context, after catalog.Position, _ time.Duration) ([]catalog.Change, catalog.Position, error) {
	time.Sleep(s.pause)
	return []catalog.Change{testUpstream()}, catalog.Position{Revision: after.Revision + 1}, nil
}

// Guards against an instance that was paused while it waited for the store, and
// that then takes the old response for the present state and passes it on as such.
func TestResponseBeforePauseIsOld(t *testing.T) {
	for _, c := range []struct {
		pause time.Duration
		old   bool
	}{{maxWatchWait, false}, {maxWatchWait + maxCallTime + time.Second, true}, {20 * time.Second, true}} {
		synctest.Test(t, func(t *testing.T) {
			f, stop := startLoops(t, pausedSource{pause: c.pause}, (*Follower).Run)
			defer stop()
			w := watch{f: f, loaded: true, index: catalog.Position{Revision: 1}, asOf: time.Now(), callStart: time.Now(), batched: true}
			if err := w.poll(t.Context()); err != nil {
				t.Fatal(err)
			}
			if age := time.Since(w.asOf); (age > maxRelayAge) != c.old {
				t.Errorf("after a pause of %v the changes count as %v old", c.pause, age)
			}
		})
	}
}
