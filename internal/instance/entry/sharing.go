package entry

import (
	"slices"
	"sync/atomic"
	"time"

	"knapweedreel/internal/instance/evidence"
	"knapweedreel/internal/placement"
	"knapweedreel/internal/routing"
)

// remoteMemory is the time after which an attempt of another instance is
// forgotten whose end was not told.
const remoteMemory = 10 * time.Second

// remoteKey identifies an attempt of another instance.
type remoteKey struct{ boot, attempt uint64 }

type remoteAttempt struct {
	upstream string
	attempt  *placement.Attempt
	started  time.Time
}

// attemptNumber numbers the attempts of this process.
var attemptNumber atomic.Uint64

// tell shares the state of an attempt with other instances.
func (p *placing) tell(c *choice, o placement.Outcome, now time.Time) {
	if p.share == nil {
		return
	}
	p.share(evidence.Record{
		Attempt: c.placed.number, Service: p.name, Upstream: c.upstream.ID, Route: c.placed.want.route,
		AgeMS: uint32(now.Sub(c.placed.started).Milliseconds()), Outcome: o,
		GuessMS: uint32(guess(c.placed.want).Milliseconds()),
	})
}

// learn takes in what another instance tells of an attempt.
func (p *placing) learn(boot uint64, r *evidence.Record, now time.Time) {
	key := remoteKey{boot, r.Attempt}
	known, ok := p.remote[key]
	if !ok {
		times := p.tracker.Times(r.Route, milliseconds(int(r.GuessMS)))
		started := r.Started(now)
		known = remoteAttempt{r.Upstream, p.tracker.RemoteStart(r.Upstream, times, started, now), started}
	}
	if r.Outcome == placement.Pending {
		p.remote[key] = known
		return
	}
	delete(p.remote, key)
	p.tracker.RemoteEnd(known.upstream, known.attempt, r.Outcome, now)
}

// Learn takes in what another instance, of the given boot, tells of its
// attempts. Upstreams and routes that this instance does not know are ignored.
func (s *Server) Learn(boot uint64, records []evidence.Record) {
	snap, now := s.control.Snapshot(), time.Now()
	for i := range records {
		r := &records[i]
		svc := snap.Services[r.Service]
		if svc == nil || !slices.ContainsFunc(svc.Upstreams, func(u routing.Upstream) bool { return u.ID == r.Upstream }) {
			continue
		}
		st := s.service(r.Service)
		st.mu.Lock()
		if st.placing != nil {
			st.placing.learn(boot, r, now)
		}
		st.mu.Unlock()
	}
}

// forgetRemote drops attempts whose end was not told.
func (p *placing) forgetRemote(now time.Time) {
	for key, a := range p.remote {
		if now.Sub(a.started) > remoteMemory {
			delete(p.remote, key)
		}
	}
}
