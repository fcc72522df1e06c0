package entry

import (
	"context"
	"time"

	"knapweedreel/internal/admission"
	"knapweedreel/internal/document"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/routing"
)

// recheckInterval is how often the queue is dispatched when no slot is released
// here: slots are also freed by other instances, and upstreams stop being
// avoided.
const recheckInterval = 10 * time.Millisecond

// Queue defaults for documents that don't set them.
const (
	defaultQueueLength  = 64
	defaultQueueTimeout = time.Second
)

// acquire takes a slot for an attempt, waiting in the queue if none is free. The
// slot is released with releaseChoice.
func (st *serviceState) acquire(ctx context.Context, req *slotRequest) (choice, error) {
	st.mu.Lock()
	snap, svc, err := st.current(req)
	if err != nil {
		st.mu.Unlock()
		return choice{}, err
	}
	now := time.Now()
	st.countDemand(svc, req, now)
	if st.mayPass(req) {
		if c, ok := st.pick(snap, svc, req, now); ok {
			c = st.take(c, req, now)
			st.queue.Charge(req.class, req.caller, st.work(req), now)
			st.mu.Unlock()
			return c, nil
		}
	}
	timeout := queueTimeout(svc.Document)
	if st.placer != nil {
		var err error
		if timeout, err = st.maxQueueWait(snap, svc, req, now); err != nil {
			st.mu.Unlock()
			return choice{}, err
		}
	}
	w := &waiter{req: req, grant: make(chan choice, 1), until: now.Add(timeout)}
	it := st.newItem(w)
	if req.retry || st.hasRoom(req, svc.Document) {
		st.queue.Push(it, now)
		st.lastQueued = now
	} else {
		st.mu.Unlock()
		return choice{}, errkind.New(errkind.QueueFull, "the queue of service %s is full for caller %s", st.name, req.caller)
	}
	st.dispatchLocked()
	st.mu.Unlock()
	return st.wait(ctx, it, timeout)
}

// tryAcquire takes a slot if one is free, without waiting. With a placer, more
// urgent requests that wait go first.
func (st *serviceState) tryAcquire(req *slotRequest) (choice, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	snap, svc, err := st.current(req)
	if err != nil {
		return choice{}, false
	}
	if st.placer != nil && st.queue.Urgent(req.class) {
		return choice{}, false
	}
	now := time.Now()
	c, ok := st.pick(snap, svc, req, now)
	if ok {
		st.countDemand(svc, req, now)
		c = st.take(c, req, now)
		st.queue.Charge(req.class, req.caller, st.work(req), now)
	}
	return c, ok
}

// current returns the current snapshot and service, or an error if waiting for a
// slot would be pointless.
func (st *serviceState) current(req *slotRequest) (*routing.Snapshot, *routing.Service, error) {
	snap := st.control.Snapshot()
	if _, err := req.credentials.holder(snap); err != nil {
		return nil, nil, err
	}
	svc := snap.Services[st.name]
	if svc == nil || svc.Document == nil {
		// Whether its requests are served elsewhere is decided by Server.admit.
		return nil, nil, errkind.New(errkind.NoUpstream, "service %s was removed", st.name)
	}
	if st.drain.endsBefore(time.Now().Add(st.longestResponse(req))) {
		return nil, nil, errkind.New(errkind.StoppingBeforeSend, "the instance stops before service %s is expected to respond", st.name)
	}
	if !st.usable(svc, req) {
		if req.borrowed >= maxBorrows {
			return nil, nil, errkind.New(errkind.UpstreamRefused, "the request may not borrow any more slots of service %s", st.name)
		}
		if !req.idempotent || st.probeBudget.tokens < 1 {
			return nil, nil, errkind.New(errkind.NoUpstream, "no upstream of service %s is in service", st.name)
		}
	}
	return snap, svc, nil
}

// wait blocks until the request gets a slot, the timeout passes or ctx is done.
func (st *serviceState) wait(ctx context.Context, it *admission.Item[*waiter], timeout time.Duration) (choice, error) {
	w := it.Value
	t := time.NewTimer(timeout)
	defer t.Stop()
	var err error
	select {
	case c := <-w.grant:
		return c, c.err
	case <-t.C:
		err = errkind.New(errkind.QueueTimeout, "no slot of service %s became free within %v", st.name, timeout)
	case <-ctx.Done():
		err = errkind.Wrap(errkind.DeadlineBeforeSend, ctx.Err(), "wait for a slot of service %s", st.name)
	}
	st.mu.Lock()
	waiting := st.queue.Remove(it, time.Now())
	st.mu.Unlock()
	if waiting {
		return choice{}, err
	}
	c := <-w.grant
	return c, c.err
}

// dispatchLocked assigns free slots to waiting requests in the order of the queue.
// st.mu is held.
func (st *serviceState) dispatchLocked() {
	if st.queue.Len() == 0 {
		return
	}
	now := time.Now()
	earliest := now
	if svc := st.control.Snapshot().Services[st.name]; st.placer != nil && svc != nil {
		earliest = st.earliest(svc, now)
	}
	pass := st.queue.Pass()
	for it, due := pass.Next(); it != nil; it, due = pass.Next() {
		w := it.Value
		if err := st.turnedAwayUntil(earliest, w.until, now); err != nil {
			st.queue.Remove(it, now)
			w.grant <- choice{err: err}
			continue
		}
		c, ok := st.decide(w, due, now)
		switch {
		case !ok:
			st.skip(pass, it, due, now)
			continue
		case c.err != nil:
			st.queue.Remove(it, now)
		default:
			st.queue.Serve(it, now)
		}
		w.grant <- c
	}
	st.scheduleLocked()
}

// skip leaves out a request that has to keep waiting, and those that would not get
// a slot either. Each retry has upstreams of its own that it avoids.
func (st *serviceState) skip(pass *admission.Pass[*waiter], it *admission.Item[*waiter], due bool, now time.Time) {
	switch {
	case it.Retry:
		pass.Skip(it)
	case st.placer == nil:
		pass.SkipKind(it.Kind)
	case due, st.placer.mayWait(it.Value.req, now):
		pass.SkipLevel(it) // less urgent requests may find a slot
	default:
		pass.SkipFrom(it.Class)
	}
}

// decide returns a slot for a waiting request or an error that ends its wait,
// and false if the request has to keep waiting.
func (st *serviceState) decide(w *waiter, due bool, now time.Time) (choice, bool) {
	snap, svc, err := st.current(w.req)
	if err != nil {
		return choice{err: err}, true
	}
	if need, ok := st.latency(w.req.route).typical(); ok && now.Add(need).After(w.req.deadline) {
		// The response would miss the deadline and waste the slot.
		return choice{err: errkind.New(errkind.DeadlineBeforeSend, "the deadline leaves less than the %v that route %s usually takes", need, w.req.route)}, true
	}
	var c choice
	var ok bool
	if st.placer != nil {
		c, ok = st.pickByCost(snap, svc, w.req, due, now)
	} else {
		c, ok = st.pick(snap, svc, w.req, now)
	}
	if ok {
		c = st.take(c, w.req, now)
	}
	return c, ok
}

// scheduleLocked starts the timer for the next dispatch if requests are waiting.
func (st *serviceState) scheduleLocked() {
	if st.queue.Len() == 0 || st.recheck != nil {
		return
	}
	interval := recheckInterval
	if st.placer != nil {
		interval = placerRecheckInterval
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
