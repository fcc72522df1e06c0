// Package entry is the caller-facing side of an instance: it admits requests,
// chooses upstreams, proxies requests and answers, and tells callers which
// addresses of the fleet to use.
package entry

import (
	"knapweedreel/internal/health"
	"knapweedreel/internal/routing"
)

// Control is what the entry needs of the control goroutine. No call blocks.
type Control interface {
	// Snapshot returns the current routing snapshot, never nil.
	Snapshot() *routing.Snapshot
	// ReportOutcome hands over the outcome of an attempt. An outcome that does
	// not fit in the queue is dropped and counted.
	ReportOutcome(health.Outcome)
}
