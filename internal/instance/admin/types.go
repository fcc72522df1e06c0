package admin

import (
	"time"

	"knapweedreel/internal/health"
)

// TracedEvent is an input event of the health engine with its time, for replay.
type TracedEvent struct {
	Time  time.Time    `json:"time"`
	Event health.Event `json:"event"`
}

// RequestExplanation explains the response to a request.
type RequestExplanation struct {
	RequestID string    `json:"request_id"`
	Instance  string    `json:"instance"`
	Time      time.Time `json:"time"`
	Service   string    `json:"service"`
	Revision  uint64    `json:"revision"`
	Route     string    `json:"route"`
	Caller    string    `json:"caller"`
	Status    int       `json:"status"`
	Kind      string    `json:"kind,omitempty"` // error kind; empty for an upstream's response
	// Reason is why the request was not accepted as one of an account: "no-key",
	// "malformed-credentials" or "unknown-key". It is empty for other kinds.
	Reason   string        `json:"reason,omitempty"`
	Run      string        `json:"run,omitempty"` // an errkind.RunState; empty if Kind is empty
	Queued   time.Duration `json:"queued_ns"`
	Total    time.Duration `json:"total_ns"`
	Attempts []Attempt     `json:"attempts"`
	// RetryAfter is the time after which a refused caller was told to return, 0 if
	// it was not.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	// Limit is the limit of the caller's account in requests per second, and
	// LimitVersion the version of the configuration that has it, if the request was
	// refused because of it.
	Limit        float64 `json:"limit,omitempty"`
	LimitVersion uint64  `json:"limit_version,omitempty"`
}

// Attempt is one attempt at an upstream.
type Attempt struct {
	Upstream   string        `json:"upstream"`
	Home       bool          `json:"home"`  // used a home slot, one of those assigned to this instance
	Fresh      bool          `json:"fresh"` // used a fresh connection
	Took       time.Duration `json:"took_ns"`
	Result     string        `json:"result"` // status code or error kind
	BytesSent  bool          `json:"bytes_sent"`
	RetryCause string        `json:"retry_cause,omitempty"`
	// Last is the reason why no further attempt followed. It is empty if one
	// followed or none was needed.
	Last string `json:"last,omitempty"`
	// Fails is the failure probability, from 0 to 1, that was estimated when the
	// upstream was selected. Load is the upstream's known number of requests at
	// that time. Both are set only by instances that select upstreams by failure
	// probability.
	Fails float64 `json:"fails,omitempty"`
	Load  int     `json:"load,omitempty"`
}
