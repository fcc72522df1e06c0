package health

import (
	"slices"
	"time"

	"knapweedreel/internal/document"
)

// Engine holds the evidence and the states of all upstreams at one instance.
// It is not safe for concurrent use: the control goroutine owns it.
type Engine struct {
	config   Config
	now      time.Time // time of the latest event; never goes back
	services map[string]*service
	names    []string // of services, sorted, so that no result depends on map order
	peers    map[string]*peer
	lost     map[string]bool    // peers not heard from
	pending  map[Key]leavingSet // of upstreams that no document names yet
	untold   []Key              // leaving upstreams that peers were not told of
	doubt    doubt
	cut      map[string]time.Time // by region: until when it is taken as cut off
	ticked   time.Time            // time of the last tick
	rotated  time.Time            // when the windows of own counts last moved
	changes  []Change             // of the event being applied
}

// service is a service with the document in force.
type service struct {
	name      string
	revision  uint64
	document  *document.Document
	limits    limits
	upstreams []*upstream // in the order of the document
	byID      map[string]*upstream
	traffic   window                     // own outcomes
	reported  map[string]reportedTraffic // by peer
	baseline  baseline
	callers   callers
	routes    routes
}

// upstream is what this instance knows of one upstream.
type upstream struct {
	key      Key
	spec     document.Upstream
	state    State
	since    time.Time // of the state
	appeared time.Time // start of the cold start
	leaving  leavingSet
	failed   score            // failures other than slowness
	slow     score            // slow answers
	seen     presence[string] // reporters with traffic to the upstream
	outside  outside
	ownLast  ownLast
	own      own
	recent   struct{ failed, slow window } // merged counts for the baseline
	recovery recovery
	held     bool // an ejection is held by the floor
	last     Change
}

// New returns an Engine without documents.
func New(cfg Config) *Engine {
	return &Engine{
		config:   cfg,
		services: map[string]*service{},
		peers:    map[string]*peer{},
		lost:     map[string]bool{},
		pending:  map[Key]leavingSet{},
		cut:      map[string]time.Time{},
	}
}

// Apply takes one event at the given time and returns the changes of state
// that follow from it, in the order in which they were made. An event with a
// time before that of an earlier event counts as simultaneous with it. Events
// about unknown services or upstreams change nothing.
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

// Views returns the state of the service's upstreams in the order of its
// document; nil for an unknown service.
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

// Healthy returns the slots of the service's upstreams in service, and the
// document's floor, in slots.
func (e *Engine) Healthy(service string) (slots, floor int) {
	s := e.services[service]
	if s == nil {
		return 0, 0
	}
	return s.healthy(), s.document.FloorSlots
}

func (e *Engine) find(key Key) (*service, *upstream) {
	s := e.services[key.Service]
	if s == nil {
		return nil, nil
	}
	return s, s.byID[key.Upstream]
}

// setState changes the state and records the change.
func (e *Engine) setState(s *service, u *upstream, to State, rule Rule, detail string) {
	from := u.state
	u.state = to
	if from != to {
		u.since = e.now
		u.held = false
	}
	e.record(s, u, from, rule, detail)
}

// record adds a Change to those of the current event.
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
		Healthy:   s.healthy(),
		Floor:     s.document.FloorSlots,
		Detail:    detail,
	}
	e.changes = append(e.changes, u.last)
}

// eachService calls f for every service in the order of names.
func (e *Engine) eachService(f func(*service)) {
	for _, name := range slices.Clone(e.names) {
		f(e.services[name])
	}
}
