// Package supervisor runs named children, each in its own goroutine. A child
// that fails is restarted after a backoff. An essential child that fails too
// often stops all children. Children are stopped one after the other, in reverse
// order.
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

// DefaultStopTimeout is the default of Child.StopTimeout. A child that has not
// stopped by then does not delay the next one; the process ends soon anyway.
const DefaultStopTimeout = 5 * time.Second

// ErrTooManyFailures means that an essential child failed FailureLimit times
// within FailureWindow.
var ErrTooManyFailures = errors.New("supervisor: child fails too often")

// Child is a long-running task.
type Child struct {
	Name string
	// Run runs until ctx is canceled, then returns nil. It is called again
	// after it returned an error, panicked on its goroutine or returned early.
	Run func(ctx context.Context) error
	// Essential means that all children are stopped when this one fails too
	// often. Other children are restarted without limit.
	Essential bool
	// StopTimeout is the time that Run has to return once its context is
	// canceled. Default: DefaultStopTimeout.
	StopTimeout time.Duration
}

// Run runs the children until ctx is canceled or an essential one fails too
// often, then stops them in reverse order. It returns nil or an error marked
// with ErrTooManyFailures.
func Run(ctx context.Context, log *zap.Logger, children ...Child) error {
	g, failed := errgroup.WithContext(ctx)
	started := make([]runningChild, 0, len(children))
	for _, c := range children {
		started = append(started, start(ctx, g, log, c))
	}
	<-failed.Done()
	stopAll(log, started)
	if anyStuck(started) {
		// Wait would not return: the goroutine of a stuck child ends only with
		// the process.
		return firstError(started)
	}
	return g.Wait()
}

// runningChild is a child that has been started.
type runningChild struct {
	child  Child
	cancel context.CancelFunc
	done   chan struct{}
	err    *error // valid once done is closed
}

// start starts a child. Its context is not canceled with ctx, so that the
// children can be stopped one after the other.
func start(ctx context.Context, g *errgroup.Group, log *zap.Logger, c Child) runningChild {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r := runningChild{child: c, cancel: cancel, done: make(chan struct{}), err: new(error)}
	g.Go(func() error {
		defer close(r.done)
		*r.err = supervise(ctx, log, c)
		return *r.err
	})
	return r
}

func stopAll(log *zap.Logger, children []runningChild) {
	for i := len(children) - 1; i >= 0; i-- {
		r := children[i]
		timeout := r.child.StopTimeout
		if timeout == 0 {
			timeout = DefaultStopTimeout
		}
		r.cancel()
		t := time.NewTimer(timeout)
		select {
		case <-r.done:
			log.Debug("child_stopped", zap.String("child", r.child.Name))
		case <-t.C:
			log.Error("child_not_stopped", zap.String("child", r.child.Name), zap.Duration("limit", timeout))
		}
		t.Stop()
	}
}

func anyStuck(children []runningChild) bool {
	for _, r := range children {
		select {
		case <-r.done:
		default:
			return true
		}
	}
	return false
}

func firstError(children []runningChild) error {
	for _, r := range children {
		select {
		case <-r.done:
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
		err := runOnce(ctx, c)
		if ctx.Err() != nil {
			if err != nil {
				log.Warn("child_stopped_with_error", zap.String("child", c.Name), zap.Error(err))
			}
			return nil
		}
		if err == nil {
			err = errors.Newf("child %s returned early", c.Name)
		}
		now := time.Now()
		failures = recentFailures(append(failures, now), now)
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

// runOnce runs the child once and converts a panic to an error.
func runOnce(ctx context.Context, c Child) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = errors.Newf("child %s panicked: %v\n%s", c.Name, v, debug.Stack())
		}
	}()
	return c.Run(ctx)
}

func recentFailures(failures []time.Time, now time.Time) []time.Time {
	for len(failures) > 0 && now.Sub(failures[0]) > FailureWindow {
		failures = failures[1:]
	}
	return failures
}

// Sleep waits for d. It returns false if ctx ended first.
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
