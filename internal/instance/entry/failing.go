package entry

import (
	"time"

	"knapweedreel/internal/health"
)

const (
	// failingThreshold is the number of consecutive failures at this instance
	// from which an upstream counts as failing and is chosen last.
	failingThreshold = 3
	// failingDuration is how long an upstream counts as failing after its last
	// failure.
	failingDuration = 2 * time.Second
	// failingProbeShare is the share of idempotent requests that try failing
	// upstreams first, so that the health engine keeps receiving evidence about
	// them.
	failingProbeShare = 0.1
)

// failureStreak counts consecutive failures of an upstream at this instance.
//
// A failing upstream isn't ejected: it stays in service and is used if no other
// upstream has a free slot. If all upstreams of the local region fail, requests
// go to other regions. Without outcomes from there to compare with, an instance
// would attribute the failures to itself and eject none of the upstreams.
type failureStreak struct {
	count int
	last  time.Time
}

// recordOutcome updates the failure streak of an upstream.
func (st *serviceState) recordOutcome(id string, class health.Class, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	switch class {
	case health.Failed:
		st.failures[id] = failureStreak{st.failures[id].count + 1, now}
	case health.OK:
		delete(st.failures, id)
	}
}

// failing reports whether the upstream counts as failing at this instance. st.mu
// is held.
func (st *serviceState) failing(id string, now time.Time) bool {
	f := st.failures[id]
	return f.count >= failingThreshold && now.Sub(f.last) < failingDuration
}
