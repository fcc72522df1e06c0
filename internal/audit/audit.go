// Package audit defines the records of the audit trail and the bounded ring in
// the platform's store that keeps them.
package audit

import "time"

// Kind tells what a record is about.
type Kind string

// The kinds.
const (
	KindUpstream Kind = "upstream" // a decision of the health engine
	KindDocument Kind = "document" // a document came in force
	KindMember   Kind = "member"   // an instance started, left or was lost
	KindLease    Kind = "lease"    // the shard's lease changed hands
)

// Record is one line of the audit trail.
type Record struct {
	Time     time.Time `json:"time" cbor:"1,keyasint"`
	Instance string    `json:"instance" cbor:"2,keyasint"` // where it happened
	Kind     Kind      `json:"kind" cbor:"3,keyasint"`
	Service  string    `json:"service,omitempty" cbor:"4,keyasint,omitempty"`
	Subject  string    `json:"subject" cbor:"5,keyasint"` // upstream, member or lease
	Action   string    `json:"action" cbor:"6,keyasint"`  // such as "ejected"
	Rule     string    `json:"rule,omitempty" cbor:"7,keyasint,omitempty"`
	Revision uint64    `json:"revision,omitempty" cbor:"8,keyasint,omitempty"`
	Detail   string    `json:"detail,omitempty" cbor:"9,keyasint,omitempty"`
}
