package admission_test

import (
	"fmt"
	"slices"
	"time"

	"knapweedreel/internal/admission"
	"knapweedreel/internal/placement"
)

// pending is a request at an instance.
type pending struct {
	c        *clientRequest
	in       *instance
	item     *admission.Item[*pending]
	arrived  time.Duration
	deadline time.Duration
	until    time.Duration
	tried    []string
	retry    bool
	attempts []*attempt
	over     bool
}

// attempt is an attempt at an upstream.
type attempt struct {
	p     *pending
	u     *upstream
	track *placement.Attempt
	peers []*placement.Attempt // at the other instances
	start time.Duration
	over  bool
}

// instance does what package entry does to choose upstreams and to queue requests.
type instance struct {
	r       *replay
	tracker *placement.Tracker
	queue   *admission.Queue[*pending]
	demand  admission.Demand
	returns placement.Returns
	cands   []placement.Candidate
	running int
	retries float64 // budget
}

func newInstance(r *replay) *instance {
	order := admission.RoundRobin
	if r.current {
		order = admission.LeastService
	}
	in := &instance{r: r, tracker: placement.NewTracker(placement.DefaultModel()), queue: admission.NewQueue[*pending](order), retries: 5}
	for _, u := range r.upstreams {
		in.cands = append(in.cands, placement.Candidate{ID: u.id, Slots: r.slot, Connections: 64})
	}
	return in
}

func (in *instance) times(k *kind) *placement.ResponseTimes {
	return in.tracker.ResponseTimes(k.name, time.Duration(0.3*float64(k.objective)))
}

func (p *pending) class() admission.Class {
	c := admission.Class{Route: p.c.k.priority}
	if p.c.k.class != nil {
		c.Account = p.c.k.class(p.c.account)
	}
	return c
}

func (p *pending) account() string { return fmt.Sprint(p.c.account) }

func (in *instance) arrive(c *clientRequest) {
	p := &pending{c: c, in: in, arrived: in.r.now, deadline: c.born + c.k.deadline}
	in.r.after(p.deadline-in.r.now, func() { p.expire() })
	in.acquire(p)
}

func (in *instance) recheck() {
	in.dispatch()
	in.r.after(25*time.Millisecond, in.recheck)
}

// choose returns the upstream for a request, if one has capacity.
func (in *instance) choose(p *pending, due bool) (placement.Choice, bool) {
	now := in.r.time()
	req := placement.Request{
		MayWait:    in.r.now < p.arrived+in.times(p.c.k).MaxWait(),
		Repeatable: p.c.k.idempotent && !p.retry && in.retries >= 1,
	}
	if in.r.current {
		u := in.demand.BlockedBy(p.class(), now)
		req.Headroom = placement.Headroom{Urgent: u.Classes > 0, Slots: u.All, Due: due}
	}
	return in.tracker.Choose(in.cands, func(id string) bool { return slices.Contains(p.tried, id) }, req, now)
}

// acquire starts a request or lets it wait, or refuses it.
func (in *instance) acquire(p *pending) {
	now, times := in.r.time(), in.times(p.c.k)
	in.demand.Add(p.class(), p.c.k.name, times.Mean(), now)
	in.demand.SetTimes(p.class(), p.c.k.objective, times.Mean()/time.Duration(in.cands[0].Slots))
	direct := in.queue.Len() == 0 || p.retry
	if in.r.current {
		direct = in.queue.Len() == 0 || p.retry && !in.queue.Urgent(p.class())
	}
	if direct {
		if got, ok := in.choose(p, false); ok {
			in.queue.Charge(p.class(), p.account(), times.Mean(), now)
			in.start(p, got.Index)
			return
		}
	}
	wait, ok := in.decide(p)
	if !ok {
		p.refuse()
		return
	}
	p.until = in.r.now + wait
	p.item = &admission.Item[*pending]{Value: p, Class: p.class(), Account: p.account(), Retry: p.retry, Work: times.Mean()}
	if p.c.k.idempotent {
		p.item.Kind = 1
	}
	in.queue.Push(p.item, now)
	in.r.after(wait, func() {
		if in.queue.Remove(p.item, in.r.time()) {
			p.refuse()
		}
	})
	in.dispatch()
}

