// Package audit defines the records of the audit trail and keeps them in the
// platform's store, in a ring of limited size for each shard.
package audit

import "time"

// Kind is the kind of event that a record describes.
type Kind string

// Kinds of records.
const (
	KindUpstream Kind = "upstream" // a decision of the health engine
	KindDocument Kind = "document" // a document took effect
	KindMember   Kind = "member"   // an instance started, left or was lost
	KindLease    Kind = "lease"    // the holder of the shard's lease changed
)

// Record is one entry of the audit trail.
type Record struct {
	Time     time.Time `json:"time" cbor:"1,keyasint"`
	Instance string    `json:"instance" cbor:"2,keyasint"` // on which the event occurred
	Kind     Kind      `json:"kind" cbor:"3,keyasint"`
	Service  string    `json:"service,omitempty" cbor:"4,keyasint,omitempty"`
	Subject  string    `json:"subject" cbor:"5,keyasint"` // upstream, member or lease
	Action   string    `json:"action" cbor:"6,keyasint"`  // such as "ejected"
	Rule     string    `json:"rule,omitempty" cbor:"7,keyasint,omitempty"`
	Revision uint64    `json:"revision,omitempty" cbor:"8,keyasint,omitempty"`
	Detail   string    `json:"detail,omitempty" cbor:"9,keyasint,omitempty"`
}
