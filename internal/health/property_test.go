package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"knapweedreel/internal/document"
)

// history draws random events for a few services with few upstreams, so that
// ejections, floors and leaving meet often.
type history struct {
	t        *rapid.T
	now      time.Time
	revision uint64
	peers    map[string]*PeerEvidence
	counts   map[string]map[Key]Evidence
}

func newHistory(t *rapid.T) *history {
	return &history{t: t, now: time.Unix(1000, 0), peers: map[string]*PeerEvidence{}, counts: map[string]map[Key]Evidence{}}
}

func (h *history) int(low, high int, name string) int {
	return rapid.IntRange(low, high).Draw(h.t, name)
}

func (h *history) key() Key {
	return Key{Service: fmt.Sprintf("s%d", h.int(0, 1, "service")), Upstream: fmt.Sprintf("u%d", h.int(0, 4, "upstream"))}
}

// next draws the next event and its time.
func (h *history) next() (time.Time, Event) {
	h.now = h.now.Add(time.Duration(h.int(0, 300, "ms")) * time.Millisecond)
	switch k := h.int(0, 99, "kind"); {
	case k < 50:
		return h.now, Event{Outcome: &Outcome{
			Upstream: h.key(), Route: "GET /", Caller: uint64(h.int(0, 5, "caller")),
			Class:    Class(rapid.SampledFrom([]int{0, 1, 2, 2, 2}).Draw(h.t, "class")),
			Latency:  time.Duration(h.int(1, 400, "latency")) * time.Millisecond,
			Draining: h.int(0, 60, "draining") == 0,
		}}
	case k < 70:
		return h.now, Event{Peer: h.peer()}
	case k < 72:
		return h.now, Event{PeerLost: &PeerLost{Reporter: fmt.Sprintf("i%d", h.int(1, 3, "reporter"))}}
	case k < 77:
		return h.now, h.document()
	case k < 83:
		source := rapid.SampledFrom([]LeavingSource{LeavingList, LeavingRefusal, LeavingPeer}).Draw(h.t, "source")
		return h.now, Event{Leaving: &Leaving{Upstream: h.key(), Source: source, Gone: rapid.Bool().Draw(h.t, "gone")}}
	case k < 85:
		return h.now, Event{Paused: &Paused{Duration: time.Duration(h.int(0, 2000, "pause")) * time.Millisecond}}
	default:
		if h.int(0, 20, "leap") == 0 {
			h.now = h.now.Add(11 * time.Minute)
		}
		return h.now, Event{Tick: &Tick{}}
	}
}

// peer draws a report with counts that grow, and sometimes repeats an old one.
func (h *history) peer() *PeerEvidence {
	name := fmt.Sprintf("i%d", h.int(1, 3, "reporter"))
	last := h.peers[name]
	if last != nil && h.int(0, 5, "repeat") == 0 {
		return last
	}
	p := &PeerEvidence{Reporter: name, Boot: 1, Sequence: 1, Region: fmt.Sprintf("r%d", h.int(0, 2, "region"))}
	if last != nil {
		p.Boot, p.Sequence = last.Boot, last.Sequence+1
	}
	if last == nil || h.int(0, 20, "reboot") == 0 {
		p.Boot++
		h.counts[name] = map[Key]Evidence{}
	}
	for range h.int(1, 3, "entries") {
		ev := h.counts[name][h.key()]
		ev.Upstream = h.key()
		ev.Successes += uint64(h.int(0, 5, "successes"))
		slow := uint64(h.int(0, 2, "slow"))
		ev.Slow += slow
		ev.Failures += slow + uint64(h.int(0, 5, "failures"))
		ev.Old = min(ev.Failures, uint64(h.int(0, 3, "old")))
		ev.Callers = []uint64{uint64(h.int(0, 5, "caller"))}
		ev.FailingCallers = ev.Callers[:h.int(0, 1, "failing")]
		ev.Traffic = uint64(h.int(0, 50, "traffic"))
		ev.Out = h.int(0, 4, "out") == 0
		ev.SelfSuspect = h.int(0, 9, "suspect") == 0
		h.counts[name][ev.Upstream] = ev
		p.Evidence = append(p.Evidence, ev)
	}
	h.peers[name] = p
	return p
}

