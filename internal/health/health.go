// Package health decides which upstreams are in service.
//
// The Engine is a pure function of events and their times: it reads no clock,
// starts no goroutine and draws no random numbers, so that a recorded trace
// replays to the same decisions. The control goroutine owns one Engine and
// feeds it the outcomes of real requests, the evidence of peers, documents and
// ticks.
package health

import (
	"time"

	"knapweedreel/internal/document"
)

// Key names an upstream of a service.
type Key struct {
	Service  string `json:"service" cbor:"1,keyasint"`
	Upstream string `json:"upstream" cbor:"2,keyasint"`
}

// Class is what the outcome of one attempt says about its upstream.
type Class uint8

// The classes.
const (
	// Neutral says nothing about the upstream: a refusal, a caller that went
	// away, a dead pooled connection, a 4xx status.
	Neutral Class = iota
	// OK is a complete answer in time.
	OK
	// Failed is an answer that the document calls unhealthy, or no whole answer.
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
	Caller   uint64        `json:"caller"`   // hash of the caller account
	Class    Class         `json:"class"`    // slowness is decided by the Engine
	Latency  time.Duration `json:"latency"`  // from sending to the end of the answer header
	Reason   string        `json:"reason"`   // error kind or status, for explanations
	Draining bool          `json:"draining"` // the upstream refused because it is leaving
}

// Evidence is what one reporter has seen of one upstream since the reporter's
// boot. Counts only grow, so that a lost or repeated message does no harm.
type Evidence struct {
	Upstream    Key      `json:"upstream" cbor:"1,keyasint"`
	Successes   uint64   `json:"successes" cbor:"2,keyasint"`
	Failures    uint64   `json:"failures" cbor:"3,keyasint"`     // slow answers included
	Callers     []uint64 `json:"callers" cbor:"4,keyasint"`      // distinct callers of recent failures, at most MaxCallers
	SelfSuspect bool     `json:"self_suspect" cbor:"5,keyasint"` // the reporter doubts itself
	Slow        uint64   `json:"slow" cbor:"6,keyasint"`         // slow answers among Failures
	// Old is the part of Failures that is older than RecentWindow. A receiver
	// that joins, or whose link was cut, counts only newer failures.
	Old uint64 `json:"old" cbor:"7,keyasint"`
	// Out says that the upstream is ejected at the reporter.
	Out bool `json:"out" cbor:"8,keyasint"`
	// Traffic is the reporter's number of outcomes in the last RecentWindow at
	// all upstreams of the service.
	Traffic uint64 `json:"traffic" cbor:"9,keyasint"`
	// FailingCallers are those among Callers of whose requests many fail at
	// the reporter.
	FailingCallers []uint64 `json:"failing_callers" cbor:"10,keyasint"`
}

// RecentWindow is the age up to which failures count for a receiver that has
// not seen the reporter's earlier counts. It is longer than a report takes.
const RecentWindow = 2 * time.Second

// MaxCallers bounds Evidence.Callers.
const MaxCallers = 8

// Event is an input of the Engine. Exactly one field is set.
type Event struct {
	Outcome  *Outcome         `json:"outcome,omitempty"`
	Peer     *PeerEvidence    `json:"peer,omitempty"`
	PeerLost *PeerLost        `json:"peer_lost,omitempty"`
	Document *DocumentChanged `json:"document,omitempty"`
	Leaving  *Leaving         `json:"leaving,omitempty"`
	Paused   *Paused          `json:"paused,omitempty"`
	Tick     *Tick            `json:"tick,omitempty"`
}

// PeerEvidence is evidence from one peer.
type PeerEvidence struct {
	Reporter string     `json:"reporter"`
	Boot     uint64     `json:"boot"`     // counts start from 0 at every boot
	Sequence uint64     `json:"sequence"` // older sequences of the same boot are ignored
	Region   string     `json:"region"`
	Evidence []Evidence `json:"evidence"`
}

// PeerLost says that a peer has not been heard from for the liveness timeout.
type PeerLost struct {
	Reporter string `json:"reporter"`
}

// DocumentChanged puts a document's revision in force. A nil Document removes
// the service.
type DocumentChanged struct {
	Service  string             `json:"service"`
	Revision uint64             `json:"revision"`
	Document *document.Document `json:"document"`
}

// LeavingSource tells how a leaving upstream was learned.
type LeavingSource string

// The sources.
const (
	LeavingList     LeavingSource = "list"
	LeavingDocument LeavingSource = "document"
	LeavingRefusal  LeavingSource = "refusal"
	LeavingPeer     LeavingSource = "peer"
)

// Leaving marks an upstream as leaving, or, with Gone false, ends what the same
// source has said before.
type Leaving struct {
	Upstream Key           `json:"upstream"`
	Source   LeavingSource `json:"source"`
	Gone     bool          `json:"gone"`
}

// Paused says that this process did not run for the given time.
type Paused struct {
	Duration time.Duration `json:"duration"`
}

// Tick lets time pass. The control goroutine sends one every TickInterval.
type Tick struct{}

// TickInterval is the time between ticks.
const TickInterval = 100 * time.Millisecond

// State is the state of an upstream at this instance.
type State string

// The states. Only InService counts as healthy capacity.
const (
	InService State = "in-service"
	Ejected   State = "ejected"
	Probation State = "probation"
	Leaves    State = "leaving"
)

// Rule names the rule behind a change of state.
type Rule string

// The rules.
const (
	RuleNewUpstream     Rule = "new-upstream"
	RuleEvidence        Rule = "evidence"         // score reached the threshold
	RuleHeldByFloor     Rule = "held-by-floor"    // would eject, but for the floor
	RuleFloorReinstate  Rule = "floor-reinstate"  // put back to hold the floor
	RuleWaitOver        Rule = "wait-over"        // ejection time over: probation
	RuleProbationPassed Rule = "probation-passed" // back in service
	RuleProbationFailed Rule = "probation-failed" // ejected again
	RuleLeaving         Rule = "leaving"
	RuleLeavingEnded    Rule = "leaving-ended"
	RuleRemoved         Rule = "removed" // no longer in the document
)

// Change is a decision with what led to it.
type Change struct {
	Time      time.Time `json:"time" cbor:"1,keyasint"`
	Upstream  Key       `json:"upstream" cbor:"2,keyasint"`
	From      State     `json:"from" cbor:"3,keyasint"`
	To        State     `json:"to" cbor:"4,keyasint"`
	Rule      Rule      `json:"rule" cbor:"5,keyasint"`
	Revision  uint64    `json:"revision" cbor:"6,keyasint"` // of the document in force
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
	Weight     float64 // 0 to 1; below 1 while capacity returns
	Score      float64
	Threshold  float64
	Since      time.Time
	LastChange Change
}

// Config holds what does not come from documents.
type Config struct {
	Instance string // this instance's name as a reporter
	Region   string
}
