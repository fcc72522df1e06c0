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

// Times of the watch. A configuration must be in effect within 2 s after the
// store has confirmed it, the shortest bound of the users' deployments, even if
// the relay is lost at that moment. maxRelayAge plus the time of a call must
// therefore stay below 2 s.
const (
	// minRetryDelay and maxRetryDelay bound the time between calls to a store that
	// fails.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
	// batchInterval is the minimum time from the start of a call that returns
	// changes to the next call. Changes in between are returned together, which
	// saves calls.
	batchInterval = 700 * time.Millisecond
	// startBatchInterval replaces batchInterval for the first changes: at the start
	// of a fleet, all instances may register and have yet to learn the key and which
	// of them are relays.
	startBatchInterval = 1200 * time.Millisecond
	// maxWatchWait is the maximum time between two responses of the store. It
	// bounds the time until an instance that waits for changes notices that the
	// store has dropped its history or is no longer reachable.
	maxWatchWait = 1200 * time.Millisecond
	// maxRelayAge is the maximum age of a relay's changes; beyond it, the store
	// itself is polled. It allows 300 ms for the calls and messages between two
	// responses.
	maxRelayAge = maxWatchWait + 300*time.Millisecond
	// relayedPollInterval is about the time between calls to a store that is lost, by
	// an instance that its relay will tell of the store's return. It bounds the delay
	// if the store returns for this instance only.
	relayedPollInterval = 1500 * time.Millisecond
	// maxCallTime is the longest time that a call takes beyond its wait. A process
	// that notices the response later was paused.
	maxCallTime = 1500 * time.Millisecond
	// pauseSlack is the time after its deadline at which a batch is still read in
	// time, to allow for a busy processor.
	pauseSlack = 250 * time.Millisecond
	// minWatchWait is the shortest wait for changes.
	minWatchWait = 100 * time.Millisecond
	// parallelLoadInterval is the time between the parallel calls that read the
	// content of a lost store, and maxParallelLoads is their number. Together with
	// the attempt at a relay that follows, the store's return is noticed within
	// 500 ms. The grace period for expired entries then ends less than 3 s after
	// the return, when an instance counts as healthy again on the users' platform.
	parallelLoadInterval = 300 * time.Millisecond
	maxParallelLoads     = 4
	// redialInterval is the time after which relays are tried again when all of them
	// have failed. relayResponseTimeout bounds the time until the first batch of a
	// new subscription.
	redialInterval = time.Second
	// eraLoadSpread is the time over which the instances read the content after the
	// store has come back in another era. Together with the time until a relay or a
	// response names the era, it is below the 2 s for a configuration.
	eraLoadSpread        = 500 * time.Millisecond
	relayResponseTimeout = 300 * time.Millisecond
)

// Watch reads the store's content and then follows its changes, through the
// failure domain's relay if that is up to date.
func (f *Follower) Watch(ctx context.Context) error {
	w := watch{f: f, allowStale: true}
	defer w.unsubscribe()
	for ctx.Err() == nil {
		if err := w.step(ctx); err != nil {
			w.handleFailure(ctx, err)
		}
	}
	return nil
}

// watch is the state of the Watch loop.
type watch struct {
	f          *Follower
	batched    bool             // startBatchInterval has been used
	loaded     bool             // the store can be polled for changes after the index
	mixed      bool             // parts of the loaded content are newer than the index
	allowStale bool             // the next load may return stale content
	otherEra   bool             // the store was found in another era, and the content is to be read
	index      catalog.Position // of the last change that was read
	lastGap    catalog.Position // position of the relay that awaitRelay has last found too far ahead
	asOf       time.Time        // when there were no changes after the index, zero if unknown
	callStart  time.Time        // start of the latest call to the store
	backoff    time.Duration
	lostSince  time.Time // when the store was lost, zero while it can be reached

	relays       *relays             // as of the last call of subscribe
	subscription *relay.Subscription // nil if there is none
	nextRelay    int                 // index of the relay to try next, modulo their number
	redialAfter  time.Time           // when relays may be tried again
}

