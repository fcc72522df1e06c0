package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"knapweedreel/internal/audit"
	"knapweedreel/internal/health"
	"knapweedreel/internal/member"
	"knapweedreel/internal/routing"
	"knapweedreel/internal/wire"
)

// ErrStopped is returned when the loop no longer accepts events.
var ErrStopped = errors.New("control: loop stopped")

// outcomeBatch is the maximum number of outcomes handled as one event, so that
// other events are not delayed.
const outcomeBatch = 512

// event is an input of the loop. apply is called on the loop's goroutine.
type event interface {
	apply(l *Loop, now time.Time)
}

// Loop owns the control state of an instance.
type Loop struct {
	cfg          Config
	events       chan event
	outcomes     chan health.Outcome
	auditRecords chan audit.Record
	stopped      chan struct{}
	snapshot     atomic.Pointer[routing.Snapshot]
	lastEvent    atomic.Int64 // time of the last event, in nanoseconds since started
	inFlight     atomic.Pointer[func() []wire.InFlight]
	holder       atomic.Pointer[knownHolder]
	metrics      metrics

	// The fields below are used only by the goroutine of Run.
	started          time.Time
	ran              bool
	pause            pauseDetector
	engine           Engine
	engineClock      engineClock
	self             member.Info
	sequence         uint64 // of sent messages
	table            *member.Table
	links            map[string]*link
	otherShardPeers  map[string]bool // randomly chosen members of other shards to keep links to
	linkTargets      map[string]bool // all members to keep links to
	relink           bool            // links need to be chosen again
	shards           int             // number of shards for which the engine's services were selected
	documents        documents
	ready            readiness
	audits           auditQueue
	decisions        decisions
	pendingTraces    []*trace // start with the next tick
	traces           []*trace
	leavingUpstreams leavingUpstreams
	publisher        publisher
	lastSync         time.Time
}

// New returns a Loop. Snapshot can be called at once; events are processed only
// by Run.
func New(cfg Config) *Loop {
	l := &Loop{
		cfg:          cfg,
		ready:        readiness{round: 1},
		events:       make(chan event, EventQueue),
		outcomes:     make(chan health.Outcome, OutcomeQueue),
		auditRecords: make(chan audit.Record, auditBuffer),
		stopped:      make(chan struct{}),
		metrics:      newMetrics(cfg.Scope),
		self:         cfg.Self,
	}
	if cfg.InFlight != nil {
		l.SetInFlight(cfg.InFlight)
	}
	now := cfg.Clock.Now()
	l.started = now
	l.engineClock = newEngineClock(now)
	l.pause = newPauseDetector(0, now.Round(0))
	l.table = member.NewTable(l.self, cfg.PeerTimeout, now)
	l.links = make(map[string]*link)
	l.otherShardPeers = make(map[string]bool)
	l.linkTargets = make(map[string]bool)
	l.decisions = newDecisions(cfg.Explanations)
	l.documents.init()
	l.reset(now)
	return l
}

// reset creates a new health engine and publishes a snapshot. Documents, members
// and links survive a restart of the loop: documents must not revert, and
// peering does not report its links again. Evidence is rebuilt from outcomes and
// peers.
func (l *Loop) reset(now time.Time) {
	l.engine = l.cfg.NewEngine()
	l.leavingUpstreams = newLeavingUpstreams()
	l.publisher = newPublisher()
	l.shards = 0
	l.publisher.markAll(true)
	l.publish(now)
}

// Run processes events until ctx is done. It may be called again after it
// returned an error.
func (l *Loop) Run(ctx context.Context) error {
	ticks, stop := l.cfg.Clock.Tick(health.TickInterval)
	defer stop()
	now := l.cfg.Clock.Now()
	if l.ran {
		l.reset(now)
	}
	l.ran = true
	l.pause = newPauseDetector(now.Sub(l.started), now.Round(0))
	go l.runWatchdog(ctx)
	defer l.closeTraces()
	var due <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-l.events:
			l.handle(e)
		case o := <-l.outcomes:
			l.handle(outcomeEvent(l.batchOutcomes(o)))
		case <-ticks:
			l.handle(tickEvent{})
		case <-due:
			due = nil
			l.handle(publishEvent{})
		}
		if l.publisher.dirty && due == nil {
			due = l.cfg.Clock.After(PublishInterval)
		}
	}
}

