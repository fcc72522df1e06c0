package supervisor

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// untilStopped returns a Run that waits until it is stopped and calls onStop.
func untilStopped(onStop func()) func(context.Context) error {
	return func(ctx context.Context) error {
		<-ctx.Done()
		onStop()
		return nil
	}
}

// Guards against a failed child that is not restarted, or restarted without a
// backoff.
func TestFailedChildIsRestartedWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		begin := time.Now()
		var starts []time.Duration
		child := Child{Name: "flaky", Run: func(ctx context.Context) error {
			starts = append(starts, time.Since(begin))
			switch len(starts) {
			case 1:
				return errors.New("failure")
			case 2:
				panic("failure")
			case 3:
				return nil
			}
			cancel()
			<-ctx.Done()
			return nil
		}}
		if err := Run(ctx, zap.NewNop(), child); err != nil {
			t.Error(err)
		}
		want := []time.Duration{0, MinBackoff, 3 * MinBackoff, 7 * MinBackoff}
		if !slices.Equal(starts, want) {
			t.Errorf("started at %v, want %v", starts, want)
		}
	})
}

// Guards against a process that keeps running without its entry or control
// child, and against siblings that are not stopped.
func TestEssentialChildStopsAllChildren(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stopped, runs := false, 0
		err := Run(t.Context(), zap.NewNop(),
			Child{Name: "sibling", Run: untilStopped(func() { stopped = true })},
			Child{Name: "essential", Essential: true, Run: func(context.Context) error {
				runs++
				return errors.New("failure")
			}})
		if !errors.Is(err, ErrTooManyFailures) || runs != FailureLimit || !stopped {
			t.Errorf("error %v, %d runs, sibling stopped: %v", err, runs, stopped)
		}
	})
}

// Guards against a child that may fail, such as one that needs the platform, but
// whose failures stop the process.
func TestNonEssentialChildIsRestartedIndefinitely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		runs := 0
		err := Run(ctx, zap.NewNop(), Child{Name: "optional", Run: func(context.Context) error {
			runs++
			return errors.New("failure")
		}})
		if err != nil || runs <= FailureLimit {
			t.Errorf("error %v after %d runs", err, runs)
		}
	})
}

// Guards against rare failures, spread over hours, that stop the process.
func TestOldFailuresDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		err := Run(ctx, zap.NewNop(), Child{Name: "rare", Essential: true, Run: func(ctx context.Context) error {
			if !Sleep(ctx, 10*time.Second) {
				return nil
			}
			return errors.New("failure")
		}})
		if err != nil {
			t.Error(err)
		}
	})
}

// Guards against a control child that stops before the entry child, which needs
// it, and against a stuck child that prevents the others from being stopped.
func TestChildrenStopInReverseOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex
		var order []string
		child := func(name string) Child {
			return Child{Name: name, Run: untilStopped(func() {
				mu.Lock()
				defer mu.Unlock()
				order = append(order, name)
			})}
		}
		release := make(chan struct{})
		defer close(release)
		stuck := Child{Name: "stuck", StopTimeout: time.Second, Run: func(context.Context) error {
			<-release
			return nil
		}}
		time.AfterFunc(time.Minute, cancel)
		begin := time.Now()
		if err := Run(ctx, zap.NewNop(), child("control"), child("peering"), stuck, child("entry")); err != nil {
			t.Error(err)
		}
		if want := []string{"entry", "peering", "control"}; !slices.Equal(order, want) {
			t.Errorf("stopped in order %v, want %v", order, want)
		}
		if took := time.Since(begin); took != time.Minute+time.Second {
			t.Errorf("stopped after %v", took)
		}
	})
}
