// Package health decides which upstreams are in service.
//
// The Engine is deterministic: it reads no clock, starts no goroutine and uses
// no random numbers, so replaying a recorded trace gives the same decisions.
// The control goroutine owns one Engine and feeds it the outcomes of real
// requests, evidence from peers, documents and ticks.
package health

import (
	"time"

	"knapweedreel/internal/document"
)

// Key identifies an upstream of a service.
type Key struct {
	Service  string `json:"service" cbor:"1,keyasint"`
	Upstream string `json:"upstream" cbor:"2,keyasint"`
}

// Class classifies the outcome of one attempt at an upstream.
type Class uint8

// Outcome classes.
const (
	// Neutral is no evidence about the upstream: a refusal, a caller that
	// disconnected, a dead pooled connection, a 4xx status.
	Neutral Class = iota
	// OK is a complete response within the deadline.
	OK
	// Failed is a response that the document defines as unhealthy, or no complete
	// response.
	Failed
)

// String returns the name of the class.
func (c Class) String() string {
	switch c {
	case OK:
		return "ok"
	case Failed:
		return "failed"
	}
	return "neutral"
}

// Outcome is the result of one attempt at an upstream.
type Outcome struct {
	Upstream Key           `json:"upstream"`
	Route    string        `json:"route"`    // method and path pattern of the document
	Caller   uint64        `json:"caller"`   // hash of the caller's account
	Class    Class         `json:"class"`    // the Engine detects slow responses
	Latency  time.Duration `json:"latency"`  // from sending to the end of the response header
	Reason   string        `json:"reason"`   // error kind or status, for explanations
	Draining bool          `json:"draining"` // the upstream refused because it is leaving
}

// Evidence is one reporter's cumulative counts for one upstream in the
// reporter's current incarnation. Cumulative counts make lost and duplicate
// messages harmless.
type Evidence struct {
	Upstream    Key      `json:"upstream" cbor:"1,keyasint"`
	Successes   uint64   `json:"successes" cbor:"2,keyasint"`
	Failures    uint64   `json:"failures" cbor:"3,keyasint"`     // including slow responses
	Callers     []uint64 `json:"callers" cbor:"4,keyasint"`      // distinct callers with recent failures, at most MaxCallers
	SelfSuspect bool     `json:"self_suspect" cbor:"5,keyasint"` // the reporter suspects itself
	Slow        uint64   `json:"slow" cbor:"6,keyasint"`         // slow responses among Failures
	// Old is the number of Failures older than RecentWindow. A receiver that has
	// just joined or reconnected counts only newer failures.
	Old uint64 `json:"old" cbor:"7,keyasint"`
	// Ejected says that the upstream is ejected at the reporter.
	Ejected bool `json:"out" cbor:"8,keyasint"`
	// Traffic is the number of outcomes that the reporter observed in the last
	// RecentWindow at all upstreams of the service.
	Traffic uint64 `json:"traffic" cbor:"9,keyasint"`
	// FailingCallers is the subset of Callers with a high failure rate at the
	// reporter.
	FailingCallers []uint64 `json:"failing_callers" cbor:"10,keyasint"`
}

// RecentWindow is the maximum age of failures that a receiver counts if it has
// not seen the reporter's earlier counts. It exceeds the delay of a report.
const RecentWindow = 2 * time.Second

// MaxCallers is the maximum length of Evidence.Callers.
const MaxCallers = 8

// Event is an input to the Engine. Exactly one field is set.
type Event struct {
	Outcome  *Outcome         `json:"outcome,omitempty"`
	Peer     *PeerEvidence    `json:"peer,omitempty"`
	PeerLost *PeerLost        `json:"peer_lost,omitempty"`
	Document *DocumentChanged `json:"document,omitempty"`
	Leaving  *LeavingChanged  `json:"leaving,omitempty"`
	Paused   *Paused          `json:"paused,omitempty"`
	Tick     *Tick            `json:"tick,omitempty"`
}

