package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"knapweedreel/internal/standin/faultproxy"
	"knapweedreel/platform/standin"
)

// grace is the time that a stopped process has to end.
const grace = 6 * time.Second

// faults plays random faults, several at a time, until ctx ends.
func (w *world) faults(ctx context.Context) {
	var wg sync.WaitGroup
	for ctx.Err() == nil {
		play, length := w.pick(), time.Duration(200+w.rand.IntN(1800))*time.Millisecond
		wg.Go(func() { play(ctx, length) })
		wait(ctx, time.Duration(w.rand.ExpFloat64()*float64(500*time.Millisecond)))
	}
	wg.Wait()
	w.store.SetFault(standin.NoFault)
}

// pick draws a fault with all that it needs, so that the random source is used
// by one goroutine only.
func (w *world) pick() func(context.Context, time.Duration) {
	i := w.instances[w.rand.IntN(len(w.instances))]
	active := w.active()
	u := active[w.rand.IntN(len(active))]
	switch w.rand.IntN(12) {
	case 0:
		return func(context.Context, time.Duration) { w.stop(i, syscall.SIGTERM) }
	case 1:
		return func(context.Context, time.Duration) { w.stop(i, syscall.SIGKILL) }
	case 2:
		return func(ctx context.Context, d time.Duration) {
			w.note("%s is paused for %v", i.name, d)
			i.signal(syscall.SIGSTOP)
			wait(ctx, d)
			i.signal(syscall.SIGCONT)
		}
	case 3:
		return func(context.Context, time.Duration) {
			w.note("%s gets SIGHUP", i.name)
			i.signal(syscall.SIGHUP)
		}
	case 4:
		f := []standin.Fault{standin.ServiceUnavailable, standin.TooManyRequests, standin.Reset, standin.Silent, standin.LoseResponses}[w.rand.IntN(5)]
		lapse := w.rand.IntN(3) == 0
		return func(ctx context.Context, d time.Duration) {
			w.note("the store has fault %d for %v, leases lapse: %t", f, d, lapse)
			w.store.SetFault(f)
			if lapse {
				w.store.ExpireLeases()
			}
			wait(ctx, d)
			w.store.SetFault(standin.NoFault)
		}
	case 5:
		return func(context.Context, time.Duration) {
			w.note("the store drops its history")
			w.store.Compact()
		}
	case 6:
		step := 1 + w.rand.IntN(3)
		return func(context.Context, time.Duration) {
			w.note("a new version of the configuration")
			w.configure(step)
		}
	case 7:
		return func(context.Context, time.Duration) { w.replace(u) }
	case 8:
		share := 0.25 + 0.75*w.rand.Float64()
		return func(ctx context.Context, d time.Duration) {
			w.note("%s hangs for %v", u.ID, d)
			u.SetHang(share)
			wait(ctx, d)
			u.SetHang(0)
		}
	case 9:
		return func(ctx context.Context, d time.Duration) {
			w.note("%s spoils its answers for %v", u.ID, d)
			u.SetAbnormalResponses(true)
			wait(ctx, d)
			u.SetAbnormalResponses(false)
		}
	case 10:
		c := w.pathFault()
		return func(ctx context.Context, d time.Duration) { w.path(ctx, u.ID, u.proxy, c, d) }
	}
	c := w.pathFault()
	return func(ctx context.Context, d time.Duration) { w.path(ctx, "store of "+i.name, i.store, c, d) }
}

// pathFault draws a fault of a path.
func (w *world) pathFault() faultproxy.Control {
	return []faultproxy.Control{
		{DelayMS: 50 + w.rand.IntN(300)}, {CutToTarget: true}, {CutToClient: true}, {CutToTarget: true, CutToClient: true},
		{SilentExisting: true}, {ResetOnAccept: true}, {Refuse: true}, {DuplicateAnswers: true},
		{ResetAfterAnswerBytes: 100 + w.rand.IntN(400)}, {ResetAfterRequestBytes: 200 + w.rand.IntN(400)},
	}[w.rand.IntN(10)]
}

func (w *world) path(ctx context.Context, name string, p *faultproxy.Proxy, c faultproxy.Control, d time.Duration) {
	w.note("path to %s for %v: %+v", name, d, c)
	if err := p.SetControl(c); err != nil {
		w.t.Error(err)
	}
	wait(ctx, d)
	if err := p.SetControl(faultproxy.Control{}); err != nil {
		w.t.Error(err)
	}
}

// stop ends a process with a signal and starts it again. A planned stop must end
// within the grace, unless the process was paused or killed meanwhile.
func (w *world) stop(i *instance, s syscall.Signal) {
	w.note("%s gets %v", i.name, s)
	end := i.ended()
	i.signal(s)
	limit := time.NewTimer(grace)
	defer limit.Stop()
	select {
	case <-end:
	case <-limit.C:
		w.note("%s is killed at the end of the grace", i.name)
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		<-end
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-i.ended():
		i.start(w)
	default: // another fault has started it
	}
}

// replace adds an upstream and lets the old one leave.
func (w *world) replace(u *target) {
	w.mu.Lock()
	old := u.leaving
	u.leaving = true
	w.mu.Unlock()
	if old {
		return
	}
	w.note("%s leaves", u.ID)
	w.addUpstream(u.Service)
	u.Drain()
}
