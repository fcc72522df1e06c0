package admission

import (
	"math"
	"time"
)

// Request describes a request that finds no free slot.
type Request struct {
	Arrived   time.Time
	Objective time.Duration // latency objective, from Arrived
	Deadline  time.Time
	Retry     bool // not the first attempt
}

// State is what an instance knows about a service when a request of some class
// finds no free slot.
type State struct {
	Ahead Ahead // in the queue
	// Running is the number of requests of this instance that the service runs at a
	// time, without those that hang.
	Running float64
	// Urgent is the demand of the more urgent classes.
	Urgent Urgent
	// AtUpstreams is the time until upstreams have begun what is known to wait there.
	AtUpstreams time.Duration
	// Response is the mean response time of the route. Slow is one that one response
	// in six exceeds.
	Response, Slow time.Duration
	Earliest       time.Time // from which some upstream takes requests, possibly in the past
}

// Reason is why a request is refused.
type Reason int

// The reasons.
const (
	None Reason = iota // it is not refused
	// NoTime is a request whose response would come too late without any wait.
	NoTime
	// TooManyAhead is a request whose expected wait is too long.
	TooManyAhead
	// NotYet is a request that no upstream takes before it is too late.
	NotYet
)

// Decision is whether a request may wait for a slot.
type Decision struct {
	Wait     time.Duration // how long it may wait, 0 if it is refused
	Expected time.Duration // how long it would probably wait
	Refused  Reason        // None if it may wait
}

// Decide returns whether a request may wait for a slot, and for how long.
//
// A first attempt that can still meet the latency objective waits only as long as
// it can, and not at all if the requests ahead of it take longer: it would use a
// slot for a late response, and make those behind it late, too. A retry and a
// request that has missed the objective anyway may wait while they can meet the
// deadline. A request with nothing ahead of it waits in any case, so that no slot
// stays unused.
func Decide(r Request, s State, now time.Time) Decision {
	left := r.Arrived.Add(r.Objective).Sub(now) - s.Slow
	if late := r.Arrived.Add(r.Objective).Sub(now) <= s.Response; r.Retry || late {
		left = r.Deadline.Sub(now) - s.Slow
	} else if left <= 0 {
		left = r.Arrived.Add(r.Objective).Sub(now) - s.Response
	}
	left = min(left, r.Deadline.Sub(now)-s.Slow)
	d := Decision{Expected: s.expectedWait()}
	switch {
	case left <= 0:
		d.Refused = NoTime
	case s.Ahead.Requests > 0 && d.Expected > left:
		d.Refused = TooManyAhead
	case s.Earliest.After(now) && s.Earliest.After(now.Add(left)):
		d.Refused = NotYet
	default:
		d.Wait = left
	}
	return d
}

// expectedWait returns the expected time until a slot is free for the request: until
// those ahead have got theirs while more urgent ones keep arriving, or, if that is
// sooner, until the minimum share of the class has served those of the class. It is
// no sooner than the account can expect: requests of accounts that get less service
// keep passing it, so it gets what it got before, or an equal part.
func (s *State) expectedWait() time.Duration {
	minimum, rest := s.available()
	wait := math.Min(float64(s.Ahead.Work)/max(minimum, rest), float64(s.Ahead.Same)/minimum)
	own := max(s.Ahead.Received, max(minimum, rest)/float64(max(1, s.Ahead.Accounts)))
	wait = math.Max(wait, float64(s.Ahead.Own)/own)
	return s.AtUpstreams + time.Duration(wait)
}

// Interval returns the mean time between two slots that become free for requests
// of the class.
func (s *State) Interval() time.Duration {
	minimum, rest := s.available()
	return time.Duration(float64(s.Response) / max(minimum, rest))
}

// Position returns the number of slots that become free for the class before one is
// free for the request.
func (s *State) Position() int {
	return int(math.Ceil(float64(s.expectedWait()) / float64(max(1, s.Interval()))))
}

// available returns the number of requests of the class that the service runs at a
// time: by its minimum share, and if it gets what the more urgent classes leave.
func (s *State) available() (minimum, rest float64) {
	running := max(1, s.Running)
	return running / float64(minimumShareDivisor*(s.Urgent.Classes+1)), running - s.Urgent.Own
}
