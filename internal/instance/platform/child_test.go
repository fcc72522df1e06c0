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

// runningChild is a running Child with a store and an instance list that can fail.
type runningChild struct {
	child   *Child
	control *fakeControl
	store   *faultyStore
	list    *unreliableList
	counter *store.Counter
	stop    func()
}

// unreliableList is an instance list that can be made unavailable.
type unreliableList struct {
	*storeserver.Memory
	unavailable atomic.Bool
}

func (l *unreliableList) Instances(ctx context.Context) ([]store.Instance, error) {
	if l.unavailable.Load() {
		return nil, store.ErrUnavailable
	}
	return l.Memory.Instances(ctx)
}

func (l *unreliableList) Register(ctx context.Context, i store.Instance) error {
	if l.unavailable.Load() {
		return store.ErrUnavailable
	}
	return l.Memory.Register(ctx, i)
}

func startChild(t *testing.T, m *storeserver.Memory, announced *announcements, name string, seed uint64, prepare ...func(*runningChild)) *runningChild {
	t.Helper()
	r := &runningChild{control: newFakeControl(name, announced), store: &faultyStore{Store: m}, counter: store.NewCounter(nil)}
	for _, p := range prepare {
		p(r)
	}
	self := store.Instance{ID: name, Address: "127.0.0.1:1", Region: "south", FailureDomain: "s1"}
	r.list = &unreliableList{Memory: m}
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

// eventually lets virtual time pass until cond holds.
func eventually(t *testing.T, what string, limit time.Duration, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !cond(); {
		if time.Now().After(end) {
			t.Fatalf("%s: not reached within %v", what, limit)
		}
		<-time.After(10 * time.Millisecond)
	}
}

func put(t *testing.T, m *storeserver.Memory, expected uint64, id string) {
	t.Helper()
	p := NewPutter(PutterConfig{Instance: "elsewhere", Random: seeded(9)}, newFakeControl("elsewhere", newAnnouncements()), m)
	if r := p.Put(t.Context(), request(expected, "anna", id)); r.Outcome != Accepted {
		t.Fatal(r)
	}
}

// Guards against an instance that is ready before it has read the documents, or
// that gives up if the store is unavailable when it starts.
func TestStartReadsDocuments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := storeserver.NewMemory()
		put(t, m, 0, "c1")
		if _, err := m.Put(t.Context(), "documents/broken", []byte("{"), 0, ""); err != nil {
			t.Fatal(err)
		}
		r := startChild(t, m, newAnnouncements(), "i1", 1, func(r *runningChild) {
			r.store.setFaults(func(store.CallKind) fault { return faultUnavailable })
		})
		<-time.After(time.Minute)
		if r.control.readyCount() != 0 {
			t.Fatal("ready without documents")
		}
		r.store.setFaults(nil)
		eventually(t, "ready", 10*time.Second, func() bool { return r.control.readyCount() == 1 })
		if r.control.appliedEnvelope(service).Revision != 1 {
			t.Error("document is not applied")
		}
	})
}

// Guards against a lease holder whose watch misses changes in the store, polls
// without changes, or applies stale data.
func TestHolderWatchesDocuments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := storeserver.NewMemory()
		r := startChild(t, m, newAnnouncements(), "i1", 1)
		eventually(t, "holder", 10*time.Second, r.control.isHolder)
		for i := range uint64(3) {
			put(t, m, i, fmt.Sprintf("c%d", i))
			eventually(t, "applied revision", time.Second, func() bool { return r.control.appliedEnvelope(service).Revision == i+1 })
		}
		before := r.counter.Counts()[store.CallWatch].Calls
		<-time.After(time.Minute)
		if n := r.counter.Counts()[store.CallWatch].Calls - before; n > 5 {
			t.Errorf("%d watches in a minute without changes", n)
		}
		m.SetStale(true)
		putter := NewPutter(PutterConfig{Random: seeded(3)}, r.control, m)
		if got := putter.Put(t.Context(), request(3, "anna", "c3")); got.Outcome != Accepted {
			t.Fatal(got)
		}
		<-time.After(time.Minute)
		if got := r.control.appliedEnvelope(service).Revision; got != 4 {
			t.Errorf("revision %d applied after stale data, want 4", got)
		}
	})
}

