package platform

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"knapweedreel/internal/audit"
	"knapweedreel/internal/store"
	"knapweedreel/internal/supervisor"
	"knapweedreel/internal/wire"
)

const (
	// leaseStartWait bounds the random wait before the first attempt to acquire
	// the lease. It leaves time for a heartbeat of the current holder, and
	// spreads the attempts of instances that start together.
	leaseStartWait = 3 * time.Second
	// leaseListTimeout bounds the wait for the first instance list before that.
	// The number of shards depends on the list.
	leaseListTimeout = 10 * time.Second
	// leaseJitter spreads the attempts after a holder is lost. The instance that
	// acquires the lease first announces it in its next heartbeat, so most
	// others need not try.
	leaseJitter = 5 * time.Second
	// leasePollInterval is the mean time between two checks of the known holder.
	leasePollInterval = 500 * time.Millisecond
	// renewRetry is the mean wait after a failed renewal.
	renewRetry = time.Second
	// releaseTimeout bounds the call that releases the lease.
	releaseTimeout = time.Second
)

// heldLease is a lease that this instance holds, as granted or last renewed. It is
// immutable once published.
type heldLease struct {
	lease  store.Lease
	shard  int
	expiry time.Time // monotonic; the TTL counts from before the call was sent
}

// usableLease returns the held lease, or nil if there is none or it is too old to
// use. It checks the monotonic clock, so that a process that was paused does not
// use an expired lease. It also checks the wall clock, because the monotonic
// clock stops while a machine is suspended.
func (c *Child) usableLease() *heldLease {
	h := c.heldLease.Load()
	now := time.Now()
	if h == nil || !now.Before(h.usableUntil()) || !now.Round(0).Before(h.usableUntil().Round(0)) {
		return nil
	}
	return h
}

// usableUntil returns the time after which the lease must not be used. The margin
// of a fifteenth of the TTL covers clock drift between instance and store, and the
// time that a write takes to reach the store.
func (h *heldLease) usableUntil() time.Time { return h.expiry.Add(-h.lease.TTL / 15) }

// runLease acquires the shard's lease whenever it is vacant, and keeps it.
func (c *Child) runLease(ctx context.Context) error {
	c.awaitList(ctx)
	wait := c.jitter.upTo(leaseStartWait)
	for c.awaitVacantLease(ctx, wait) {
		h, err := c.acquire(ctx)
		if err != nil {
			// Either another instance holds the lease and its announcement has not
			// arrived, or the store is unavailable. Both call for a wait of the
			// lease's TTL before the next attempt.
			c.log.Info("lease_not_acquired", zap.Error(err))
			wait = c.config.LeaseTTL + c.jitter.upTo(leaseJitter)
			continue
		}
		if err := c.hold(ctx, h); err != nil {
			return err
		}
		wait = c.jitter.upTo(leaseJitter)
	}
	return nil
}

func (c *Child) awaitList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaseListTimeout)
	defer cancel()
	select {
	case <-c.listRead:
	case <-ctx.Done():
	}
}

// awaitVacantLease waits until no other holder has been known for the duration of
// wait, and returns false if ctx ended first. Control forgets a holder that was
// not announced within the lease's TTL, so after the loss of a holder a short
// random wait is enough. An instance that is leaving does not acquire the lease.
func (c *Child) awaitVacantLease(ctx context.Context, wait time.Duration) bool {
	due := time.Now().Add(wait)
	for {
		if h := c.control.Holder(); h != nil && h.Instance != c.config.Self.ID || c.registration.leaving() {
			due = time.Now().Add(c.jitter.upTo(leaseJitter))
		}
		left := time.Until(due)
		if left <= 0 {
			return ctx.Err() == nil
		}
		if !supervisor.Sleep(ctx, min(left, c.jitter.around(leasePollInterval))) {
			return false
		}
	}
}

