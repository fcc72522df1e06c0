package platform

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedreel/internal/audit"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/member"
	"knapweedreel/internal/standin/storeserver"
	"knapweedreel/internal/store"
)

// running is a Child at work, with a store that can fail.
type running struct {
	child   *Child
	control *fakeControl
	store   *faultyStore
	list    *awayList
	counter *store.Counter
	stop    func()
}

// awayList is a list of instances that can be away.
type awayList struct {
	*storeserver.Memory
	away atomic.Bool
}

func (l *awayList) Instances(ctx context.Context) ([]store.Instance, error) {
	if l.away.Load() {
		return nil, store.ErrUnavailable
	}
	return l.Memory.Instances(ctx)
}

func (l *awayList) Register(ctx context.Context, i store.Instance) error {
	if l.away.Load() {
		return store.ErrUnavailable
	}
	return l.Memory.Register(ctx, i)
}

func start(t *testing.T, m *storeserver.Memory, h *hub, name string, seed uint64, prepare ...func(*running)) *running {
	t.Helper()
	r := &running{control: newFakeControl(name, h), store: &faultyStore{Store: m}, counter: store.NewCounter(nil)}
	for _, p := range prepare {
		p(r)
	}
	self := store.Instance{ID: name, Address: "127.0.0.1:1", Region: "south", FailureDomain: "s1"}
	r.list = &awayList{Memory: m}
	r.child = New(Config{Self: self, Random: seeded(seed)}, r.control,
		r.counter.Store(r.store), r.counter.InstanceList(r.list), r.counter.Registrar(r.list))
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := r.child.Run(ctx); err != nil {
			t.Errorf("Run: %v", err)
		}
	})
	r.stop = func() { cancel(); wg.Wait() }
	t.Cleanup(r.stop)
	return r
}

// waitFor lets virtual time pass until the condition holds.
func waitFor(t *testing.T, what string, limit time.Duration, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !condition(); {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, limit)
		}
		<-time.After(10 * time.Millisecond)
	}
}

func put(t *testing.T, m *storeserver.Memory, expected uint64, id string) {
	t.Helper()
	p := NewPutter(PutterConfig{Instance: "elsewhere", Random: seeded(9)}, newFakeControl("elsewhere", newHub()), m)
	if r := p.Put(t.Context(), request(expected, "anna", id)); r.Outcome != Accepted {
		t.Fatal(r)
	}
}

// Guards against an instance that is ready before it has read the documents,
// or that gives up when the store is away at its start.
func TestStartReadsDocuments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := storeserver.NewMemory()
		put(t, m, 0, "c1")
		if _, err := m.Put(t.Context(), "documents/broken", []byte("{"), 0, ""); err != nil {
			t.Fatal(err)
		}
		r := start(t, m, newHub(), "i1", 1, func(r *running) {
			r.store.set(func(store.CallKind) fault { return faultRefused })
		})
		<-time.After(time.Minute)
		if r.control.readyCount() != 0 {
			t.Fatal("ready without documents")
		}
		r.store.set(nil)
		waitFor(t, "ready", 10*time.Second, func() bool { return r.control.readyCount() == 1 })
		if r.control.inForce(service).Revision != 1 {
			t.Error("document is not in force")
		}
	})
}

// Guards against a change in the store that does not come in force by the
// holder's watch.
func TestHolderWatchesDocuments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := storeserver.NewMemory()
		r := start(t, m, newHub(), "i1", 1)
		waitFor(t, "holder", 10*time.Second, r.control.isHolder)
		for i := range uint64(3) {
			put(t, m, i, fmt.Sprintf("c%d", i))
			waitFor(t, "in force", time.Second, func() bool { return r.control.inForce(service).Revision == i+1 })
		}
		before := r.counter.Counts()[store.CallWatch].Calls
		<-time.After(time.Minute)
		if n := r.counter.Counts()[store.CallWatch].Calls - before; n > 5 {
			t.Errorf("%d watches in a minute without changes", n)
		}
		m.SetStale(true)
		put2 := NewPutter(PutterConfig{Random: seeded(3)}, r.control, m)
		if got := put2.Put(t.Context(), request(3, "anna", "c3")); got.Outcome != Accepted {
			t.Fatal(got)
		}
		<-time.After(time.Minute)
		if got := r.control.inForce(service).Revision; got != 4 {
			t.Errorf("stale data brought back revision %d", got)
		}
	})
}

