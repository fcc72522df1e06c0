package follower

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"knapweedreel/internal/catalog"
	"knapweedreel/internal/instance/relay"
	"knapweedreel/internal/store"
	"knapweedreel/internal/supervisor"
)

// Times of the watch. A configuration has to be in force 2 s after the store has
// confirmed it, the shortest bound of the users' deployments, also when the
// relay is lost at that moment: maxAge and the time of a call have to stay below
// that.
const (
	// minRetry and maxRetry bound the time between calls to a store that fails.
	minRetry = 100 * time.Millisecond
	maxRetry = 600 * time.Millisecond
	// gatherTime is the least time between the ends of two waits for changes.
	// Changes that come meanwhile are gathered, which saves calls.
	gatherTime = 700 * time.Millisecond
	// startTime is the same at the start, when all instances of a fleet may
	// register and have yet to learn the key and which of them are relays.
	startTime = 1200 * time.Millisecond
	// watchWait is the longest time between two answers of the store. It bounds
	// the time until a store that has dropped its history, or cannot be reached
	// any more, is noticed by an instance that waits for changes.
	watchWait = 1200 * time.Millisecond
	// maxAge is the age of what a relay knows from which on the store itself is
	// asked. It leaves 300 ms for the calls and messages between two answers.
	maxAge = watchWait + 300*time.Millisecond
	// minWait is the shortest wait for changes.
	minWait = 100 * time.Millisecond
	// rereadInterval is the time between the calls of one attempt to read the
	// content of a store that was lost, and rereadCalls their number. With the
	// attempt at a relay that follows, a return is noticed within 500 ms, so that
	// the grace for entries that lapsed ends less than 3 s after it, the time
	// after which an instance counts as well again on the users' platform.
	rereadInterval = 300 * time.Millisecond
	rereadCalls    = 4
	// redialInterval is the time after which relays are tried again when all were
	// given up, and helloLimit the time within which one has to answer then.
	redialInterval = time.Second
	helloLimit     = 300 * time.Millisecond
)

// Watch reads the store's content and then follows its changes, by way of the
// failure domain's relay if that is up to date.
func (f *Follower) Watch(ctx context.Context) error {
	w := watch{f: f, stale: true}
	defer w.unsubscribe()
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
	started bool      // changes were gathered once
	loaded  bool      // the store can be asked for changes after the index
	stale   bool      // the next load may be old
	index   uint64    // of the last change that was read
	asOf    time.Time // when nothing followed the index
	began   time.Time // of the latest call to the store
	backoff time.Duration
	lost    time.Time // when the store was lost, zero while it can be reached

	relays       *relays             // as of the last call of relayed
	subscription *relay.Subscription // nil while the store is read
	turn         int                 // which relay is tried next
	redial       time.Time           // when relays may be tried again
}

// step reads what is new and hands it to the control goroutine. A relay may also
// continue where calls to the store have failed.
func (w *watch) step(ctx context.Context) error {
	if w.index > 0 && w.relayed(ctx) {
		w.loaded = true
		return nil
	}
	w.began = time.Now()
	if !w.loaded {
		return w.load(ctx)
	}
	return w.ask(ctx)
}

// load reads the whole content.
func (w *watch) load(ctx context.Context) error {
	changes, index, err := w.read(ctx)
	// The first load may be old: all instances may start at once. A store that
	// has refused the last one is not asked for more than that.
	w.stale = err != nil && errors.Is(err, store.ErrUnavailable)
	if err != nil {
		return err
	}
	w.loaded, w.index, w.asOf = true, index, time.Time{}
	w.f.changes.Reset(index, w.asOf)
	w.reached()
	w.f.send(ctx, event{whole: true, changes: changes})
	return nil
}

// read returns the whole content. Several calls may be under way to a store that
// was lost: one that hangs since before the store came back must not hide that
// it is back, and one that is answered page by page may take as long as it needs.
func (w *watch) read(ctx context.Context) ([]catalog.Change, uint64, error) {
	type answer struct {
		call    int
		changes []catalog.Change
		index   uint64
		err     error
	}
	ctx, cancel := context.WithCancel(ctx)
	answers := make(chan answer, rereadCalls)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	newest, failed := 0, 0
	call := func() {
		newest++
		n, stale := newest, w.stale
		calls.Go(func() {
			a := answer{call: n}
			a.changes, a.index, a.err = w.f.source.Load(ctx, stale)
			w.f.count("load", a.err)
			answers <- a
		})
	}
	call()
	ticks := time.NewTicker(rereadInterval)
	defer ticks.Stop()
	for {
		select {
		case a := <-answers:
			if a.err == nil || a.call == newest {
				return a.changes, a.index, a.err
			}
			failed++
		case <-ticks.C:
			switch {
			case w.lost.IsZero():
			case newest < rereadCalls:
				call()
			case failed > 0: // begin anew rather than wait for the others
				return nil, 0, errSilent
			}
		}
	}
}

// errSilent is marked like a call that had no effect.
var errSilent = errors.Mark(errors.New("the store does not answer"), store.ErrUnavailable)