func (c *Child) acquire(ctx context.Context) (*heldLease, error) {
	shard, _ := c.shard()
	sent := time.Now()
	l, err := c.store.AcquireLease(ctx, leaseKey(shard), c.config.Self.ID, c.config.LeaseTTL)
	if err != nil {
		return nil, err
	}
	return &heldLease{lease: l, shard: shard, expiry: sent.Add(l.TTL)}, nil
}

func leaseKey(shard int) string { return fmt.Sprintf("leases/shard-%d", shard) }

// hold does the work of the lease holder until the lease ends or ctx ends.
func (c *Child) hold(ctx context.Context, h *heldLease) error {
	c.publish(h)
	c.log.Info("lease_acquired", zap.Int("shard", h.shard), zap.Uint64("fence", h.lease.Fence))
	c.auditQueue.add(c.leaseRecord(h, "acquired"))
	work, cancel := context.WithCancel(ctx)
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return c.watchDocuments(work) })
	g.Go(func() error { return c.writeAudit(work, h) })
	reason := c.renew(work, h)
	c.publish(nil)
	cancel()
	err := g.Wait()
	c.log.Info("lease_ended", zap.Int("shard", h.shard), zap.Uint64("fence", h.lease.Fence), zap.String("reason", string(reason)))
	if reason == endStopped || reason == endMoved {
		c.release(h)
	}
	return err
}

// leaseEndReason is the reason why this instance no longer holds a lease.
type leaseEndReason string

// Reasons for the end of a lease.
const (
	endStopped leaseEndReason = "stopped"
	endExpired leaseEndReason = "expired"
	endLost    leaseEndReason = "lost"
	endMoved   leaseEndReason = "moved-to-another-shard"
)

// publish sets the held lease for this child's tasks and for control; nil means
// none.
func (c *Child) publish(h *heldLease) {
	c.heldLease.Store(h)
	if h == nil {
		c.metrics.leaseHeld.Update(0)
		c.control.SetHolder(nil)
		return
	}
	c.metrics.leaseHeld.Update(1)
	c.control.SetHolder(&wire.Holder{Shard: h.shard, Instance: c.config.Self.ID, Fence: h.lease.Fence})
}

// renew renews the lease until it can no longer be kept or ctx ends, and returns
// the reason.
func (c *Child) renew(ctx context.Context, h *heldLease) leaseEndReason {
	wait := h.lease.TTL / 3
	for {
		left := time.Until(h.usableUntil())
		if !supervisor.Sleep(ctx, min(c.jitter.around(wait), left)) {
			return endStopped
		}
		if c.usableLease() == nil {
			return endExpired
		}
		if shard, _ := c.shard(); shard != h.shard {
			return endMoved
		}
		next, err := c.renewOnce(ctx, h)
		switch {
		case err == nil:
			h, wait = next, h.lease.TTL/3
		case errors.Is(err, store.ErrLeaseLost):
			return endLost
		default:
			c.log.Warn("lease_renewal_failed", zap.Error(err))
			wait = renewRetry
		}
	}
}

func (c *Child) renewOnce(ctx context.Context, h *heldLease) (*heldLease, error) {
	ctx, cancel := context.WithDeadline(ctx, h.usableUntil())
	defer cancel()
	sent := time.Now()
	l, err := c.store.RenewLease(ctx, h.lease)
	if err != nil {
		return nil, err
	}
	next := &heldLease{lease: l, shard: h.shard, expiry: sent.Add(l.TTL)}
	c.heldLease.Store(next)
	return next, nil
}

// release releases the lease, so that another instance does not have to wait until
// it expires. A failure is harmless, because the lease then expires by itself.
func (c *Child) release(h *heldLease) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := c.store.ReleaseLease(ctx, h.lease); err != nil {
		c.log.Info("lease_not_released", zap.Error(err))
	}
}

func (c *Child) leaseRecord(h *heldLease, action string) audit.Record {
	return audit.Record{
		Time: time.Now().UTC(), Instance: c.config.Self.ID, Kind: audit.KindLease,
		Subject: h.lease.Key, Action: action, Detail: fmt.Sprintf("fence %d", h.lease.Fence),
	}
}
