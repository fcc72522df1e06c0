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

// ErrStopped means that the loop no longer takes events.
var ErrStopped = errors.New("control: stopped")

// outcomeBatch bounds the outcomes that are handled before other events get
// their turn.
const outcomeBatch = 512

// event is an input of the loop. apply runs on the loop's goroutine.
type event interface {
	apply(l *Loop, now time.Time)
}

// Loop owns the control state of an instance.
type Loop struct {
	cfg      Config
	events   chan event
	outcomes chan health.Outcome
	audited  chan audit.Record
	stopped  chan struct{}
	snapshot atomic.Pointer[routing.Snapshot]
	turned   atomic.Int64 // time of the last event, in nanoseconds after started
	inFlight atomic.Pointer[func() []wire.InFlight]
	holder   atomic.Pointer[heldLease]
	metrics  metrics

	// The fields below belong to the goroutine of Run.
	started     time.Time
	ran         bool
	pause       pauseDetector
	engine      Engine
	engineClock engineClock
	self        member.Info
	sequence    uint64 // of sent messages
	table       *member.Table
	links       map[string]*link
	chosen      map[string]bool // random links outside the shard
	watched     map[string]bool // members to which links are to be kept
	relink      bool            // links are to be chosen again
	shards      int             // number of shards that the engine's documents follow
	documents   documents
	ready       readiness
	audits      auditQueue
	decisions   decisions
	newTraces   []*trace // begin with the next tick
	traces      []*trace
	leavings    leavings
	publisher   publisher
	lastSync    time.Time
}

// New returns a loop. Snapshot answers from the start; nothing else happens
// before Run.
func New(cfg Config) *Loop {
	l := &Loop{
		cfg:      cfg,
		ready:    readiness{round: 1},
		events:   make(chan event, EventQueue),
		outcomes: make(chan health.Outcome, OutcomeQueue),
		audited:  make(chan audit.Record, auditBuffer),
		stopped:  make(chan struct{}),
		metrics:  newMetrics(cfg.Scope),
		self:     cfg.Self,
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
	l.chosen = make(map[string]bool)
	l.watched = make(map[string]bool)
	l.decisions = newDecisions(cfg.Explanations)
	l.documents.init()
	l.reset(now)
	return l
}

// reset sets up the health engine and publishes. Documents, members and links
// outlive a restart of the loop: documents must not revert, and peering does
// not report its links again. The evidence is rebuilt from traffic and peers.
func (l *Loop) reset(now time.Time) {
	l.engine = l.cfg.NewEngine()
	l.leavings = newLeavings()
	l.publisher = newPublisher()
	l.shards = 0
	l.publisher.all(true)
	l.publish(now)
}

// Run owns the control state until ctx ends. It may be called again after it
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
	go l.watch(ctx)
	defer l.closeTraces()
	var due <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-l.events:
			l.handle(e)
		case o := <-l.outcomes:
			l.handle(outcomeEvent(l.batch(o)))
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

// Stop makes calls that wait for the loop return ErrStopped. It is called once,
// when the loop will not run again.
func (l *Loop) Stop() { close(l.stopped) }

// handle applies one event. A pause is found before the event is applied, so
// that outcomes that waited during the pause count as seen by a paused process.
func (l *Loop) handle(e event) {
	now := l.cfg.Clock.Now()
	l.turned.Store(int64(now.Sub(l.started)))
	if d := l.pause.observe(now.Sub(l.started), now.Round(0)); d > 0 {
		l.resumed(now, d)
	}
	e.apply(l, now)
	l.sendLeavings(now)
	l.settle(now)
}

// batch collects outcomes that are queued already.
func (l *Loop) batch(first health.Outcome) []health.Outcome {
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

// submit hands an event to the loop and waits for room in the queue.
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

// post is submit for callers without a deadline. The loop empties its queue
// within milliseconds; a link that has to wait slows only its own peer down.
func (l *Loop) post(e event) { _ = l.submit(context.Background(), e) }

type tickEvent struct{}

func (tickEvent) apply(l *Loop, now time.Time) {
	l.beginTraces(now)
	l.feed(now, health.Event{Tick: &health.Tick{}})
	l.expireMembers(now)
	l.sendEvidence(now)
	l.refresh()
	l.heartbeats(now, l.cfg.Heartbeat)
	if now.Sub(l.lastSync) >= SyncInterval {
		l.lastSync = now
		l.metrics.observe(l)
		l.synchronize()
		if l.relink {
			l.chooseLinks()
		}
	}
	l.flushAudits()
}

// feed gives an event to the health engine and acts on its decisions.
func (l *Loop) feed(now time.Time, e health.Event) {
	at := l.engineClock.time(now)
	l.traceEvent(at, e)
	changes := l.engine.Apply(at, e)
	for _, c := range changes {
		l.decided(c)
	}
}

// decided notes a change of an upstream's state.
func (l *Loop) decided(c health.Change) {
	l.decisions.add(c)
	urgent := c.To == health.Ejected || c.To == health.Leaves || c.Rule == health.RuleFloorReinstate
	l.publisher.service(c.Upstream.Service, urgent)
	l.metrics.decision(c)
	// Every document brings its upstreams, and a split of shards moves
	// thousands, so that only decisions are worth a line.
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
		l.record(changeRecord(l.self.ID, c))
	}
}

// resumed reacts to a pause of this process.
func (l *Loop) resumed(now time.Time, d time.Duration) {
	l.metrics.pauses.Inc(1)
	l.cfg.Log.Warn("process_paused", zap.Duration("duration", d))
	l.table.Resume(d)
	l.engineClock.catchUp(now)
	l.feed(now, health.Event{Paused: &health.Paused{Duration: d}})
	if d > RecheckLimit && l.ready.done {
		l.ready.begin()
		l.publisher.all(true)
		l.askRevisions(l.linkedIDs()...)
	}
}
