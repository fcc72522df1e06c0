package control

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// watchdogInterval is the time between checks of the loop. stallThreshold is the
// time without an event above which the loop is reported as stalled; in normal
// operation a tick is handled every health.TickInterval.
const (
	watchdogInterval = time.Second
	stallThreshold   = time.Second
)

// runWatchdog reports a loop that does not keep up. Requests continue to use the
// last snapshot meanwhile.
func (l *Loop) runWatchdog(ctx context.Context) {
	ticks, stop := l.cfg.Clock.Tick(watchdogInterval)
	defer stop()
	lag := l.cfg.Scope.Gauge("control_lag_ms")
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		idle := l.cfg.Clock.Now().Sub(l.started) - time.Duration(l.lastEvent.Load())
		lag.Update(float64(idle.Milliseconds()))
		if idle > stallThreshold {
			l.cfg.Log.Warn("control_stalled", zap.Duration("idle", idle),
				zap.Int("events", len(l.events)), zap.Int("outcomes", len(l.outcomes)))
		}
	}
}
