// Package document defines the document that configures one service and is owned
// by the service's team. Documents are the operators' only means to change the
// behavior of a running fleet.
//
// A document is JSON with comments. Parse decodes and validates it. An Envelope
// is a stored document with its revision and history.
package document

import "time"

// Document is the configuration of one service.
type Document struct {
	// Service is the name of the service, unique in the fleet.
	Service string `json:"service"`
	// Hosts are the values of the Host header that match the service.
	Hosts []string `json:"hosts"`
	// Upstreams are the upstreams that may run the service's requests.
	Upstreams []Upstream `json:"upstreams"`
	// Unhealthy defines which responses are evidence of an unhealthy upstream.
	Unhealthy Unhealthy `json:"unhealthy"`
	// Routes are matched in order; the first match applies.
	Routes []Route `json:"routes"`
	// FloorSlots is the minimum healthy capacity, in slots, that ejections must
	// leave in service. Default 0.
	FloorSlots int `json:"floor_slots"`
	// DeadlineMS is the total time limit of a request, in milliseconds, unless
	// the route sets its own. Default 10,000.
	DeadlineMS int `json:"deadline_ms"`
	// Retries is the maximum number of retries of a request. Default 2.
	Retries *int `json:"retries,omitempty"`
	// Queue limits the requests that wait for a slot at one instance.
	Queue Queue `json:"queue"`
	// IdleTimeoutMS is the time, in milliseconds, after which an idle
	// connection to an upstream is closed. Default 10,000.
	IdleTimeoutMS int `json:"idle_timeout_ms"`
}

// UpstreamState is the state that operators set for an upstream.
type UpstreamState string

// The upstream states. The empty state means active.
const (
	UpstreamActive  UpstreamState = "active"
	UpstreamLeaving UpstreamState = "leaving"
)

// Upstream is one upstream of a service.
type Upstream struct {
	// ID is the upstream's name, unique within the service.
	ID string `json:"id"`
	// Address is IP:port.
	Address string `json:"address"`
	// Region is the upstream's region.
	Region string `json:"region"`
	// FailureDomain is the upstream's failure domain.
	FailureDomain string `json:"failure_domain"`
	// Slots is the number of requests that the upstream can run at a time, from
	// all instances together.
	Slots int `json:"slots"`
	// Connections is the number of connections that the upstream accepts from
	// all instances together. Default 330.
	Connections int `json:"connections"`
	// State is "active" (default) or "leaving".
	State UpstreamState `json:"state,omitempty"`
}

// Unhealthy defines which responses are evidence of an unhealthy upstream and
// how fast the fleet reacts to them.
type Unhealthy struct {
	// Statuses are the response statuses that count as failures.
	// Default 500, 502, 503, 504.
	Statuses []int `json:"statuses,omitempty"`
	// SlowAfterMS is the time to the end of the response header, in
	// milliseconds, from which a response counts as slow. 0 means that only
	// SlowFactor applies. Default 0.
	SlowAfterMS int `json:"slow_after_ms"`
	// SlowFactor is the multiple of the route's median time from which a
	// response counts as slow. Default 2.5; a value below 1 disables it.
	SlowFactor *float64 `json:"slow_factor,omitempty"`
	// Sensitivity trades detection time against false ejections: 0 gives the
	// fewest false ejections, 1 the fastest detection. Default 0.5.
	Sensitivity *float64 `json:"sensitivity,omitempty"`
	// ColdStartMS is the time after an upstream appears, in milliseconds, during
	// which slow responses are ignored. Default 10,000.
	ColdStartMS *int `json:"cold_start_ms,omitempty"`
}

// Route defines how requests with a method and path are handled.
type Route struct {
	// Method is the HTTP method, or "*" for any.
	Method string `json:"method"`
	// Path is an exact path, or a prefix that ends with "*".
	Path string `json:"path"`
	// Idempotent allows a request of this route to run more than once. Default
	// false.
	Idempotent bool `json:"idempotent"`
	// DeadlineMS is the total time limit of a request, in milliseconds. Default:
	// the document's.
	DeadlineMS int `json:"deadline_ms"`
	// Retries is the maximum number of retries of a request. Default: the
	// document's.
	Retries *int `json:"retries,omitempty"`
	// ObjectiveMS is the latency objective of the route, in milliseconds. It
	// limits the wait for a slot. Default: DeadlineMS.
	ObjectiveMS int `json:"objective_ms"`
	// Priority orders the requests that wait for a slot; 0 is the highest
	// priority. Default 0.
	Priority int `json:"priority"`
	// LargeResponses states that responses are large, so that the load of regions
	// decides whether requests leave their region. Default false.
	LargeResponses bool `json:"large_responses"`
	// MaxBodyBytes is the maximum size of a request body. Default 16 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes"`
}

// Queue limits the requests that wait for a slot at one instance.
type Queue struct {
	// Length is the maximum number of waiting requests. Default 64.
	Length int `json:"length"`
	// TimeoutMS is the maximum wait, in milliseconds. Default 1,000.
	TimeoutMS int `json:"timeout_ms"`
}

// HistoryLimit is the maximum number of changes in an envelope's history.
const HistoryLimit = 32

// Change is one accepted change of a document.
type Change struct {
	Revision uint64    `json:"revision" cbor:"1,keyasint"`
	ChangeID string    `json:"change_id" cbor:"2,keyasint"`
	Author   string    `json:"author" cbor:"3,keyasint"`
	Time     time.Time `json:"time" cbor:"4,keyasint"`
	Instance string    `json:"instance" cbor:"5,keyasint"` // that accepted it
	Summary  string    `json:"summary" cbor:"6,keyasint"`  // one line
}

// Envelope is a document as it is stored and passed between instances.
type Envelope struct {
	Service  string   `json:"service" cbor:"1,keyasint"`
	Revision uint64   `json:"revision" cbor:"2,keyasint"` // 1 for the first, then increases by 1
	Text     string   `json:"text" cbor:"3,keyasint"`     // as the operator wrote it
	History  []Change `json:"history" cbor:"4,keyasint"`  // newest last, at most HistoryLimit
}

// Latest returns the change that created this revision.
func (e *Envelope) Latest() Change {
	if len(e.History) == 0 {
		return Change{}
	}
	return e.History[len(e.History)-1]
}

// HasChange reports whether the change with the given ID is in the history.
func (e *Envelope) HasChange(id string) bool {
	for _, c := range e.History {
		if c.ChangeID == id {
			return true
		}
	}
	return false
}
