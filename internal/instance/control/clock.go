package control

import "time"

// Clock is the loop's source of time, which tests replace.
type Clock interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// Tick returns a channel that delivers the time at intervals of d, and a
	// function that stops it.
	Tick(d time.Duration) (<-chan time.Time, func())
	// After returns a channel that delivers the time once, after d.
	After(d time.Duration) <-chan time.Time
}

// SystemClock is a Clock that uses the system clock.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// Tick returns the channel and the Stop method of a time.Ticker.
func (SystemClock) Tick(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

// After returns the channel of a time.Timer.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
