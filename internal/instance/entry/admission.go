package entry

import (
	"context"
	"time"

	"knapweedreel/internal/document"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/routing"
)

// recheckInterval is the time between looks at the queue while nothing is
// released: slots also become free at other instances, and avoided upstreams
// come back.
const recheckInterval = 10 * time.Millisecond

// Defaults of the document's queue.
const (
	defaultQueueLength  = 64
	defaultQueueTimeout = time.Second
)

// acquire takes a slot for an attempt, waiting in the queue if need be. The
// slot is given back with release.
func (st *service) acquire(ctx context.Context, w *want) (choice, error) {
	st.mu.Lock()
	snap, svc, err := st.current(w)
	if err != nil {
		st.mu.Unlock()
		return choice{}, err
	}
	if st.queue.length == 0 || w.retry {
		if c, ok := st.pick(snap, svc, w, time.Now()); ok {
			c = st.take(c, w, time.Now())
			st.mu.Unlock()
			return c, nil
		}
	}
	wt := &waiter{want: w, grant: make(chan choice, 1)}
	timeout := queueTimeout(svc.Document)
	if st.placing != nil {
		var err error
		if timeout, err = st.placing.patience(st, svc, w, time.Now()); err != nil {
			st.mu.Unlock()
			return choice{}, err
		}
	}
	if w.retry {
		st.queue.pushFront(wt)
	} else if st.queue.admits(w.caller, queueLength(svc.Document)) {
		st.queue.push(wt)
	} else {
		st.mu.Unlock()
		return choice{}, errkind.New(errkind.QueueFull, "the queue of service %s has no place for caller %s", st.name, w.caller)
	}
	st.dispatchLocked()
	st.mu.Unlock()
	return st.wait(ctx, wt, timeout)
}

// tryAcquire takes a slot only if one is free at once.
func (st *service) tryAcquire(w *want) (choice, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	snap, svc, err := st.current(w)
	if err != nil {
		return choice{}, false
	}
	now := time.Now()
	c, ok := st.pick(snap, svc, w, now)
	if ok {
		c = st.take(c, w, now)
	}
	return c, ok
}

// current returns the service as it is now, or an error when waiting would be
// in vain.
func (st *service) current(w *want) (*routing.Snapshot, *routing.Service, error) {
	snap := st.control.Snapshot()
	svc := snap.Services[st.name]
	if svc == nil || svc.Document == nil {
		return nil, nil, errkind.New(errkind.UnknownService, "service %s has no document any more", st.name)
	}
	if !st.usable(svc, w) {
		if w.borrowed >= maxBorrows {
			return nil, nil, errkind.New(errkind.UpstreamRefused, "no slots are left to borrow for service %s", st.name)
		}
		if !w.idempotent || st.probes.tokens < 1 {
			return nil, nil, errkind.New(errkind.NoUpstream, "no upstream of service %s is in service", st.name)
		}
	}
	return snap, svc, nil
}

// wait waits until the request has a slot.
func (st *service) wait(ctx context.Context, wt *waiter, timeout time.Duration) (choice, error) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	var err error
	select {
	case c := <-wt.grant:
		return c, c.err
	case <-t.C:
		err = errkind.New(errkind.QueueTimeout, "no slot of service %s became free within %v", st.name, timeout)
	case <-ctx.Done():
		err = errkind.Wrap(errkind.DeadlineBeforeSend, ctx.Err(), "wait for a slot of service %s", st.name)
	}
	st.mu.Lock()
	waiting := st.queue.remove(wt)
	st.mu.Unlock()
	if waiting {
		return choice{}, err
	}
	c := <-wt.grant
	return c, c.err
}

// dispatchLocked gives free slots to waiting requests, callers in turn. The
// caller holds st.mu.
func (st *service) dispatchLocked() {
	if st.queue.length == 0 {
		return
	}
	now := time.Now()
	plainFailed := map[bool]bool{} // by idempotence: no slot for a first attempt
	st.queue.rank()
	for i := 0; i < len(st.queue.turns); {
		caller := st.queue.turns[i]
		wt := st.queue.byCaller[caller][0]
		plain := !wt.want.retry
		if plain && plainFailed[wt.want.idempotent] {
			i++
			continue
		}
		c, ok := st.decide(wt, now)
		if !ok {
			if plain {
				plainFailed[wt.want.idempotent] = true
			}
			i++
			continue
		}
		st.queue.remove(wt)
		st.queue.endTurn(caller)
		wt.grant <- c
	}
	st.scheduleLocked()
}

// decide returns a slot for a waiting request, or an error that ends its wait.
// It returns false when the request has to wait on.
func (st *service) decide(wt *waiter, now time.Time) (choice, bool) {
	snap, svc, err := st.current(wt.want)
	if err != nil {
		return choice{err: err}, true
	}
	if need, ok := st.latency(wt.want.route).typical(); ok && now.Add(need).After(wt.want.deadline) {
		// The answer would come too late, and the slot would be wasted.
		return choice{err: errkind.New(errkind.DeadlineBeforeSend, "less time is left than the %v that route %s takes", need, wt.want.route)}, true
	}
	c, ok := st.pick(snap, svc, wt.want, now)
	if ok {
		c = st.take(c, wt.want, now)
	}
	return c, ok
}

// scheduleLocked looks at the queue again after recheckInterval, if anything
// waits.
func (st *service) scheduleLocked() {
	if st.queue.length == 0 || st.recheck != nil {
		return
	}
	interval := recheckInterval
	if st.placing != nil {
		interval = placingRecheck
	}
	st.recheck = time.AfterFunc(interval, func() {
		st.mu.Lock()
		defer st.mu.Unlock()
		st.recheck = nil
		st.dispatchLocked()
	})
}

func queueLength(doc *document.Document) int {
	if doc.Queue.Length > 0 {
		return doc.Queue.Length
	}
	return defaultQueueLength
}

func queueTimeout(doc *document.Document) time.Duration {
	if doc.Queue.TimeoutMS > 0 {
		return milliseconds(doc.Queue.TimeoutMS)
	}
	return defaultQueueTimeout
}
