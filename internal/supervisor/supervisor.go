// Package supervisor runs a tree of named children on errgroup. A child that
// fails is restarted after a backoff. An essential child that fails too often
// ends the tree. The children stop one after the other, in the reverse of the
// order in which they are listed.
package supervisor

import (
	"context"
	"runtime/debug"
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

// StopLimit is the default time for a child to end once its context is
// cancelled. After it the next child is stopped; the process ends soon anyway.
const StopLimit = 5 * time.Second

// ErrTooManyFailures means that an essential child failed FailureLimit times
// within FailureWindow.
var ErrTooManyFailures = errors.New("supervisor: child fails too often")

// Child is a long-running task of the tree.
type Child struct {
	Name string
	// Run works until ctx is cancelled, then returns nil. An error, a panic on
	// its goroutine, or an early end restarts it.
	Run func(ctx context.Context) error
	// Essential ends the tree when the child fails too often. Other children
	// are restarted without end.
	Essential bool
	// StopLimit is the time for Run to end. Default StopLimit.
	StopLimit time.Duration
}

// Run runs the children until ctx is cancelled or an essential one fails too
// often. Then it stops them in the reverse of their order. It returns nil or
// an error with ErrTooManyFailures.
func Run(ctx context.Context, log *zap.Logger, children ...Child) error {
	g, failed := errgroup.WithContext(ctx)
	started := make([]running, 0, len(children))
	for _, c := range children {
		started = append(started, start(ctx, g, log, c))
	}
	<-failed.Done()
	stopAll(log, started)
	if stuck(started) {
		// Wait would not return. The goroutine of the stuck child ends with
		// the process.
		return firstError(started)
	}
	return g.Wait()
}

// running is a child that was started.
type running struct {
	child  Child
	cancel context.CancelFunc
	ended  chan struct{}
	err    *error // valid when ended is closed
}

// start starts a child. Its context does not end with ctx, so that the children
// stop one after the other.
func start(ctx context.Context, g *errgroup.Group, log *zap.Logger, c Child) running {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r := running{child: c, cancel: cancel, ended: make(chan struct{}), err: new(error)}
	g.Go(func() error {
		defer close(r.ended)
		*r.err = supervise(ctx, log, c)
		return *r.err
	})
	return r
}

func stopAll(log *zap.Logger, children []running) {
	for i := len(children) - 1; i >= 0; i-- {
		r := children[i]
		limit := r.child.StopLimit
		if limit == 0 {
			limit = StopLimit
		}
		r.cancel()
		t := time.NewTimer(limit)
		select {
		case <-r.ended:
			log.Debug("child_stopped", zap.String("child", r.child.Name))
		case <-t.C:
			log.Error("child_not_stopped", zap.String("child", r.child.Name), zap.Duration("limit", limit))
		}
		t.Stop()
	}
}

func stuck(children []running) bool {
	for _, r := range children {
		select {
		case <-r.ended:
		default:
			return true
		}
	}
	return false
}

func firstError(children []running) error {
	for _, r := range children {
		select {
		case <-r.ended:
			if *r.err != nil {
				return *r.err
			}
		default:
		}
	}
	return nil
}

func supervise(ctx context.Context, log *zap.Logger, c Child) error {
	backoff := MinBackoff
	var failures []time.Time
	for {
		started := time.Now()
		err := call(ctx, c)
		if ctx.Err() != nil {
			if err != nil {
				log.Warn("child_stopped_with_error", zap.String("child", c.Name), zap.Error(err))
			}
			return nil
		}
		if err == nil {
			err = errors.Newf("child %s ended early", c.Name)
		}
		now := time.Now()
		failures = recent(append(failures, now), now)
		log.Error("child_failed", zap.String("child", c.Name), zap.Error(err), zap.Int("failures", len(failures)))
		if c.Essential && len(failures) >= FailureLimit {
			return errors.Mark(errors.Wrapf(err, "child %s fails too often", c.Name), ErrTooManyFailures)
		}
		if now.Sub(started) > FailureWindow {
			backoff = MinBackoff
		}
		if !Sleep(ctx, backoff) {
			return nil
		}
		backoff = min(2*backoff, MaxBackoff)
	}
}

// call runs the child once and turns a panic into an error.
func call(ctx context.Context, c Child) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = errors.Newf("child %s panicked: %v\n%s", c.Name, v, debug.Stack())
		}
	}()
	return c.Run(ctx)
}

func recent(failures []time.Time, now time.Time) []time.Time {
	for len(failures) > 0 && now.Sub(failures[0]) > FailureWindow {
		failures = failures[1:]
	}
	return failures
}

// Sleep waits for d. It returns false when ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
