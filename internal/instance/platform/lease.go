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
	// leaseStartWait bounds the random wait before the first try. It lets one
	// heartbeat of a holder arrive, and spreads the instances of a fleet that
	// starts at once.
	leaseStartWait = 3 * time.Second
	// leaseListWait bounds the wait for the list of instances before that.
	// Without the list the number of shards is not known.
	leaseListWait = 10 * time.Second
	// leaseJitter spreads the tries after a holder was lost: the first to get
	// the lease announces it within a heartbeat, and the others don't try.
	leaseJitter = 5 * time.Second
	// leasePoll is the mean time between two looks at the known holder.
	leasePoll = 500 * time.Millisecond
	// renewRetry is the mean wait after a failed renewal.
	renewRetry = time.Second
	// releaseLimit bounds the release at the end of Run.
	releaseLimit = time.Second
)

// holding is one holding of the shard's lease. It is not changed after it was
// published.
type holding struct {
	lease store.Lease
	shard int
	until time.Time // monotonic; counted from before the call was sent
}

// held returns the holding if it is in force. It compares the monotonic clock
// with the lease's time, so that a process that was paused finds its lease
// over before it uses it. The wall clock is compared too, because the monotonic
// clock stands still while a machine is suspended. The margin of a fifteenth of
// the lease's time covers the difference in rate of two clocks and a write's way
// to the store.
func (c *Child) held() *holding {
	h := c.holding.Load()
	now := time.Now()
	if h == nil || !now.Before(h.end()) || !now.Round(0).Before(h.end().Round(0)) {
		return nil
	}
	return h
}

func (h *holding) end() time.Time { return h.until.Add(-h.lease.TTL / 15) }

// runLease acquires the lease when it is vacant, and holds it.
func (c *Child) runLease(ctx context.Context) error {
	c.awaitList(ctx)
	wait := c.random.upTo(leaseStartWait)
	for c.awaitVacancy(ctx, wait) {
		h, err := c.acquire(ctx)
		if err != nil {
			// Another holder is not announced to this instance, or the store is
			// away: either way the next try is due after the lease's time.
			c.log.Info("lease_not_acquired", zap.Error(err))
			wait = c.config.LeaseTTL + c.random.upTo(leaseJitter)
			continue
		}
		if err := c.hold(ctx, h); err != nil {
			return err
		}
		wait = c.random.upTo(leaseJitter)
	}
	return nil
}

func (c *Child) awaitList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaseListWait)
	defer cancel()
	select {
	case <-c.listed:
	case <-ctx.Done():
	}
}

// awaitVacancy waits until no other holder has been known for the whole of
// wait. Control forgets a holder that was not announced within the lease's
// time, so a wait that begins after a holder was lost needs the jitter only. An
// instance that is leaving does not take the lease.
func (c *Child) awaitVacancy(ctx context.Context, wait time.Duration) bool {
	due := time.Now().Add(wait)
	for {
		if h := c.control.Holder(); h != nil && h.Instance != c.config.Self.ID || c.entry.leaving() {
			due = time.Now().Add(c.random.upTo(leaseJitter))
		}
		left := time.Until(due)
		if left <= 0 {
			return ctx.Err() == nil
		}
		if !supervisor.Sleep(ctx, min(left, c.random.around(leasePoll))) {
			return false
		}
	}
}

func (c *Child) acquire(ctx context.Context) (*holding, error) {
	shard, _ := c.shard()
	sent := time.Now()
	l, err := c.store.AcquireLease(ctx, leaseKey(shard), c.config.Self.ID, c.config.LeaseTTL)
	if err != nil {
		return nil, err
	}
	return &holding{lease: l, shard: shard, until: sent.Add(l.TTL)}, nil
}

func leaseKey(shard int) string { return fmt.Sprintf("leases/shard-%d", shard) }

// hold does the holder's work until the lease is lost or ctx ends.
func (c *Child) hold(ctx context.Context, h *holding) error {
	c.publish(h)
	c.log.Info("lease_acquired", zap.Int("shard", h.shard), zap.Uint64("fence", h.lease.Fence))
	c.queue.add(c.leaseRecord(h, "acquired"))
	work, cancel := context.WithCancel(ctx)
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return c.watchDocuments(work) })
	g.Go(func() error { return c.writeAudit(work, h) })
	end := c.renew(work, h)
	c.publish(nil)
	cancel()
	err := g.Wait()
	c.log.Info("lease_ended", zap.Int("shard", h.shard), zap.Uint64("fence", h.lease.Fence), zap.String("reason", string(end)))
	if end == endStopped || end == endMoved {
		c.release(h)
	}
	return err
}

// holdingEnd tells why a holding ended.
type holdingEnd string

// The ends of a holding.
const (
	endStopped holdingEnd = "stopped"
	endExpired holdingEnd = "expired"
	endLost    holdingEnd = "lost"
	endMoved   holdingEnd = "moved-to-another-shard"
)

// publish makes h known to this child's tasks and to control; nil for none.
func (c *Child) publish(h *holding) {
	c.holding.Store(h)
	if h == nil {
		c.metrics.leaseHeld.Update(0)
		c.control.SetHolder(nil)
		return
	}
	c.metrics.leaseHeld.Update(1)
	c.control.SetHolder(&wire.Holder{Shard: h.shard, Instance: c.config.Self.ID, Fence: h.lease.Fence})
}

// renew keeps the lease until it is lost or ctx ends, and returns why.
func (c *Child) renew(ctx context.Context, h *holding) holdingEnd {
	wait := h.lease.TTL / 3
	for {
		left := time.Until(h.end())
		if !supervisor.Sleep(ctx, min(c.random.around(wait), left)) {
			return endStopped
		}
		if c.held() == nil {
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

func (c *Child) renewOnce(ctx context.Context, h *holding) (*holding, error) {
	ctx, cancel := context.WithDeadline(ctx, h.end())
	defer cancel()
	sent := time.Now()
	l, err := c.store.RenewLease(ctx, h.lease)
	if err != nil {
		return nil, err
	}
	next := &holding{lease: l, shard: h.shard, until: sent.Add(l.TTL)}
	c.holding.Store(next)
	return next, nil
}

// release gives the lease up, so that another instance need not wait for its
// end. A failure does no harm: the lease expires.
func (c *Child) release(h *holding) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseLimit)
	defer cancel()
	if err := c.store.ReleaseLease(ctx, h.lease); err != nil {
		c.log.Info("lease_not_released", zap.Error(err))
	}
}

func (c *Child) leaseRecord(h *holding, action string) audit.Record {
	return audit.Record{
		Time: time.Now().UTC(), Instance: c.config.Self.ID, Kind: audit.KindLease,
		Subject: h.lease.Key, Action: action, Detail: fmt.Sprintf("fence %d", h.lease.Fence),
	}
}