// Guards against two lease holders at a time, against a fleet in which all
// instances call the store for the lease, and against a lost holder that is not
// replaced within the lease's TTL and jitter.
func TestOneHolderAndItsReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, announced := storeserver.NewMemory(), newAnnouncements()
		var all []*runningChild
		for i := range 8 {
			all = append(all, startChild(t, m, announced, fmt.Sprintf("i%d", i), uint64(i+1)))
		}
		holder := func() *runningChild {
			for _, r := range all {
				if r.control.isHolder() {
					return r
				}
			}
			return nil
		}
		eventually(t, "first holder", 10*time.Second, func() bool { return holder() != nil })
		first := holder()
		<-time.After(5 * time.Minute)
		if holder() != first || first.control.leaseEndCount() != 0 {
			t.Error("the lease moved to another holder without a fault")
		}
		var attempts uint64
		for _, r := range all {
			attempts += r.counter.Counts()[store.CallAcquireLease].Calls
		}
		if attempts > 2 {
			t.Errorf("%d attempts to acquire the lease", attempts)
		}
		first.store.setFaults(func(store.CallKind) fault { return faultUnavailable }) // disconnected from the store
		eventually(t, "second holder", DefaultLeaseTTL+leaseJitter+DefaultLeaseTTL+2*time.Second, func() bool {
			r := holder()
			return r != nil && r != first
		})
		if n := announced.maxHolderCount(); n != 1 {
			t.Errorf("%d holders at a time", n)
		}
	})
}

// Guards against a holder that writes to the store after a pause longer than the
// lease's TTL.
func TestPausedHolderDoesNotWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, announced := storeserver.NewMemory(), newAnnouncements()
		r := startChild(t, m, announced, "i1", 1)
		eventually(t, "holder", 10*time.Second, r.control.isHolder)
		held := r.child.heldLease.Load()
		<-time.After(3 * time.Second) // the first audit write has finished
		resume := make(chan struct{})
		r.store.mu.Lock()
		r.store.block = func() { <-resume }
		r.store.mu.Unlock()
		r.control.records <- audit.Record{Subject: "u1", Action: "ejected"}
		<-time.After(2 * DefaultLeaseTTL)
		if r.child.usableLease() != nil {
			t.Error("the lease counts as held after its TTL")
		}
		l, err := m.AcquireLease(t.Context(), leaseKey(0), "i2", time.Hour)
		if err != nil || l.Fence <= held.lease.Fence {
			t.Fatalf("successor: %v, %v", l, err)
		}
		before := auditTrail(t, m)
		r.store.mu.Lock()
		r.store.block = nil
		r.store.mu.Unlock()
		close(resume)
		eventually(t, "end of the lease", 10*time.Second, func() bool { return !r.control.isHolder() })
		<-time.After(time.Minute)
		if diff := cmp.Diff(before, auditTrail(t, m)); diff != "" {
			t.Errorf("the paused holder wrote: %s", diff)
		}
		if r.control.isHolder() {
			t.Error("the paused holder and its successor both hold the lease")
		}
	})
}

func auditTrail(t *testing.T, m *storeserver.Memory) []audit.Record {
	t.Helper()
	records, err := audit.Read(t.Context(), m, 0)
	if err != nil {
		t.Fatal(err)
	}
	return records
}

// Guards against audit records that are lost or duplicated while the store is
// unavailable or loses responses.
func TestAuditSurvivesOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := storeserver.NewMemory()
		r := startChild(t, m, newAnnouncements(), "i1", 1)
		eventually(t, "holder", 10*time.Second, r.control.isHolder)
		faults := []fault{faultResponseLost, faultRequestLost, faultLate}
		r.store.setFaults(writeFaults(faults...))
		const records = 40
		for i := range records {
			r.control.records <- audit.Record{Kind: audit.KindUpstream, Subject: fmt.Sprintf("u%d", i), Action: "ejected"}
			switch i {
			case records / 2:
				<-time.After(20 * time.Second)
				r.store.setFaults(func(store.CallKind) fault { return faultUnavailable })
			case records * 3 / 4:
				<-time.After(time.Minute) // the lease expires while records are waiting
			}
		}
		r.store.setFaults(nil)
		subjects := func() (s []string) {
			for _, a := range auditTrail(t, m) {
				if a.Kind == audit.KindUpstream {
					s = append(s, a.Subject)
				}
			}
			return s
		}
		eventually(t, "all records", time.Minute, func() bool { return len(subjects()) >= records })
		<-time.After(time.Minute)
		for i, s := range subjects() {
			if s != fmt.Sprintf("u%d", i) {
				t.Fatalf("got records %v", subjects())
			}
		}
	})
}

