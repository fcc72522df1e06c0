package health

import (
	"math"
	"time"
)

// shareCap is the maximum contribution of one reporter or caller to a score, as a
// share of the threshold, while others are active: the reporter or caller itself
// may be at fault.
const shareCap = 0.6

// reporterWindow is the time after an outcome for which its reporter counts as
// active.
const reporterWindow = 10 * time.Second

// loneReporterDelay is the time after the first failure for which the only
// reporter is capped too. Peers with traffic to the upstream report successes
// after the first report of a failure; during low traffic their next request may
// come only after a second or two.
const loneReporterDelay = 3 * time.Second

// lastTwo holds the two most recently seen distinct values.
type lastTwo[T comparable] struct {
	latest, previous struct {
		value T
		at    time.Time
	}
}

func (l *lastTwo[T]) add(v T, now time.Time) {
	if l.latest.value != v && !l.latest.at.IsZero() {
		l.previous = l.latest
	}
	l.latest.value, l.latest.at = v, now
}

func (l *lastTwo[T]) bothWithin(now time.Time, window time.Duration) bool {
	return !l.previous.at.IsZero() && now.Sub(l.previous.at) <= window && now.Sub(l.latest.at) <= window
}

// reporterCap returns the maximum share of one reporter in a score.
func (u *upstream) reporterCap(threshold float64, now time.Time) float64 {
	started := u.worst().started
	young := started.IsZero() || now.Sub(started) < loneReporterDelay
	if young || u.lastReporters.bothWithin(now, reporterWindow) {
		return shareCap * threshold
	}
	return math.Inf(1)
}
