package health

import (
	"slices"
	"time"
)

// maxPendingLeaving limits the leaving upstreams that no document names yet. The
// instance list may arrive before the documents.
const maxPendingLeaving = 1024

// leavingExpiry is the time after which a leaving mark from a refusal or a peer
// expires. These sources never report that an upstream is back, so a restarted
// upstream would otherwise stay unused. If no other mark remains, the upstream
// enters probation, where it refuses requests again if it is still draining.
const leavingExpiry = 10 * time.Minute

// leavingSources holds, by source, the time at which the upstream was marked as
// leaving.
type leavingSources struct {
	list, document, refusal, peer time.Time // zero: not marked
}

func (l *leavingSources) bySource(source LeavingSource) *time.Time {
	switch source {
	case LeavingInstanceList:
		return &l.list
	case LeavingDocument:
		return &l.document
	case LeavingRefusal:
		return &l.refusal
	default:
		return &l.peer
	}
}

func (l *leavingSources) isLeaving() bool { return *l != leavingSources{} }

// set sets or clears the mark of a source. Clearing the mark of the instance list
// also clears those of refusals and peers: the platform has seen the upstream
// leave and return.
func (l *leavingSources) set(source LeavingSource, leaving bool, now time.Time) {
	at := l.bySource(source)
	if leaving {
		if at.IsZero() || source == LeavingRefusal {
			*at = now
		}
		return
	}
	if source == LeavingInstanceList && !l.list.IsZero() {
		l.refusal, l.peer = time.Time{}, time.Time{}
	}
	*at = time.Time{}
}

// expire clears old marks of refusals and peers.
func (l *leavingSources) expire(now time.Time) {
	for _, at := range []*time.Time{&l.refusal, &l.peer} {
		if !at.IsZero() && now.Sub(*at) >= leavingExpiry {
			*at = time.Time{}
		}
	}
}

// applyLeaving processes a LeavingChanged event.
func (e *Engine) applyLeaving(l LeavingChanged) {
	s, u := e.find(l.Upstream)
	if u != nil {
		e.markLeaving(s, u, l.Source, l.Gone)
		e.enforceFloor(s)
		return
	}
	pending, known := e.pendingLeaving[l.Upstream]
	if !known && (!l.Gone || len(e.pendingLeaving) >= maxPendingLeaving) {
		return
	}
	pending.set(l.Source, l.Gone, e.now)
	if pending.isLeaving() {
		e.pendingLeaving[l.Upstream] = pending
	} else {
		delete(e.pendingLeaving, l.Upstream)
	}
}

// markLeaving sets or clears the mark of a source and updates the state.
func (e *Engine) markLeaving(s *service, u *upstream, source LeavingSource, leaving bool) {
	u.leaving.set(source, leaving, e.now)
	switch {
	case u.leaving.isLeaving() && u.state != Leaving:
		if source != LeavingPeer {
			e.unannounced = append(e.unannounced, u.key)
		}
		e.setState(s, u, Leaving, RuleLeaving, string(source))
	case !u.leaving.isLeaving() && u.state == Leaving:
		e.endLeaving(s, u, InService)
	}
}

// endLeaving resets the evidence on an upstream that is back and begins a new
// cold start.
func (e *Engine) endLeaving(s *service, u *upstream, state State) {
	u.coldStartAt = e.now
	u.resetScores()
	u.recovery.probation = probation{}
	e.setState(s, u, state, RuleLeavingEnded, "")
}

// expireLeaving moves leaving upstreams whose marks have all expired to
// probation.
func (e *Engine) expireLeaving(s *service) {
	for _, u := range s.upstreams {
		if u.state != Leaving {
			continue
		}
		u.leaving.expire(e.now)
		if !u.leaving.isLeaving() {
			e.endLeaving(s, u, Probation)
		}
	}
}

// TakeLeaving returns the upstreams that have begun to leave since the last call,
// to be announced to peers. Upstreams marked by a peer are not included.
func (e *Engine) TakeLeaving() []Key {
	keys := slices.Compact(e.unannounced)
	e.unannounced = nil
	return keys
}
