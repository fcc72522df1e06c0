package control

import "time"

// pauseDetector finds times in which this process did not run. The monotonic
// clock stands still while a machine is suspended and the wall clock does not;
// a wall clock that is set forward is taken for a pause too, which costs no
// more than a document check.
type pauseDetector struct {
	mono time.Duration
	wall time.Time
}

// newPauseDetector starts from the given monotonic and wall time.
func newPauseDetector(mono time.Duration, wall time.Time) pauseDetector {
	return pauseDetector{mono: mono, wall: wall}
}

// observe takes in the current times and returns the length of a pause since
// the last call, or 0. Calls are expected every health.TickInterval.
func (p *pauseDetector) observe(mono time.Duration, wall time.Time) time.Duration {
	gap := max(mono-p.mono, wall.Sub(p.wall))
	p.mono, p.wall = mono, wall
	if gap <= PauseLimit {
		return 0
	}
	return gap
}
