package follower

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"knapweedreel/internal/catalog"
	"knapweedreel/internal/store"
)

// Times of the watch.
const (
	// minRetry and maxRetry bound the time between calls to a store that fails.
	// The longest one leaves most of the time in which a configuration has to
	// be in force, 2 s, for applying it.
	minRetry = 100 * time.Millisecond
	maxRetry = 600 * time.Millisecond
	// gatherTime is the least time between the ends of two waits for changes.
	// Changes that come meanwhile are gathered, which saves calls: each one ends
	// the waiting calls of all instances.
	gatherTime = 1400 * time.Millisecond
	// watchWait bounds each wait for changes. A store that has dropped its
	// history does not tell a wait that was begun before, and the changes have
	// to be noticed all the same within the 3 s after which the platform counts
	// the store as sound again.
	watchWait = 2800 * time.Millisecond
)

// Watch reads the store's content and then follows its changes.
func (f *Follower) Watch(ctx context.Context) error {
	w := watch{f: f, stale: true}
	for ctx.Err() == nil {
		if err := w.step(ctx); err != nil {
			w.failed(ctx, err)
		}
	}
	return nil
}

// watch is the state of the loop.
type watch struct {
	f       *Follower
	loaded  bool   // index is valid
	stale   bool   // the next load may be old
	index   uint64 // of the last change that was read
	backoff time.Duration
	lost    time.Time // when the store was lost, zero while it can be reached
}

// step makes one call and hands its result to the control goroutine.
func (w *watch) step(ctx context.Context) error {
	e := event{whole: !w.loaded}
	began := time.Now()
	var err error
	if w.loaded {
		e.changes, w.index, err = w.f.source.Changes(ctx, w.index, watchWait)
		w.f.count("watch", err)
	} else {
		e.changes, w.index, err = w.f.source.Load(ctx, w.stale)
		w.f.count("load", err)
		// The first load may be old: all instances may start at once. A store
		// that has refused the last one is not asked for more than that.
		w.stale = err != nil && errors.Is(err, store.ErrUnavailable)
	}
	if err != nil {
		return err
	}
	w.loaded = true
	w.reached()
	w.f.send(ctx, e)
	if len(e.changes) > 0 && !e.whole {
		pause(ctx, gatherTime-min(gatherTime, time.Since(began)))
	}
	return nil
}

func (w *watch) reached() {
	w.backoff = 0
	if !w.lost.IsZero() {
		w.f.log.Info("store_regained", zap.Duration("after", time.Since(w.lost)), zap.Uint64("revision", w.index))
		w.lost = time.Time{}
	}
}

// failed notes a call that failed and waits before the next one. The content is
// read again as a whole afterwards: history may be missing, and entries that
// ended while the store was away have to be told from those that ended before.
func (w *watch) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.loaded = false
	if errors.Is(err, catalog.ErrHistoryLost) {
		w.f.log.Info("store_history_lost", zap.Uint64("revision", w.index))
		w.stale = false // an old content may end before the history begins
		return
	}
	if w.lost.IsZero() {
		w.lost = time.Now()
		w.f.log.Warn("store_lost", zap.Uint64("revision", w.index), zap.Error(err))
	}
	w.f.send(ctx, event{err: err})
	w.backoff = min(max(minRetry, 2*w.backoff), maxRetry)
	pause(ctx, time.Duration((0.5+0.5*w.f.cfg.Jitter())*float64(w.backoff)))
}

func (f *Follower) send(ctx context.Context, e event) {
	select {
	case f.events <- e:
	case <-ctx.Done():
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
