package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// load describes the arrival of requests and the faults of upstreams.
type load struct {
	name        string
	upstreams   int
	slots       int
	perSecond   float64
	seconds     int
	meanHealthy time.Duration // mean time between fault periods
	meanFaulty  time.Duration // mean duration of a fault period
	hangShare   float64       // share of requests that hang in a fault period
	burst       int           // requests that arrive together
	deadline    time.Duration
	neverWait   bool // requests do not wait for better upstreams
}

// result holds the outcomes of a replayed load.
type result struct {
	served, failed, refused int
	sends                   []send
	transitions             [][]time.Duration // of each upstream, see load.transitions
}

// send is a request that was sent to an upstream.
type send struct {
	at       time.Duration
	upstream int
	failed   bool
}

func (r result) failedShare() float64 {
	return float64(r.failed) / float64(r.served+r.failed+r.refused)
}

// completion is the end of a request.
type completion struct {
	at      time.Time
	id      string
	attempt *Attempt
	outcome Outcome
}

type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at.Before(c[j].at) }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	old := *c
	x := old[len(old)-1]
	*c = old[:len(old)-1]
	return x
}

// transitions returns, for each upstream, the times at which it changes between
// healthy and faulty. All upstreams start healthy.
func (l load) transitions(r *rand.Rand) [][]time.Duration {
	all := make([][]time.Duration, l.upstreams)
	for i := range all {
		at := time.Duration(r.ExpFloat64() * float64(l.meanHealthy))
		for faulty := true; at < time.Duration(l.seconds)*time.Second; faulty = !faulty {
			all[i] = append(all[i], at)
			mean := l.meanHealthy
			if faulty {
				mean = l.meanFaulty
			}
			at += time.Duration(r.ExpFloat64() * float64(mean))
		}
	}
	return all
}

// choose returns a function for replay that chooses with the tracker.
func (l load) choose(tr *Tracker) func(c []Candidate, waited time.Duration, now time.Time) (int, bool) {
	times := tr.ResponseTimes("r", medianTime)
	return func(c []Candidate, waited time.Duration, now time.Time) (int, bool) {
		got, ok := tr.Choose(c, nil, Request{MayWait: !l.neverWait && waited < times.MaxWait()}, now)
		return got.Index, ok
	}
}

// faultyAt reports whether an upstream with the given transitions is faulty.
func faultyAt(transitions []time.Duration, at time.Duration) bool {
	faulty := false
	for _, change := range transitions {
		if change <= at {
			faulty = !faulty
		}
	}
	return faulty
}

// queueTimeout is the time for which a request waits for capacity. In package
// entry it depends on the latency objective.
const queueTimeout = 1200 * time.Millisecond

// replay simulates a load. choose returns the upstream for a request, or false to
// let the request wait.
func (l load) replay(seed uint64, tr *Tracker, choose func(c []Candidate, waited time.Duration, now time.Time) (int, bool)) result {
	r := rand.New(rand.NewPCG(seed, 1))
	transitions := l.transitions(r)
	var cands []Candidate
	for i := range l.upstreams {
		cands = append(cands, Candidate{ID: fmt.Sprint("u", i), Slots: l.slots, Connections: 64})
	}
	out := result{transitions: transitions}
	var running completions
	busy := make([]int, l.upstreams)
	times := tr.ResponseTimes("r", medianTime)
	var waiting []time.Time // arrivals
	for now := time.Duration(0); now < time.Duration(l.seconds)*time.Second; {
		now += time.Duration(r.ExpFloat64() * float64(l.burst) / l.perSecond * float64(time.Second))
		t := epoch.Add(now)
		for len(running) > 0 && !running[0].at.After(t) {
			c := heap.Pop(&running).(completion)
			tr.End(c.id, c.attempt, c.outcome, c.at)
			var n int
			_, _ = fmt.Sscanf(c.id, "u%d", &n)
			busy[n]--
		}
		for range l.burst {
			waiting = append(waiting, t)
		}
		for len(waiting) > 0 {
			if t.Sub(waiting[0]) > queueTimeout {
				out.refused++
				waiting = waiting[1:]
				continue
			}
			i, ok := choose(cands, t.Sub(waiting[0]), t)
			if !ok {
				break
			}
			waiting = waiting[1:]
			faulty := faultyAt(transitions[i], now)
			work := time.Duration((0.7 + 0.6*r.Float64()) * float64(medianTime))
			if queued := busy[i] - l.slots + 1; queued > 0 { // it waits at the upstream
				work += time.Duration(queued) * medianTime / time.Duration(l.slots)
			}
			c := completion{at: t.Add(work), id: cands[i].ID, outcome: Succeeded}
			if faulty && r.Float64() < l.hangShare {
				c.at, c.outcome = t.Add(l.deadline), Failed
				out.failed++
			} else {
				out.served++
			}
			out.sends = append(out.sends, send{now, i, c.outcome == Failed})
			busy[i]++
			c.attempt = tr.Start(c.id, times, t)
			heap.Push(&running, c)
		}
	}
	return out
}

func (r result) plus(o result) result {
	return result{served: r.served + o.served, failed: r.failed + o.failed, refused: r.refused + o.refused}
}

