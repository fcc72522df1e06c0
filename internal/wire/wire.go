// Package wire defines the messages between instances and their encoding:
// CBOR frames with a length prefix, a protocol version and bounded sizes.
package wire

import (
	"knapweedreel/internal/audit"
	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
	"knapweedreel/internal/member"
)

// Version is the protocol version in every message. Messages with another
// version are refused.
const Version = 1

// Size limits of frame payloads, in bytes.
const (
	MaxControlFrameBytes  = 64 << 10
	MaxDocumentFrameBytes = 1280 << 10
)

// Message is a message between instances. Exactly one of the pointers is set.
type Message struct {
	Version     uint8  `cbor:"1,keyasint"`
	Sender      string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Sequence    uint64 `cbor:"4,keyasint"`

	Hello          *member.Info    `cbor:"10,keyasint,omitempty"`
	Heartbeat      *Heartbeat      `cbor:"11,keyasint,omitempty"`
	Evidence       *Evidence       `cbor:"12,keyasint,omitempty"`
	Leaving        *Leaving        `cbor:"13,keyasint,omitempty"`
	DocumentPush   *DocumentPush   `cbor:"14,keyasint,omitempty"`
	RevisionVector *RevisionVector `cbor:"15,keyasint,omitempty"`
	AuditEvents    *AuditEvents    `cbor:"16,keyasint,omitempty"`
}

// Heartbeat is sent on every link once per heartbeat interval.
type Heartbeat struct {
	// Info has only Sequence and State set, to keep heartbeats small: in a shard
	// of 44 members each instance exchanges 44 of them per second. The other
	// fields are in the Message or were in the link's Hello.
	Info     member.Info `cbor:"1,keyasint"`
	Digest   uint64      `cbor:"2,keyasint"` // hash of all services and revisions
	InFlight []InFlight  `cbor:"3,keyasint"` // upstreams with requests in flight
	Holder   *Holder     `cbor:"4,keyasint,omitempty"`
}

// InFlight is the number of requests that the sender has in flight at an
// upstream.
type InFlight struct {
	Upstream health.Key `cbor:"1,keyasint"`
	Count    uint32     `cbor:"2,keyasint"`
}

// Holder announces the holder of a shard's lease.
type Holder struct {
	Shard    int    `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	Fence    uint64 `cbor:"3,keyasint"` // fencing token: the newer holder has the higher one
}

// Evidence carries the sender's evidence about suspected upstreams.
type Evidence struct {
	Region   string            `cbor:"1,keyasint"`
	Evidence []health.Evidence `cbor:"2,keyasint"`
}

// Leaving announces upstreams that are leaving.
type Leaving struct {
	Upstreams []health.Key `cbor:"1,keyasint"`
}

// DocumentPush carries a document's envelope.
type DocumentPush struct {
	Envelope document.Envelope `cbor:"1,keyasint"`
}

// RevisionVector lists the revisions in effect at the sender. The receiver
// responds with a DocumentPush for each document of which it has a higher
// revision and, if WantReply is set, with a vector of its revisions.
type RevisionVector struct {
	Revisions map[string]uint64 `cbor:"1,keyasint"`
	WantReply bool              `cbor:"2,keyasint"`
	// Round is chosen by the requester and repeated in the response, so that a
	// response to an earlier request is not taken for one to this request.
	Round uint64 `cbor:"3,keyasint,omitempty"`
}

// AuditEvents carries audit records to the holder of the shard's lease, which
// writes the audit trail.
type AuditEvents struct {
	Records []audit.Record `cbor:"1,keyasint"`
}
