package health

import (
	"math"
	"time"
)

// Half-lives of the counts in a window. The long one gives a steady rate. The
// short one follows a sudden service-wide fault before the upstream with the most
// failures is ejected.
const (
	longHalfLife  = 2 * time.Second
	shortHalfLife = 250 * time.Millisecond
)

// window is a count that decays exponentially at two rates.
type window struct {
	long, short float64
	at          time.Time
}

func (w *window) add(now time.Time, n float64) {
	long, short := w.get(now)
	w.long, w.short, w.at = long+n, short+n, now
}

func (w *window) get(now time.Time) (long, short float64) {
	if w.long == 0 || !now.After(w.at) {
		return w.long, w.short
	}
	passed := now.Sub(w.at)
	return w.long * decay(passed, longHalfLife), w.short * decay(passed, shortHalfLife)
}

// decay returns the share of a count that remains after d.
func decay(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(halfLife))
}
