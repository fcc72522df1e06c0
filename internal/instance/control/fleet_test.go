package control

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/platform"
	"knapweedreel/internal/member"
	"knapweedreel/internal/wire"
)

// fakeClock is a Clock that only the test advances.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time                                { return c.now }
func (c *fakeClock) Tick(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }
func (c *fakeClock) After(time.Duration) <-chan time.Time          { return nil }

// fakeEngine ejects an upstream at its first failure and records its events.
type fakeEngine struct {
	states       map[health.Key]health.State
	events       []health.Event
	newlyLeaving []health.Key
	due          []health.Evidence
	documents    map[string]*document.Document
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{states: make(map[health.Key]health.State), documents: make(map[string]*document.Document)}
}

func (e *fakeEngine) Apply(now time.Time, ev health.Event) []health.Change {
	e.events = append(e.events, ev)
	set := func(key health.Key, to health.State, rule health.Rule) []health.Change {
		from := e.states[key]
		e.states[key] = to
		return []health.Change{{Time: now, Upstream: key, From: from, To: to, Rule: rule}}
	}
	switch {
	case ev.Document != nil:
		e.documents[ev.Document.Service] = ev.Document.Document
	case ev.Outcome != nil && ev.Outcome.Class == health.Failed:
		e.due = append(e.due, health.Evidence{Upstream: ev.Outcome.Upstream, Failures: 1})
		return set(ev.Outcome.Upstream, health.Ejected, health.RuleEvidence)
	case ev.Leaving != nil && ev.Leaving.Gone && e.states[ev.Leaving.Upstream] != health.Leaving:
		if ev.Leaving.Source != health.LeavingPeer {
			e.newlyLeaving = append(e.newlyLeaving, ev.Leaving.Upstream)
		}
		return set(ev.Leaving.Upstream, health.Leaving, health.RuleLeaving)
	}
	return nil
}

func (e *fakeEngine) Outgoing(time.Time) []health.Evidence {
	due := e.due
	e.due = nil
	return due
}

func (e *fakeEngine) TakeLeaving() []health.Key {
	leaving := e.newlyLeaving
	e.newlyLeaving = nil
	return leaving
}

func (e *fakeEngine) Views(service string) []health.View {
	var out []health.View
	if d := e.documents[service]; d != nil {
		for _, u := range d.Upstreams {
			key := health.Key{Service: service, Upstream: u.ID}
			state := e.states[key]
			if state == "" {
				state = health.InService
			}
			out = append(out, health.View{Upstream: key, State: state, Weight: 1})
		}
	}
	return out
}

// parseFake returns the same upstreams for any text, and an error for a text that
// contains "bad".
func parseFake(name string, text []byte) (*document.Document, error) {
	if strings.Contains(string(text), "bad") {
		return nil, errors.New("mistake")
	}
	return &document.Document{
		Service: name, Hosts: []string{name + ".example"},
		Upstreams: []document.Upstream{{ID: "u1", Slots: 6, Connections: 330}, {ID: "u2", Slots: 6, Connections: 330}},
	}, nil
}

// fleet is a set of loops, connected by in-memory links, that run on the
// goroutine of the test. deliverAll delivers queued messages in random order.
type fleet struct {
	t            testing.TB
	clock        *fakeClock
	random       *rand.Rand
	nodes        map[string]*node
	queue        []delivery
	disconnected map[[2]string]bool           // sender and receiver of links that lose messages
	history      map[string]map[string]uint64 // highest published revision by node and service
}

type node struct {
	*Loop
	fleet          *fleet
	id             string
	engine         *fakeEngine
	sent           []wire.Message
	requestedLinks []string
}

type delivery struct {
	from, to    string
	incarnation uint64 // of the receiver at the time of sending
	message     wire.Message
}

func (n *node) Send(id string, m wire.Message) {
	n.sent = append(n.sent, m)
	if to, ok := n.fleet.nodes[id]; ok {
		n.fleet.queue = append(n.fleet.queue, delivery{n.id, id, to.self.Incarnation, m})
	}
}

// deliver applies a message as Message does, without queuing it.
func (n *node) deliver(from string, m wire.Message) {
	e := messageEvent{from: from, message: m}
	if m.DocumentPush != nil {
		e.offer = n.parseOffer(m.DocumentPush.Envelope)
	}
	n.handle(e)
}

func (n *node) SetPeers(members []member.Info) {
	n.requestedLinks = n.requestedLinks[:0]
	for _, m := range members {
		n.requestedLinks = append(n.requestedLinks, m.ID)
	}
}

