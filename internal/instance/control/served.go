package control

import (
	"maps"
	"slices"
	"time"

	"knapweedreel/internal/health"
	"knapweedreel/internal/member"
)

// serves reports whether this instance is in the service's shard.
func (l *Loop) serves(service string, shards int) bool {
	return member.ShardOf(service, shards) == member.ShardOf(l.self.ID, shards)
}

// followShards gives the health engine the documents of the services that came
// to this instance's shard, and takes away those that left it, when the number
// of shards changed.
func (l *Loop) followShards(now time.Time, shards int) {
	if shards == l.shards {
		return
	}
	previous := l.shards
	l.shards = shards
	for _, name := range slices.Sorted(maps.Keys(l.documents.byService)) {
		f := l.documents.byService[name]
		was, is := previous > 0 && l.serves(name, previous), l.serves(name, shards)
		if was != is {
			l.feedDocument(now, f, is)
		}
	}
}

// feedDocument gives a document to the health engine, or takes its service
// away. The engine knows only the services that this instance serves, so that
// its work and memory follow the shard rather than the fleet.
func (l *Loop) feedDocument(now time.Time, f *inForce, served bool) {
	change := documentChanged(f)
	if !served {
		change.Document = nil
	}
	l.feed(now, health.Event{Document: change})
}

func documentChanged(f *inForce) *health.DocumentChanged {
	return &health.DocumentChanged{Service: f.envelope.Service, Revision: f.envelope.Revision, Document: f.parsed}
}