// PeerEvidence is a report from one peer.
type PeerEvidence struct {
	Reporter    string     `json:"reporter"`
	Incarnation uint64     `json:"boot"`     // counts restart from 0 with each incarnation
	Sequence    uint64     `json:"sequence"` // older sequences of the same incarnation are ignored
	Region      string     `json:"region"`
	Evidence    []Evidence `json:"evidence"`
}

// PeerLost reports that no message arrived from a peer within the liveness
// timeout.
type PeerLost struct {
	Reporter string `json:"reporter"`
}

// DocumentChanged applies a revision of a document. A nil Document removes the
// service.
type DocumentChanged struct {
	Service  string             `json:"service"`
	Revision uint64             `json:"revision"`
	Document *document.Document `json:"document"`
}

// LeavingSource is the source that reported an upstream as leaving.
type LeavingSource string

// Sources of LeavingChanged events.
const (
	LeavingInstanceList LeavingSource = "list"
	LeavingDocument     LeavingSource = "document"
	LeavingRefusal      LeavingSource = "refusal"
	LeavingPeer         LeavingSource = "peer"
)

// LeavingChanged marks an upstream as leaving, or clears the mark set earlier by
// the same source if Gone is false.
type LeavingChanged struct {
	Upstream Key           `json:"upstream"`
	Source   LeavingSource `json:"source"`
	Gone     bool          `json:"gone"`
}

// Paused reports that this process did not run for Duration.
type Paused struct {
	Duration time.Duration `json:"duration"`
}

// Tick triggers time-based decisions. The control goroutine sends one every
// TickInterval.
type Tick struct{}

// TickInterval is the time between ticks.
const TickInterval = 100 * time.Millisecond

// State is the state of an upstream at this instance.
type State string

// Upstream states. Only InService counts as healthy capacity.
const (
	InService State = "in-service"
	Ejected   State = "ejected"
	Probation State = "probation"
	Leaving   State = "leaving"
)

// Rule identifies the rule that caused a change of state.
type Rule string

// Rules.
const (
	RuleNewUpstream     Rule = "new-upstream"
	RuleEvidence        Rule = "evidence"         // score reached the threshold
	RuleHeldByFloor     Rule = "held-by-floor"    // ejection prevented by the floor
	RuleFloorReinstate  Rule = "floor-reinstate"  // reinstated to keep the floor
	RuleWaitOver        Rule = "wait-over"        // end of the ejection time: probation
	RuleProbationPassed Rule = "probation-passed" // reinstated
	RuleProbationFailed Rule = "probation-failed" // ejected again
	RuleLeaving         Rule = "leaving"
	RuleLeavingEnded    Rule = "leaving-ended"
	RuleRemoved         Rule = "removed" // no longer in the document
)

// Change is a decision and the evidence for it.
type Change struct {
	Time      time.Time `json:"time" cbor:"1,keyasint"`
	Upstream  Key       `json:"upstream" cbor:"2,keyasint"`
	From      State     `json:"from" cbor:"3,keyasint"`
	To        State     `json:"to" cbor:"4,keyasint"`
	Rule      Rule      `json:"rule" cbor:"5,keyasint"`
	Revision  uint64    `json:"revision" cbor:"6,keyasint"` // of the applied document
	Score     float64   `json:"score" cbor:"7,keyasint"`
	Threshold float64   `json:"threshold" cbor:"8,keyasint"`
	Reporters []string  `json:"reporters" cbor:"9,keyasint"` // instances with failures
	Successes uint64    `json:"successes" cbor:"10,keyasint"`
	Failures  uint64    `json:"failures" cbor:"11,keyasint"`
	Healthy   int       `json:"healthy" cbor:"12,keyasint"` // healthy slots of the service after the change
	Floor     int       `json:"floor" cbor:"13,keyasint"`   // slots
	Detail    string    `json:"detail" cbor:"14,keyasint"`
}

// View is the state of one upstream for the routing snapshot.
type View struct {
	Upstream   Key
	State      State
	Weight     float64 // 0 to 1; below 1 in probation and during the ramp
	Score      float64
	Threshold  float64
	Since      time.Time
	LastChange Change
}

// Config holds the settings that do not come from documents.
type Config struct {
	Instance string // name under which this instance reports
	Region   string
}
