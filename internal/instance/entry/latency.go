package entry

import (
	"math"
	"time"
)

// Factors of the moving averages: each answer moves the mean by 1/8 and the
// deviation by 1/4, as TCP does for its round trip times (RFC 6298).
const (
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
	// minSamples is the number of answers from which an estimate is used.
	minSamples = 16
)

// estimate is a moving average of the time to the end of an answer header.
type estimate struct {
	mean, deviation float64 // seconds
	samples         int
}

func (e *estimate) add(d time.Duration) {
	s := d.Seconds()
	if e.samples == 0 {
		e.mean, e.deviation = s, s/2
	} else {
		e.deviation += deviationGain * (math.Abs(s-e.mean) - e.deviation)
		e.mean += meanGain * (s - e.mean)
	}
	e.samples++
}

// typical returns the mean, or false when too few answers were seen.
func (e *estimate) typical() (time.Duration, bool) {
	return time.Duration(e.mean * float64(time.Second)), e.samples >= minSamples
}

// high returns a time that healthy answers rarely exceed, or false when too few
// answers were seen.
func (e *estimate) high() (time.Duration, bool) {
	return time.Duration((e.mean + 4*e.deviation) * float64(time.Second)), e.samples >= minSamples
}
