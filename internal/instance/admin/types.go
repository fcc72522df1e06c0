package admin

import (
	"time"

	"knapweedreel/internal/health"
)

// TracedEvent is an input of the health engine with its time, for replay.
type TracedEvent struct {
	Time  time.Time    `json:"time"`
	Event health.Event `json:"event"`
}

// RequestExplanation tells why a request got its answer.
type RequestExplanation struct {
	RequestID string        `json:"request_id"`
	Instance  string        `json:"instance"`
	Time      time.Time     `json:"time"`
	Service   string        `json:"service"`
	Revision  uint64        `json:"revision"`
	Route     string        `json:"route"`
	Caller    string        `json:"caller"`
	Status    int           `json:"status"`
	Kind      string        `json:"kind,omitempty"` // error kind, empty for an upstream's answer
	Run       string        `json:"run,omitempty"`
	Queued    time.Duration `json:"queued_ns"`
	Total     time.Duration `json:"total_ns"`
	Attempts  []Attempt     `json:"attempts"`
}

// Attempt is one attempt at an upstream.
type Attempt struct {
	Upstream   string        `json:"upstream"`
	Home       bool          `json:"home"`  // used a home slot
	Fresh      bool          `json:"fresh"` // used a fresh connection
	Took       time.Duration `json:"took_ns"`
	Result     string        `json:"result"` // status or error kind
	BytesSent  bool          `json:"bytes_sent"`
	RetryCause string        `json:"retry_cause,omitempty"`
	// Last tells why no further attempt followed, empty if one did or none was
	// wanted.
	Last string `json:"last,omitempty"`
	// Fails is the probability, from 0 to 1, that the attempt would fail, as
	// estimated when the upstream was chosen, and Load the requests that it was known to have. Only
	// instances that place requests by belief know them.
	Fails float64 `json:"fails,omitempty"`
	Load  int     `json:"load,omitempty"`
}