// Guards against two holders at a time, against a fleet in which all instances
// call the store for the lease, and against a lost holder that nobody replaces
// within the lease's time and jitter.
func TestOneHolderAndItsReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, h := storeserver.NewMemory(), newHub()
		var all []*running
		for i := range 8 {
			all = append(all, start(t, m, h, fmt.Sprintf("i%d", i), uint64(i+1)))
		}
		holder := func() *running {
			for _, r := range all {
				if r.control.isHolder() {
					return r
				}
			}
			return nil
		}
		waitFor(t, "first holder", 10*time.Second, func() bool { return holder() != nil })
		first := holder()
		<-time.After(5 * time.Minute)
		if holder() != first || first.control.lostCount() != 0 {
			t.Error("the lease changed hands without cause")
		}
		var tries uint64
		for _, r := range all {
			tries += r.counter.Counts()[store.CallAcquireLease].Calls
		}
		if tries > 2 {
			t.Errorf("%d tries to acquire the lease", tries)
		}
		first.store.set(func(store.CallKind) fault { return faultRefused }) // cut off from the store
		waitFor(t, "second holder", DefaultLeaseTTL+leaseJitter+DefaultLeaseTTL+2*time.Second, func() bool {
			r := holder()
			return r != nil && r != first
		})
		if n := h.mostHolders(); n != 1 {
			t.Errorf("%d holders at a time", n)
		}
	})
}

// Guards against a holder that acts after it was paused for longer than the
// lease's time.
func TestPausedHolderDoesNotAct(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, h := storeserver.NewMemory(), newHub()
		r := start(t, m, h, "i1", 1)
		waitFor(t, "holder", 10*time.Second, r.control.isHolder)
		held := r.child.holding.Load()
		<-time.After(3 * time.Second) // the first audit write is over
		resume := make(chan struct{})
		r.store.mu.Lock()
		r.store.block = func() { <-resume }
		r.store.mu.Unlock()
		r.control.records <- audit.Record{Subject: "u1", Action: "ejected"}
		<-time.After(2 * DefaultLeaseTTL)
		if r.child.held() != nil {
			t.Error("the lease counts as held after its time")
		}
		l, err := m.AcquireLease(t.Context(), leaseKey(0), "i2", time.Hour)
		if err != nil || l.Fence <= held.lease.Fence {
			t.Fatalf("successor: %v, %v", l, err)
		}
		before := ring(t, m)
		r.store.mu.Lock()
		r.store.block = nil
		r.store.mu.Unlock()
		close(resume)
		waitFor(t, "end of the holding", 10*time.Second, func() bool { return !r.control.isHolder() })
		<-time.After(time.Minute)
		if diff := cmp.Diff(before, ring(t, m)); diff != "" {
			t.Errorf("the paused holder wrote: %s", diff)
		}
		if r.control.isHolder() {
			t.Error("holder beside its successor")
		}
	})
}

func ring(t *testing.T, m *storeserver.Memory) []audit.Record {
	t.Helper()
	records, err := audit.Read(t.Context(), m, 0)
	if err != nil {
		t.Fatal(err)
	}
	return records
}

// Guards against audit records that are lost or doubled while the store is away
// or loses answers.
func TestAuditSurvivesOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := storeserver.NewMemory()
		r := start(t, m, newHub(), "i1", 1)
		waitFor(t, "holder", 10*time.Second, r.control.isHolder)
		faults := []fault{faultLostAfter, faultLostBefore, faultLate}
		r.store.set(script(faults...))
		const records = 40
		for i := range records {
			r.control.records <- audit.Record{Kind: audit.KindUpstream, Subject: fmt.Sprintf("u%d", i), Action: "ejected"}
			switch i {
			case records / 2:
				<-time.After(20 * time.Second)
				r.store.set(func(store.CallKind) fault { return faultRefused })
			case records * 3 / 4:
				<-time.After(time.Minute) // the lease ends with records in hand
			}
		}
		r.store.set(nil)
		subjects := func() (s []string) {
			for _, a := range ring(t, m) {
				if a.Kind == audit.KindUpstream {
					s = append(s, a.Subject)
				}
			}
			return s
		}
		waitFor(t, "all records", time.Minute, func() bool { return len(subjects()) >= records })
		<-time.After(time.Minute)
		for i, s := range subjects() {
			if s != fmt.Sprintf("u%d", i) {
				t.Fatalf("records %v", subjects())
			}
		}
	})
}

