package health

import (
	"math"
	"time"
)

// Times in which the windows forget half of their counts. The long one gives a
// steady rate; the short one follows a sudden fault of a whole service before
// it ejects the upstream that happened to fail most.
const (
	longHalfLife  = 2 * time.Second
	shortHalfLife = 250 * time.Millisecond
)

// window is a count that decays exponentially, at two speeds.
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

// decay returns the share that is left after the given time.
func decay(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(halfLife))
}