func (h *history) document() Event {
	h.revision += uint64(h.int(0, 2, "revision"))
	name := fmt.Sprintf("s%d", h.int(0, 1, "service"))
	if h.int(0, 9, "remove") == 0 {
		return Event{Document: &DocumentChanged{Service: name, Revision: h.revision}}
	}
	sensitivity := rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(h.t, "sensitivity")
	d := &document.Document{Service: name, FloorSlots: h.int(0, 15, "floor"), Unhealthy: document.Unhealthy{Sensitivity: &sensitivity}}
	for i := range 5 {
		if h.int(0, 4, "absent") == 0 {
			continue
		}
		u := document.Upstream{
			ID: fmt.Sprintf("u%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 9000+h.int(0, 1, "port")),
			Region: fmt.Sprintf("r%d", i%3), Slots: h.int(1, 4, "slots"),
		}
		if h.int(0, 9, "leaves") == 0 {
			u.State = document.UpstreamLeaving
		}
		d.Upstreams = append(d.Upstreams, u)
	}
	return Event{Document: &DocumentChanged{Service: name, Revision: h.revision, Document: d}}
}

// ledger follows the states of upstreams by the changes alone.
type ledger struct {
	states    map[Key]State
	documents map[string]*DocumentChanged
}

func (l *ledger) apply(ev Event, changes []Change) {
	if d := ev.Document; d != nil {
		known := l.documents[d.Service]
		if known == nil || d.Revision > known.Revision || d.Document == nil && d.Revision >= known.Revision {
			l.documents[d.Service] = d
		}
		if d.Document == nil && known != nil && d.Revision >= known.Revision {
			delete(l.documents, d.Service)
		}
		if d.Document == nil && known == nil {
			delete(l.documents, d.Service)
		}
	}
	for _, c := range changes {
		l.states[c.Upstream] = c.To
	}
}

// check returns a violation of the floor, or "".
func (l *ledger) check() string {
	for service, d := range l.documents {
		healthy, notLeaving := 0, 0
		for _, u := range d.Document.Upstreams {
			switch l.states[Key{service, u.ID}] {
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
		h, e := newHistory(t), New(Config{Instance: "i0", Region: "r0"})
		l := &ledger{states: map[Key]State{}, documents: map[string]*DocumentChanged{}}
		h.revision = 1
		for range rapid.IntRange(1, 150).Draw(t, "length") {
			now, ev := h.next()
			l.apply(ev, e.Apply(now, ev))
			if bad := l.check(); bad != "" {
				t.Fatalf("after %v: %s", ev, bad)
			}
			for service := range l.documents {
				for _, v := range e.Views(service) {
					if got := l.states[v.Upstream]; got != v.State {
						t.Fatalf("%v is %s by the changes and %s by the view", v.Upstream, got, v.State)
					}
				}
			}
		}
	})
}

// Guards against decisions that depend on map order or anything but the events.
func TestSameEventsGiveSameChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		a, b := New(Config{Instance: "i0", Region: "r0"}), New(Config{Instance: "i0", Region: "r0"})
		for range rapid.IntRange(1, 150).Draw(t, "length") {
			now, ev := h.next()
			if diff := cmp.Diff(a.Apply(now, ev), b.Apply(now, ev)); diff != "" {
				t.Fatalf("changes differ:\n%s", diff)
			}
			if diff := cmp.Diff(a.Outgoing(now), b.Outgoing(now)); diff != "" {
				t.Fatalf("evidence differs:\n%s", diff)
			}
			if diff := cmp.Diff(a.Leaving(), b.Leaving()); diff != "" {
				t.Fatalf("leaving upstreams differ:\n%s", diff)
			}
		}
	})
}
