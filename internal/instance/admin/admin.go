// Package admin implements the admin API of an instance: an HTTPS server with
// mutual TLS for documents, status, explanations, the audit trail and metrics.
package admin

import (
	"context"

	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/platform"
	"knapweedreel/internal/routing"
	"knapweedreel/internal/wire"
)

// Control is the part of the control goroutine that the admin server uses.
type Control interface {
	// Snapshot returns the current routing snapshot, never nil.
	Snapshot() *routing.Snapshot
	// Offer applies the envelope if its revision is higher than the one in
	// effect, and returns the revision in effect at this instance afterwards.
	Offer(ctx context.Context, envelope document.Envelope, source platform.DocumentSource) (uint64, error)
	// Holder returns the latest known holder of the lease of this instance's
	// shard, or nil if none was announced within the lease's TTL.
	Holder() *wire.Holder
	// Envelope returns the envelope in effect for a service.
	Envelope(ctx context.Context, service string) (document.Envelope, bool, error)
	// ExplainUpstream returns the current view of an upstream and its recent
	// state changes, newest last.
	ExplainUpstream(ctx context.Context, key health.Key) (health.View, []health.Change, error)
	// Trace streams the input events of the health engine until ctx ends.
	Trace(ctx context.Context) (<-chan TracedEvent, error)
}

// RequestExplainer looks up the explanation of a recent request.
type RequestExplainer interface {
	ExplainRequest(id string) (RequestExplanation, bool)
}

// Putter writes documents to the store. *platform.Putter implements it.
type Putter interface {
	Put(ctx context.Context, r platform.PutRequest) platform.PutResult
	ChangeResult(ctx context.Context, service, changeID string) platform.PutResult
}
