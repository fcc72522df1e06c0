package control

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// watchInterval is the time between two looks at the loop. stallLimit is the
// time without an event from which the loop is reported as stalled; a tick
// arrives every health.TickInterval.
const (
	watchInterval = time.Second
	stallLimit    = time.Second
)

// watch reports a loop that does not keep up. Traffic goes on with the last
// snapshot meanwhile.
func (l *Loop) watch(ctx context.Context) {
	ticks, stop := l.cfg.Clock.Tick(watchInterval)
	defer stop()
	lag := l.cfg.Scope.Gauge("control_lag_ms")
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		idle := l.cfg.Clock.Now().Sub(l.started) - time.Duration(l.turned.Load())
		lag.Update(float64(idle.Milliseconds()))
		if idle > stallLimit {
			l.cfg.Log.Warn("control_stalled", zap.Duration("idle", idle),
				zap.Int("events", len(l.events)), zap.Int("outcomes", len(l.outcomes)))
		}
	}
}
