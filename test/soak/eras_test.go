package soak

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"knapweedreel/platform/standin"
)

// returnFromCopy makes the store unavailable for a moment and lets it come back, in
// another era, from a copy made before. After a delay, operators and upstreams write
// again what they have written.
func (f *fleet) returnFromCopy(ctx context.Context, saved standin.Copy, outage, delay time.Duration) {
	if outage > 0 {
		f.store.SetFault(standin.ServiceUnavailable)
		wait(ctx, outage)
	}
	f.store.ReturnFrom(saved)
	f.store.SetFault(standin.NoFault)
	wait(ctx, delay)
	f.putConfiguration(0)
	for _, u := range f.allUpstreams() {
		u.Register()
	}
}

// allUpstreams returns the upstreams, including those that have left.
func (f *fleet) allUpstreams() []*proxiedUpstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*proxiedUpstream(nil), f.upstreams...)
}

// injectReturns makes the store come back from copies some seconds old until ctx
// ends. It has its own random source, so that the other faults of a seed stay the
// same.
func (f *fleet) injectReturns(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 4))
	for ctx.Err() == nil {
		age := time.Duration(500+rng.IntN(2500)) * time.Millisecond
		outage := time.Duration(rng.IntN(600)) * time.Millisecond
		delay := time.Duration(rng.IntN(1000)) * time.Millisecond
		saved := f.store.Copy()
		wait(ctx, age)
		f.logEvent("the store comes back from a copy %v old, after %v", age, outage)
		f.returnFromCopy(ctx, saved, outage, delay)
		wait(ctx, time.Duration(rng.ExpFloat64()*float64(2*time.Second)))
	}
}

// Guards against refused requests, because upstreams are missing until they have
// written their entries again, against a denied request, a configuration that goes back, an
// instance that doesn't register again, and a later configuration that is missed,
// after the store has come back from a copy that is older than the configuration, an
// upstream and the members.
func TestStoreReturnsFromCopy(t *testing.T) {
	f := newFleet(t, 11)
	saved := f.store.Copy()
	for _, i := range f.instances {
		f.eventually("ready after the start: "+i.name, i.isReady)
	}
	f.eventually("members registered", func() bool { return len(f.store.Keys("fleet/members/")) == instanceCount })
	f.moveRoute("/write/", "orders-new")
	c, stop := startCallers(t, f, 11)
	f.waitRecovered(c)
	const delay = time.Second
	returned := time.Now()
	f.returnFromCopy(t.Context(), saved, 0, delay)
	f.eventually("members registered again", func() bool { return len(f.store.Keys("fleet/members/")) == instanceCount })
	wait(t.Context(), stableTime)
	f.checkConfiguration()
	f.checkLeaving()
	stop()
	f.checkOutcomes(c.outcomes)
	failed, all := 0, 0
	for n := range c.outcomes {
		o := &c.outcomes[n]
		if o.startedAt.Before(returned) || o.startedAt.After(returned.Add(delay)) {
			continue
		}
		if all++; !o.served() {
			failed++
		}
	}
	t.Logf("%d of %d requests in the %v after the return were not served", failed, all, delay)
	if all == 0 || float64(failed) > (1-recoveryShare)*float64(all) {
		t.Errorf("%d of %d requests in the %v after the return were not served", failed, all, delay)
	}
}
