package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

var testConfig = Config{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// simulation is a fleet whose limiters are joined by a simulated network. It
// advances in steps of a millisecond.
type simulation struct {
	rand    *rand.Rand
	cfg     Config
	now     time.Duration
	nodes   []*node
	network []datagram
	// loss and duplication are probabilities for each datagram, and jitter is added
	// to its latency, which reorders datagrams.
	loss, duplication float64
	jitter            time.Duration
	queued            float64 // share of requests that wait for up to a second with their token
	cut               bool    // no datagrams between regions
	viewDelay         time.Duration
	// catchUp is the time for which a process that resumes has an old view.
	catchUp  time.Duration
	views    []view
	messages int

	limit   Limit
	version uint64
	sent    []time.Duration
	central reference // the same requests at one bucket
	// arrived, admitted and refused count requests since the last reset.
	arrived, admitted, refused, refusedCentrally int
}

// reference is a single bucket of an account.
type reference struct {
	tokens float64
	at     time.Duration
}

func (r *reference) take(l Limit, now time.Duration) bool {
	if r.at == 0 {
		r.tokens = l.Burst
	}
	r.tokens = min(l.Burst, r.tokens+l.Rate*(now-r.at).Seconds())
	r.at = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

type node struct {
	id       int
	region   int
	limiter  *Limiter
	alive    bool
	serving  bool
	pausedTo time.Duration
	demand   float64 // requests per second
	waiting  []pendingRequest
	held     []heldToken
	rejoinAt time.Duration
}

type pendingRequest struct {
	until  time.Duration
	lapsed bool // its token lapsed before it was sent
}

type heldToken struct {
	token Token
	until time.Duration
	send  bool
}

type datagram struct {
	at       time.Duration
	to, from int
	request  *Request
	transfer *Transfer
}

type view struct {
	at      time.Duration
	to      int
	members []int
}

const account = "account-1"

func newSimulation(seed uint64, n, regions int, limit Limit) *simulation {
	s := &simulation{
		rand: rand.New(rand.NewPCG(seed, 1)), cfg: testConfig, limit: limit, version: 1, viewDelay: 100 * time.Millisecond, catchUp: time.Second, queued: 0.1,
		now: time.Minute,
	}
	for i := range n {
		s.nodes = append(s.nodes, &node{id: i, region: i % regions, alive: true, serving: true})
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	s.publish(0)
	return s
}

func (s *simulation) start(n *node) {
	cfg := s.cfg
	cfg.Seed = s.rand.Uint64()
	n.limiter = NewLimiter(cfg, s.now)
	n.alive, n.waiting, n.held = true, nil, nil
}

// publish sends the present members to all nodes, each within the given delay.
func (s *simulation) publish(delay time.Duration) {
	var members []int
	for _, n := range s.nodes {
		if n.serving {
			members = append(members, n.id)
		}
	}
	for _, n := range s.nodes {
		at := s.now
		if delay > 0 {
			at += time.Duration(s.rand.Int64N(int64(delay)))
		}
		s.views = append(s.views, view{at, n.id, members})
	}
	s.applyViews()
}

func (s *simulation) applyViews() {
	s.views = slices.DeleteFunc(s.views, func(v view) bool {
		if v.at > s.now {
			return false
		}
		n := s.nodes[v.to]
		if n.alive && s.now < n.pausedTo+s.catchUp && n.pausedTo > 0 {
			return false
		}
		if n.alive {
			s.apply(n, v.members)
		}
		return true
	})
}

func (s *simulation) apply(n *node, members []int) {
	var list []Member
	for _, id := range members {
		m := s.nodes[id]
		list = append(list, Member{ID: fmt.Sprintf("instance-%d", id), Address: addressOf(id), Region: fmt.Sprint(m.region), Remote: m.region != n.region, Self: id == n.id})
	}
	n.limiter.SetMembers(list, s.now)
}

func addressOf(id int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(id))
}

// run advances the simulation.
func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += time.Millisecond {
		s.applyViews()
		s.deliver()
		for _, n := range s.nodes {
			if n.alive && s.now >= n.pausedTo {
				s.step(n)
			}
		}
	}
}

func (s *simulation) step(n *node) {
	for range s.poisson(n.demand / 1000) {
		s.arrived++
		if !s.central.take(s.limit, s.now) {
			s.refusedCentrally++
		}
		s.decide(n, n.limiter.Take(account, s.limit, s.version, s.now), pendingRequest{})
	}
	waiting := n.waiting
	n.waiting = nil
	for _, w := range waiting {
		s.decide(n, n.limiter.TakeAgain(account, s.limit, s.version, s.now), w)
	}
	n.held = slices.DeleteFunc(n.held, func(h heldToken) bool {
		if h.until > s.now {
			return false
		}
		if !h.send {
			n.limiter.Return(account, h.token, s.now)
		} else if n.limiter.Sent(account, h.token, s.now) {
			s.sent = append(s.sent, s.now)
		} else {
			s.admitted--
			n.waiting = append(n.waiting, pendingRequest{s.now + MaxWait, true})
		}
		return true
	})
	for _, o := range n.limiter.Requests(s.now) {
		s.send(datagram{from: n.id, to: int(o.To.Port()), request: &o.Request})
	}
}

// decide handles a decision. w is the zero value for a new request.
func (s *simulation) decide(n *node, d Decision, w pendingRequest) {
	switch {
	case d.Admitted && w.lapsed:
		s.admitted++
		if n.limiter.Sent(account, d.Token, s.now) {
			s.sent = append(s.sent, s.now)
		}
	case d.Admitted:
		s.admitted++
		s.hold(n, d.Token)
	case w.until == 0 && d.Wait > 0:
		n.waiting = append(n.waiting, pendingRequest{s.now + MaxWait, false})
	case w.until > s.now:
		n.waiting = append(n.waiting, w)
	default:
		s.refused++
		n.limiter.Refuse(account, s.now)
	}
}

// hold sends most requests at once, and some after a wait or never.
func (s *simulation) hold(n *node, t Token) {
	h := heldToken{token: t, until: s.now, send: s.rand.Float64() > 0.02}
	if s.rand.Float64() < s.queued {
		h.until += time.Duration(s.rand.Int64N(int64(time.Second)))
	}
	n.held = append(n.held, h)
}

func (s *simulation) send(d datagram) {
	copies := 1
	if s.rand.Float64() < s.duplication {
		copies = 2
	}
	for range copies {
		s.messages++
		if s.rand.Float64() < s.loss {
			continue
		}
		latency := time.Millisecond
		if s.nodes[d.from].region != s.nodes[d.to].region {
			if s.cut {
				continue
			}
			latency = 8 * time.Millisecond
		}
		if s.jitter > 0 {
			latency += time.Duration(s.rand.Int64N(int64(s.jitter)))
		}
		d.at = s.now + latency
		s.network = append(s.network, d)
	}
}

func (s *simulation) deliver() {
	due := s.network
	s.network = nil
	for _, d := range due {
		n := s.nodes[d.to]
		switch {
		case d.at > s.now || n.alive && s.now < n.pausedTo:
			s.network = append(s.network, d) // a paused process finds it in its socket
		case !n.alive:
		case d.request != nil:
			if t, ok := n.limiter.Lend(*d.request, s.limit, s.version, s.now); ok {
				s.send(datagram{from: d.to, to: d.from, transfer: &t})
			}
		default:
			n.limiter.Receive(*d.transfer, s.now)
		}
	}
}

func (s *simulation) poisson(mean float64) int {
	n := 0
	for p := s.rand.Float64(); p > math.Exp(-mean); p *= s.rand.Float64() {
		n++
	}
	return n
}

// setDemand divides a rate among the nodes that serve callers, by weight.
func (s *simulation) setDemand(rate float64, weight func(n *node) float64) {
	sum := 0.0
	for _, n := range s.nodes {
		sum += weight(n)
	}
	for _, n := range s.nodes {
		n.demand = rate * weight(n) / sum
	}
}

func (s *simulation) reset() {
	s.arrived, s.admitted, s.refused, s.refusedCentrally = 0, 0, 0, 0
}

// most returns the largest number of requests sent in a window.
func (s *simulation) most() int {
	most, first := 0, 0
	for i, at := range s.sent {
		for s.sent[first] <= at-s.cfg.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (s *simulation) bound() float64 {
	return (s.limit.Rate*s.cfg.Window.Seconds()+s.limit.Burst)*(1+s.cfg.Overage) + s.cfg.Slack
}

func (s *simulation) checkBound(t interface{ Fatalf(string, ...any) }) {
	if most := s.most(); float64(most) > s.bound() {
		t.Fatalf("%d requests sent within %v, bound %.1f", most, s.cfg.Window, s.bound())
	}
}

// unequal gives every second node twice the demand of the others.
func unequal(n *node) float64 { return float64(1 + n.id%2) }
