package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"knapweedreel/internal/document"
)

// eventGenerator draws random events for a few services with few upstreams, so
// that ejections, floors and leaving upstreams often interact.
type eventGenerator struct {
	t        *rapid.T
	now      time.Time
	revision uint64
	peers    map[string]*PeerEvidence
	counts   map[string]map[Key]Evidence
}

func newEventGenerator(t *rapid.T) *eventGenerator {
	return &eventGenerator{t: t, now: time.Unix(1000, 0), peers: map[string]*PeerEvidence{}, counts: map[string]map[Key]Evidence{}}
}

func (g *eventGenerator) intRange(low, high int, name string) int {
	return rapid.IntRange(low, high).Draw(g.t, name)
}

func (g *eventGenerator) key() Key {
	return Key{Service: fmt.Sprintf("s%d", g.intRange(0, 1, "service")), Upstream: fmt.Sprintf("u%d", g.intRange(0, 4, "upstream"))}
}

// next draws the next event and its time.
func (g *eventGenerator) next() (time.Time, Event) {
	g.now = g.now.Add(time.Duration(g.intRange(0, 300, "ms")) * time.Millisecond)
	switch k := g.intRange(0, 99, "kind"); {
	case k < 50:
		return g.now, Event{Outcome: &Outcome{
			Upstream: g.key(), Route: "GET /", Caller: uint64(g.intRange(0, 5, "caller")),
			Class:    Class(rapid.SampledFrom([]int{0, 1, 2, 2, 2}).Draw(g.t, "class")),
			Latency:  time.Duration(g.intRange(1, 400, "latency")) * time.Millisecond,
			Draining: g.intRange(0, 60, "draining") == 0,
		}}
	case k < 70:
		return g.now, Event{Peer: g.peer()}
	case k < 72:
		return g.now, Event{PeerLost: &PeerLost{Reporter: fmt.Sprintf("i%d", g.intRange(1, 3, "reporter"))}}
	case k < 77:
		return g.now, g.document()
	case k < 83:
		source := rapid.SampledFrom([]LeavingSource{LeavingInstanceList, LeavingRefusal, LeavingPeer}).Draw(g.t, "source")
		return g.now, Event{Leaving: &LeavingChanged{Upstream: g.key(), Source: source, Gone: rapid.Bool().Draw(g.t, "gone")}}
	case k < 85:
		return g.now, Event{Paused: &Paused{Duration: time.Duration(g.intRange(0, 2000, "pause")) * time.Millisecond}}
	default:
		if g.intRange(0, 20, "leap") == 0 {
			g.now = g.now.Add(11 * time.Minute)
		}
		return g.now, Event{Tick: &Tick{}}
	}
}

// peer draws a report with growing counts, and sometimes repeats the last one.
func (g *eventGenerator) peer() *PeerEvidence {
	name := fmt.Sprintf("i%d", g.intRange(1, 3, "reporter"))
	last := g.peers[name]
	if last != nil && g.intRange(0, 5, "repeat") == 0 {
		return last
	}
	p := &PeerEvidence{Reporter: name, Incarnation: 1, Sequence: 1, Region: fmt.Sprintf("r%d", g.intRange(0, 2, "region"))}
	if last != nil {
		p.Incarnation, p.Sequence = last.Incarnation, last.Sequence+1
	}
	if last == nil || g.intRange(0, 20, "reboot") == 0 {
		p.Incarnation++
		g.counts[name] = map[Key]Evidence{}
	}
	for range g.intRange(1, 3, "entries") {
		ev := g.counts[name][g.key()]
		ev.Upstream = g.key()
		ev.Successes += uint64(g.intRange(0, 5, "successes"))
		slow := uint64(g.intRange(0, 2, "slow"))
		ev.Slow += slow
		ev.Failures += slow + uint64(g.intRange(0, 5, "failures"))
		ev.Old = min(ev.Failures, uint64(g.intRange(0, 3, "old")))
		ev.Callers = []uint64{uint64(g.intRange(0, 5, "caller"))}
		ev.FailingCallers = ev.Callers[:g.intRange(0, 1, "failing")]
		ev.Traffic = uint64(g.intRange(0, 50, "traffic"))
		ev.Ejected = g.intRange(0, 4, "out") == 0
		ev.SelfSuspect = g.intRange(0, 9, "suspect") == 0
		g.counts[name][ev.Upstream] = ev
		p.Evidence = append(p.Evidence, ev)
	}
	g.peers[name] = p
	return p
}

