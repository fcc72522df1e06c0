package platform

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"knapweedreel/internal/store"
	"knapweedreel/internal/supervisor"
)

const (
	// holderPoll is the mean time between the holder's polls of the list.
	holderPoll = time.Second
	// otherPoll is the time between the polls of all others, and otherPollEach
	// the time for each member, whichever is more: at 2,800 members they poll
	// each 28 s and make 100 calls/s together.
	otherPoll     = 10 * time.Second
	otherPollEach = 10 * time.Millisecond
	// registerRetry is the mean first wait after a failed registration. It
	// doubles up to maxRegisterRetry.
	registerRetry    = time.Second
	maxRegisterRetry = 8 * time.Second
	// registerAgain is the time after which an entry that the list does not
	// show is registered again. It doubles up to maxRegisterAgain, because a
	// list that lags for long gains nothing by more registrations.
	registerAgain    = 15 * time.Second
	maxRegisterAgain = 4 * time.Minute
)

// runList polls the list of instances. After a failure the wait grows up to the
// usual interval: if all instances polled each second during an outage, the
// recovering list would get more calls than it can answer.
func (c *Child) runList(ctx context.Context) error {
	if !supervisor.Sleep(ctx, c.random.upTo(holderPoll/4)) {
		return nil
	}
	var due time.Time
	retry := holderPoll
	for {
		if now := time.Now(); c.held() != nil || !now.Before(due) {
			interval := c.pollInterval()
			if c.pollList(ctx) {
				due, retry = now.Add(interval), holderPoll
			} else {
				due, retry = now.Add(c.random.around(retry)), min(2*retry, interval)
			}
		}
		if !c.random.sleep(ctx, holderPoll) {
			return nil
		}
	}
}

func (c *Child) pollInterval() time.Duration {
	_, members := c.shard()
	return max(otherPoll, time.Duration(members)*otherPollEach)
}

func (c *Child) pollList(ctx context.Context) bool {
	is, err := c.list.Instances(ctx)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		c.log.Warn("list_poll_failed", zap.Error(err))
		return false
	}
	c.control.SetInstances(is)
	c.firstList()
	c.entry.seen(is, time.Now())
	return true
}

// registration is this instance's entry in the platform's list.
type registration struct {
	mu      sync.Mutex
	entry   store.Instance
	written time.Time     // of the last successful registration; zero when one is due
	again   time.Duration // from written until an entry that is not shown is due again
	wake    chan struct{} // has a value when a registration may be due
}

func newRegistration(self store.Instance) *registration {
	if self.Role == "" {
		self.Role = store.RoleEntry
	}
	if self.State == "" {
		self.State = store.StateLive
	}
	return &registration{entry: self, again: registerAgain, wake: make(chan struct{}, 1)}
}

func (r *registration) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *registration) setState(s store.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entry.State != s {
		r.entry.State = s
		r.written = time.Time{}
		r.notify()
	}
}

func (r *registration) leaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entry.State == store.StateLeaving
}

// seen compares the list with the entry and makes a registration due when the
// list has had time to show it and does not.
func (r *registration) seen(is []store.Instance, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Contains(is, r.entry) {
		r.again = registerAgain
		return
	}
	if r.written.IsZero() || now.Sub(r.written) < r.again {
		return
	}
	r.again = min(2*r.again, maxRegisterAgain)
	r.written = time.Time{}
	r.notify()
}

// due returns the entry if it has to be registered.
func (r *registration) due() (store.Instance, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entry, r.written.IsZero()
}

func (r *registration) done(entry store.Instance, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entry == entry {
		r.written = now
	}
}

// runRegistration keeps this instance's entry in the list.
func (c *Child) runRegistration(ctx context.Context) error {
	if c.registrar == nil {
		return nil
	}
	c.entry.notify()
	for {
		select {
		case <-c.entry.wake:
		case <-ctx.Done():
			return nil
		}
		retry := registerRetry
		for entry, due := c.entry.due(); due; entry, due = c.entry.due() {
			if c.register(ctx, entry) {
				continue
			}
			if !c.random.sleep(ctx, retry) {
				return nil
			}
			retry = min(2*retry, maxRegisterRetry)
		}
	}
}

func (c *Child) register(ctx context.Context, entry store.Instance) bool {
	if err := c.registrar.Register(ctx, entry); err != nil {
		if ctx.Err() == nil {
			c.log.Warn("registration_failed", zap.Error(err))
		}
		return false
	}
	c.entry.done(entry, time.Now())
	c.log.Info("registered", zap.String("state", string(entry.State)))
	return true
}