func compareWithRandom(t *testing.T, l load) (random, placed result) {
	t.Helper()
	for seed := range uint64(6) {
		r := rand.New(rand.NewPCG(seed, 2))
		randomResult := l.replay(seed, NewTracker(DefaultModel()), func(c []Candidate, _ time.Duration, _ time.Time) (int, bool) {
			return r.IntN(len(c)), true
		})
		tr := NewTracker(DefaultModel())
		placedResult := l.replay(seed, tr, l.choose(tr))
		random = random.plus(randomResult)
		placed = placed.plus(placedResult)
	}
	t.Logf("%s: failed %.3f at random, %.3f placed, refused %d of %d", l.name, random.failedShare(), placed.failedShare(),
		placed.refused, placed.served+placed.failed+placed.refused)
	return random, placed
}

// checkHalved checks that at most half as many requests fail with placement as
// with random choice, and that none is refused.
func checkHalved(t *testing.T, l load) {
	t.Helper()
	random, placed := compareWithRandom(t, l)
	if placed.failedShare() > random.failedShare()/2 || placed.refused > 0 {
		t.Errorf("failed %.3f, refused %d; at random %.3f", placed.failedShare(), placed.refused, random.failedShare())
	}
}

// Guards against placement that does not avoid faulty upstreams. A quarter of
// the slots are in use, and upstreams hang for seconds while they pass their
// health checks. With random choice, the share of requests that fail is about
// the share of time that upstreams are faulty times the share of requests that
// hang.
func TestReplayLowLoadWithHangingUpstreams(t *testing.T) {
	checkHalved(t, load{
		name: "low load", upstreams: 5, slots: 6, perSecond: 18, seconds: 60,
		meanHealthy: 20 * time.Second, meanFaulty: 7 * time.Second, hangShare: 0.75, burst: 1, deadline: 5 * time.Second,
	})
}

// Guards against spending requests on testing upstreams that the service does
// not need. A large service at low load has a hundred upstreams in the region
// and two requests per second for every ten of them.
func TestReplayManyUpstreamsAndFewRequests(t *testing.T) {
	checkHalved(t, load{
		name: "large service at low load", upstreams: 100, slots: 6, perSecond: 20, seconds: 60,
		meanHealthy: 20 * time.Second, meanFaulty: 7 * time.Second, hangShare: 0.75, burst: 1, deadline: 5 * time.Second,
	})
}

// Guards against placement that helps at low load but harms at high load. Two
// thirds of the slots are in use, requests arrive three at a time, and the fault
// periods are the same as at low load.
func TestReplayHighLoadWithHangingUpstreams(t *testing.T) {
	random, placed := compareWithRandom(t, load{
		name: "high load", upstreams: 5, slots: 6, perSecond: 45, seconds: 60,
		meanHealthy: 20 * time.Second, meanFaulty: 7 * time.Second, hangShare: 0.75, burst: 3, deadline: 5 * time.Second,
	})
	unserved := placed.failedShare() + float64(placed.refused)/float64(placed.served+placed.failed+placed.refused)
	if unserved > random.failedShare() || placed.failedShare() > 0.7*random.failedShare() {
		t.Errorf("failed or refused %.3f, failed %.3f; at random %.3f", unserved, placed.failedShare(), random.failedShare())
	}
}

// Guards against failures that placement itself causes while all upstreams are
// healthy and nine tenths of the slots are in use.
func TestReplayFullLoadOfHealthyUpstreams(t *testing.T) {
	l := load{
		name: "full load", upstreams: 5, slots: 6, perSecond: 67, seconds: 30,
		meanHealthy: time.Hour, meanFaulty: time.Second, hangShare: 0.75, burst: 1, deadline: 5 * time.Second,
	}
	tr := NewTracker(DefaultModel())
	got := l.replay(1, tr, l.choose(tr))
	if share := float64(got.refused) / float64(got.served+got.refused); share > 0.05 || got.failed > 0 {
		t.Errorf("refused %.3f, failed %d", share, got.failed)
	}
}

// Guards against requests that go to a probably faulty upstream although a slot
// of a better one becomes free a moment later. Half to three quarters of the
// slots are in use, and requests arrive two at a time.
func TestReplayBurstWaitsForBetterUpstreams(t *testing.T) {
	for _, l := range []load{
		{name: "few slots", upstreams: 12, slots: 3, perSecond: 75, deadline: 2 * time.Second},
		{name: "few upstreams", upstreams: 5, slots: 6, perSecond: 45, deadline: 5 * time.Second},
		{name: "one region of a small service", upstreams: 4, slots: 3, perSecond: 15, deadline: 2 * time.Second},
	} {
		l.seconds, l.meanHealthy, l.meanFaulty, l.hangShare, l.burst = 60, 20*time.Second, 7*time.Second, 0.75, 2
		unserved := func(neverWait bool) float64 {
			var sum result
			l.neverWait = neverWait
			for seed := range uint64(6) {
				tr := NewTracker(DefaultModel())
				sum = sum.plus(l.replay(seed, tr, l.choose(tr)))
			}
			return float64(sum.failed+sum.refused) / float64(sum.served+sum.failed+sum.refused)
		}
		waiting, sending := unserved(false), unserved(true)
		t.Logf("%s: unserved %.4f, %.4f without waiting", l.name, waiting, sending)
		if waiting >= sending {
			t.Errorf("%s: unserved %.4f, %.4f without waiting", l.name, waiting, sending)
		}
	}
}
