package control

import (
	"maps"
	"slices"
	"time"

	"knapweedreel/internal/health"
	"knapweedreel/internal/member"
)

// serves reports whether the service belongs to this instance's shard.
func (l *Loop) serves(service string, shards int) bool {
	return member.ShardOf(service, shards) == member.ShardOf(l.self.ID, shards)
}

// updateShards handles a change of the number of shards: it adds the services
// that moved into this instance's shard to the health engine and removes those
// that moved out.
func (l *Loop) updateShards(now time.Time, shards int) {
	if shards == l.shards {
		return
	}
	previous := l.shards
	l.shards = shards
	for _, name := range slices.Sorted(maps.Keys(l.documents.byService)) {
		doc := l.documents.byService[name]
		was, is := previous > 0 && l.serves(name, previous), l.serves(name, shards)
		if was != is {
			l.feedDocument(now, doc, is)
		}
	}
}

// feedDocument updates the health engine with a document, or removes its service
// if served is false. The engine holds only the services that this instance
// serves, so that its CPU time and memory scale with the shard and not with the
// fleet.
func (l *Loop) feedDocument(now time.Time, doc *appliedDocument, served bool) {
	change := documentChanged(doc)
	if !served {
		change.Document = nil
	}
	l.feed(now, health.Event{Document: change})
}

func documentChanged(doc *appliedDocument) *health.DocumentChanged {
	return &health.DocumentChanged{Service: doc.envelope.Service, Revision: doc.envelope.Revision, Document: doc.parsed}
}
