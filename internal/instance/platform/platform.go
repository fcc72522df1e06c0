// Package platform connects an instance to the services of the platform. It
// reads and watches documents, acquires the shard's lease, polls the instance
// list and writes the audit trail.
package platform

import (
	"context"

	"knapweedreel/internal/audit"
	"knapweedreel/internal/document"
	"knapweedreel/internal/routing"
	"knapweedreel/internal/store"
	"knapweedreel/internal/wire"
)

// Control is the part of the control goroutine that this package uses.
type Control interface {
	// Snapshot returns the current routing snapshot, never nil.
	Snapshot() *routing.Snapshot
	// Offer applies the envelope if its revision is higher than the one in
	// effect, and returns the revision in effect at this instance afterwards.
	Offer(ctx context.Context, envelope document.Envelope, source DocumentSource) (uint64, error)
	// SetReady reports that all documents have been read from the store.
	SetReady()
	// SetInstances sets the platform's instance list.
	SetInstances(instances []store.Instance)
	// Holder returns the latest known holder of the lease of this instance's
	// shard, or nil if none was announced within the lease's TTL.
	Holder() *wire.Holder
	// SetHolder sets the lease that this instance holds, or nil if it holds none.
	SetHolder(holder *wire.Holder)
	// AuditRecords returns the channel of records that this instance writes
	// while it holds the lease: its own and those of its peers.
	AuditRecords() <-chan audit.Record
}

// DocumentSource is where a document came from.
type DocumentSource string

// Document sources.
const (
	SourcePut   DocumentSource = "put"
	SourceStore DocumentSource = "store"
	SourcePeer  DocumentSource = "peer"
)
