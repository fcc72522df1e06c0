package store_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedreel/internal/standin/storeserver"
	"knapweedreel/internal/store"
)

// Guards against calls that are not counted, or counted as another kind.
func TestCounterCountsByKind(t *testing.T) {
	ctx := t.Context()
	m := storeserver.NewMemory()
	counter := store.NewCounter(nil)
	s := counter.Store(m)
	_, _ = s.Get(ctx, "k")
	_, _ = s.Put(ctx, "k", nil, 0, "")
	_, _ = s.Put(ctx, "k", nil, 0, "") // conflict
	_, _ = s.List(ctx, "")
	_, _, _ = s.Watch(ctx, "", 0)
	l, _ := s.AcquireLease(ctx, "l", "a", time.Minute)
	_, _ = s.AcquireLease(ctx, "l", "b", time.Minute) // held
	_, _ = s.RenewLease(ctx, l)
	_ = s.ReleaseLease(ctx, l)
	_ = counter.Registrar(m).Register(ctx, store.Instance{ID: "i"})
	_, _ = counter.InstanceList(m).Instances(ctx)
	want := map[store.CallKind]store.CallCount{
		store.CallGet: {Calls: 1}, store.CallPut: {Calls: 2, Refused: 1}, store.CallList: {Calls: 1},
		store.CallWatch: {Calls: 1}, store.CallAcquireLease: {Calls: 2, Refused: 1},
		store.CallRenewLease: {Calls: 1}, store.CallReleaseLease: {Calls: 1},
		store.CallRegister: {Calls: 1}, store.CallInstances: {Calls: 1},
	}
	if diff := cmp.Diff(want, counter.Counts()); diff != "" {
		t.Error(diff)
	}
}
