package instance

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// announceTimeout bounds the announcement to peers, which takes one iteration of the
// control loop.
const announceTimeout = time.Second

// gracefulShutdown waits until ctx is canceled, then announces that the instance is
// leaving and drains the entry. It returns early when ended is closed, because
// nothing is left to drain once the children have ended.
func (c *components) gracefulShutdown(ctx context.Context, ended <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-ended:
		return
	}
	begin := time.Now()
	c.log.Info("planned_stop", zap.Int("drain_ms", c.settings.Times.DrainMS), zap.Int("limit_ms", c.settings.Times.StopLimitMS))
	shutdownCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() {
		select {
		case <-ended:
			cancel()
		case <-shutdownCtx.Done():
		}
	}()
	c.platform.Leave()
	c.announceLeaving(shutdownCtx)
	if err := c.entry.Drain(shutdownCtx); err != nil {
		c.log.Warn("drain_incomplete", zap.Error(err))
	}
	c.log.Info("drained", zap.Duration("took", time.Since(begin)))
}

func (c *components) announceLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := c.control.Leave(ctx); err != nil {
		c.log.Warn("leaving_not_announced", zap.Error(err))
	}
}
