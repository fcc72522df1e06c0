// Package admin is the operators' side of an instance: an HTTPS server with
// mutual authentication for documents, status, explanations, the audit trail
// and metrics.
package admin

import (
	"context"

	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/platform"
	"knapweedreel/internal/routing"
	"knapweedreel/internal/wire"
)

// Control is what the admin server needs of the control goroutine.
type Control interface {
	// Snapshot returns the current routing snapshot, never nil.
	Snapshot() *routing.Snapshot
	// Offer puts the envelope in force if its revision is higher than the one
	// in force, and returns the revision then in force at this instance.
	Offer(ctx context.Context, envelope document.Envelope, source platform.DocumentSource) (uint64, error)
	// Holder returns the newest known holder of this instance's shard lease,
	// or nil when none was announced within the lease's time.
	Holder() *wire.Holder
	// Envelope returns the envelope in force of a service.
	Envelope(ctx context.Context, service string) (document.Envelope, bool, error)
	// ExplainUpstream returns the current view of an upstream and the recent
	// changes of its state, newest last.
	ExplainUpstream(ctx context.Context, key health.Key) (health.View, []health.Change, error)
	// Trace streams the events of the health engine until ctx ends.
	Trace(ctx context.Context) (<-chan TracedEvent, error)
}

// RequestExplainer finds the explanation of a recent request.
type RequestExplainer interface {
	ExplainRequest(id string) (RequestExplanation, bool)
}

// Putter brings documents into the store; *platform.Putter implements it.
type Putter interface {
	Put(ctx context.Context, r platform.PutRequest) platform.PutResult
	ChangeResult(ctx context.Context, service, changeID string) platform.PutResult
}
