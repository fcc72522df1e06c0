package health

import (
	"slices"
	"time"

	"knapweedreel/internal/document"
)

// Engine holds the evidence and the states of all upstreams at one instance.
// It is not safe for concurrent use.
type Engine struct {
	config           Config
	now              time.Time // time of the latest event; never decreases
	services         map[string]*service
	serviceNames     []string // sorted, so that results do not depend on map order
	peers            map[string]*peer
	lostPeers        map[string]bool        // peers that timed out
	pendingLeaving   map[Key]leavingSources // upstreams that no document names yet
	unannounced      []Key                  // leaving upstreams to announce to peers
	selfSuspicion    selfSuspicion
	partitionedUntil map[string]time.Time // by region: end of the assumed partition
	lastTick         time.Time
	lastRotation     time.Time // of the old-failure counts sent to peers
	changes          []Change  // of the event being applied
}

// service is the state of one service and its applied document.
type service struct {
	name        string
	revision    uint64
	document    *document.Document
	limits      limits
	upstreams   []*upstream // in the order of the document
	byID        map[string]*upstream
	ownTraffic  window                 // outcomes at this instance
	peerTraffic map[string]peerTraffic // by peer
	baseline    baseline
	callers     callers
	routes      routes
}

// upstream is the state of one upstream at this instance.
type upstream struct {
	key            Key
	spec           document.Upstream
	state          State
	since          time.Time // start of the current state
	coldStartAt    time.Time
	leaving        leavingSources
	failed         score           // failures other than slow responses
	slow           score           // slow responses
	lastReporters  lastTwo[string] // the last two with traffic to the upstream
	remoteFailures remoteFailures
	lastOwnOutcome ownOutcome
	outgoing       outgoing
	recent         struct{ failed, slow window } // from all reporters, for the baseline
	recovery       recovery
	heldByFloor    bool // the floor prevents an ejection
	last           Change
}

// New returns an Engine without documents.
func New(cfg Config) *Engine {
	return &Engine{
		config:           cfg,
		services:         map[string]*service{},
		peers:            map[string]*peer{},
		lostPeers:        map[string]bool{},
		pendingLeaving:   map[Key]leavingSources{},
		partitionedUntil: map[string]time.Time{},
	}
}

// Apply processes one event and returns the resulting changes in order. If now
// is before the time of an earlier event, that time is used. Events for unknown
// services or upstreams change no state.
func (e *Engine) Apply(now time.Time, ev Event) []Change {
	if now.After(e.now) {
		e.now = now
	}
	e.changes = nil
	switch {
	case ev.Outcome != nil:
		e.applyOutcome(*ev.Outcome)
	case ev.Peer != nil:
		e.applyPeer(*ev.Peer)
	case ev.PeerLost != nil:
		e.applyPeerLost(*ev.PeerLost)
	case ev.Document != nil:
		e.applyDocument(*ev.Document)
	case ev.Leaving != nil:
		e.applyLeaving(*ev.Leaving)
	case ev.Paused != nil:
		e.applyPaused(*ev.Paused)
	case ev.Tick != nil:
		e.applyTick()
	}
	changes := e.changes
	e.changes = nil
	return changes
}

// Views returns the state of the service's upstreams in document order, or nil
// for an unknown service.
func (e *Engine) Views(service string) []View {
	s := e.services[service]
	if s == nil {
		return nil
	}
	views := make([]View, len(s.upstreams))
	for i, u := range s.upstreams {
		views[i] = View{
			Upstream:   u.key,
			State:      u.state,
			Weight:     e.weight(u),
			Score:      u.score(),
			Threshold:  s.limits.threshold,
			Since:      u.since,
			LastChange: u.last,
		}
	}
	return views
}

// Healthy returns the total slots of the service's upstreams in service, and
// its floor in slots.
func (e *Engine) Healthy(service string) (slots, floor int) {
	s := e.services[service]
	if s == nil {
		return 0, 0
	}
	return s.healthySlots(), s.document.FloorSlots
}

func (e *Engine) find(key Key) (*service, *upstream) {
	s := e.services[key.Service]
	if s == nil {
		return nil, nil
	}
	return s, s.byID[key.Upstream]
}

// setState sets the upstream's state and records a Change.
func (e *Engine) setState(s *service, u *upstream, to State, rule Rule, detail string) {
	from := u.state
	u.state = to
	if from != to {
		u.since = e.now
		u.heldByFloor = false
	}
	e.record(s, u, from, rule, detail)
}

// record appends a Change to those of the current event.
func (e *Engine) record(s *service, u *upstream, from State, rule Rule, detail string) {
	worst := u.worst()
	u.last = Change{
		Time:      e.now,
		Upstream:  u.key,
		From:      from,
		To:        u.state,
		Rule:      rule,
		Revision:  s.revision,
		Score:     worst.sum,
		Threshold: s.limits.threshold,
		Reporters: worst.reporterNames(),
		Successes: worst.successes,
		Failures:  worst.failures,
		Healthy:   s.healthySlots(),
		Floor:     s.document.FloorSlots,
		Detail:    detail,
	}
	e.changes = append(e.changes, u.last)
}

// eachService calls f for every service in name order.
func (e *Engine) eachService(f func(*service)) {
	for _, name := range slices.Clone(e.serviceNames) {
		f(e.services[name])
	}
}