func (g *eventGenerator) document() Event {
	g.revision += uint64(g.intRange(0, 2, "revision"))
	name := fmt.Sprintf("s%d", g.intRange(0, 1, "service"))
	if g.intRange(0, 9, "remove") == 0 {
		return Event{Document: &DocumentChanged{Service: name, Revision: g.revision}}
	}
	sensitivity := rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(g.t, "sensitivity")
	d := &document.Document{Service: name, FloorSlots: g.intRange(0, 15, "floor"), Unhealthy: document.Unhealthy{Sensitivity: &sensitivity}}
	for i := range 5 {
		if g.intRange(0, 4, "absent") == 0 {
			continue
		}
		u := document.Upstream{
			ID: fmt.Sprintf("u%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 9000+g.intRange(0, 1, "port")),
			Region: fmt.Sprintf("r%d", i%3), Slots: g.intRange(1, 4, "slots"),
		}
		if g.intRange(0, 9, "leaves") == 0 {
			u.State = document.UpstreamLeaving
		}
		d.Upstreams = append(d.Upstreams, u)
	}
	return Event{Document: &DocumentChanged{Service: name, Revision: g.revision, Document: d}}
}

// stateTracker derives the states of upstreams from the changes alone.
type stateTracker struct {
	states    map[Key]State
	documents map[string]*DocumentChanged
}

func (s *stateTracker) apply(ev Event, changes []Change) {
	if d := ev.Document; d != nil {
		known := s.documents[d.Service]
		if known == nil || d.Revision > known.Revision || d.Document == nil && d.Revision >= known.Revision {
			s.documents[d.Service] = d
		}
		if d.Document == nil && known != nil && d.Revision >= known.Revision {
			delete(s.documents, d.Service)
		}
		if d.Document == nil && known == nil {
			delete(s.documents, d.Service)
		}
	}
	for _, c := range changes {
		s.states[c.Upstream] = c.To
	}
}

// check returns a description of a violated floor, or "".
func (s *stateTracker) check() string {
	for service, d := range s.documents {
		healthy, notLeaving := 0, 0
		for _, u := range d.Document.Upstreams {
			switch s.states[Key{service, u.ID}] {
			case InService:
				healthy += u.Slots
				notLeaving += u.Slots
			case Ejected, Probation:
				notLeaving += u.Slots
			}
		}
		if healthy < min(d.Document.FloorSlots, notLeaving) {
			return fmt.Sprintf("%s has %d healthy slots of %d, floor %d", service, healthy, notLeaving, d.Document.FloorSlots)
		}
	}
	return ""
}

// Guards against any order of events that leaves a service below its floor.
func TestFloorHoldsAlways(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		generator, e := newEventGenerator(t), New(Config{Instance: "i0", Region: "r0"})
		tracker := &stateTracker{states: map[Key]State{}, documents: map[string]*DocumentChanged{}}
		generator.revision = 1
		for range rapid.IntRange(1, 150).Draw(t, "length") {
			now, ev := generator.next()
			tracker.apply(ev, e.Apply(now, ev))
			if violation := tracker.check(); violation != "" {
				t.Fatalf("after %v: %s", ev, violation)
			}
			for service := range tracker.documents {
				for _, v := range e.Views(service) {
					if got := tracker.states[v.Upstream]; got != v.State {
						t.Fatalf("%v is %s according to the changes and %s according to the view", v.Upstream, got, v.State)
					}
				}
			}
		}
	})
}

// Guards against decisions that depend on map order or anything but the events.
func TestSameEventsGiveSameChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		generator := newEventGenerator(t)
		a, b := New(Config{Instance: "i0", Region: "r0"}), New(Config{Instance: "i0", Region: "r0"})
		for range rapid.IntRange(1, 150).Draw(t, "length") {
			now, ev := generator.next()
			if diff := cmp.Diff(a.Apply(now, ev), b.Apply(now, ev)); diff != "" {
				t.Fatalf("changes differ:\n%s", diff)
			}
			if diff := cmp.Diff(a.Outgoing(now), b.Outgoing(now)); diff != "" {
				t.Fatalf("evidence differs:\n%s", diff)
			}
			if diff := cmp.Diff(a.TakeLeaving(), b.TakeLeaving()); diff != "" {
				t.Fatalf("leaving upstreams differ:\n%s", diff)
			}
		}
	})
}
