// Package follower maintains an instance's view of the platform's store: it
// watches the store, owns the catalog in one goroutine, publishes routing
// snapshots, and keeps the instance registered as a member of the fleet.
package follower

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"knapweedreel/internal/catalog"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/evidence"
	"knapweedreel/internal/instance/relay"
	"knapweedreel/internal/member"
	"knapweedreel/internal/quota"
	"knapweedreel/internal/routing"
	"knapweedreel/internal/store"
)

// Config configures a Follower.
type Config struct {
	Self    catalog.Member
	Regions map[string]string // failure domain → region
	Log     *zap.Logger
	Scope   tally.Scope
	// Jitter returns a random number from 0 to 1, used to spread retries.
	Jitter func() float64
}

// Follower follows the store. Its three loops run as children of a supervisor.
type Follower struct {
	cfg    Config
	source catalog.Source
	log    *zap.Logger

	events       chan event
	snapshot     atomic.Pointer[routing.Snapshot]
	directory    atomic.Pointer[catalog.Directory]
	peers        atomic.Pointer[[]netip.AddrPort]
	keys         atomic.Pointer[evidence.Keys]
	relays       atomic.Pointer[relays]
	quotaMembers atomic.Pointer[[]quota.Member]
	loadPeers    atomic.Pointer[[]netip.AddrPort]
	changeLog    *relay.Log
	usingRelay   atomic.Bool // subscribed to a relay that is up to date
	serves       atomic.Bool // callers are directed to this instance
	width        chan int
	ready        chan struct{}          // closed once there is a configuration
	leaving      chan struct{}          // closed by Leave
	promoted     chan struct{}          // receives a value when serves becomes true
	newEra       chan catalog.Era       // receives the era in which the store has come back
	missingKey   atomic.Pointer[[]byte] // the key in use if the store lacks one in its present era, else nil

	// Owned by the control goroutine.
	catalog      *catalog.Catalog
	table        *routing.Table
	serving      int // instances among which the callers of all regions are spread
	version      uint64
	key          []byte
	keyChangedAt time.Time // when key replaced another one, zero if that is no longer accepted
	sequence     uint64
	held         *event    // stale first content, nil if none; see hold
	lastResponse time.Time // last response of the store or a relay
	appliedAt    time.Time // when the configuration took effect
}

// event is the result of a read, sent to the control goroutine.
type event struct {
	changes   []catalog.Change
	at        catalog.Position // up to which the changes are complete
	complete  bool             // changes are the complete content of the store
	stale     bool             // the content may be some seconds old
	fromRelay bool             // changes are from a relay, without a gap
	err       error            // the store could not be read
}

// New returns a follower. It does nothing until its loops are run.
func New(cfg Config, source catalog.Source) *Follower {
	f := &Follower{
		cfg: cfg, source: source, log: cfg.Log,
		events: make(chan event), width: make(chan int, 1),
		ready: make(chan struct{}), leaving: make(chan struct{}), promoted: make(chan struct{}, 1), newEra: make(chan catalog.Era, 1),
		catalog: catalog.New(), changeLog: relay.NewLog(),
	}
	f.relays.Store(new(relays))
	f.quotaMembers.Store(new([]quota.Member))
	f.loadPeers.Store(new([]netip.AddrPort))
	f.keys.Store(&evidence.Keys{})
	f.publish(time.Now())
	return f
}

// Snapshot returns the current routing snapshot, never nil.
func (f *Follower) Snapshot() *routing.Snapshot { return f.snapshot.Load() }

// Directory returns the members that callers are directed to, never nil.
func (f *Follower) Directory() *catalog.Directory { return f.directory.Load() }

// Peers returns the UDP addresses of the other instances that serve callers of
// this region.
func (f *Follower) Peers() []netip.AddrPort { return *f.peers.Load() }

// QuotaMembers returns the instances that serve callers of any region, none if the
// configuration has no client accounts. The slice is replaced when they change.
func (f *Follower) QuotaMembers() *[]quota.Member { return f.quotaMembers.Load() }

// Keys returns the fleet's keys for messages between instances.
func (f *Follower) Keys() evidence.Keys { return *f.keys.Load() }

// ChangeLog returns the log of the changes read from the store.
func (f *Follower) ChangeLog() *relay.Log { return f.changeLog }

// Ready reports whether the instance has a configuration and is not leaving.
func (f *Follower) Ready() bool {
	select {
	case <-f.leaving:
		return false
	default:
		return f.Snapshot().Ready
	}
}

// Leave withdraws the registration and makes the instance not ready. It must be
// called at most once.
func (f *Follower) Leave() { close(f.leaving) }

// tickInterval is the time between checks for changes that depend on time only.
const tickInterval = 250 * time.Millisecond

// Run runs the control loop, which owns the catalog.
func (f *Follower) Run(ctx context.Context) error {
	ticks := time.NewTicker(tickInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-f.events:
			f.apply(e, time.Now())
		case now := <-ticks.C:
			f.updateGauges(now)
			if f.logEvents(f.catalog.Tick(now)) {
				f.publish(now)
			}
			f.dropOldKey(now)
		}
	}
}