// step reads new changes and sends them to the control goroutine. A relay can
// also provide them after calls to the store have failed.
func (w *watch) step(ctx context.Context) error {
	// A relay may be older than parts of mixed content, and its changes would undo
	// them for a while. The store returns all changes up to now at once.
	if !w.index.IsZero() && !w.mixed && w.followRelay(ctx) {
		w.loaded = true
		return nil
	}
	w.callStart = time.Now()
	if !w.loaded {
		return w.load(ctx)
	}
	return w.poll(ctx)
}

// load reads the complete content.
func (w *watch) load(ctx context.Context) error {
	w.awaitTurn(ctx)
	stale, known := w.allowStale, w.index
	content, err := w.loadParallel(ctx)
	// The first load may be stale because all instances may start at once. It may
	// also be stale after a refused call, which spares the store.
	w.allowStale = err != nil && errors.Is(err, store.ErrUnavailable) && !errors.Is(err, catalog.ErrOtherEra)
	if err != nil {
		return err
	}
	if content.Index.Era < known.Era {
		return errors.Wrapf(catalog.ErrOtherEra, "content of era %d after changes of era %d", content.Index.Era, known.Era)
	}
	e, index := event{complete: true, stale: stale, changes: content.Changes, at: content.Index}, content.Index
	w.mixed = content.Newest.Compare(index) == catalog.Newer
	if stale && index.Compare(known) == catalog.Older {
		// Older in part than what was applied before, of which nothing may be undone:
		// the changes since then follow, or the store reports that its history is lost.
		e, index, w.mixed = event{at: known}, known, false
	}
	w.loaded, w.index, w.asOf = true, index, time.Time{}
	w.f.changeLog.Reset(index, w.asOf)
	w.markReachable()
	w.f.send(ctx, e)
	return nil
}

// awaitTurn spreads the reads of the complete content after the store has come back
// in another era: all instances find out within moments. Relays read at once, because
// the others follow them.
func (w *watch) awaitTurn(ctx context.Context) {
	r := w.f.relays.Load()
	if w.otherEra && !r.primary && len(r.others) > 0 {
		supervisor.Sleep(ctx, time.Duration(w.f.cfg.Jitter()*float64(eraLoadSpread)))
	}
	w.otherEra = false
}

// loadParallel returns the complete content. If the store was lost, it makes
// several calls in parallel: a call that has been hanging since before the
// store's return must not hide the return, and a call that reads page by page may
// take as long as it needs.
func (w *watch) loadParallel(ctx context.Context) (catalog.Content, error) {
	type response struct {
		call    int
		content catalog.Content
		err     error
	}
	ctx, cancel := context.WithCancel(ctx)
	responses := make(chan response, maxParallelLoads)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	newest, failed := 0, 0
	call := func() {
		newest++
		n, stale := newest, w.allowStale
		calls.Go(func() {
			r := response{call: n}
			r.content, r.err = w.f.source.Load(ctx, stale)
			w.f.countCall("load", r.err)
			responses <- r
		})
	}
	call()
	ticks := time.NewTicker(parallelLoadInterval)
	defer ticks.Stop()
	for {
		select {
		case r := <-responses:
			if r.err == nil || r.call == newest {
				return r.content, r.err
			}
			failed++
		case <-ticks.C:
			switch {
			case w.lostSince.IsZero():
			case newest < maxParallelLoads:
				call()
			case failed > 0: // start over rather than wait for the remaining calls
				return catalog.Content{}, errNoResponse
			}
		}
	}
}

// errNoResponse is marked as ErrUnavailable, like a call that had no effect.
var errNoResponse = errors.Mark(errors.New("no response from the store"), store.ErrUnavailable)

