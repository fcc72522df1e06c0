package control

import (
	"time"

	"go.uber.org/zap"

	"knapweedreel/internal/member"
)

// readiness tells whether the documents in force were compared with the store
// or a peer since the start or the last long pause.
type readiness struct {
	done   bool
	round  uint64            // grows with every comparison
	needed map[string]uint64 // revisions of an answering peer; nil before any answer
}

// begin requires a new comparison.
func (r *readiness) begin() {
	r.done = false
	r.round++
	r.needed = nil
}

// heard takes in the revisions of a peer that has its documents. One peer's
// answer suffices; the newest counts. An answer to an earlier round, which may
// have waited in a socket while this process was paused, proves nothing.
func (r *readiness) heard(round uint64, revisions map[string]uint64) {
	if !r.done && round == r.round {
		r.needed = revisions
	}
}

// satisfied reports whether everything that the peer has is in force here or
// was refused here as invalid.
func (r *readiness) satisfied(d *documents) bool {
	if r.needed == nil {
		return false
	}
	for service, revision := range r.needed {
		if d.revision(service) < revision && d.refused[service] < revision {
			return false
		}
	}
	return true
}

// checkReady ends the comparison when a peer's documents are all in force.
func (l *Loop) checkReady() {
	if !l.ready.done && l.ready.satisfied(&l.documents) {
		l.becomeReady("peer")
	}
}

// Ready says that the store has been read once.
func (l *Loop) Ready() { l.post(readyEvent{}) }

type readyEvent struct{}

func (readyEvent) apply(l *Loop, _ time.Time) {
	if !l.ready.done {
		l.becomeReady("store")
	}
}

func (l *Loop) becomeReady(source string) {
	l.ready.done = true
	l.ready.needed = nil
	l.cfg.Log.Info("documents_checked", zap.String("source", source), zap.Int("documents", len(l.documents.byService)))
	if l.self.State == member.Starting {
		l.setState(member.Active)
	}
	l.publisher.all(true)
}