// Guards against polls by all instances each second, and against a list that
// does not show this instance or its leaving, or shows an old entry for good.
func TestListAndRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, h := storeserver.NewMemory(), newHub()
		a := start(t, m, h, "i1", 1)
		b := start(t, m, h, "i2", 2, func(r *running) { r.control.members = 1500 })
		waitFor(t, "both listed", 20*time.Second, func() bool { return len(a.control.lastList()) == 2 && len(b.control.lastList()) == 2 })
		waitFor(t, "holder", 20*time.Second, func() bool { return a.control.isHolder() || b.control.isHolder() })
		holder, other := a, b
		if b.control.isHolder() {
			holder, other = b, a
		}
		calls := func(r *running) uint64 { return r.counter.Counts()[store.CallInstances].Calls }
		holderBefore, otherBefore := calls(holder), calls(other)
		<-time.After(2 * time.Minute)
		if n := calls(holder) - holderBefore; n < 110 || n > 135 {
			t.Errorf("the holder polled %d times in 120 s", n)
		}
		want := uint64(120 * time.Second / other.child.pollInterval())
		if n := calls(other) - otherBefore; n < want-3 || n > want {
			t.Errorf("the other polled %d times in 120 s, want about %d", n, want)
		}
		other.list.away.Store(true)
		otherBefore = calls(other)
		<-time.After(10 * time.Minute)
		want = uint64(10 * time.Minute / other.child.pollInterval())
		if n := calls(other) - otherBefore; n > want+6 {
			t.Errorf("the other polled %d times in 10 minutes without the list", n)
		}
		other.list.away.Store(false)
		a.child.Leave()
		waitFor(t, "leaving listed", 2*time.Second, func() bool {
			is, _ := m.Instances(t.Context())
			return is[0].ID == "i1" && is[0].State == store.StateLeaving
		})
		if n := a.counter.Counts()[store.CallRegister].Calls; n != 2 {
			t.Errorf("%d registrations", n)
		}
		if err := m.Register(t.Context(), store.Instance{ID: "i1", State: store.StateLive}); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "registered again", time.Minute, func() bool {
			is, _ := m.Instances(t.Context())
			return is[0].State == store.StateLeaving
		})
	})
}

// Guards against a stop that leaves the shard without a holder for the rest of
// the lease's time.
func TestStopReleasesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := storeserver.NewMemory()
		r := start(t, m, newHub(), "i1", 1)
		waitFor(t, "holder", 10*time.Second, r.control.isHolder)
		r.stop()
		if r.control.isHolder() {
			t.Error("holder after the stop")
		}
		if _, err := m.AcquireLease(t.Context(), leaseKey(0), "i2", time.Second); err != nil {
			t.Error(err)
		}
		if got := r.child.held(); got != nil {
			t.Error("lease counts as held after the stop")
		}
	})
}

// Guards against a lease for the shard that an instance was in before the fleet
// grew, and against a leaving instance that takes a lease.
func TestLeaseFollowsShardAndState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const name = "i1"
		m, h := storeserver.NewMemory(), newHub()
		r := start(t, m, h, name, 1)
		waitFor(t, "holder", 10*time.Second, r.control.isHolder)
		r.control.mu.Lock()
		r.control.shards = 64
		r.control.mu.Unlock()
		shard := member.ShardOf(name, 64)
		waitFor(t, "holder of the new shard", time.Minute, func() bool {
			held := r.child.held()
			return held != nil && held.shard == shard
		})
		if _, err := m.AcquireLease(t.Context(), leaseKey(0), "i2", time.Second); err != nil {
			t.Errorf("lease of the old shard: %v", err)
		}
		leaving := start(t, m, newHub(), "i2", 2, func(r *running) { r.control.shards = 2 })
		leaving.child.Leave()
		<-time.After(time.Minute)
		if leaving.control.isHolder() {
			t.Error("a leaving instance took the lease")
		}
	})
}

// Guards against a put that is accepted but not shown by ChangeResult while the
// store cannot be read: the result must stay unknown, not refused.
func TestChangeResultWithoutStore(t *testing.T) {
	b := newBench()
	b.store.set(func(store.CallKind) fault { return faultRefused })
	if got := b.putter.ChangeResult(t.Context(), service, "c1"); got.Outcome != Unknown || got.Kind != errkind.StoreUnavailable {
		t.Errorf("ChangeResult = %+v", got)
	}
}
