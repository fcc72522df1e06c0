package health

import (
	"math"
	"time"
)

// windowHalfLife is the time in which a window forgets half of its count.
const windowHalfLife = 2 * time.Second

// window is a count that decays exponentially.
type window struct {
	value float64
	at    time.Time
}

func (w *window) add(now time.Time, n float64) {
	w.value = w.get(now) + n
	w.at = now
}

func (w *window) get(now time.Time) float64 {
	if w.value == 0 || !now.After(w.at) {
		return w.value
	}
	return w.value * decay(now.Sub(w.at), windowHalfLife)
}

// gauge is a peer's window as it was last reported.
type gauge = window

// decay returns the share that is left after the given time.
func decay(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(halfLife))
}
