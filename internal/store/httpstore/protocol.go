package httpstore

import (
	"knapweedreel/internal/store"
)

// Paths of the protocol. Keys in paths are escaped as one segment.
const (
	PathKV        = "/v1/kv"
	PathWatch     = "/v1/watch"
	PathLeases    = "/v1/leases"
	PathInstances = "/v1/instances"
)

// Item is a key with its value.
type Item struct {
	Key     string `json:"key"`
	Data    []byte `json:"data,omitempty"` // base64
	Version uint64 `json:"version"`        // 0 when the key is absent
}

// PutRequest is the body of a write.
type PutRequest struct {
	Data []byte `json:"data"` // base64
}

// PutAnswer is the answer to a write that took effect.
type PutAnswer struct {
	Version uint64 `json:"version"`
}

// ItemsAnswer is the answer to a list or a watch.
type ItemsAnswer struct {
	Items []Item `json:"items"`
	Index uint64 `json:"index"` // the store index of the answer
}

// LeaseRequest is the body of acquiring or renewing a lease.
type LeaseRequest struct {
	Holder string `json:"holder"`
	TTLMS  int64  `json:"ttl_ms"`
}

// LeaseAnswer is a lease as granted or renewed.
type LeaseAnswer struct {
	ID    string `json:"id"`
	Fence uint64 `json:"fence"`
	TTLMS int64  `json:"ttl_ms"`
}

// InstancesAnswer is the list of instances, or what changed in it since the
// cursor of the request. A list that knows no cursors always answers in full.
type InstancesAnswer struct {
	Partial   bool             `json:"partial,omitempty"`
	Instances []store.Instance `json:"instances"`         // all, or the changed ones
	Removed   []string         `json:"removed,omitempty"` // IDs, of a partial answer
	Cursor    string           `json:"cursor,omitempty"`  // for the next request
}

// ErrorCode names why the store refused a call.
type ErrorCode string

// The codes.
const (
	CodeConflict    ErrorCode = "conflict"    // status 409
	CodeHeld        ErrorCode = "held"        // status 409
	CodeLeaseLost   ErrorCode = "lease-lost"  // status 409
	CodeTooLarge    ErrorCode = "too-large"   // status 413
	CodeBadRequest  ErrorCode = "bad-request" // status 400
	CodeUnavailable ErrorCode = "unavailable" // status 503: refused, no effect
)

// ErrorAnswer is the body of every refusal. An error status without it does
// not come from the store and says nothing about the call's effect.
type ErrorAnswer struct {
	Error ErrorCode `json:"error"`
}
