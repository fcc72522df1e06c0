package entry

import (
	"slices"
	"time"

	"knapweedreel/internal/admission"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/evidence"
	"knapweedreel/internal/placement"
	"knapweedreel/internal/routing"
)

// Placement configures the choice of upstreams by estimated failure probability.
type Placement struct {
	Model placement.Model
	// RetryShare is the ratio of retries to requests of a service, and
	// RetryReserve the number of retries that the fleet as a whole may make
	// beyond it at once, for each service.
	RetryShare, RetryReserve float64
	// RemoteCost is the cost of sending a request to another region, expressed
	// as a probability of failure. RemoteCostPerKB is added for each KiB of the
	// request and the response.
	RemoteCost, RemoteCostPerKB float64
	// DomainCostPerKB is the same for another failure domain of the local
	// region.
	DomainCostPerKB float64
}

const (
	// placerRecheckInterval replaces recheckInterval for placers, whose
	// estimates change within fractions of a second.
	placerRecheckInterval = 25 * time.Millisecond
	// assumedResponseKB is the size, in KiB, assumed for the responses of a route
	// until one has been received.
	assumedResponseKB = 2
	// maxTransferCost bounds the cost of a large transfer to another region, so that
	// one is made rather than a request lost at an upstream that is probably faulty.
	maxTransferCost = 0.5
	// responseSizeGain is the gain of the moving average of response sizes.
	responseSizeGain = 1.0 / 16
	// assumedBodyKB is the size, in KiB, assumed for a body without a
	// Content-Length.
	assumedBodyKB = 64
	// initialLatencyShare is the share of a route's latency objective assumed as
	// its usual latency until a response has been observed.
	initialLatencyShare = 0.3
)

// placer chooses the upstreams of a service by estimated failure probability. It
// is guarded by serviceState.mu.
type placer struct {
	cfg          *Placement
	name         string // service name
	tracker      *placement.Tracker
	share        func(evidence.Record)          // nil to share nothing
	peerAttempts map[peerAttemptKey]peerAttempt // pending attempts of other instances

	responseKB map[string]float64    // mean size of successful responses in KiB, by route
	returns    placement.Returns     // of callers whose requests were refused
	candidates []placement.Candidate // of the latest choice; reused to avoid allocations
	demand     admission.Demand      // of the instances that serve the same callers
	usable     placement.Usable      // as of usableAt
	usableAt   time.Time
	scopes     scopes
}

// trackedAttempt is an attempt with its state in the tracker.
type trackedAttempt struct {
	attempt *placement.Attempt
	times   *placement.ResponseTimes
	req     *slotRequest
	started time.Time
	number  uint64  // attempt number, unique within this process
	fails   float64 // estimated failure probability when the upstream was chosen
	load    int     // requests at the upstream then, as far as known
}

func newPlacer(name string, cfg Config) *placer {
	if cfg.Placement == nil {
		return nil
	}
	return &placer{
		cfg: cfg.Placement, name: name, tracker: placement.NewTracker(cfg.Placement.Model),
		share: cfg.Share, peerAttempts: make(map[peerAttemptKey]peerAttempt),
		responseKB: make(map[string]float64),
		scopes:     scopes{routes: make(map[string]*planners)},
	}
}

func (p *placer) times(req *slotRequest) *placement.ResponseTimes {
	return p.tracker.ResponseTimes(req.route, initialLatency(req))
}

// initialLatency returns the latency assumed for a route until a response has
// been observed.
func initialLatency(req *slotRequest) time.Duration {
	return time.Duration(initialLatencyShare * float64(req.objective))
}

func (p *placer) start(c *choice, req *slotRequest, now time.Time) {
	c.tracked.times = p.times(req)
	c.tracked.attempt = p.tracker.Start(c.upstream.ID, c.tracked.times, now)
	if req.unreceived {
		p.tracker.SetCallerPaced(c.upstream.ID, c.tracked.attempt, now)
	}
	c.tracked.req, c.tracked.number, c.tracked.started = req, attemptNumber.Add(1), now
	p.shareAttempt(c, placement.Pending, now)
}