// Guards against polls of the instance list by all instances every second, and
// against an instance whose entry in the list is missing or stays outdated.
func TestListAndRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, announced := storeserver.NewMemory(), newAnnouncements()
		a := startChild(t, m, announced, "i1", 1)
		b := startChild(t, m, announced, "i2", 2, func(r *runningChild) { r.control.members = 1500 })
		eventually(t, "list of both instances", 20*time.Second, func() bool { return len(a.control.lastList()) == 2 && len(b.control.lastList()) == 2 })
		eventually(t, "holder", 20*time.Second, func() bool { return a.control.isHolder() || b.control.isHolder() })
		holder, other := a, b
		if b.control.isHolder() {
			holder, other = b, a
		}
		calls := func(r *runningChild) uint64 { return r.counter.Counts()[store.CallInstances].Calls }
		holderBefore, otherBefore := calls(holder), calls(other)
		<-time.After(2 * time.Minute)
		if n := calls(holder) - holderBefore; n < 110 || n > 135 {
			t.Errorf("the holder polled %d times in 120 s", n)
		}
		want := uint64(120 * time.Second / other.child.pollInterval())
		if n := calls(other) - otherBefore; n < want-3 || n > want {
			t.Errorf("the other instance polled %d times in 120 s, want about %d", n, want)
		}
		other.list.unavailable.Store(true)
		otherBefore = calls(other)
		<-time.After(10 * time.Minute)
		want = uint64(10 * time.Minute / other.child.pollInterval())
		if n := calls(other) - otherBefore; n > want+6 {
			t.Errorf("the other instance polled %d times in 10 minutes while the list was unavailable", n)
		}
		other.list.unavailable.Store(false)
		a.child.Leave()
		eventually(t, "listed state leaving", 2*time.Second, func() bool {
			is, _ := m.Instances(t.Context())
			return is[0].ID == "i1" && is[0].State == store.StateLeaving
		})
		if n := a.counter.Counts()[store.CallRegister].Calls; n != 2 {
			t.Errorf("%d registrations", n)
		}
		if err := m.Register(t.Context(), store.Instance{ID: "i1", State: store.StateLive}); err != nil {
			t.Fatal(err)
		}
		eventually(t, "repeated registration", time.Minute, func() bool {
			is, _ := m.Instances(t.Context())
			return is[0].State == store.StateLeaving
		})
	})
}

// Guards against a stop that leaves the shard without a holder until the lease
// expires.
func TestStopReleasesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := storeserver.NewMemory()
		r := startChild(t, m, newAnnouncements(), "i1", 1)
		eventually(t, "holder", 10*time.Second, r.control.isHolder)
		r.stop()
		if r.control.isHolder() {
			t.Error("holder after the stop")
		}
		if _, err := m.AcquireLease(t.Context(), leaseKey(0), "i2", time.Second); err != nil {
			t.Error(err)
		}
		if got := r.child.usableLease(); got != nil {
			t.Error("lease counts as held after the stop")
		}
	})
}

// Guards against an instance that keeps the lease of its old shard when the number
// of shards changes, and against a leaving instance that acquires a lease.
func TestLeaseFollowsShardAndState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const name = "i1"
		m, announced := storeserver.NewMemory(), newAnnouncements()
		r := startChild(t, m, announced, name, 1)
		eventually(t, "holder", 10*time.Second, r.control.isHolder)
		r.control.mu.Lock()
		r.control.shards = 64
		r.control.mu.Unlock()
		shard := member.ShardOf(name, 64)
		eventually(t, "holder of the new shard", time.Minute, func() bool {
			held := r.child.usableLease()
			return held != nil && held.shard == shard
		})
		if _, err := m.AcquireLease(t.Context(), leaseKey(0), "i2", time.Second); err != nil {
			t.Errorf("lease of the old shard: %v", err)
		}
		leaving := startChild(t, m, newAnnouncements(), "i2", 2, func(r *runningChild) { r.control.shards = 2 })
		leaving.child.Leave()
		<-time.After(time.Minute)
		if leaving.control.isHolder() {
			t.Error("a leaving instance acquired the lease")
		}
	})
}

// Guards against a definite result from ChangeResult while the store cannot be
// read: an accepted put would be reported as not accepted.
func TestChangeResultWithoutStore(t *testing.T) {
	h := newPutterHarness()
	h.store.setFaults(func(store.CallKind) fault { return faultUnavailable })
	if got := h.putter.ChangeResult(t.Context(), service, "c1"); got.Outcome != Unknown || got.Kind != errkind.StoreUnavailable {
		t.Errorf("ChangeResult = %+v", got)
	}
}
