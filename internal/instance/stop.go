package instance

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// leaveLimit bounds the announcement to peers, which takes one turn of the
// control goroutine.
const leaveLimit = time.Second

// planStop waits until ctx is cancelled, then announces the stop and drains the
// entry. It returns early when ended is closed, as there is nothing to drain
// after the children have ended.
func (p *parts) planStop(ctx context.Context, ended <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-ended:
		return
	}
	begin := time.Now()
	p.log.Info("planned_stop", zap.Int("drain_ms", p.settings.Times.DrainMS), zap.Int("limit_ms", p.settings.Times.StopLimitMS))
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() {
		select {
		case <-ended:
			cancel()
		case <-work.Done():
		}
	}()
	p.platform.Leave()
	p.leave(work)
	if err := p.entry.Drain(work); err != nil {
		p.log.Warn("drain_incomplete", zap.Error(err))
	}
	p.log.Info("drained", zap.Duration("took", time.Since(begin)))
}

func (p *parts) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	if err := p.control.Leave(ctx); err != nil {
		p.log.Warn("leaving_not_announced", zap.Error(err))
	}
}