// poll waits for new changes from the store.
func (w *watch) poll(ctx context.Context) error {
	wait := max(minWatchWait, maxWatchWait-time.Since(w.asOf)) // minWatchWait while asOf is unknown
	if !w.lostSince.IsZero() {
		wait = minWatchWait // a call that hangs must not hide the return of the store
	}
	changes, index, err := w.f.source.Changes(ctx, w.index, wait)
	w.f.countCall("watch", err)
	if err != nil {
		return err
	}
	w.markReachable()
	w.mixed = false
	w.unsubscribe() // from a relay that was used while the store was unavailable
	raw := make([]relay.Change, 0, len(changes))
	for i := range changes {
		raw = append(raw, relay.Change{Revision: changes[i].Revision, Raw: changes[i].Raw})
	}
	asOf := time.Now()
	if asOf.Sub(w.callStart) > wait+maxCallTime {
		asOf = w.callStart // this process was paused, and the response may be as old
	}
	w.f.changeLog.Extend(raw, index, asOf)
	w.advance(ctx, event{changes: changes, at: index}, index, asOf)
	if len(changes) > 0 {
		interval := batchInterval
		if !w.batched {
			interval, w.batched = startBatchInterval, true
		}
		supervisor.Sleep(ctx, interval-time.Since(w.callStart))
	}
	return nil
}

// followRelay applies the next batch of a relay. It returns false if the store
// has to be polled instead.
func (w *watch) followRelay(ctx context.Context) bool {
	deadline, ok := w.subscribe(ctx)
	if !ok {
		return false
	}
	b, changes, err := w.receive(ctx, deadline)
	if errors.Is(err, errLaterEra) {
		w.f.log.Info("relay_in_later_era", zap.String("relay", w.subscription.Address), zap.Stringer("at", b.Index), zap.Stringer("own", w.index))
		w.unsubscribe()
		w.loaded, w.otherEra, w.allowStale = false, true, false
		return false
	}
	if err != nil {
		w.leaveRelay(ctx, w.subscription.Address, err)
		return false
	}
	// An instance that does not read the store itself does not relay changes.
	w.f.changeLog.Reset(b.Index, time.Time{})
	w.f.usingRelay.Store(true)
	w.advance(ctx, event{changes: changes, at: b.Index, fromRelay: true}, b.Index, b.AsOf)
	return true
}

