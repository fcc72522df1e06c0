package entry

import (
	"time"

	"knapweedreel/internal/admission"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/placement"
	"knapweedreel/internal/routing"
)

// usableInterval is how often the usable capacity of the upstreams is computed for
// decisions on waiting. It is short compared to a request.
const usableInterval = 50 * time.Millisecond

// countDemand counts an attempt toward the demand of its class. st.mu is held.
func (st *serviceState) countDemand(svc *routing.Service, req *slotRequest, now time.Time) {
	if p := st.placer; p != nil {
		mean, _ := p.expectedTimes(req)
		p.demand.Add(req.class, req.route, mean, now)
		if len(svc.Upstreams) > 0 {
			p.demand.SetTimes(req.class, req.objective, mean/time.Duration(max(1, svc.Upstreams[0].Slots)))
		}
	}
}

// expectedTimes returns the mean response time of a route, and one that one response
// in six exceeds. Until enough responses have been observed, they are at most those
// of the initial guess: a few responses far below it raise the estimated deviation,
// and with it the mean, many times over.
func (p *placer) expectedTimes(req *slotRequest) (mean, slow time.Duration) {
	times := p.times(req)
	mean, slow = times.Mean(), times.AtDeviations(1)
	if guess := initialLatency(req); guess > 0 && !times.Settled() {
		mean, slow = min(mean, guess), min(slow, 2*guess)
	}
	return mean, slow
}

// headroom returns what a request leaves to more urgent ones: to those that would
// miss their objective if they waited behind it for a slot of an upstream.
func (p *placer) headroom(class admission.Class, due bool, now time.Time) placement.Headroom {
	u := p.demand.BlockedBy(class, now)
	return placement.Headroom{Urgent: u.Classes > 0, Slots: u.All, Due: due}
}

// admissionState returns what is known of the service for a request that finds no
// free slot. st.mu is held.
func (st *serviceState) admissionState(snap *routing.Snapshot, svc *routing.Service, req *slotRequest, now time.Time) admission.State {
	p := st.placer
	if now.Sub(p.usableAt) >= usableInterval {
		p.usable, p.usableAt = p.tracker.Usable(st.listCandidates(snap, svc, req, scope{}), now), now
	}
	mean, slow := p.expectedTimes(req)
	return admission.State{
		Ahead: st.queue.AheadOf(req.class, req.caller, req.retry, now),
		// The instance has its part of the slots, or more if it uses more.
		Running:     max(p.usable.Running, p.usable.Slots/float64(max(1, snap.ServingInstances))),
		Urgent:      p.demand.UrgentThan(req.class, now),
		AtUpstreams: time.Duration(p.usable.Waiting / max(1, p.usable.Slots) * float64(mean)),
		Response:    mean, Slow: slow,
		Earliest: st.earliest(svc, now),
	}
}

// maxQueueWait returns how long a request may wait for a slot, or an error if it is
// refused. st.mu is held.
func (st *serviceState) maxQueueWait(snap *routing.Snapshot, svc *routing.Service, req *slotRequest, now time.Time) (time.Duration, error) {
	s := st.admissionState(snap, svc, req, now)
	d := admission.Decide(admission.Request{Arrived: req.started, Objective: req.objective, Deadline: req.deadline, Retry: req.retry}, s, now)
	switch d.Refused {
	case admission.NoTime:
		return 0, errkind.New(errkind.QueueFull, "too little time is left for the %v that a response of service %s usually takes", s.Response, st.name)
	case admission.TooManyAhead:
		return 0, errkind.New(errkind.QueueFull, "%d requests of class %v or more urgent are queued for service %s, an estimated wait of %v", s.Ahead.Requests, req.class, st.name, d.Expected)
	case admission.NotYet:
		return 0, errkind.New(errkind.NoUpstream, "all upstreams of service %s have asked for no requests for another %v", st.name, s.Earliest.Sub(now))
	}
	return d.Wait, nil
}

// returnDelay returns how long the caller of a refused request should wait before
// it sends the request again, 0 if that is not known.
func (st *serviceState) returnDelay(req *slotRequest) time.Duration {
	if st.placer == nil {
		return 0
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	snap, now := st.control.Snapshot(), time.Now()
	svc := snap.Services[st.name]
	if svc == nil || !st.usable(svc, req) {
		return 0
	}
	s := st.admissionState(snap, svc, req, now)
	return st.placer.returns.Schedule(placement.Refused{
		Class: req.class, Ahead: s.Position(), Earliest: s.Earliest, Interval: s.Interval(), Latest: req.deadline.Add(-s.Response),
	}, now)
}
