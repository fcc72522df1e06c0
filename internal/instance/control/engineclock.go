package control

import "time"

// engineClock is the health engine's clock: a wall time that advances with the
// monotonic clock, so that a wall clock that is set back neither stops the
// engine nor ends its waiting times early. Its times carry no monotonic reading,
// so that a recorded trace replays to bit-identical decisions.
type engineClock struct {
	wall time.Time // without monotonic reading
	at   time.Time // the same time with monotonic reading
}

func newEngineClock(now time.Time) engineClock {
	return engineClock{wall: now.Round(0), at: now}
}

// time returns the engine's time for a system time.
func (c *engineClock) time(now time.Time) time.Time { return c.wall.Add(now.Sub(c.at)) }

// catchUp advances the engine's time to the wall clock after a pause, during
// which the monotonic clock may have been stopped.
func (c *engineClock) catchUp(now time.Time) {
	if wall := now.Round(0); wall.After(c.time(now)) {
		*c = newEngineClock(now)
	}
}