// Stop makes calls that wait for the loop return ErrStopped. It must be called
// once, when Run will not be called again.
func (l *Loop) Stop() { close(l.stopped) }

// handle applies one event. It reports a pause to the engine before it applies
// the event, so that outcomes queued during the pause count as observed by a
// paused process.
func (l *Loop) handle(e event) {
	now := l.cfg.Clock.Now()
	l.lastEvent.Store(int64(now.Sub(l.started)))
	if d := l.pause.observe(now.Sub(l.started), now.Round(0)); d > 0 {
		l.handlePause(now, d)
	}
	e.apply(l, now)
	l.sendLeavingUpstreams(now)
	l.publishIfDue(now)
}

// batchOutcomes returns first and the outcomes that are already queued, at most
// outcomeBatch in total.
func (l *Loop) batchOutcomes(first health.Outcome) []health.Outcome {
	out := []health.Outcome{first}
	for len(out) < outcomeBatch {
		select {
		case o := <-l.outcomes:
			out = append(out, o)
		default:
			return out
		}
	}
	return out
}

// submit queues an event and blocks while the queue is full.
func (l *Loop) submit(ctx context.Context, e event) error {
	select {
	case l.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.stopped:
		return ErrStopped
	}
}

// post is submit for callers without a deadline. The loop drains its queue within
// milliseconds, and a link that blocks here delays only its own peer.
func (l *Loop) post(e event) { _ = l.submit(context.Background(), e) }

type tickEvent struct{}

func (tickEvent) apply(l *Loop, now time.Time) {
	l.startTraces(now)
	l.feed(now, health.Event{Tick: &health.Tick{}})
	l.expireMembers(now)
	l.sendEvidence(now)
	l.markFrequentChanges()
	l.sendHeartbeats(now, l.cfg.Heartbeat)
	if now.Sub(l.lastSync) >= SyncInterval {
		l.lastSync = now
		l.metrics.updateGauges(l)
		l.synchronize()
		if l.relink {
			l.chooseLinks()
		}
	}
	l.flushAudits()
}

// feed passes an event to the health engine and processes its decisions.
func (l *Loop) feed(now time.Time, e health.Event) {
	at := l.engineClock.time(now)
	l.traceEvent(at, e)
	changes := l.engine.Apply(at, e)
	for _, c := range changes {
		l.recordDecision(c)
	}
}

// recordDecision stores, counts and logs a change of an upstream's state, and
// marks its service for the next snapshot.
func (l *Loop) recordDecision(c health.Change) {
	l.decisions.add(c)
	urgent := c.To == health.Ejected || c.To == health.Leaving || c.Rule == health.RuleFloorReinstate
	l.publisher.markService(c.Upstream.Service, urgent)
	l.metrics.countDecision(c)
	// Every new document adds upstreams, and a change of the number of shards
	// moves thousands, so only actual decisions are logged at info level.
	level, decision := zap.InfoLevel, c.Rule != health.RuleNewUpstream && c.Rule != health.RuleRemoved
	if !decision {
		level = zap.DebugLevel
	}
	l.cfg.Log.Log(level, "upstream_state",
		zap.String("service", c.Upstream.Service), zap.String("upstream", c.Upstream.Upstream),
		zap.String("from", string(c.From)), zap.String("to", string(c.To)), zap.String("rule", string(c.Rule)),
		zap.Uint64("revision", c.Revision), zap.Float64("score", c.Score), zap.Float64("threshold", c.Threshold),
		zap.Strings("reporters", c.Reporters), zap.Uint64("successes", c.Successes), zap.Uint64("failures", c.Failures),
		zap.Int("healthy", c.Healthy), zap.Int("floor", c.Floor), zap.String("detail", c.Detail))
	if decision {
		l.recordAudit(changeRecord(l.self.ID, c))
	}
}

// handlePause handles a pause of this process.
func (l *Loop) handlePause(now time.Time, d time.Duration) {
	l.metrics.pauses.Inc(1)
	l.cfg.Log.Warn("process_paused", zap.Duration("duration", d))
	l.table.Resume(d)
	l.engineClock.catchUp(now)
	l.feed(now, health.Event{Paused: &health.Paused{Duration: d}})
	if d > RecheckThreshold && l.ready.done {
		l.ready.begin()
		l.publisher.markAll(true)
		l.requestRevisions(l.linkedIDs()...)
	}
}
