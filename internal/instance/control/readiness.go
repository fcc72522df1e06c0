package control

import (
	"time"

	"go.uber.org/zap"

	"knapweedreel/internal/member"
)

// readiness tracks whether the documents in effect have been compared with the
// store or a peer since the start or the last long pause.
type readiness struct {
	done          bool
	round         uint64            // number of the comparison
	peerRevisions map[string]uint64 // from the latest response of a peer; nil before the first
}

// begin starts a new comparison.
func (r *readiness) begin() {
	r.done = false
	r.round++
	r.peerRevisions = nil
}

// setPeerRevisions records the revisions of a peer that has documents, that is,
// is not starting. One peer suffices; the latest response counts. A response to
// an earlier round is ignored, as it may have been buffered in a socket while
// this process was paused.
func (r *readiness) setPeerRevisions(round uint64, revisions map[string]uint64) {
	if !r.done && round == r.round {
		r.peerRevisions = revisions
	}
}

// satisfied reports whether each of the peer's revisions, or a higher one, is in
// effect here or was refused as invalid.
func (r *readiness) satisfied(d *documents) bool {
	if r.peerRevisions == nil {
		return false
	}
	for service, revision := range r.peerRevisions {
		if d.revision(service) < revision && d.refused[service] < revision {
			return false
		}
	}
	return true
}

// checkReady ends the comparison once all of the peer's documents are in effect.
func (l *Loop) checkReady() {
	if !l.ready.done && l.ready.satisfied(&l.documents) {
		l.becomeReady("peer")
	}
}

// SetReady notifies the loop that the documents in the store have been read.
func (l *Loop) SetReady() { l.post(readyEvent{}) }

type readyEvent struct{}

func (readyEvent) apply(l *Loop, _ time.Time) {
	if !l.ready.done {
		l.becomeReady("store")
	}
}

func (l *Loop) becomeReady(source string) {
	l.ready.done = true
	l.ready.peerRevisions = nil
	l.cfg.Log.Info("documents_checked", zap.String("source", source), zap.Int("documents", len(l.documents.byService)))
	if l.self.State == member.Starting {
		l.setState(member.Active)
	}
	l.publisher.markAll(true)
}
