package entry

import (
	"slices"
	"time"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/evidence"
	"knapweedreel/internal/placement"
	"knapweedreel/internal/routing"
)

// Placement configures the choice of upstreams by belief.
type Placement struct {
	Model placement.Model
	// RetryShare is the share of a service's requests that may be sent again,
	// and RetryReserve what the whole fleet may spend beyond it at once for each
	// service.
	RetryShare, RetryReserve float64
	// RemoteCost is the cost of a request in another region, as a probability
	// of failure, and RemoteCostPerKB what each KiB of its body adds.
	RemoteCost, RemoteCostPerKB float64
	// DomainCostPerKB is the cost of each KiB that goes to another failure domain
	// of the own region.
	DomainCostPerKB float64
}

const (
	// placingRecheck is the time between looks at the queue while nothing is
	// released. Beliefs change within fractions of a second.
	placingRecheck = 25 * time.Millisecond
	// answerKB stands for the size of an answer, in KiB, in the cost of another
	// region.
	answerKB = 2
	// unknownKB stands for the size of a body without a length, in KiB.
	unknownKB = 64
	// guessShare is the share of a route's latency objective that stands for
	// its usual time while no answer was seen.
	guessShare = 0.3
)

// placing is the state of a service whose upstreams are chosen by belief. It is
// guarded by the service's mutex.
type placing struct {
	cfg     *Placement
	name    string // of the service
	tracker *placement.Tracker
	share   func(evidence.Record)       // nil for none
	remote  map[remoteKey]remoteAttempt // attempts of other instances that go on

	candidates []placement.Candidate // of the latest choice; kept for its memory
}

// placed is a choice as the tracker knows it.
type placed struct {
	attempt *placement.Attempt
	times   *placement.Times
	want    *want
	started time.Time
	number  uint64  // of the attempt, unique at this instance
	fails   float64 // probability of failure at the time of the choice
	load    int
}

func newPlacing(name string, cfg Config) *placing {
	if cfg.Placement == nil {
		return nil
	}
	return &placing{
		cfg: cfg.Placement, name: name, tracker: placement.NewTracker(cfg.Placement.Model),
		share: cfg.Share, remote: make(map[remoteKey]remoteAttempt),
	}
}

func (p *placing) times(w *want) *placement.Times { return p.tracker.Times(w.route, guess(w)) }

// guess returns the usual time of a route while no answer was seen.
func guess(w *want) time.Duration { return time.Duration(guessShare * float64(w.objective)) }

func (p *placing) start(c *choice, w *want, now time.Time) {
	c.placed.times = p.times(w)
	c.placed.attempt = p.tracker.Start(c.upstream.ID, c.placed.times, now)
	c.placed.want, c.placed.number, c.placed.started = w, attemptNumber.Add(1), now
	p.tell(c, placement.Pending, now)
}

// end notes the outcome of an attempt.
func (p *placing) end(c choice, class health.Class, now time.Time) {
	o := p.tracker.End(c.upstream.ID, c.placed.attempt, outcomeOf(class), now)
	p.tell(&c, o, now)
}

func outcomeOf(class health.Class) placement.Outcome {
	switch class {
	case health.OK:
		return placement.Good
	case health.Failed:
		return placement.Bad
	}
	return placement.Void
}

// forget drops upstreams that are no longer there. A removed service is nil.
func (p *placing) forget(svc *routing.Service, now time.Time) {
	p.forgetRemote(now)
	p.tracker.Forget(func(id string) bool {
		return svc != nil && slices.ContainsFunc(svc.Upstreams, func(u routing.Upstream) bool { return u.ID == id })
	})
}

// place chooses the upstream with the best prospects. The caller holds st.mu.
func (st *service) place(snap *routing.Snapshot, svc *routing.Service, w *want, now time.Time) (choice, bool) {
	p := st.placing
	cands := p.candidates[:0]
	for i := range svc.Upstreams {
		u := &svc.Upstreams[i]
		cands = append(cands, placement.Candidate{
			ID: u.ID, Slots: u.Slots, Connections: u.MaxConnections, Cold: u.Cold,
			Remote: u.Region != snap.Self.Region, Transfer: p.transfer(snap, u, w),
		})
	}
	p.candidates = cands
	again := st.triedAll(svc, w)
	c, ok := p.tracker.Choose(cands, func(id string) bool {
		return st.avoided(id, now) || !again && slices.Contains(w.tried, id) || st.unreached[id] && st.inFlight[id] > 0
	}, now.Before(w.started.Add(p.times(w).Hold())), now)
	if !ok {
		return choice{}, false
	}
	return choice{upstream: svc.Upstreams[c.Index], home: true, placed: placed{fails: c.Fails, load: c.Load}}, true
}

// transfer returns the cost of the way to an upstream.
func (p *placing) transfer(snap *routing.Snapshot, u *routing.Upstream, w *want) float64 {
	if u.FailureDomain == snap.Self.FailureDomain {
		return 0
	}
	kb := float64(w.bytes) / 1024
	if w.bytes < 0 {
		kb = unknownKB
	}
	kb += answerKB
	if u.Region == snap.Self.Region {
		return p.cfg.DomainCostPerKB * kb
	}
	return p.cfg.RemoteCost + p.cfg.RemoteCostPerKB*kb
}

// patience returns the time for which a request may wait for a slot, or an
// error when it would wait in vain: so many requests are before it that its
// answer could not come within the latency objective. The caller holds st.mu.
func (p *placing) patience(st *service, svc *routing.Service, w *want, now time.Time) (time.Duration, error) {
	times := p.times(w)
	left := w.started.Add(w.objective).Sub(now) - times.Mean()
	if by := w.deadline.Sub(now) - times.Late(1); w.retry || left <= 0 {
		left = by
	}
	ahead := st.queue.ahead(w.priority)
	slots := 0
	for i := range svc.Upstreams {
		slots += svc.Upstreams[i].Slots
	}
	expected := time.Duration(float64(ahead) / float64(max(1, slots)) * float64(times.Mean()))
	if left <= 0 || expected > left {
		return 0, errkind.New(errkind.QueueFull, "%d requests wait for service %s, which takes about %v; %v are left", ahead, st.name, expected, left)
	}
	return left, nil
}

// giveUpAfter returns the time after which an answer is so late that the
// request should be sent to another upstream, if that is allowed.
func (st *service) giveUpAfter(c choice, deadline time.Time) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return c.placed.times.GiveUp(time.Until(deadline))
}

// inVain reports whether too little time is left for another attempt.
func (st *service) inVain(w *want) bool {
	if st.placing == nil {
		return false
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return time.Until(w.deadline) < st.placing.times(w).Least()
}

// noteLoad takes in the load that an answer reports.
func (st *service) noteLoad(a *attempt) {
	if st.placing == nil {
		return
	}
	load, ok := a.s.protocol().LoadOf(a.answer.Response)
	if !ok {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.placing.tracker.Load(a.choice.upstream.ID, load.Running+load.Waiting, time.Now())
}

// avoidFull keeps new requests away from an upstream that has no room.
func (st *service) avoidFull(id string) {
	if st.placing == nil {
		st.avoidFor(id, avoidAfterShed)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.placing.tracker.Full(id, time.Now())
}
