package entry

import (
	"time"

	"go.uber.org/zap"

	"knapweedreel/internal/instance/evidence"
	"knapweedreel/internal/placement"
	"knapweedreel/internal/routing"
)

// departure records that an upstream has announced in a response that it is
// leaving.
type departure struct {
	incarnation int64     // of the upstream that leaves
	lastSeen    time.Time // when the upstream was last among those of the service
}

// departureMemory is how long a departure is remembered after the upstream was
// last seen in the snapshot. The upstream may return there without having
// restarted, for example when the store's content is read again after an outage.
const departureMemory = 10 * time.Minute

// markLeaving excludes an upstream from further choices until it restarts. It
// reports whether the departure is new.
func (st *serviceState) markLeaving(id string, incarnation int64, now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	d, known := st.departures[id]
	if known && d.incarnation >= incarnation {
		return false
	}
	st.departures[id] = departure{incarnation, now}
	return true
}

// hasAnnouncedLeaving reports whether the upstream has announced that it is
// leaving and has not restarted since. st.mu is held.
func (st *serviceState) hasAnnouncedLeaving(u *routing.Upstream) bool {
	d, ok := st.departures[u.ID]
	return ok && d.incarnation >= u.Incarnation
}

// pruneDepartures drops the departures of upstreams that have restarted or have
// not been seen for departureMemory. svc is nil if the service was removed. st.mu
// is held.
func (st *serviceState) pruneDepartures(svc *routing.Service, now time.Time) {
	if len(st.departures) == 0 {
		return
	}
	if svc != nil {
		for i := range svc.Upstreams {
			u := &svc.Upstreams[i]
			if d, ok := st.departures[u.ID]; ok {
				st.departures[u.ID] = departure{d.incarnation, now}
				if d.incarnation < u.Incarnation {
					delete(st.departures, u.ID)
				}
			}
		}
	}
	for id, d := range st.departures {
		if now.Sub(d.lastSeen) > departureMemory {
			delete(st.departures, id)
		}
	}
}

// recordLeaving records and shares that the upstream of an attempt has announced
// in its response that it is leaving.
func (a *attempt) recordLeaving() {
	u := &a.choice.upstream
	if !a.trace.Leaving || !a.st.markLeaving(u.ID, u.Incarnation, time.Now()) {
		return
	}
	a.s.log.Info("upstream_announced_leaving", zap.String("id", u.ID), zap.String("service", a.st.name),
		zap.Int64("incarnation", u.Incarnation), zap.String("request_id", a.e.id))
	if a.s.cfg.Share != nil {
		a.s.cfg.Share(evidence.Record{
			Attempt: uint64(u.Incarnation), Service: a.st.name, Upstream: u.ID, Route: routeName(a.e.route), Outcome: placement.Leaving,
			ExpectedMS: uint32(initialLatency(a.e.slotReq).Milliseconds()),
		})
	}
}

// applyPeerDeparture records that an upstream has announced to another instance
// that it is leaving.
func (s *Server) applyPeerDeparture(st *serviceState, r *evidence.Record, now time.Time) {
	if incarnation := int64(r.Attempt); st.markLeaving(r.Upstream, incarnation, now) {
		s.log.Info("upstream_announced_leaving", zap.String("id", r.Upstream), zap.String("service", st.name),
			zap.Int64("incarnation", incarnation), zap.Bool("learned_from_peer", true))
	}
}
