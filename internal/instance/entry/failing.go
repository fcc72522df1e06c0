package entry

import (
	"time"

	"knapweedreel/internal/health"
)

const (
	// failingAfter is the number of failures in a row at this instance from
	// which an upstream is chosen last.
	failingAfter = 3
	// failingTime is the time after the last failure for which it is chosen
	// last.
	failingTime = 2 * time.Second
	// failingShare is the share of idempotent requests that try such an upstream
	// first, so that the health engine goes on receiving evidence of it.
	failingShare = 0.1
)

// failures counts the failures in a row of an upstream at this instance.
//
// Choosing such an upstream last is no ejection: it stays in service and is used
// when nothing else has a slot. It sends requests to other regions when all
// upstreams of the own region fail. Without that comparison an instance takes
// their faults for its own and ejects none of them.
type failures struct {
	count int
	last  time.Time
}

// noteOutcome learns from an attempt at an upstream.
func (st *service) noteOutcome(id string, class health.Class, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	switch class {
	case health.Failed:
		st.failures[id] = failures{st.failures[id].count + 1, now}
	case health.OK:
		delete(st.failures, id)
	}
}

// failing reports whether the upstream keeps failing at this instance. The
// caller holds st.mu.
func (st *service) failing(id string, now time.Time) bool {
	f := st.failures[id]
	return f.count >= failingAfter && now.Sub(f.last) < failingTime
}
