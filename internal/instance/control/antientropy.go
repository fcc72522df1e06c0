package control

import (
	"maps"
	"slices"

	"knapweedreel/internal/member"
	"knapweedreel/internal/wire"
)

// synchronize compares the digest with one random linked peer's and exchanges
// revisions when they differ. While documents are unchecked it asks anyway.
func (l *Loop) synchronize() {
	peers := l.sample(l.linkedIDs(), 1)
	if len(peers) == 0 {
		return
	}
	if !l.ready.done || l.links[peers[0]].digest != l.documents.digest {
		l.askRevisions(peers[0])
	}
}

// linkedIDs returns the peers with a link in order, so that what a loop sends
// depends only on its inputs and its random source.
func (l *Loop) linkedIDs() []string { return slices.Sorted(maps.Keys(l.links)) }

// askRevisions sends the own revisions and asks for the receivers'.
func (l *Loop) askRevisions(ids ...string) {
	if len(ids) == 0 {
		return
	}
	revisions := l.documents.revisions()
	for _, id := range ids {
		l.send(id, wire.Message{RevisionVector: &wire.RevisionVector{Revisions: revisions, Reply: true, Round: l.ready.round}})
	}
}

// receiveRevisions answers a peer's revisions with the documents of which this
// instance has a higher one and, if asked, with its own revisions. The answer
// follows the documents on the same stream.
func (l *Loop) receiveRevisions(from string, v *wire.RevisionVector) {
	for _, service := range slices.Sorted(maps.Keys(l.documents.byService)) {
		f := l.documents.byService[service]
		if f.envelope.Revision > v.Revisions[service] {
			l.send(from, wire.Message{DocumentPush: &wire.DocumentPush{Envelope: f.envelope}})
		}
	}
	if v.Reply {
		l.send(from, wire.Message{RevisionVector: &wire.RevisionVector{Revisions: l.documents.revisions(), Round: v.Round}})
		return
	}
	if row, ok := l.table.Row(from); ok && row.State != member.Starting {
		l.ready.heard(v.Round, v.Revisions)
		l.checkReady()
	}
}