// end records the outcome of an attempt and shares it.
func (p *placer) end(c choice, class health.Class, now time.Time) {
	o := p.tracker.End(c.upstream.ID, c.tracked.attempt, outcomeOf(class), now)
	p.shareAttempt(&c, o, now)
}

func outcomeOf(class health.Class) placement.Outcome {
	switch class {
	case health.OK:
		return placement.Succeeded
	case health.Failed:
		return placement.Failed
	}
	return placement.Neutral
}

// prune drops the state of removed upstreams. svc is nil if the service was
// removed.
func (p *placer) prune(svc *routing.Service, now time.Time) {
	p.prunePeerAttempts(now)
	p.demand.Prune(now)
	p.tracker.Forget(func(id string) bool {
		return svc != nil && slices.ContainsFunc(svc.Upstreams, func(u routing.Upstream) bool { return u.ID == id })
	}, now)
}

// listCandidates returns the upstreams as candidates for a request that travels as
// far as sc. st.mu is held.
func (st *serviceState) listCandidates(snap *routing.Snapshot, svc *routing.Service, req *slotRequest, sc scope) []placement.Candidate {
	p := st.placer
	cands := p.candidates[:0]
	for i := range svc.Upstreams {
		u := &svc.Upstreams[i]
		remote := u.Region != snap.Self.Region
		cands = append(cands, placement.Candidate{
			ID: u.ID, Excluded: st.hasAnnouncedLeaving(u), Incarnation: u.Incarnation, Slots: u.Slots, Connections: u.MaxConnections, Cold: u.Cold,
			Remote: remote, TransferCost: p.transferCost(snap, u, req, sc), OutOfScope: remote && sc.stayLocal || !remote && sc.leave,
		})
	}
	p.candidates = cands
	return cands
}

// pickByCost chooses the upstream with the lowest expected cost. due is set for a
// request that is due for its minimum share. st.mu is held.
func (st *serviceState) pickByCost(snap *routing.Snapshot, svc *routing.Service, req *slotRequest, due bool, now time.Time) (choice, bool) {
	p := st.placer
	sc := st.scopeOf(snap, svc, req, now)
	cands := st.listCandidates(snap, svc, req, sc)
	allTried := st.triedAll(svc, req)
	skip := func(id string) bool {
		return st.avoided(id, now) || !allTried && slices.Contains(req.tried, id) || st.unreachable[id] && st.inFlight[id] > 0
	}
	request := placement.Request{
		MayWait:    p.mayWait(req, now),
		Repeatable: req.repeatable && !req.retry && st.retryBudget.tokens >= 1,
		Headroom:   p.headroom(req.class, due, now),
	}
	c, ok := p.tracker.Choose(cands, skip, request, now)
	if !ok && sc.leave {
		c, ok = p.tracker.Choose(st.listCandidates(snap, svc, req, scope{}), skip, request, now)
	}
	if !ok {
		return choice{}, false
	}
	return choice{upstream: svc.Upstreams[c.Index], home: true, tracked: trackedAttempt{fails: c.FailureProbability, load: c.Load}}, true
}

// mayWait reports whether a request may wait for a better upstream.
func (p *placer) mayWait(req *slotRequest, now time.Time) bool {
	return now.Before(req.started.Add(p.times(req).MaxWait()))
}

// transferCost returns the additional cost of an upstream outside this
// instance's failure domain.
func (p *placer) transferCost(snap *routing.Snapshot, u *routing.Upstream, req *slotRequest, sc scope) float64 {
	if u.FailureDomain == snap.Self.FailureDomain {
		return 0
	}
	kb := p.transferKB(req)
	if u.Region != snap.Self.Region {
		return p.remoteCost(kb)
	}
	if sc.stayNear {
		return stayCost + p.cfg.DomainCostPerKB*kb
	}
	return p.cfg.DomainCostPerKB * kb
}

