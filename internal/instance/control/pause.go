package control

import "time"

// pauseDetector detects periods in which this process did not run. It compares
// the wall clock too, as the monotonic clock stops while a machine is suspended.
// Setting the wall clock forward therefore counts as a pause, which costs no
// more than a check of the documents.
type pauseDetector struct {
	mono time.Duration
	wall time.Time
}

// newPauseDetector returns a pauseDetector that starts at the given monotonic
// and wall time.
func newPauseDetector(mono time.Duration, wall time.Time) pauseDetector {
	return pauseDetector{mono: mono, wall: wall}
}

// observe records the current times and returns the time since the last call if
// it exceeds PauseThreshold, or 0. It is expected to be called at least every
// health.TickInterval.
func (p *pauseDetector) observe(mono time.Duration, wall time.Time) time.Duration {
	gap := max(mono-p.mono, wall.Sub(p.wall))
	p.mono, p.wall = mono, wall
	if gap <= PauseThreshold {
		return 0
	}
	return gap
}
