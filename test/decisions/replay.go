package decisions

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"knapweedreel/internal/health"
)

// Decider makes the decisions of one instance. It is health.Engine or a
// baseline to compare with it.
type Decider interface {
	Apply(now time.Time, ev health.Event) []health.Change
	Outgoing(now time.Time) []health.Evidence
	Views(service string) []health.View
}

// Decision is a change of an upstream's state at one instance.
type Decision struct {
	Instance int
	health.Change
}

// Result holds the decisions of a replay.
type Result struct {
	Decisions []Decision // ordered by time for each instance
}

// delivery is evidence in transit to a peer.
type delivery struct {
	at   time.Time
	to   int
	peer *health.PeerEvidence
}

// deliveries is a heap of deliveries, ordered by time.
type deliveries []delivery

func (d deliveries) Len() int           { return len(d) }
func (d deliveries) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d deliveries) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(v any)        { *d = append(*d, v.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// replay holds the state of a replay in progress.
type replay struct {
	trace    *Trace
	share    bool
	deciders []Decider
	rng      *rand.Rand
	pending  deliveries
	sequence uint64
	states   []map[health.Key]*upstreamState // by instance; no entry for upstreams always in service
	result   Result
}

// upstreamState is the state of an upstream that is or was out of service at an
// instance.
type upstreamState struct {
	state        health.State
	since        time.Time
	probeEnd     time.Time // end of the last request during probation
	rampRequests uint64    // requests since it was reinstated
}

// Replay replays the trace with one Decider for each instance. If share is not
// set, no evidence is delivered. The same seed results in the same delivery
// times.
func Replay(t *Trace, build func(health.Config) Decider, share bool, seed uint64) Result {
	r := &replay{trace: t, share: share, rng: rand.New(rand.NewPCG(seed, 1))}
	for _, i := range t.Instances {
		r.deciders = append(r.deciders, build(health.Config{Instance: i.Name, Region: i.Region}))
		r.states = append(r.states, map[health.Key]*upstreamState{})
	}
	// Instances tick one after the other, which spreads their evidence over the
	// tick interval.
	step := health.TickInterval / time.Duration(len(t.Instances))
	next := make([]int, len(t.Streams))
	for at, turn := t.Start, 0; at.Before(t.End); at, turn = at.Add(step), turn+1 {
		for i := range t.Streams {
			r.advance(i, &next[i], at)
		}
		r.deliver(at)
		r.tick(turn%len(t.Instances), at)
	}
	return r.result
}

// advance applies the instance's events up to the given time.
func (r *replay) advance(i int, next *int, until time.Time) {
	stream := r.trace.Streams[i]
	for ; *next < len(stream) && !stream[*next].Time.After(until); *next++ {
		record := stream[*next]
		if o := record.Event.Outcome; o != nil && !r.wouldSend(i, record.Time, o) {
			continue
		}
		r.apply(i, record.Time, record.Event)
	}
}

// wouldSend reports whether the instance would have sent the request, given its
// decisions. An upstream in probation gets one idempotent request at a time,
// and a reinstated one a share of the requests during the ramp.
func (r *replay) wouldSend(i int, end time.Time, o *health.Outcome) bool {
	sent := end.Add(-o.Latency)
	s := r.states[i][o.Upstream]
	allowed := true
	if s != nil && !sent.Before(s.since) {
		switch s.state {
		case health.Ejected, health.Leaving:
			allowed = false
		case health.Probation:
			allowed = !sent.Before(s.probeEnd) && isIdempotent(o.Route)
			if allowed {
				s.probeEnd = end
			}
		case health.InService:
			s.rampRequests++
			allowed = end.Sub(s.since) >= rampTime || float64(s.rampRequests%10)/10 < r.weight(i, o.Upstream)
		}
	}
	return allowed
}

// rampTime is the time after which a reinstated upstream gets all its requests.
const rampTime = 10 * time.Second

func isIdempotent(route string) bool { return route != "POST /items" }

func (r *replay) weight(i int, key health.Key) float64 {
	for _, v := range r.deciders[i].Views(key.Service) {
		if v.Upstream == key {
			return v.Weight
		}
	}
	return 0
}

func (r *replay) apply(i int, at time.Time, ev health.Event) {
	for _, c := range r.deciders[i].Apply(at, ev) {
		r.result.Decisions = append(r.result.Decisions, Decision{i, c})
		s := r.states[i][c.Upstream]
		if s == nil && c.To == health.InService || c.From == c.To {
			continue
		}
		if s == nil {
			s = &upstreamState{}
			r.states[i][c.Upstream] = s
		}
		s.state, s.since, s.rampRequests = c.To, at, 0
	}
}

// tick applies a tick to an instance and sends its evidence to all peers, with
// a random delay of 2 to 10 ms for each.
func (r *replay) tick(i int, at time.Time) {
	r.apply(i, at, health.Event{Tick: &health.Tick{}})
	evidence := r.deciders[i].Outgoing(at)
	if !r.share || len(evidence) == 0 {
		return
	}
	r.sequence++
	from := r.trace.Instances[i]
	message := &health.PeerEvidence{Reporter: from.Name, Incarnation: 1, Sequence: r.sequence, Region: from.Region, Evidence: evidence}
	for j := range r.deciders {
		if j == i || r.isPartitioned(from.Region, r.trace.Instances[j].Region, at) {
			continue
		}
		delay := 2*time.Millisecond + time.Duration(r.rng.Int64N(int64(8*time.Millisecond)))
		heap.Push(&r.pending, delivery{at.Add(delay), j, message})
	}
}

func (r *replay) isPartitioned(a, b string, at time.Time) bool {
	for _, p := range r.trace.Partitions {
		if !at.Before(p.From) && at.Before(p.To) && (a == p.Region) != (b == p.Region) {
			return true
		}
	}
	return false
}

func (r *replay) deliver(until time.Time) {
	for len(r.pending) > 0 && !r.pending[0].at.After(until) {
		d := heap.Pop(&r.pending).(delivery)
		r.apply(d.to, d.at, health.Event{Peer: d.peer})
	}
}