// subscribe ensures that there is a subscription, and returns the deadline for its
// next batch. It returns false if no relay is to be used now.
func (w *watch) subscribe(ctx context.Context) (deadline time.Time, ok bool) {
	r := w.f.relays.Load()
	if r != w.relays {
		if w.subscription != nil && (len(r.others) == 0 || r.others[0] != w.subscription.Address) {
			w.unsubscribe()
		}
		w.relays, w.nextRelay, w.redialAfter = r, 0, time.Time{}
	}
	switch {
	case r.primary && w.loaded, len(r.others) == 0:
		return time.Time{}, false
	case w.subscription != nil:
		// Batches that arrived while the store was polled can be read at once.
		return later(w.asOf.Add(maxRelayAge), time.Now().Add(minWatchWait)), true
	case time.Now().Before(w.redialAfter):
		return time.Time{}, false
	}
	address := r.others[w.nextRelay%len(r.others)]
	s, err := relay.Subscribe(ctx, address, w.f.Keys, w.index)
	if err != nil {
		w.leaveRelay(ctx, address, err)
		return time.Time{}, false
	}
	w.subscription = s
	w.f.log.Info("relay_subscribed", zap.String("relay", address), zap.Uint64("revision", w.index.Revision))
	return time.Now().Add(relayResponseTimeout), true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// receive returns the next batch of the subscription and its decoded changes, or
// an error if the relay must not be used.
func (w *watch) receive(ctx context.Context, deadline time.Time) (relay.Batch, []catalog.Change, error) {
	b, err := w.subscription.Next(ctx, deadline)
	switch {
	case err != nil:
		return b, nil, err
	case b.Gap && b.Index.Era > w.index.Era:
		return b, nil, errLaterEra
	case b.Gap:
		return b, nil, errGap
	case time.Since(b.AsOf) > maxRelayAge, time.Since(deadline) > pauseSlack: // the batch may have waited while this process was paused
		return b, nil, errOutdated
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
	errLaterEra   = errors.New("the relay has read the store in a later era")
	errGap        = errors.New("the relay lacks changes that this instance has not read yet")
	errOutdated   = errors.New("the relay is not up to date with the store")
	errUnreadable = errors.New("the relay sent a change that cannot be decoded")
)

// leaveRelay stops using a relay. The next one is tried after one call to the
// store. When all have failed, they are tried again after redialInterval.
func (w *watch) leaveRelay(ctx context.Context, address string, cause error) {
	w.unsubscribe()
	if ctx.Err() != nil {
		return
	}
	if w.nextRelay++; w.nextRelay%len(w.relays.others) == 0 {
		w.redialAfter = time.Now().Add(redialInterval)
	}
	w.f.cfg.Scope.Counter("relay_left").Inc(1)
	w.f.log.Info("relay_left", zap.String("relay", address), zap.Uint64("revision", w.index.Revision), zap.Error(cause))
}

func (w *watch) unsubscribe() {
	if w.subscription != nil {
		w.subscription.Close()
		w.subscription = nil
		w.f.usingRelay.Store(false)
	}
}

// advance sends the changes up to an index.
func (w *watch) advance(ctx context.Context, e event, index catalog.Position, asOf time.Time) {
	w.index, w.asOf = index, asOf
	w.f.send(ctx, e)
}

func (w *watch) markReachable() {
	w.backoff = 0
	if !w.lostSince.IsZero() {
		w.f.log.Info("store_regained", zap.Duration("after", time.Since(w.lostSince)), zap.Uint64("revision", w.index.Revision))
		w.lostSince = time.Time{}
	}
}

// handleFailure records a failed call and waits before the next one. Afterwards
// the complete content is read again: history may be missing, and entries that
// expired while the store was unavailable must be distinguished from those that
// expired before.
func (w *watch) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	wasLoaded := w.loaded
	w.loaded, w.mixed = false, false
	if errors.Is(err, catalog.ErrOtherEra) {
		w.f.log.Info("store_in_other_era", zap.Stringer("own", w.index), zap.Error(err))
		w.allowStale, w.otherEra = false, true
		if wasLoaded {
			return
		}
	}
	if errors.Is(err, catalog.ErrHistoryLost) {
		w.f.log.Info("store_history_lost", zap.Uint64("revision", w.index.Revision))
		w.allowStale = false // stale content may be older than the start of the history
		return
	}
	if w.lostSince.IsZero() {
		w.lostSince = time.Now()
		w.f.log.Warn("store_lost", zap.Uint64("revision", w.index.Revision), zap.Error(err))
	}
	w.f.send(ctx, event{err: err})
	if w.backoff == maxRetryDelay && w.awaitRelay(ctx) {
		return
	}
	w.backoff = min(max(minRetryDelay, 2*w.backoff), maxRetryDelay)
	// The duration of the failed call counts towards the delay.
	supervisor.Sleep(ctx, time.Duration((0.5+0.5*w.f.cfg.Jitter())*float64(w.backoff))-time.Since(w.callStart))
}

// awaitRelay waits, while the store is lost, until the failure domain's relay has
// news, which means that the store is back, for at most about relayedPollInterval.
// The number of calls to a store that is down then depends on the number of failure
// domains rather than of instances. It returns false if this instance is the relay,
// cannot reach it or loses it.
func (w *watch) awaitRelay(ctx context.Context) bool {
	r := w.f.relays.Load()
	if r.primary || len(r.others) == 0 {
		return false
	}
	address := r.others[0]
	s, err := relay.Subscribe(ctx, address, w.f.Keys, w.index)
	if err != nil {
		return false
	}
	defer s.Close()
	until := time.Now().Add(time.Duration((0.75 + 0.5*w.f.cfg.Jitter()) * float64(relayedPollInterval)))
	for first := true; ; first = false {
		deadline := until
		if first { // sent at once, however old
			deadline = time.Now().Add(relayResponseTimeout)
		}
		b, err := s.Next(ctx, deadline)
		switch {
		case err != nil:
			return !first && !time.Now().Before(until)
		case b.Gap && b.Index == w.lastGap: // the content was read since, or could not be
			return false
		case b.Gap, time.Since(b.AsOf) <= maxRelayAge:
			if b.Gap {
				w.lastGap = b.Index
			}
			w.f.log.Info("relay_has_news", zap.String("relay", address), zap.Uint64("revision", b.Index.Revision))
			return true
		}
	}
}

func (f *Follower) send(ctx context.Context, e event) {
	select {
	case f.events <- e:
	case <-ctx.Done():
	}
}
