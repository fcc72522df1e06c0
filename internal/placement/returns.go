package placement

import (
	"slices"
	"time"

	"knapweedreel/internal/admission"
)

// Bounds of the time after which a caller is told to return.
const (
	// minReturnDelay is the shortest useful one: an earlier return meets the same
	// state.
	minReturnDelay = 50 * time.Millisecond
	maxReturnDelay = 10 * time.Second
	// maxPendingReturns bounds the memory for returns. Beyond it the oldest ones
	// are not counted.
	maxPendingReturns = 4096
)

// Refused describes a refused request whose caller may return.
type Refused struct {
	Class    admission.Class
	Ahead    int       // waiting requests that are served before it
	Earliest time.Time // from which some upstream takes requests, possibly in the past
	// Interval is the mean time between two slots that become free.
	Interval time.Duration
	// Latest is the last time at which a return can still be served in time.
	Latest time.Time
}

// Returns schedules the returns of callers whose requests were refused, so that
// each finds a free slot: the next one becomes free after those for the requests
// that are waiting and for the callers that were sent away before. More urgent
// callers return before less urgent ones. The zero value is ready for use.
type Returns struct{ pending []pendingReturn }

type pendingReturn struct {
	at    time.Time
	class admission.Class
}

// Schedule returns the time after which the caller of a refused request should
// return.
func (r *Returns) Schedule(q Refused, now time.Time) time.Duration {
	r.pending = slices.DeleteFunc(r.pending, func(p pendingReturn) bool { return !p.at.After(now) })
	before := q.Ahead
	for _, p := range r.pending {
		if p.class.Compare(q.Class) <= 0 {
			before++
		}
	}
	at := now
	if q.Earliest.After(at) {
		at = q.Earliest
	}
	at = at.Add(time.Duration(before+1) * q.Interval)
	if at.After(q.Latest) && q.Latest.After(now.Add(minReturnDelay)) {
		at = q.Latest
	}
	delay := min(max(at.Sub(now), minReturnDelay), maxReturnDelay)
	if len(r.pending) >= maxPendingReturns {
		r.pending = slices.Delete(r.pending, 0, 1)
	}
	r.pending = append(r.pending, pendingReturn{now.Add(delay), q.Class})
	return delay
}
