package entry

import (
	"math"
	"time"
)

// Gains of the moving averages, as in TCP's round-trip time estimate (RFC 6298).
const (
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
	// minSamples is the number of samples from which an estimate is used.
	minSamples = 16
)

// latencyEstimate is a moving average of the time to the end of the response
// header.
type latencyEstimate struct {
	mean, deviation float64 // seconds
	samples         int
}

func (e *latencyEstimate) add(d time.Duration) {
	s := d.Seconds()
	if e.samples == 0 {
		e.mean, e.deviation = s, s/2
	} else {
		e.deviation += deviationGain * (math.Abs(s-e.mean) - e.deviation)
		e.mean += meanGain * (s - e.mean)
	}
	e.samples++
}

// typical returns the mean, or false if there are too few samples.
func (e *latencyEstimate) typical() (time.Duration, bool) {
	return time.Duration(e.mean * float64(time.Second)), e.samples >= minSamples
}

// high returns a latency that healthy responses rarely exceed, or false if there
// are too few samples.
func (e *latencyEstimate) high() (time.Duration, bool) {
	return time.Duration((e.mean + 4*e.deviation) * float64(time.Second)), e.samples >= minSamples
}