func (in *instance) state(p *pending) admission.State {
	now, times := in.r.time(), in.times(p.c.k)
	usable := in.tracker.Usable(in.cands, now)
	return admission.State{
		Ahead:   in.queue.AheadOf(p.class(), p.account(), p.retry, now),
		Running: max(usable.Running, usable.Slots/float64(len(in.r.instances))),
		Urgent:  in.demand.UrgentThan(p.class(), now), AtUpstreams: time.Duration(usable.Waiting / max(1, usable.Slots) * float64(times.Mean())),
		Response: times.Mean(), Slow: times.AtDeviations(1), Earliest: in.earliest(),
	}
}

func (in *instance) earliest() time.Time {
	first := in.r.time().Add(time.Hour)
	for _, c := range in.cands {
		if at := in.tracker.RefusedUntil(placement.Incarnation{ID: c.ID, Number: c.Incarnation}); at.Before(first) {
			first = at
		}
	}
	return first
}

func (in *instance) decide(p *pending) (time.Duration, bool) {
	if in.r.current {
		d := admission.Decide(admission.Request{
			Arrived: epoch.Add(p.arrived), Objective: p.c.k.objective, Deadline: epoch.Add(p.deadline), Retry: p.retry,
		}, in.state(p), in.r.time())
		return d.Wait, d.Refused == admission.None
	}
	// The way before this package: the wait is estimated with the slots of all
	// instances, and the queue has a length.
	times := in.times(p.c.k)
	left := p.arrived + p.c.k.objective - in.r.now - times.Mean()
	if p.retry || left <= 0 {
		left = p.deadline - in.r.now - times.AtDeviations(1)
	}
	ahead := in.aheadBefore(p)
	expected := time.Duration(float64(ahead) / float64(in.r.fleet.upstreams*in.r.slot) * float64(times.Mean()))
	if left <= 0 || expected > left || in.earliest().After(in.r.time().Add(left)) {
		return 0, false
	}
	return left, p.retry || in.queue.Len() < 64 && in.queue.Waiting(p.account()) < 16
}

func (in *instance) aheadBefore(p *pending) int {
	n := 0
	for _, c := range in.queue.Classes() {
		if c.Class.Compare(p.class()) <= 0 {
			n += c.Waiting
		}
	}
	return n
}

// returnDelay returns when the client of a refused request should return.
func (in *instance) returnDelay(p *pending) time.Duration {
	times := in.times(p.c.k)
	q := placement.Refused{
		Class: p.class(), Ahead: in.aheadBefore(p), Earliest: in.earliest(),
		Interval: times.Mean() / time.Duration(max(1, in.running, in.r.fleet.upstreams*in.r.slot/len(in.r.instances))),
		Latest:   epoch.Add(p.deadline - times.Mean()),
	}
	if in.r.current {
		s := in.state(p)
		q.Ahead, q.Interval = s.Position(), s.Interval()
	}
	return in.returns.Schedule(q, in.r.time())
}

func (in *instance) dispatch() {
	pass := in.queue.Pass()
	for it, due := pass.Next(); it != nil; it, due = pass.Next() {
		p := it.Value
		got, ok := in.choose(p, due)
		switch {
		case ok:
			in.queue.Serve(it, in.r.time())
			in.start(p, got.Index)
		case p.retry:
			pass.Skip(it)
		case !in.r.current:
			pass.SkipKind(it.Kind)
		case due, in.r.now < p.arrived+in.times(p.c.k).MaxWait():
			pass.SkipLevel(it)
		default:
			pass.SkipFrom(it.Class)
		}
	}
}

