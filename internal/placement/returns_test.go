package placement

import (
	"container/heap"
	"slices"
	"testing"
	"time"

	"knapweedreel/internal/admission"
)

// returningCaller is a caller that returns after a refusal.
type returningCaller struct {
	at       time.Duration // of the next attempt
	arrived  time.Duration
	priority int
	returns  int // so far
}

type returningCallers []returningCaller

func (c returningCallers) Len() int           { return len(c) }
func (c returningCallers) Less(i, j int) bool { return c[i].at < c[j].at }
func (c returningCallers) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *returningCallers) Push(x any)        { *c = append(*c, x.(returningCaller)) }
func (c *returningCallers) Pop() any {
	old := *c
	x := old[len(old)-1]
	*c = old[:len(old)-1]
	return x
}

// surge is a load of callers that all arrive at once and return after refusals.
type surge struct {
	callers    int
	slots      int
	work       time.Duration
	deadline   time.Duration
	maxQueue   time.Duration // longest wait of an admitted request
	maxReturns int           // of a caller
}

// surgeResult counts callers by priority, and all refusals.
type surgeResult struct {
	served   [2]int
	waited   [2]time.Duration // mean time until served
	refusals int
}

// replay plays the surge. retryAfter returns the delay for a refused caller. A
// caller honors it up to a third of the time that it has left.
func (l surge) replay(retryAfter func(q Refused, now time.Time) time.Duration) surgeResult {
	var out surgeResult
	free := make([]time.Duration, l.slots) // when each slot becomes free
	var arrivals returningCallers
	for i := range l.callers {
		heap.Push(&arrivals, returningCaller{priority: i % 2})
	}
	interval := l.work / time.Duration(l.slots)
	for len(arrivals) > 0 {
		c := heap.Pop(&arrivals).(returningCaller)
		slices.Sort(free)
		start := max(c.at, free[0])
		if start-c.at <= l.maxQueue {
			if end := start + l.work; end <= c.arrived+l.deadline {
				out.served[c.priority]++
				out.waited[c.priority] += end - c.arrived
				free[0] = end
			}
			continue
		}
		out.refusals++
		left := c.arrived + l.deadline - c.at
		q := Refused{
			Class: admission.Class{Route: c.priority}, Ahead: int((start - c.at) / interval), Interval: interval,
			Latest: epoch.Add(c.arrived + l.deadline - l.work),
		}
		c.at += min(retryAfter(q, epoch.Add(c.at)), left/3)
		if c.returns++; c.returns <= l.maxReturns {
			heap.Push(&arrivals, c)
		}
	}
	for p := range out.waited {
		out.waited[p] /= time.Duration(max(1, out.served[p]))
	}
	return out
}

// Guards against callers that return all at once, find the slots taken and give
// up, while the slots are idle between two such waves. The load is a surge of five
// times what the queue holds, whose callers return three times.
func TestReplayReturnsAfterSurge(t *testing.T) {
	l := surge{
		callers: 80, slots: 6, work: 300 * time.Millisecond, deadline: 6 * time.Second,
		maxQueue: 500 * time.Millisecond, maxReturns: 3,
	}
	constant := l.replay(func(Refused, time.Time) time.Duration { return time.Second })
	var r Returns
	scheduled := l.replay(r.Schedule)
	t.Logf("served %v, waited %v, %d refusals; with a constant delay of 1 s %v, %v, %d",
		scheduled.served, scheduled.waited, scheduled.refusals, constant.served, constant.waited, constant.refusals)
	if sum(scheduled.served) < l.callers || sum(scheduled.served) <= sum(constant.served) {
		t.Errorf("served %v of %d, with a constant delay %v", scheduled.served, l.callers, constant.served)
	}
	if scheduled.refusals >= constant.refusals {
		t.Errorf("%d refusals, with a constant delay %d", scheduled.refusals, constant.refusals)
	}
	if scheduled.waited[0] >= scheduled.waited[1] {
		t.Errorf("urgent callers waited %v, others %v", scheduled.waited[0], scheduled.waited[1])
	}
}

func sum(served [2]int) int { return served[0] + served[1] }

// Guards against a return that comes before any upstream takes requests, after
// the last time that helps, or at once with others of the same priority.
func TestReturnsAreSpreadAndBounded(t *testing.T) {
	var r Returns
	q := Refused{Class: admission.Class{Route: 1}, Ahead: 2, Interval: 100 * time.Millisecond, Earliest: atMS(400), Latest: atMS(5_000)}
	for i, want := range []time.Duration{700, 800, 900} {
		if got := r.Schedule(q, atMS(0)); got != want*time.Millisecond {
			t.Errorf("return %d after %v, want %v", i, got, want*time.Millisecond)
		}
	}
	urgent := q
	urgent.Class = admission.Class{}
	if got := r.Schedule(urgent, atMS(0)); got != 700*time.Millisecond {
		t.Errorf("urgent return after %v", got)
	}
	if got := r.Schedule(q, atMS(0)); got != 1100*time.Millisecond {
		t.Errorf("return after three others and an urgent one: %v", got)
	}
	late := q
	late.Latest = atMS(600)
	if got := r.Schedule(late, atMS(0)); got != 600*time.Millisecond {
		t.Errorf("return after %v, the last time that helps is 600 ms", got)
	}
	if got := r.Schedule(Refused{Earliest: atMS(1_000_000)}, atMS(0)); got != maxReturnDelay {
		t.Errorf("return after %v", got)
	}
	if got := r.Schedule(Refused{Latest: atMS(60_000)}, atMS(20_000)); got != minReturnDelay || len(r.pending) != 1 {
		t.Errorf("return after %v with %d pending", got, len(r.pending))
	}
}
