package control

import "time"

// Clock gives the loop its time. Tests inject one of their own.
type Clock interface {
	// Now returns the time with its monotonic reading.
	Now() time.Time
	// Tick returns a channel that delivers about every d, and its stop.
	Tick(d time.Duration) (<-chan time.Time, func())
	// After returns a channel that delivers once after d.
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the machine's clock.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// Tick returns the channel of a time.Ticker.
func (SystemClock) Tick(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

// After returns the channel of a time.Timer.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