// start sends a request to an upstream.
func (in *instance) start(p *pending, index int) *attempt {
	u, times, now := in.r.upstreams[index], in.times(p.c.k), in.r.time()
	a := &attempt{p: p, u: u, start: in.r.now, track: in.tracker.Start(u.id, times, now)}
	if !p.retry {
		in.retries = min(5, in.retries+0.1)
	}
	in.running++
	p.attempts = append(p.attempts, a)
	if !p.retry && len(p.attempts) == 1 {
		p.c.count(func(o *outcomes) { o.waited += in.r.now - p.arrived })
	}
	in.r.after(evidenceDelay, func() {
		for _, other := range in.r.instances {
			if other != in {
				other.demand.AddPeer(p.c.k.name, other.times(p.c.k).Mean(), in.r.time())
				a.peers = append(a.peers, other.tracker.PeerStart(u.id, other.times(p.c.k), now, in.r.time()))
			} else {
				a.peers = append(a.peers, nil)
			}
		}
	})
	if p.c.k.idempotent && len(p.attempts) < 3 {
		in.r.after(times.LateAfter(p.deadline-in.r.now), func() { p.hedge(a) })
	}
	u.arrive(a)
	return a
}

// evidenceDelay is the time after which the other instances know of an attempt.
const evidenceDelay = 20 * time.Millisecond

// end ends an attempt at its instance.
func (a *attempt) end(o placement.Outcome) {
	if a.over {
		return
	}
	a.over = true
	in, r := a.p.in, a.p.in.r
	in.running--
	o = in.tracker.End(a.u.id, a.track, o, r.time())
	in.tracker.SetLoad(a.u.id, len(a.u.running)+len(a.u.waiting), r.time())
	r.after(evidenceDelay, func() {
		for i, other := range r.instances {
			if i < len(a.peers) && a.peers[i] != nil {
				other.tracker.PeerEnd(a.u.id, a.peers[i], o, r.time())
				if r.current {
					other.dispatch()
				}
			}
		}
	})
	in.dispatch()
}

// respond ends the request with the response of an attempt.
func (a *attempt) respond() {
	p, r := a.p, a.p.in.r
	if p.over {
		a.end(placement.Succeeded)
		return
	}
	p.over = true
	a.end(placement.Succeeded)
	for _, other := range p.attempts {
		if !other.over {
			other.u.remove(other)
			other.end(placement.Neutral)
		}
	}
	inTime := r.now-p.c.born <= p.c.k.objective
	p.c.count(func(o *outcomes) {
		if inTime {
			o.inTime++
		} else {
			o.late++
		}
	})
}

// shedBackoff is the time for which an upstream that sheds asks for no requests.
const shedBackoff = time.Second

// shed handles the refusal of an attempt by the upstream.
func (a *attempt) shed() {
	p, in := a.p, a.p.in
	in.tracker.RecordRefusal(placement.Incarnation{ID: a.u.id}, shedBackoff, in.r.time())
	a.end(placement.Neutral)
	if p.over || slices.ContainsFunc(p.attempts, func(b *attempt) bool { return !b.over }) {
		return
	}
	p.tried = append(p.tried, a.u.id)
	p.retry = true
	if len(p.attempts) < 3 && in.spend() {
		in.acquire(p)
		return
	}
	p.refuse()
}

func (in *instance) spend() bool {
	if in.retries < 1 {
		return false
	}
	in.retries--
	return true
}

// hedge sends a late request to another upstream as well.
func (p *pending) hedge(a *attempt) {
	in := p.in
	if p.over || a.over || len(p.attempts) >= 3 || in.r.current && in.queue.Urgent(p.class()) {
		return
	}
	q := *p
	q.retry = true
	for _, b := range p.attempts {
		q.tried = append(slices.Clone(q.tried), b.u.id)
	}
	got, ok := in.choose(&q, false)
	if !ok || !in.spend() {
		return
	}
	in.demand.Add(p.class(), p.c.k.name, in.times(p.c.k).Mean(), in.r.time())
	retry := p.retry
	p.retry = true
	in.start(p, got.Index)
	p.retry = retry
}

// refuse tells the client to return.
func (p *pending) refuse() {
	if p.over {
		return
	}
	p.over = true
	p.in.r.refuse(p.c, p.in.returnDelay(p))
}

// expire ends the request at its deadline.
func (p *pending) expire() {
	if p.over {
		return
	}
	p.over = true
	if p.item != nil {
		p.in.queue.Remove(p.item, p.in.r.time())
	}
	p.c.count(func(o *outcomes) { o.failed++ })
	for _, a := range p.attempts {
		if !a.over {
			a.u.remove(a)
			a.end(placement.Failed)
		}
	}
}
