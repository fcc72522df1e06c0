// Package supervisor runs a tree of named children on errgroup. A child that
// fails is restarted after a backoff; one that fails too often ends its parent.
package supervisor

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Restart limits.
const (
	MinBackoff    = 100 * time.Millisecond
	MaxBackoff    = 5 * time.Second
	FailureLimit  = 5
	FailureWindow = 30 * time.Second
)

// ErrTooManyFailures means that a child failed FailureLimit times within
// FailureWindow.
var ErrTooManyFailures = errors.New("supervisor: child fails too often")

// Child is a long-running task of the tree.
type Child struct {
	Name string
	// Run works until ctx is cancelled, then returns nil. An error restarts it.
	Run func(ctx context.Context) error
}

// Run runs the children until ctx is cancelled or one fails too often, and
// waits for all of them.
func Run(ctx context.Context, log *zap.Logger, children ...Child) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, c := range children {
		g.Go(func() error { return supervise(ctx, log, c) })
	}
	return g.Wait()
}

func supervise(ctx context.Context, log *zap.Logger, c Child) error {
	backoff := MinBackoff
	var failures []time.Time
	for {
		started := time.Now()
		err := c.Run(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			err = errors.Newf("child %s ended early", c.Name)
		}
		now := time.Now()
		failures = recent(append(failures, now), now)
		log.Error("child_failed", zap.String("child", c.Name), zap.Error(err), zap.Int("failures", len(failures)))
		if len(failures) >= FailureLimit {
			return errors.Wrapf(ErrTooManyFailures, "child %s: %v", c.Name, err)
		}
		if now.Sub(started) > FailureWindow {
			backoff = MinBackoff
		}
		if !sleep(ctx, backoff) {
			return nil
		}
		backoff = min(2*backoff, MaxBackoff)
	}
}

func recent(failures []time.Time, now time.Time) []time.Time {
	for len(failures) > 0 && now.Sub(failures[0]) > FailureWindow {
		failures = failures[1:]
	}
	return failures
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
