package placement

import (
	"slices"
	"time"
)

// Tracker keeps the state of a service's upstreams and chooses among them. It is
// not safe for concurrent use.
type Tracker struct {
	model            Model
	priorFailure     float64 // failure probability without any evidence
	upstreams        map[string]*upstreamState
	pauses           pauses
	times            map[string]*ResponseTimes // by route
	firstSeen        time.Time                 // when the first upstream was seen
	failing          bool                      // a notable share of requests fails, see isFailing
	failingCheckedAt time.Time                 // when failing was computed

	sinceStale  int // choices since one of a stale upstream
	sinceRetest int // choices since one of a probably faulty upstream
	// sinceSafeRetest is the same for the choices for repeatable requests.
	sinceSafeRetest int

	reservation reservation
}

// upstreamState holds what a Tracker knows about one upstream.
type upstreamState struct {
	filter
	firstSeen  time.Time // when it was first a candidate
	tried      bool      // received a request from this instance
	lastStart  time.Time // start of the latest attempt of any instance
	inFlight   int       // requests of this instance
	peerLoad   int       // requests of other instances, as last reported
	peerLoadAt time.Time // when peerLoad was reported
	// slotsBefore is the number of slots of the region that are kept free before
	// those of this upstream.
	slotsBefore int
}

// NewTracker returns a tracker without upstreams.
func NewTracker(m Model) *Tracker {
	t := &Tracker{model: m, upstreams: make(map[string]*upstreamState), pauses: make(pauses), times: make(map[string]*ResponseTimes)}
	t.priorFailure = t.model.failureProbability(t.model.prior())
	return t
}

// ResponseTimes returns the response-time estimate of a route. A new route starts
// with the guess.
func (t *Tracker) ResponseTimes(route string, guess time.Duration) *ResponseTimes {
	e := t.times[route]
	if e == nil {
		e = NewResponseTimes(guess)
		t.times[route] = e
	}
	return e
}

// upstreamState returns the state of an upstream, creating it if needed.
func (t *Tracker) upstreamState(id string, now time.Time) *upstreamState {
	s := t.upstreams[id]
	if s == nil {
		if t.firstSeen.IsZero() {
			t.firstSeen = now
		}
		s = &upstreamState{firstSeen: now}
		s.base, s.baseTime = t.model.prior(), now
		t.upstreams[id] = s
	}
	return s
}

// Start records that a request is sent to an upstream.
func (t *Tracker) Start(id string, times *ResponseTimes, now time.Time) *Attempt {
	s := t.upstreamState(id, now)
	s.inFlight++
	s.tried = true
	s.lastStart = now
	a := &Attempt{start: now, times: times, retest: s.failureProbability(&t.model, now) > t.priorFailure+suspectMargin}
	s.add(a)
	return a
}

// SetCallerPaced records that the caller has not sent the whole body of the request.
func (t *Tracker) SetCallerPaced(id string, a *Attempt, now time.Time) {
	a.callerPaced = true
	t.upstreamState(id, now).invalidate()
}

// add inserts an attempt by its start time.
func (f *filter) add(a *Attempt) {
	i := len(f.evidence)
	for i > 0 && f.evidence[i-1].start.After(a.start) {
		i--
	}
	f.evidence = slices.Insert(f.evidence, i, a)
	f.invalidate()
}

// End records the outcome of an attempt, which is no longer in flight. It returns
// the outcome used as evidence: an abandoned attempt may count as Failed.
func (t *Tracker) End(id string, a *Attempt, o Outcome, now time.Time) Outcome {
	s := t.upstreamState(id, now)
	s.inFlight = max(0, s.inFlight-1)
	t.setOutcome(s, a, o, now)
	return a.outcome
}

// lateShare is the tail probability below which an attempt is late. An abandoned
// attempt that is late counts as a failure of the upstream.
const lateShare = 0.05

func (t *Tracker) setOutcome(s *upstreamState, a *Attempt, o Outcome, now time.Time) {
	if a.outcome != Pending {
		return
	}
	if o == Neutral && !a.callerPaced && a.times.tailProbability(now.Sub(a.start)) < lateShare {
		o = Failed // abandoned because there was no response
	}
	a.outcome = o
	if o == Succeeded && !a.callerPaced {
		a.times.Add(now.Sub(a.start))
	}
	s.compact(&t.model, now)
	s.invalidate()
}

// PeerStart records that another instance has sent a request to an upstream.
func (t *Tracker) PeerStart(id string, times *ResponseTimes, started, now time.Time) *Attempt {
	s := t.upstreamState(id, now)
	a := &Attempt{start: started, times: times, peer: true}
	s.compact(&t.model, now)
	s.add(a)
	if started.After(s.lastStart) {
		s.lastStart = started
	}
	return a
}

// PeerEnd records the outcome of another instance's attempt.
func (t *Tracker) PeerEnd(id string, a *Attempt, o Outcome, now time.Time) {
	t.setOutcome(t.upstreamState(id, now), a, o, now)
}

// maxLoadAge is the time for which a reported load is used.
const maxLoadAge = 2 * time.Second

// SetLoad records the number of requests at an upstream, queued ones included, as
// the upstream reports it.
func (t *Tracker) SetLoad(id string, total int, now time.Time) {
	s := t.upstreamState(id, now)
	s.peerLoad = max(0, total-s.inFlight)
	s.peerLoadAt = now
}

// Forget drops the upstreams for which keep returns false and which have no
// request in flight. Their pauses stay until they end.
func (t *Tracker) Forget(keep func(id string) bool, now time.Time) {
	t.pauses.dropEnded(now)
	for id, s := range t.upstreams {
		if s.inFlight == 0 && !keep(id) {
			delete(t.upstreams, id)
		}
	}
}
