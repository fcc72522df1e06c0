package placement

import (
	"maps"
	"time"
)

// Incarnation identifies one start of an upstream.
type Incarnation struct {
	ID     string // of the upstream
	Number int64  // differs after a restart under the same ID
}

// pauses holds the times before which upstreams get no requests, because they have
// refused one. A pause is valid for one start of the upstream. It doesn't depend on
// the upstream's entry, which may disappear and return without a restart.
type pauses map[Incarnation]time.Time

// isActive reports whether the upstream must get no requests.
func (p pauses) isActive(i Incarnation, now time.Time) bool { return now.Before(p[i]) }

// extend makes a pause last until the given time or, if that is later, as long as
// before.
func (p pauses) extend(i Incarnation, until time.Time) {
	if until.After(p[i]) {
		p[i] = until
	}
}

// dropEnded drops the pauses that have ended.
func (p pauses) dropEnded(now time.Time) {
	maps.DeleteFunc(p, func(_ Incarnation, until time.Time) bool { return !now.Before(until) })
}

// refusalBackoff is the minimum time for which an upstream gets no requests after
// it has refused one.
const refusalBackoff = 150 * time.Millisecond

// RecordRefusal records that an upstream has refused a request for lack of
// capacity, and for how long it wants no others, 0 if it hasn't said so.
func (t *Tracker) RecordRefusal(i Incarnation, backoff time.Duration, now time.Time) {
	t.pauses.extend(i, now.Add(max(backoff, refusalBackoff)))
}

// RefusedUntil returns the time before which the upstream gets no requests because
// it has refused one. It may be in the past, or zero.
func (t *Tracker) RefusedUntil(i Incarnation) time.Time { return t.pauses[i] }
