package control

import (
	"maps"
	"slices"

	"knapweedreel/internal/member"
	"knapweedreel/internal/wire"
)

// synchronize compares the document digest with that of a random linked peer
// and exchanges revisions if they differ. Until the documents have been checked
// it exchanges revisions in any case.
func (l *Loop) synchronize() {
	peers := l.sample(l.linkedIDs(), 1)
	if len(peers) == 0 {
		return
	}
	if !l.ready.done || l.links[peers[0]].digest != l.documents.digest {
		l.requestRevisions(peers[0])
	}
}

// linkedIDs returns the IDs of the linked peers, sorted, so that the messages
// sent depend only on the loop's inputs and its random source.
func (l *Loop) linkedIDs() []string { return slices.Sorted(maps.Keys(l.links)) }

// requestRevisions sends this instance's revisions to the given peers and
// requests theirs.
func (l *Loop) requestRevisions(ids ...string) {
	if len(ids) == 0 {
		return
	}
	revisions := l.documents.revisions()
	for _, id := range ids {
		l.send(id, wire.Message{RevisionVector: &wire.RevisionVector{Revisions: revisions, WantReply: true, Round: l.ready.round}})
	}
}

// receiveRevisions sends a peer the documents of which this instance has a
// higher revision and, if requested, this instance's revisions. These follow the
// documents on the same stream.
func (l *Loop) receiveRevisions(from string, v *wire.RevisionVector) {
	for _, service := range slices.Sorted(maps.Keys(l.documents.byService)) {
		doc := l.documents.byService[service]
		if doc.envelope.Revision > v.Revisions[service] {
			l.send(from, wire.Message{DocumentPush: &wire.DocumentPush{Envelope: doc.envelope}})
		}
	}
	if v.WantReply {
		l.send(from, wire.Message{RevisionVector: &wire.RevisionVector{Revisions: l.documents.revisions(), Round: v.Round}})
		return
	}
	if row, ok := l.table.Row(from); ok && row.State != member.Starting {
		l.ready.setPeerRevisions(v.Round, v.Revisions)
		l.checkReady()
	}
}
