package health

import (
	"slices"
	"time"
)

// maxPending bounds the leaving upstreams that are kept before any document
// names them. The list of instances may arrive before the documents.
const maxPending = 1024

// leavingExpiry is the time after which leaving that was learned only from a
// refusal or a peer ends. These two sources never say that an upstream is back,
// so that without an end a restarted upstream would stay unused. The upstream
// then goes through probation, where it refuses again if it still drains.
const leavingExpiry = 10 * time.Minute

// leavingSet holds, by source, since when an upstream is leaving.
type leavingSet struct {
	list, document, refusal, peer time.Time // zero: the source does not say so
}

func (l *leavingSet) of(source LeavingSource) *time.Time {
	switch source {
	case LeavingList:
		return &l.list
	case LeavingDocument:
		return &l.document
	case LeavingRefusal:
		return &l.refusal
	default:
		return &l.peer
	}
}

func (l *leavingSet) any() bool { return *l != leavingSet{} }

// set records what a source says. The end of what the list said also ends what
// refusals and peers said: the platform has seen the upstream leave and return.
func (l *leavingSet) set(source LeavingSource, gone bool, now time.Time) {
	at := l.of(source)
	if gone {
		if at.IsZero() || source == LeavingRefusal {
			*at = now
		}
		return
	}
	if source == LeavingList && !l.list.IsZero() {
		l.refusal, l.peer = time.Time{}, time.Time{}
	}
	*at = time.Time{}
}

// expire ends what refusals and peers said too long ago.
func (l *leavingSet) expire(now time.Time) {
	for _, at := range []*time.Time{&l.refusal, &l.peer} {
		if !at.IsZero() && now.Sub(*at) >= leavingExpiry {
			*at = time.Time{}
		}
	}
}

// applyLeaving takes what a source says of an upstream.
func (e *Engine) applyLeaving(l Leaving) {
	s, u := e.find(l.Upstream)
	if u != nil {
		e.markLeaving(s, u, l.Source, l.Gone)
		e.holdFloor(s)
		return
	}
	pending, known := e.pending[l.Upstream]
	if !known && (!l.Gone || len(e.pending) >= maxPending) {
		return
	}
	pending.set(l.Source, l.Gone, e.now)
	if pending.any() {
		e.pending[l.Upstream] = pending
	} else {
		delete(e.pending, l.Upstream)
	}
}

// markLeaving records what a source says and follows it with the state.
func (e *Engine) markLeaving(s *service, u *upstream, source LeavingSource, gone bool) {
	u.leaving.set(source, gone, e.now)
	switch {
	case u.leaving.any() && u.state != Leaves:
		if source != LeavingPeer {
			e.untold = append(e.untold, u.key)
		}
		e.setState(s, u, Leaves, RuleLeaving, string(source))
	case !u.leaving.any() && u.state == Leaves:
		e.endLeaving(s, u, InService)
	}
}

// endLeaving treats an upstream that is back as one that has just appeared.
func (e *Engine) endLeaving(s *service, u *upstream, to State) {
	u.appeared = e.now
	u.resetScores()
	u.recovery.probation = probation{}
	e.setState(s, u, to, RuleLeavingEnded, "")
}

// expireLeaving ends leaving that no source confirms any more.
func (e *Engine) expireLeaving(s *service) {
	for _, u := range s.upstreams {
		if u.state != Leaves {
			continue
		}
		u.leaving.expire(e.now)
		if !u.leaving.any() {
			e.endLeaving(s, u, Probation)
		}
	}
}

// Leaving returns the upstreams newly learned to be leaving that peers should
// be told of, each once. What peers told is not among them.
func (e *Engine) Leaving() []Key {
	keys := slices.Compact(e.untold)
	e.untold = nil
	return keys
}
