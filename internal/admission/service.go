package admission

import (
	"container/heap"
	"container/list"
	"math"
	"slices"
	"time"
)

const (
	// serviceMemory is the time constant with which received service is
	// forgotten. It equals the window in which the quota of an account holds.
	serviceMemory = 5 * time.Second
	// rebaseAfter is the age of the reference time of the received service at
	// which it is moved. Idle accounts are then forgotten: little of their service
	// is left.
	rebaseAfter = 8 * serviceMemory
	// maxIdleAccounts bounds the memory for accounts without waiting requests. The
	// service of further ones is not remembered.
	maxIdleAccounts = 4096
	// minimumShareDivisor is the reciprocal of the share of the mean service that
	// each class and each account gets while it has demand, whatever its urgency.
	minimumShareDivisor = 4
)

// account is the state of an account.
type account[T any] struct {
	name string
	// service is the recent service in seconds, scaled by the exponential of the
	// time since Queue.base. All accounts are scaled alike, so their order doesn't
	// change while nothing is served.
	service float64
	turn    uint64     // for RoundRobin
	flows   []*flow[T] // with waiting requests
	waiting int        // first attempts
	minimum minimum
	index   int // in Queue.backlogged
}

// flow returns the account's flow of a class and kind, creating it if necessary.
func (a *account[T]) flow(c *class[T], k Kind) *flow[T] {
	for _, f := range a.flows {
		if f.class == c && f.kind == k {
			return f
		}
	}
	f := &flow[T]{class: c, kind: k, owner: a, items: list.New()}
	a.flows = append(a.flows, f)
	return f
}

// minimum tracks when a class or an account is due for its minimum share. Its
// clock is the mean service of those with demand: one that gets service w is due
// again when the mean has grown by minimumShareDivisor times w.
type minimum struct {
	due    float64 // on that clock
	behind float64 // due less the clock when the demand ended
	idleAt time.Time
}

// begin starts demand. Its lag from demand that ended a short time ago is kept, so
// that requests which give up while they wait don't reset it.
func (m *minimum) begin(clock float64, work time.Duration, now time.Time) {
	if m.idleAt.IsZero() || now.Sub(m.idleAt) > serviceMemory {
		m.due = clock + minimumShareDivisor*work.Seconds()
		return
	}
	m.due = clock + m.behind
}

func (m *minimum) end(clock float64, now time.Time) { m.behind, m.idleAt = m.due-clock, now }

// serve records service. demanding is whether requests were waiting for it.
func (m *minimum) serve(clock float64, work time.Duration, demanding bool, now time.Time) {
	if !demanding {
		m.behind, m.idleAt = min(m.behind, 0)+minimumShareDivisor*work.Seconds(), now
		return
	}
	m.due = min(m.due, clock) + minimumShareDivisor*work.Seconds()
}

// dueHeap is a heap of the accounts with waiting requests by minimum.due.
type dueHeap[T any] []*account[T]

func (h dueHeap[T]) Len() int           { return len(h) }
func (h dueHeap[T]) Less(i, j int) bool { return h[i].minimum.due < h[j].minimum.due }
func (h dueHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *dueHeap[T]) Push(x any) {
	a := x.(*account[T])
	a.index = len(*h)
	*h = append(*h, a)
}
func (h *dueHeap[T]) Pop() any {
	old := *h
	last := len(old) - 1
	a := old[last]
	old[last] = nil
	*h = old[:last]
	return a
}

// account returns the state of an account, creating it if necessary.
func (q *Queue[T]) account(name string, now time.Time) *account[T] {
	if q.base.IsZero() || now.Sub(q.base) > rebaseAfter {
		q.rebase(now)
	}
	a := q.accounts[name]
	if a == nil {
		a = &account[T]{name: name}
		q.accounts[name] = a
	}
	return a
}

// charge adds service to an account and advances the clocks of the minimum shares.
// The caller restores the heaps.
func (q *Queue[T]) charge(k Class, a *account[T], work time.Duration, now time.Time) {
	a.service += work.Seconds() * math.Exp(now.Sub(q.base).Seconds()/serviceMemory.Seconds())
	if q.length == 0 {
		return
	}
	c, demanding := q.class(k), 0
	for _, other := range q.classes {
		if other.waiting > 0 || other == c {
			demanding++
		}
	}
	q.classTime += work.Seconds() / float64(demanding)
	c.minimum.serve(q.classTime, work, c.waiting > 0, now)
	demanding = len(q.backlogged)
	if a.waiting == 0 {
		demanding++
	}
	q.accountTime += work.Seconds() / float64(demanding)
	a.minimum.serve(q.accountTime, work, a.waiting > 0, now)
}

// rebase moves the reference time of the received service to now and forgets idle
// accounts and classes.
func (q *Queue[T]) rebase(now time.Time) {
	decay := 0.0
	if !q.base.IsZero() {
		decay = math.Exp(-now.Sub(q.base).Seconds() / serviceMemory.Seconds())
	}
	for name, a := range q.accounts {
		a.service *= decay
		if a.waiting == 0 && a.service < serviceForgotten {
			delete(q.accounts, name)
		}
	}
	q.classes = slices.DeleteFunc(q.classes, func(c *class[T]) bool {
		return c.waiting == 0 && now.Sub(c.minimum.idleAt) > serviceMemory
	})
	q.base = now
	for _, c := range q.classes { // very small values may have become equal
		for i := range c.levels {
			heap.Init(&c.levels[i])
		}
	}
}

// serviceForgotten is the recent service, in seconds, below which an idle account
// is forgotten. It is below the work of a request.
const serviceForgotten = 0.01

// forgetIdle forgets an account that has no waiting requests if too many are
// remembered.
func (q *Queue[T]) forgetIdle(a *account[T]) {
	if a.waiting == 0 && len(q.accounts)-len(q.backlogged) > maxIdleAccounts {
		delete(q.accounts, a.name)
	}
}
