package health

import (
	"math"
	"time"
)

// One reporter or one caller may contribute shareCap of the threshold when
// others are present: its trouble may be its own.
const shareCap = 0.6

// presenceWindow is the time for which a reporter counts as seeing traffic.
const presenceWindow = 10 * time.Second

// loneReporterDelay is the time after the first failure for which a lone
// reporter is capped too. Peers with traffic to the upstream report successes
// once they hear of the suspicion; in quiet hours their next request may come
// after a second or two.
const loneReporterDelay = 3 * time.Second

// presence tells whether at least two different values were seen lately. It
// keeps the two latest.
type presence[T comparable] struct {
	latest, other struct {
		value T
		at    time.Time
	}
}

func (p *presence[T]) add(v T, now time.Time) {
	if p.latest.value != v && !p.latest.at.IsZero() {
		p.other = p.latest
	}
	p.latest.value, p.latest.at = v, now
}

func (p *presence[T]) several(now time.Time, window time.Duration) bool {
	return !p.other.at.IsZero() && now.Sub(p.other.at) <= window && now.Sub(p.latest.at) <= window
}

// reporterCap returns the largest share of one reporter in the scores.
func (u *upstream) reporterCap(h float64, now time.Time) float64 {
	started := u.worst().started
	young := started.IsZero() || now.Sub(started) < loneReporterDelay
	if young || u.seen.several(now, presenceWindow) {
		return shareCap * h
	}
	return math.Inf(1)
}
