package placement

import (
	"slices"
	"time"
)

// Tracker follows the upstreams of one service. It is not safe for concurrent
// use.
type Tracker struct {
	model     Model
	unknown   float64 // probability of failure without any evidence
	upstreams map[string]*state
	times     map[string]*Times // by route
	first     time.Time         // when the first upstream was seen
	losing    bool              // the service loses requests, as of the latest choice
	judged    time.Time         // when losing was found out

	sinceStale  int // choices since an upstream was used that was not used for a while
	sinceRetest int // choices since an upstream believed to be faulty was used
}

// state is what is known of one upstream.
type state struct {
	belief
	known    time.Time // first candidate of a decision
	tried    bool
	last     time.Time // start of the latest attempt, also by other instances
	inFlight int
	others   int       // requests of other instances, as last reported
	reported time.Time // when others was learned
	full     time.Time // refuses requests until then
}

// NewTracker returns a tracker without upstreams.
func NewTracker(m Model) *Tracker {
	t := &Tracker{model: m, upstreams: make(map[string]*state), times: make(map[string]*Times)}
	t.unknown = t.model.prospects(t.model.start())
	return t
}

// Times returns the estimate for a route. The guess is used while the route is
// new.
func (t *Tracker) Times(route string, guess time.Duration) *Times {
	e := t.times[route]
	if e == nil {
		e = NewTimes(guess)
		t.times[route] = e
	}
	return e
}

func (t *Tracker) state(id string, now time.Time) *state {
	s := t.upstreams[id]
	if s == nil {
		if t.first.IsZero() {
			t.first = now
		}
		s = &state{known: now}
		s.settled, s.at = t.model.start(), now
		t.upstreams[id] = s
	}
	return s
}

// Start notes that a request is sent to an upstream.
func (t *Tracker) Start(id string, times *Times, now time.Time) *Attempt {
	s := t.state(id, now)
	s.inFlight++
	s.tried = true
	s.last = now
	a := &Attempt{start: now, times: times, retest: s.fails(&t.model, now) > t.unknown+staleMargin}
	s.add(a)
	return a
}

// add inserts an attempt in the order of starts.
func (b *belief) add(a *Attempt) {
	i := len(b.evidence)
	for i > 0 && b.evidence[i-1].start.After(a.start) {
		i--
	}
	b.evidence = slices.Insert(b.evidence, i, a)
	b.changed()
}

// End notes what came of an attempt and frees its place. It returns the outcome
// that counts: an attempt that was given up on may be Bad.
func (t *Tracker) End(id string, a *Attempt, o Outcome, now time.Time) Outcome {
	s := t.state(id, now)
	s.inFlight = max(0, s.inFlight-1)
	t.settle(s, a, o, now)
	return a.outcome
}

// silentShare is the share of healthy answers that still come, below which an
// attempt that was given up on counts against its upstream.
const silentShare = 0.05

func (t *Tracker) settle(s *state, a *Attempt, o Outcome, now time.Time) {
	if a.outcome != Pending {
		return
	}
	if o == Void && a.times.slower(now.Sub(a.start)) < silentShare {
		o = Bad // it was given up on because the upstream was silent
	}
	a.outcome = o
	if o == Good {
		a.times.Add(now.Sub(a.start))
	}
	s.fold(&t.model, now)
	s.changed()
}

// RemoteStart notes that another instance has sent a request to an upstream.
func (t *Tracker) RemoteStart(id string, times *Times, started, now time.Time) *Attempt {
	s := t.state(id, now)
	a := &Attempt{start: started, times: times, remote: true}
	s.fold(&t.model, now)
	s.add(a)
	if started.After(s.last) {
		s.last = started
	}
	return a
}

// RemoteEnd notes what came of another instance's attempt.
func (t *Tracker) RemoteEnd(id string, a *Attempt, o Outcome, now time.Time) {
	t.settle(t.state(id, now), a, o, now)
}

// loadAge is the time for which a reported load is used.
const loadAge = 2 * time.Second

// Load takes in the number of requests that an upstream has, waiting ones
// included.
func (t *Tracker) Load(id string, total int, now time.Time) {
	s := t.state(id, now)
	s.others = max(0, total-s.inFlight)
	s.reported = now
}

// fullTime is the time for which an upstream that has refused a request gets no
// other one.
const fullTime = 150 * time.Millisecond

// Full notes that an upstream has refused a request for lack of room.
func (t *Tracker) Full(id string, now time.Time) { t.state(id, now).full = now.Add(fullTime) }

// Forget drops the upstreams for which keep returns false and which have no
// request in flight.
func (t *Tracker) Forget(keep func(id string) bool) {
	for id, s := range t.upstreams {
		if s.inFlight == 0 && !keep(id) {
			delete(t.upstreams, id)
		}
	}
}
