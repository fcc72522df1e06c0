package follower

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"knapweedreel/internal/catalog"
	"knapweedreel/platform/standin"
)

// upstreamsOfPages is a number of upstreams that fills several pages of the store.
const upstreamsOfPages = 20

// putUpstreams registers upstreams whose entries fill several pages. It returns the
// keys of one on the first page and one on the last.
func putUpstreams(s *standin.Store) (first, last string) {
	for n := range upstreamsOfPages {
		s.Put(fmt.Sprintf("servers/i-%02d", n), registration)
	}
	return "servers/i-00", fmt.Sprintf("servers/i-%02d", upstreamsOfPages-1)
}

// Guards against an instance that, after a restart, uses upstreams that have left,
// because the pages of its first read are of different ages: it would never read
// the changes between them.
func TestRestartedInstanceDoesNotUsePagesOfDifferentAges(t *testing.T) {
	for _, firstIsStale := range []bool{false, true} {
		s, c := startStore(t)
		putConfiguration(s, "3")
		first, last := putUpstreams(s)
		s.FreezeReplica(func(after string) bool { return (after == "") == firstIsStale })
		for _, key := range []string{first, last} {
			s.Delete(key)
		}
		f := startFollower(t, "i1", c)
		eventually(t, "ready", f.Ready)
		if n := upstreamCount(f); n != upstreamsOfPages-2 {
			t.Errorf("first page stale %t: %d upstreams, want %d", firstIsStale, n, upstreamsOfPages-2)
		}
	}
}

// Guards against an upstream that has left and returns into a running instance,
// because a page of a later read is older than what the instance knows.
func TestOlderPageDoesNotUndoChanges(t *testing.T) {
	for _, firstIsStale := range []bool{false, true} {
		s, c := startStore(t)
		putConfiguration(s, "3")
		first, last := putUpstreams(s)
		source := &refusingStore{Store: c}
		f := startFollower(t, "i1", source)
		eventually(t, "all upstreams", func() bool { return f.Ready() && upstreamCount(f) == upstreamsOfPages })
		s.FreezeReplica(func(after string) bool { return (after == "") == firstIsStale })
		for _, key := range []string{first, last} {
			s.Delete(key)
		}
		eventually(t, "removal", func() bool { return upstreamCount(f) == upstreamsOfPages-2 })
		source.refusing.Store(true)
		eventually(t, "refused calls", func() bool { return source.refusals.Load() > 2 })
		source.refusing.Store(false)
		putConfiguration(s, "4")
		eventually(t, "the next version", func() bool {
			if n := upstreamCount(f); n != upstreamsOfPages-2 {
				t.Fatalf("first page stale %t: %d upstreams, want %d", firstIsStale, n, upstreamsOfPages-2)
			}
			return configurationVersion(f) == 4
		})
	}
}

// mixedSource returns content whose parts are of different ages.
type mixedSource struct {
	catalog.Source
	polls atomic.Int64
}

func (s *mixedSource) Load(context.Context, bool) (catalog.Content, error) {
	return catalog.Content{Index: catalog.Position{Revision: 4}, Newest: catalog.Position{Revision: 6}}, nil
}

func (s *mixedSource) Changes(_ context.Context, after catalog.Position, _ time.Duration) ([]catalog.Change, catalog.Position, error) {
	s.polls.Add(1)
	return nil, after, nil
}

// Guards against a relay that undoes the newer part of content of different ages:
// its next changes may be older than that part. The store itself returns all
// changes since the oldest part at once.
func TestStoreIsPolledAfterContentOfDifferentAges(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	source := new(mixedSource)
	f := New(Config{Log: zap.NewNop(), Scope: tally.NoopScope, Jitter: func() float64 { return 0 }}, source)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			select {
			case <-f.events:
			case <-ctx.Done():
			}
		}
	}()
	defer func() {
		cancel()
		<-ended
	}()
	w := watch{f: f, allowStale: true}
	if err := w.step(ctx); err != nil || w.index.Revision != 4 {
		t.Fatalf("index %v, error %v", w.index, err)
	}
	f.relays.Store(&relays{others: []string{l.Addr().String()}})
	if err := w.step(ctx); err != nil || source.polls.Load() != 1 || w.relays != nil {
		t.Errorf("%d polls, relays tried %t, error %v; want one poll and no relay", source.polls.Load(), w.relays != nil, err)
	}
	// Content of one age, or a failed call, leaves the relay in use.
	w.mixed = true
	w.handleFailure(ctx, errNoResponse)
	if w.mixed {
		t.Error("the relay is not used after a failed call")
	}
}
