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

// PutResponse is the response to a successful write.
type PutResponse struct {
	Version uint64 `json:"version"`
}

// ItemsResponse is the response to a list or a watch.
type ItemsResponse struct {
	Items []Item `json:"items"`
	Index uint64 `json:"index"` // the store's index at the time of the response
}

// LeaseRequest is the body of a request to acquire or renew a lease.
type LeaseRequest struct {
	Holder string `json:"holder"`
	TTLMS  int64  `json:"ttl_ms"`
}

// LeaseResponse is the response to acquiring or renewing a lease.
type LeaseResponse struct {
	ID    string `json:"id"`
	Fence uint64 `json:"fence"`
	TTLMS int64  `json:"ttl_ms"`
}

// InstancesResponse is the instance list, or its changes since the cursor of the
// request. A server without support for cursors always returns the complete
// list.
type InstancesResponse struct {
	Partial   bool             `json:"partial,omitempty"`
	Instances []store.Instance `json:"instances"`         // all, or only the changed ones if Partial
	Removed   []string         `json:"removed,omitempty"` // IDs, only if Partial
	Cursor    string           `json:"cursor,omitempty"`  // for the next request
}

// ErrorCode is the reason for which the store refused a call.
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

// ErrorResponse is the body of every refusal. An error status without this body
// does not come from the store, so the call's effect is unknown.
type ErrorResponse struct {
	Error ErrorCode `json:"error"`
}
