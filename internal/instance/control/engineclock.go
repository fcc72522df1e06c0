package control

import "time"

// engineClock gives the health engine its times: a wall time that advances with
// the monotonic clock. A wall clock that is set back therefore neither stops
// the engine nor ends its waits early, and because the times carry no
// monotonic reading, a recorded trace replays to the same decisions to the last
// bit.
type engineClock struct {
	wall time.Time // without monotonic reading
	at   time.Time // with monotonic reading, when wall was taken
}

func newEngineClock(now time.Time) engineClock {
	return engineClock{wall: now.Round(0), at: now}
}

// time returns the engine's time at now.
func (c *engineClock) time(now time.Time) time.Time { return c.wall.Add(now.Sub(c.at)) }

// catchUp moves the engine's time forward to the wall clock after a pause, in
// which the monotonic clock may have stood still.
func (c *engineClock) catchUp(now time.Time) {
	if wall := now.Round(0); wall.After(c.time(now)) {
		*c = newEngineClock(now)
	}
}