func newFleet(t testing.TB, seed uint64, size int) *fleet {
	f := &fleet{
		t: t, clock: &fakeClock{now: time.Unix(1_700_000_000, 0)}, random: rand.New(rand.NewPCG(seed, 1)),
		nodes: make(map[string]*node), disconnected: make(map[[2]string]bool), history: make(map[string]map[string]uint64),
	}
	for i := range size {
		f.start(fmt.Sprintf("i%02d", i))
	}
	return f
}

// start starts or restarts a node and links it to all others.
func (f *fleet) start(id string) *node {
	n := f.add(id)
	for _, other := range f.ids() {
		if other != id {
			f.link(id, other)
		}
	}
	return n
}

// add starts a node without links.
func (f *fleet) add(id string) *node {
	n := &node{fleet: f, id: id, engine: newFakeEngine()}
	n.Loop = New(Config{
		Self: member.Info{
			ID: id, Incarnation: uint64(f.clock.now.UnixNano()), PeerAddress: "127.0.0.1:1",
			Region: "south", State: member.Starting,
		},
		NewEngine: func() Engine { return n.engine },
		Parse:     parseFake,
		Peers:     n, Heartbeat: time.Second, PeerTimeout: 3 * time.Second, HolderTimeout: 15 * time.Second,
		Explanations: 16, Clock: f.clock, Random: rand.New(rand.NewPCG(f.random.Uint64(), 1)),
		Log: zap.NewNop(), Scope: tally.NoopScope,
	})
	f.nodes[id] = n
	f.history[id] = make(map[string]uint64)
	return n
}

func (f *fleet) ids() []string {
	var out []string
	for id := range f.nodes {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (f *fleet) link(a, b string) {
	f.nodes[a].handle(linkUpEvent{f.nodes[b].self})
	f.nodes[b].handle(linkUpEvent{f.nodes[a].self})
}

// partition disconnects or restores the links between two groups.
func (f *fleet) partition(a, b []string, disconnect bool) {
	for _, x := range a {
		for _, y := range b {
			f.disconnected[[2]string{x, y}], f.disconnected[[2]string{y, x}] = disconnect, disconnect
			if disconnect {
				f.nodes[x].handle(linkDownEvent{y})
				f.nodes[y].handle(linkDownEvent{x})
			} else {
				f.link(x, y)
			}
		}
	}
}

// deliverAll delivers queued messages, and those sent in response, until none is
// left.
func (f *fleet) deliverAll() {
	for len(f.queue) > 0 {
		i := f.random.IntN(len(f.queue))
		d := f.queue[i]
		last := len(f.queue) - 1
		f.queue[i] = f.queue[last]
		f.queue = f.queue[:last]
		to := f.nodes[d.to]
		if f.disconnected[[2]string{d.from, d.to}] || to.self.Incarnation != d.incarnation {
			continue
		}
		to.deliver(d.from, d.message)
		f.checkRevisions(to)
	}
}

// run advances the clock by d in ticks.
func (f *fleet) run(d time.Duration) {
	for end := f.clock.now.Add(d); f.clock.now.Before(end); {
		f.clock.now = f.clock.now.Add(health.TickInterval)
		for _, id := range f.ids() {
			f.nodes[id].handle(tickEvent{})
		}
		f.deliverAll()
	}
}

// checkRevisions fails the test if a snapshot has a lower revision than an
// earlier one of the same process.
func (f *fleet) checkRevisions(n *node) {
	f.t.Helper()
	seen := f.history[n.id]
	for name, s := range n.Snapshot().Services {
		if s.Revision < seen[name] {
			f.t.Fatalf("%s: service %s reverted from revision %d to %d", n.id, name, seen[name], s.Revision)
		}
		seen[name] = s.Revision
	}
}

func envelope(service string, revision uint64, text string) document.Envelope {
	return document.Envelope{Service: service, Revision: revision, Text: text}
}

// put offers an envelope to a node, as the platform child does.
func (f *fleet) put(n *node, e document.Envelope, source platform.DocumentSource) offerResult {
	reply := make(chan offerResult, 1)
	n.handle(offerEvent{n.parseOffer(e), source, reply})
	f.checkRevisions(n)
	return <-reply
}

func (n *node) revision(service string) uint64 {
	if s, ok := n.Snapshot().Services[service]; ok {
		return s.Revision
	}
	return 0
}