// remoteCost returns the cost of the transfer of kb KiB to another region.
func (p *placer) remoteCost(kb float64) float64 {
	return min(maxTransferCost, p.cfg.RemoteCost+p.cfg.RemoteCostPerKB*kb)
}

// transferKB returns the expected size of a request and its response in KiB.
func (p *placer) transferKB(req *slotRequest) float64 {
	kb := float64(req.bodyBytes) / 1024
	if req.bodyBytes < 0 {
		kb = assumedBodyKB
	}
	return kb + p.expectedResponseKB(req.route)
}

func (p *placer) expectedResponseKB(route string) float64 {
	if kb, ok := p.responseKB[route]; ok {
		return kb
	}
	return assumedResponseKB
}

// recordResponseSize adds the size of a successful response, in bytes, to the
// average of its route.
func (st *serviceState) recordResponseSize(route string, bytes int64) {
	if st.placer == nil {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	old := st.placer.expectedResponseKB(route)
	st.placer.responseKB[route] = old + responseSizeGain*(float64(bytes)/1024-old)
}

// earliest returns the time from which some upstream of the service takes
// requests again, as far as known: now, unless all have asked for none. st.mu is
// held.
func (st *serviceState) earliest(svc *routing.Service, now time.Time) time.Time {
	var first time.Time
	for i := range svc.Upstreams {
		u := &svc.Upstreams[i]
		if u.State != health.InService || st.hasAnnouncedLeaving(u) {
			continue
		}
		at := slices.MaxFunc([]time.Time{now, st.avoidUntil[u.ID], st.placer.tracker.RefusedUntil(incarnationOf(u))}, time.Time.Compare)
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	if first.IsZero() {
		return now
	}
	return first
}

// turnedAwayUntil returns an error if no upstream takes requests before the time
// until which a request can wait.
func (st *serviceState) turnedAwayUntil(earliest, until, now time.Time) error {
	if !earliest.After(now) || !earliest.After(until) {
		return nil
	}
	return errkind.New(errkind.NoUpstream, "all upstreams of service %s have asked for no requests for another %v", st.name, earliest.Sub(now))
}

// hedgeDelay returns how long to wait for a response before the request is sent
// to another upstream, if that is allowed.
func (st *serviceState) hedgeDelay(c choice, deadline time.Time) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return c.tracked.times.LateAfter(time.Until(deadline))
}

// longestResponse returns a time that few healthy responses exceed, 0 if it is not
// known. st.mu is held.
func (st *serviceState) longestResponse(req *slotRequest) time.Duration {
	if st.placer != nil {
		return st.placer.times(req).Longest()
	}
	d, _ := st.latency(req.route).high()
	return d
}

// outOfTime reports whether too little time is left for another attempt.
func (st *serviceState) outOfTime(req *slotRequest) bool {
	if st.placer == nil {
		return false
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return time.Until(req.deadline) < st.placer.times(req).Shortest()
}

// recordLoad records the load that the response reports, if any.
func (st *serviceState) recordLoad(a *attempt) {
	if st.placer == nil {
		return
	}
	load, ok := a.s.protocol().LoadOf(a.response.Response)
	if !ok {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.placer.tracker.SetLoad(a.choice.upstream.ID, load.Running+load.Waiting, time.Now())
}

// incarnationOf returns the start of an upstream to which an attempt was sent, or
// that is in the snapshot.
func incarnationOf(u *routing.Upstream) placement.Incarnation {
	return placement.Incarnation{ID: u.ID, Number: u.Incarnation}
}

// markFull keeps new requests away from an upstream that has no free slot, for at
// least the backoff that it asks for, until it restarts. It reports whether the
// upstream took requests before.
func (st *serviceState) markFull(u *routing.Upstream, backoff time.Duration) bool {
	if st.placer == nil {
		st.avoidFor(u.ID, max(avoidAfterShed, backoff))
		return true
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	now := time.Now()
	first := !now.Before(st.placer.tracker.RefusedUntil(incarnationOf(u)))
	st.placer.tracker.RecordRefusal(incarnationOf(u), backoff, now)
	return first
}