// updateGauges updates the gauges of the store, the relay and the configuration.
func (f *Follower) updateGauges(now time.Time) {
	f.cfg.Scope.Gauge("store_silence_seconds").Update(now.Sub(f.lastResponse).Seconds())
	usingRelay := 0.0
	if f.usingRelay.Load() {
		usingRelay = 1
	}
	f.cfg.Scope.Gauge("relay_followed").Update(usingRelay)
	f.cfg.Scope.Gauge("configuration_version").Update(float64(f.version))
	f.cfg.Scope.Gauge("configuration_age_seconds").Update(now.Sub(f.appliedAt).Seconds())
}

// countCall counts a call to the store by its result.
func (f *Follower) countCall(call string, err error) {
	result := "ok"
	switch {
	case err == nil:
	case errors.Is(err, catalog.ErrOtherEra):
		result = "other-era"
	case errors.Is(err, catalog.ErrHistoryLost):
		result = "history-lost"
	case errors.Is(err, catalog.ErrExpired):
		result = "expired"
	case errors.Is(err, store.ErrConflict):
		result = "conflict"
	case errors.Is(err, store.ErrUnknownResult):
		result = "unknown"
	default:
		result = "failed"
	}
	f.cfg.Scope.Tagged(map[string]string{"call": call, "result": result}).Counter("platform_store_calls").Inc(1)
}

// hold reports whether an event has to wait: the first content that an instance
// reads after its start may be stale, and name upstreams that have left and a key
// that was withdrawn. The same holds for the first content of another era. It is
// applied together with the first changes after it or, if the store is lost before
// these arrive, as it is.
func (f *Follower) hold(e event, now time.Time) bool {
	if e.complete && e.stale && (!f.catalog.Loaded() || e.at.Era > f.catalog.Era()) {
		f.held = &e
		return true
	}
	held := f.held
	f.held = nil
	if held != nil && !e.complete {
		f.logEvents(f.reset(held, now))
		if e.err != nil {
			f.lastResponse = now
			f.publish(now)
		}
	}
	return false
}

func (f *Follower) apply(e event, now time.Time) {
	caughtUp := f.held != nil
	if f.hold(e, now) {
		return
	}
	if e.err != nil {
		f.catalog.StoreLost()
		return
	}
	f.lastResponse = now
	if e.fromRelay {
		f.catalog.Resumed()
	} else {
		f.catalog.StoreReached(now)
	}
	var events []catalog.Event
	if e.complete {
		events = f.reset(&e, now)
	} else if e.at.Era == f.catalog.Era() {
		for i := range e.changes {
			events = append(events, f.catalog.Apply(&e.changes[i], now)...)
		}
	}
	if f.logEvents(events) || e.complete || len(e.changes) > 0 || caughtUp {
		f.publish(now)
	}
}

// reset applies a complete content. If it is of another era, the registration and
// the fleet's key have to be written again.
func (f *Follower) reset(e *event, now time.Time) []catalog.Event {
	loaded, era := f.catalog.Loaded(), f.catalog.Era()
	events := f.catalog.Reset(e.changes, e.at.Era, now)
	if loaded && f.catalog.Era() != era {
		select {
		case <-f.newEra: // MaintainRegistration has not received the previous one yet
		default:
		}
		f.newEra <- f.catalog.Era()
	}
	return events
}

// logEvents logs and counts the events, and reports whether there are any.
func (f *Follower) logEvents(events []catalog.Event) bool {
	for _, e := range events {
		f.log.Info(e.Name, zap.String("id", e.ID), zap.String("detail", e.Detail), zap.Uint64("revision", e.Revision))
		f.cfg.Scope.Tagged(map[string]string{"event": e.Name}).Counter("catalog_events").Inc(1)
	}
	return len(events) > 0
}

// publish builds a new snapshot and makes it the current one.
func (f *Follower) publish(now time.Time) {
	old := f.table
	if c := f.catalog.Configuration(); c != nil {
		if c.Version != f.version {
			f.version, f.table, f.appliedAt = c.Version, c.Table(), now
		}
	}
	self := member.Info{
		ID: f.cfg.Self.ID, Incarnation: uint64(f.cfg.Self.Incarnation), EntryAddress: f.cfg.Self.Address,
		Region: f.cfg.Self.Region, FailureDomain: f.cfg.Self.FailureDomain, State: member.Active,
	}
	snap := f.catalog.Snapshot(catalog.SnapshotInput{Self: self, Regions: f.cfg.Regions}, f.table, now)
	f.sequence++
	snap.Sequence = f.sequence
	if d := f.catalog.Directory(); d != f.directory.Load() || f.table != old {
		f.directory.Store(d)
		f.serving = d.ServingInstances()
		f.publishPeers(d)
		serving := f.servingMembers(d)
		f.publishQuotaMembers(serving)
		f.publishLoadPeers(serving)
		f.publishRelays(d)
	}
	snap.ServingInstances = f.serving
	f.publishKeys()
	f.snapshot.Store(snap)
	if snap.Ready {
		select {
		case <-f.ready:
		default:
			close(f.ready)
			f.log.Info("ready", zap.Uint64("configuration", f.version))
		}
	}
}

// ReportOutcome counts the outcome of an attempt. The entry itself makes the
// decisions that are based on outcomes.
func (f *Follower) ReportOutcome(o health.Outcome) {
	f.cfg.Scope.Tagged(map[string]string{"service": o.Upstream.Service, "class": o.Class.String()}).Counter("outcomes").Inc(1)
}
