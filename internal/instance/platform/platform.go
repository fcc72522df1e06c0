// Package platform runs an instance's work with the platform's services:
// reading and watching documents, holding the shard's lease, polling the list
// of instances and writing the audit trail.
package platform

import (
	"context"

	"knapweedreel/internal/audit"
	"knapweedreel/internal/document"
	"knapweedreel/internal/routing"
	"knapweedreel/internal/store"
	"knapweedreel/internal/wire"
)

// Control is what the platform child needs of the control goroutine.
type Control interface {
	// Snapshot returns the current routing snapshot, never nil.
	Snapshot() *routing.Snapshot
	// Offer puts the envelope in force if its revision is higher than the one
	// in force, and returns the revision then in force at this instance.
	Offer(ctx context.Context, envelope document.Envelope, source DocumentSource) (uint64, error)
	// SetReady says that the store has been read once.
	SetReady()
	// SetInstances hands over the platform's list of instances.
	SetInstances(instances []store.Instance)
	// Holder returns the newest known holder of this instance's shard lease,
	// or nil when none was announced within the lease's time.
	Holder() *wire.Holder
	// SetHolder tells whether this instance holds the lease; nil for no.
	SetHolder(holder *wire.Holder)
	// AuditRecords delivers the records that this instance, as holder, has to
	// write: its own and those of its peers.
	AuditRecords() <-chan audit.Record
}

// DocumentSource tells where a document came from.
type DocumentSource string

// The sources.
const (
	SourcePut   DocumentSource = "put"
	SourceStore DocumentSource = "store"
	SourcePeer  DocumentSource = "peer"
)
