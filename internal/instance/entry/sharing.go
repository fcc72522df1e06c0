package entry

import (
	"slices"
	"sync/atomic"
	"time"

	"knapweedreel/internal/instance/evidence"
	"knapweedreel/internal/placement"
	"knapweedreel/internal/routing"
)

// peerAttemptTTL is how long a pending attempt of another instance is kept if
// its end is never received.
const peerAttemptTTL = 10 * time.Second

// peerAttemptKey identifies an attempt of another instance.
type peerAttemptKey struct{ incarnation, attempt uint64 }

type peerAttempt struct {
	upstream string
	attempt  *placement.Attempt
	started  time.Time
}

// attemptNumber is the number of the latest attempt of this process.
var attemptNumber atomic.Uint64

// shareAttempt sends the state of an attempt to other instances.
func (p *placer) shareAttempt(c *choice, o placement.Outcome, now time.Time) {
	if p.share == nil {
		return
	}
	p.share(evidence.Record{
		Attempt: c.tracked.number, Service: p.name, Upstream: c.upstream.ID, Route: c.tracked.req.route,
		AgeMS: uint32(now.Sub(c.tracked.started).Milliseconds()), Outcome: o,
		ExpectedMS: uint32(initialLatency(c.tracked.req).Milliseconds()),
	})
}

// applyPeerRecord applies a record of an attempt of another instance.
func (p *placer) applyPeerRecord(incarnation uint64, r *evidence.Record, now time.Time) {
	key := peerAttemptKey{incarnation, r.Attempt}
	known, ok := p.peerAttempts[key]
	if !ok {
		times := p.tracker.ResponseTimes(r.Route, milliseconds(int(r.ExpectedMS)))
		started := r.Started(now)
		known = peerAttempt{r.Upstream, p.tracker.PeerStart(r.Upstream, times, started, now), started}
		p.demand.AddPeer(r.Route, times.Mean(), now)
	}
	if r.Outcome == placement.Pending {
		p.peerAttempts[key] = known
		return
	}
	delete(p.peerAttempts, key)
	p.tracker.PeerEnd(known.upstream, known.attempt, r.Outcome, now)
}

// ApplyEvidence applies records of the attempts of another instance, identified
// by its incarnation. Records of unknown services and upstreams are ignored.
func (s *Server) ApplyEvidence(incarnation uint64, records []evidence.Record) {
	snap, now := s.control.Snapshot(), time.Now()
	var ended []*serviceState // with a slot that has become free
	for i := range records {
		r := &records[i]
		svc := snap.Services[r.Service]
		if svc == nil || !slices.ContainsFunc(svc.Upstreams, func(u routing.Upstream) bool { return u.ID == r.Upstream }) {
			continue
		}
		st := s.service(r.Service)
		if r.Outcome == placement.Leaving {
			s.applyPeerDeparture(st, r, now)
			continue
		}
		st.mu.Lock()
		if st.placer != nil {
			st.placer.applyPeerRecord(incarnation, r, now)
			if r.Outcome != placement.Pending && !slices.Contains(ended, st) {
				ended = append(ended, st)
			}
		}
		st.mu.Unlock()
	}
	for _, st := range ended {
		st.mu.Lock()
		st.dispatchLocked()
		st.mu.Unlock()
	}
}

// prunePeerAttempts drops attempts of other instances whose end was never
// received.
func (p *placer) prunePeerAttempts(now time.Time) {
	for key, a := range p.peerAttempts {
		if now.Sub(a.started) > peerAttemptTTL {
			delete(p.peerAttempts, key)
		}
	}
}
