package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"knapweedreel/internal/standin/faultproxy"
	"knapweedreel/platform/standin"
)

// gracePeriod is the time within which a signaled process must exit.
const gracePeriod = 6 * time.Second

// injectFaults injects random faults, which may overlap, until ctx ends.
func (f *fleet) injectFaults(ctx context.Context) {
	var wg sync.WaitGroup
	for ctx.Err() == nil {
		inject, duration := f.randomFault(), time.Duration(200+f.rng.IntN(1800))*time.Millisecond
		wg.Go(func() { inject(ctx, duration) })
		wait(ctx, time.Duration(f.rng.ExpFloat64()*float64(500*time.Millisecond)))
	}
	wg.Wait()
	f.store.SetFault(standin.NoFault)
}

// randomFault returns a function that injects a random fault. It draws all random
// values itself, so that only one goroutine uses the random source.
func (f *fleet) randomFault() func(context.Context, time.Duration) {
	i := f.instances[f.rng.IntN(len(f.instances))]
	active := f.active()
	u := active[f.rng.IntN(len(active))]
	switch f.rng.IntN(12) {
	case 0:
		return func(context.Context, time.Duration) { f.restart(i, syscall.SIGTERM) }
	case 1:
		return func(context.Context, time.Duration) { f.restart(i, syscall.SIGKILL) }
	case 2:
		return func(ctx context.Context, d time.Duration) {
			f.logEvent("%s is paused for %v", i.name, d)
			i.signal(syscall.SIGSTOP)
			wait(ctx, d)
			i.signal(syscall.SIGCONT)
		}
	case 3:
		return func(context.Context, time.Duration) {
			f.logEvent("%s gets SIGHUP", i.name)
			i.signal(syscall.SIGHUP)
		}
	case 4:
		storeFault := []standin.Fault{standin.ServiceUnavailable, standin.TooManyRequests, standin.Reset, standin.Silent, standin.LoseResponses}[f.rng.IntN(5)]
		expireLeases := f.rng.IntN(3) == 0
		return func(ctx context.Context, d time.Duration) {
			f.logEvent("store fault %d for %v, leases expire: %t", storeFault, d, expireLeases)
			f.store.SetFault(storeFault)
			if expireLeases {
				f.store.ExpireLeases()
			}
			wait(ctx, d)
			f.store.SetFault(standin.NoFault)
		}
	case 5:
		return func(context.Context, time.Duration) {
			f.logEvent("the store compacts its history")
			f.store.Compact()
		}
	case 6:
		step := 1 + f.rng.IntN(3)
		return func(context.Context, time.Duration) {
			f.logEvent("a new version of the configuration is written")
			f.putConfiguration(step)
		}
	case 7:
		return func(context.Context, time.Duration) { f.replace(u) }
	case 8:
		share := 0.25 + 0.75*f.rng.Float64()
		return func(ctx context.Context, d time.Duration) {
			f.logEvent("%s hangs for %v", u.ID, d)
			u.SetHang(share)
			wait(ctx, d)
			u.SetHang(0)
		}
	case 9:
		return func(ctx context.Context, d time.Duration) {
			f.logEvent("%s sends malformed responses for %v", u.ID, d)
			u.SetAbnormalResponses(true)
			wait(ctx, d)
			u.SetAbnormalResponses(false)
		}
	case 10:
		c := f.randomPathFault()
		return func(ctx context.Context, d time.Duration) { f.injectPathFault(ctx, u.ID, u.proxy, c, d) }
	}
	c := f.randomPathFault()
	return func(ctx context.Context, d time.Duration) {
		f.injectPathFault(ctx, "store from "+i.name, i.storeProxy, c, d)
	}
}

// randomPathFault returns a random fault of a network path.
func (f *fleet) randomPathFault() faultproxy.Control {
	return []faultproxy.Control{
		{DelayMS: 50 + f.rng.IntN(300)}, {CutToTarget: true}, {CutToClient: true}, {CutToTarget: true, CutToClient: true},
		{SilentExisting: true}, {ResetOnAccept: true}, {Refuse: true}, {DuplicateAnswers: true},
		{ResetAfterAnswerBytes: 100 + f.rng.IntN(400)}, {ResetAfterRequestBytes: 200 + f.rng.IntN(400)},
	}[f.rng.IntN(10)]
}

func (f *fleet) injectPathFault(ctx context.Context, name string, p *faultproxy.Proxy, c faultproxy.Control, d time.Duration) {
	f.logEvent("path to %s has a fault for %v: %+v", name, d, c)
	if err := p.SetControl(c); err != nil {
		f.t.Error(err)
	}
	wait(ctx, d)
	if err := p.SetControl(faultproxy.Control{}); err != nil {
		f.t.Error(err)
	}
}

// restart sends a signal to a process and starts it again once it has exited. A
// process that has not exited after the grace period, for example because another
// fault paused it, is killed.
func (f *fleet) restart(i *instance, s syscall.Signal) {
	f.logEvent("%s gets %v", i.name, s)
	done := i.done()
	i.signal(s)
	limit := time.NewTimer(gracePeriod)
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
		f.logEvent("%s is killed after the grace period", i.name)
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		<-done
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-i.done():
		i.start(f)
	default: // another fault has restarted it
	}
}

// replace starts a new upstream and then drains the old one.
func (f *fleet) replace(u *proxiedUpstream) {
	f.mu.Lock()
	wasLeaving := u.leaving
	u.leaving = true
	f.mu.Unlock()
	if wasLeaving {
		return
	}
	f.logEvent("%s leaves", u.ID)
	f.addUpstream(u.Service)
	u.Drain()
}