// ask waits at the store for changes.
func (w *watch) ask(ctx context.Context) error {
	wait := max(minWait, watchWait-time.Since(w.asOf)) // short while asOf is not known
	if !w.lost.IsZero() {
		wait = minWait // a call that hangs must not hide that the store is back
	}
	changes, index, err := w.f.source.Changes(ctx, w.index, wait)
	w.f.count("watch", err)
	if err != nil {
		return err
	}
	w.reached()
	w.unsubscribe() // of a relay that stood in
	raw := make([]relay.Change, 0, len(changes))
	for i := range changes {
		raw = append(raw, relay.Change{Revision: changes[i].Revision, Raw: changes[i].Raw})
	}
	asOf := time.Now()
	w.f.changes.Extend(raw, index, asOf)
	w.advance(ctx, event{changes: changes}, index, asOf)
	if len(changes) > 0 {
		gather := gatherTime
		if !w.started {
			gather, w.started = startTime, true
		}
		supervisor.Sleep(ctx, gather-time.Since(w.began))
	}
	return nil
}

// relayed takes in what a relay knows. It returns false when the store has to be
// asked.
func (w *watch) relayed(ctx context.Context) bool {
	until, ok := w.subscribe(ctx)
	if !ok {
		return false
	}
	b, changes, err := w.receive(ctx, until)
	if err != nil {
		w.leaveRelay(ctx, w.subscription.Address, err)
		return false
	}
	// An instance that does not read the store itself passes nothing on.
	w.f.changes.Reset(b.Index, time.Time{})
	w.f.relayed.Store(true)
	w.advance(ctx, event{changes: changes, relayed: true}, b.Index, b.AsOf)
	return true
}

// subscribe makes sure that there is a subscription, and returns the time until
// which its relay has to be heard. It returns false when no relay is to be used
// now.
func (w *watch) subscribe(ctx context.Context) (until time.Time, ok bool) {
	r := w.f.relays.Load()
	if r != w.relays {
		if w.subscription != nil && (len(r.others) == 0 || r.others[0] != w.subscription.Address) {
			w.unsubscribe()
		}
		w.relays, w.turn, w.redial = r, 0, time.Time{}
	}
	switch {
	case r.first && w.loaded, len(r.others) == 0:
		return time.Time{}, false
	case w.subscription != nil:
		// What came while the store was asked is there at once.
		return later(w.asOf.Add(maxAge), time.Now().Add(minWait)), true
	case time.Now().Before(w.redial):
		return time.Time{}, false
	}
	address := r.others[w.turn%len(r.others)]
	s, err := relay.Subscribe(ctx, address, w.f.Keys, w.index)
	if err != nil {
		w.leaveRelay(ctx, address, err)
		return time.Time{}, false
	}
	w.subscription = s
	w.f.log.Info("relay_subscribed", zap.String("relay", address), zap.Uint64("revision", w.index))
	return time.Now().Add(helloLimit), true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// receive returns the next batch of the subscription with its changes, or an
// error when it cannot be relied on.
func (w *watch) receive(ctx context.Context, until time.Time) (relay.Batch, []catalog.Change, error) {
	b, err := w.subscription.Next(ctx, until)
	switch {
	case err != nil:
		return b, nil, err
	case b.Gap:
		return b, nil, errGap
	case time.Since(b.AsOf) > maxAge:
		return b, nil, errOld
	}
	changes := make([]catalog.Change, 0, len(b.Changes))
	for i := range b.Changes {
		c, ok := w.f.source.Decode(b.Changes[i].Raw)
		if !ok {
			return b, nil, errUnreadable
		}
		changes = append(changes, c)
	}
	return b, changes, nil
}

// Reasons for which a relay is not used.
var (
	errGap        = errors.New("the relay does not know all changes since the last one read here")
	errOld        = errors.New("the relay is not up to date with the store")
	errUnreadable = errors.New("the relay sent a change that cannot be read")
)

// leaveRelay gives a relay up. The next one is tried after the store was asked
// once, and each one again after a while.
func (w *watch) leaveRelay(ctx context.Context, address string, cause error) {
	w.unsubscribe()
	if ctx.Err() != nil {
		return
	}
	if w.turn++; w.turn%len(w.relays.others) == 0 {
		w.redial = time.Now().Add(redialInterval)
	}
	w.f.cfg.Scope.Counter("relay_left").Inc(1)
	w.f.log.Info("relay_left", zap.String("relay", address), zap.Uint64("revision", w.index), zap.Error(cause))
}

func (w *watch) unsubscribe() {
	if w.subscription != nil {
		w.subscription.Close()
		w.subscription = nil
		w.f.relayed.Store(false)
	}
}

// advance takes in the changes up to an index.
func (w *watch) advance(ctx context.Context, e event, index uint64, asOf time.Time) {
	w.index, w.asOf = index, asOf
	w.f.send(ctx, e)
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
	// A call that has hung has been waited for already.
	supervisor.Sleep(ctx, time.Duration((0.5+0.5*w.f.cfg.Jitter())*float64(w.backoff))-time.Since(w.began))
}

func (f *Follower) send(ctx context.Context, e event) {
	select {
	case f.events <- e:
	case <-ctx.Done():
	}
}
