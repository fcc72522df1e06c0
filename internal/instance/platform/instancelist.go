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
	// holderPollInterval is the mean time between the lease holder's polls of the
	// instance list.
	holderPollInterval = time.Second
	// Instances that don't hold the lease poll at an interval of
	// pollIntervalPerMember times the number of members, and at least
	// minPollInterval. 2,800 members poll every 28 s each, which makes 100
	// calls/s in all.
	minPollInterval       = 10 * time.Second
	pollIntervalPerMember = 10 * time.Millisecond
	// registerRetry is the mean wait after the first failed registration. It
	// doubles up to maxRegisterRetry.
	registerRetry    = time.Second
	maxRegisterRetry = 8 * time.Second
	// reregisterAfter is the time after which an entry that is missing from the
	// instance list is registered again. It doubles up to maxReregisterAfter,
	// because more registrations don't help if the list lags.
	reregisterAfter    = 15 * time.Second
	maxReregisterAfter = 4 * time.Minute
)

// runListPolling polls the instance list. After a failure the wait grows up to the
// usual interval: if all instances polled every second during an outage, the
// recovering platform would get more calls than it can handle.
func (c *Child) runListPolling(ctx context.Context) error {
	if !supervisor.Sleep(ctx, c.jitter.upTo(holderPollInterval/4)) {
		return nil
	}
	var due time.Time
	retry := holderPollInterval
	for {
		if now := time.Now(); c.usableLease() != nil || !now.Before(due) {
			interval := c.pollInterval()
			if c.pollList(ctx) {
				due, retry = now.Add(interval), holderPollInterval
			} else {
				due, retry = now.Add(c.jitter.around(retry)), min(2*retry, interval)
			}
		}
		if !c.jitter.sleep(ctx, holderPollInterval) {
			return nil
		}
	}
}

func (c *Child) pollInterval() time.Duration {
	_, members := c.shard()
	return max(minPollInterval, time.Duration(members)*pollIntervalPerMember)
}

func (c *Child) pollList(ctx context.Context) bool {
	instances, err := c.list.Instances(ctx)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		c.log.Warn("list_poll_failed", zap.Error(err))
		return false
	}
	c.control.SetInstances(instances)
	c.markListRead()
	c.registration.checkListed(instances, time.Now())
	return true
}

// registration is this instance's entry in the platform's instance list.
type registration struct {
	mu              sync.Mutex
	entry           store.Instance
	registeredAt    time.Time     // time of the last successful registration; zero if one is due
	reregisterAfter time.Duration // wait after registeredAt before a missing entry is due again
	wake            chan struct{} // holds a value when a registration may be due
}

func newRegistration(self store.Instance) *registration {
	if self.Role == "" {
		self.Role = store.RoleEntry
	}
	if self.State == "" {
		self.State = store.StateLive
	}
	return &registration{entry: self, reregisterAfter: reregisterAfter, wake: make(chan struct{}, 1)}
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
		r.registeredAt = time.Time{}
		r.notify()
	}
}

func (r *registration) leaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entry.State == store.StateLeaving
}

// checkListed makes a registration due if the instance list does not contain the
// entry although it has had time to show it.
func (r *registration) checkListed(instances []store.Instance, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Contains(instances, r.entry) {
		r.reregisterAfter = reregisterAfter
		return
	}
	if r.registeredAt.IsZero() || now.Sub(r.registeredAt) < r.reregisterAfter {
		return
	}
	r.reregisterAfter = min(2*r.reregisterAfter, maxReregisterAfter)
	r.registeredAt = time.Time{}
	r.notify()
}

// due returns the entry and whether it has to be registered.
func (r *registration) due() (store.Instance, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entry, r.registeredAt.IsZero()
}

func (r *registration) markRegistered(entry store.Instance, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entry == entry {
		r.registeredAt = now
	}
}

// runRegistration keeps this instance registered in the instance list.
func (c *Child) runRegistration(ctx context.Context) error {
	if c.registrar == nil {
		return nil
	}
	c.registration.notify()
	for {
		select {
		case <-c.registration.wake:
		case <-ctx.Done():
			return nil
		}
		retry := registerRetry
		for entry, due := c.registration.due(); due; entry, due = c.registration.due() {
			if c.register(ctx, entry) {
				continue
			}
			if !c.jitter.sleep(ctx, retry) {
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
	c.registration.markRegistered(entry, time.Now())
	c.log.Info("registered", zap.String("state", string(entry.State)))
	return true
}
