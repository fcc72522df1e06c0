package admission

import (
	"cmp"
	"container/heap"
	"container/list"
	"math"
	"slices"
	"time"
)

// Order selects how the accounts of a class take turns.
type Order int

const (
	// LeastService serves the account that has received the least service
	// recently, which is max-min fair, and applies the minimum shares of
	// minimumShareDivisor.
	LeastService Order = iota
	// RoundRobin serves one request of each account in turn.
	RoundRobin
)

// Kind separates requests of one class that may not be able to use the same free
// slots, so that one kind doesn't block the other.
type Kind uint8

const kinds = 2

// Item is a waiting request.
type Item[T any] struct {
	Value   T
	Class   Class
	Account string
	Kind    Kind          // 0 or 1
	Retry   bool          // goes before the first attempts of its class
	Work    time.Duration // expected service

	class    *class[T]
	flow     *flow[T] // nil for a retry
	element  *list.Element
	sequence uint64
	skipped  uint64 // the pass that skips it
}

// class holds the waiting requests of a class.
type class[T any] struct {
	Class
	retries *list.List // of *Item[T]
	levels  [kinds]level[T]
	waiting int
	work    time.Duration // of the waiting requests
	minimum minimum
}

// level is a heap of the flows of a class and kind, the next one to serve first.
type level[T any] struct {
	flows   []*flow[T]
	order   Order
	skipped uint64 // the pass that skips it
}

// flow holds the first attempts of one account, class and kind in the order of
// their arrival.
type flow[T any] struct {
	class *class[T]
	kind  Kind
	owner *account[T]
	items *list.List // of *Item[T]
	index int        // in the heap
}

func (f *flow[T]) head() *Item[T] { return f.items.Front().Value.(*Item[T]) }

func (l *level[T]) Len() int { return len(l.flows) }
func (l *level[T]) Less(i, j int) bool {
	return l.flows[i].compare(l.flows[j], l.order) < 0
}
func (l *level[T]) Swap(i, j int) {
	l.flows[i], l.flows[j] = l.flows[j], l.flows[i]
	l.flows[i].index, l.flows[j].index = i, j
}
func (l *level[T]) Push(x any) {
	f := x.(*flow[T])
	f.index = len(l.flows)
	l.flows = append(l.flows, f)
}
func (l *level[T]) Pop() any {
	last := len(l.flows) - 1
	f := l.flows[last]
	l.flows[last] = nil
	l.flows = l.flows[:last]
	return f
}

// compare orders flows of one class by the next turn.
func (f *flow[T]) compare(g *flow[T], order Order) int {
	if order == RoundRobin {
		return cmp.Or(cmp.Compare(f.owner.turn, g.owner.turn), cmp.Compare(f.head().sequence, g.head().sequence))
	}
	return cmp.Or(cmp.Compare(f.owner.service, g.owner.service), cmp.Compare(f.head().sequence, g.head().sequence))
}

// Queue orders waiting requests: by class, within a class by account as its Order
// says, and within an account by arrival. Pushing, serving and removing a request
// takes time logarithmic in the number of accounts. A Queue is not safe for
// concurrent use.
type Queue[T any] struct {
	order    Order
	accounts map[string]*account[T]
	classes  []*class[T] // by urgency; may include some without waiting requests
	length   int
	sequence uint64
	passes   uint64

	backlogged  dueHeap[T] // accounts with waiting first attempts
	classTime   float64    // mean service of the classes with demand, in seconds
	accountTime float64    // the same for accounts
	base        time.Time  // reference of account.service
}

// NewQueue returns an empty queue.
func NewQueue[T any](order Order) *Queue[T] {
	return &Queue[T]{order: order, accounts: make(map[string]*account[T])}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.length }

// Waiting returns the number of waiting first attempts of an account.
func (q *Queue[T]) Waiting(accountName string) int {
	if a := q.accounts[accountName]; a != nil {
		return a.waiting
	}
	return 0
}

// ClassCount is the number of waiting requests of a class.
type ClassCount struct {
	Class   Class
	Waiting int
}

// Classes returns the number of waiting requests of each class that has any, the
// most urgent one first.
func (q *Queue[T]) Classes() []ClassCount {
	var counts []ClassCount
	for _, c := range q.classes {
		if c.waiting > 0 {
			counts = append(counts, ClassCount{c.Class, c.waiting})
		}
	}
	return counts
}

// Push adds a request. An item may be pushed once.
func (q *Queue[T]) Push(it *Item[T], now time.Time) {
	q.sequence++
	it.sequence = q.sequence
	c := q.class(it.Class)
	it.class = c
	if c.waiting == 0 {
		c.minimum.begin(q.classTime, it.Work, now)
	}
	c.waiting++
	c.work += it.Work
	q.length++
	if it.Retry {
		it.element = c.retries.PushBack(it)
		return
	}
	a := q.account(it.Account, now)
	if a.waiting == 0 {
		q.sequence++
		a.turn = q.sequence
		a.minimum.begin(q.accountTime, it.Work, now)
		heap.Push(&q.backlogged, a)
	}
	a.waiting++
	f := a.flow(c, it.Kind)
	it.flow = f
	it.element = f.items.PushBack(it)
	if f.items.Len() == 1 {
		heap.Push(&c.levels[it.Kind], f)
	}
}

// Remove removes a request that has not been served. It reports whether the
// request was waiting.
func (q *Queue[T]) Remove(it *Item[T], now time.Time) bool {
	if it.element == nil {
		return false
	}
	c := it.class
	c.waiting--
	c.work -= it.Work
	q.length--
	if c.waiting == 0 {
		c.minimum.end(q.classTime, now)
	}
	if it.Retry {
		c.retries.Remove(it.element)
		it.element = nil
		return true
	}
	f, a := it.flow, it.flow.owner
	f.items.Remove(it.element)
	it.element = nil
	if f.items.Len() == 0 {
		heap.Remove(&c.levels[f.kind], f.index)
		a.flows = slices.DeleteFunc(a.flows, func(g *flow[T]) bool { return g == f })
	} else {
		heap.Fix(&c.levels[f.kind], f.index)
	}
	if a.waiting--; a.waiting == 0 {
		heap.Remove(&q.backlogged, a.index)
		a.minimum.end(q.accountTime, now)
		q.forgetIdle(a)
	}
	return true
}

// Serve removes a request that gets a slot and charges its account and class for
// the service.
func (q *Queue[T]) Serve(it *Item[T], now time.Time) {
	a := q.account(it.Account, now)
	q.charge(it.Class, a, it.Work, now)
	q.sequence++
	a.turn = q.sequence
	q.reorder(a)
	q.Remove(it, now)
}

// Charge records service that an account has received without waiting.
func (q *Queue[T]) Charge(c Class, accountName string, work time.Duration, now time.Time) {
	if q.order == RoundRobin {
		return // only the turns matter
	}
	a := q.account(accountName, now)
	q.charge(c, a, work, now)
	q.reorder(a)
	q.forgetIdle(a)
}

// reorder restores the heaps after the service or the turn of an account has
// changed.
func (q *Queue[T]) reorder(a *account[T]) {
	for _, f := range a.flows {
		heap.Fix(&f.class.levels[f.kind], f.index)
	}
	if a.waiting > 0 {
		heap.Fix(&q.backlogged, a.index)
	}
}

// class returns the state of a class, creating it if necessary.
func (q *Queue[T]) class(k Class) *class[T] {
	i, ok := slices.BinarySearchFunc(q.classes, k, func(c *class[T], k Class) int { return c.Compare(k) })
	if !ok {
		c := &class[T]{Class: k, retries: list.New()}
		for i := range c.levels {
			c.levels[i].order = q.order
		}
		q.classes = slices.Insert(q.classes, i, c)
	}
	return q.classes[i]
}

// Ahead is an estimate of what is served before a new request.
type Ahead struct {
	Requests int
	Work     time.Duration
	Same     time.Duration // the part of Work that is of the same class
	Own      time.Duration // the part of Work that is of the same class and account
	// Received is the mean number of slots that the account has used recently.
	Received float64
	Accounts int // with waiting requests of the class, this one included
}

// AheadOf estimates what is served before a new request of an account: all requests
// of more urgent classes and, within its class, the retries and, for a first attempt,
// what the other accounts get until its turn. An account that has nothing waiting
// thus waits for one request of each account, however many requests a large one has
// waiting.
func (q *Queue[T]) AheadOf(k Class, accountName string, retry bool, now time.Time) Ahead {
	ahead := Ahead{Accounts: 1}
	if a := q.accounts[accountName]; a != nil {
		ahead.Received = a.service * math.Exp(-now.Sub(q.base).Seconds()/serviceMemory.Seconds()) / serviceMemory.Seconds()
	}
	for _, c := range q.classes {
		order := c.Compare(k)
		if order > 0 {
			break
		}
		if order < 0 {
			ahead.Requests += c.waiting
			ahead.Work += c.work
			continue
		}
		if c.waiting == 0 {
			break
		}
		own, flows := 0, 0
		for i := range c.levels {
			flows += len(c.levels[i].flows)
		}
		if a := q.accounts[accountName]; a != nil {
			for _, f := range a.flows {
				if f.class == c {
					own += f.items.Len()
				}
			}
		}
		if retry {
			own, flows = 0, 0
		}
		n := min(c.waiting, c.retries.Len()+(own+1)*flows)
		ahead.Requests += n
		ahead.Same = c.work * time.Duration(n) / time.Duration(c.waiting)
		ahead.Work += ahead.Same
		ahead.Own = c.work * time.Duration(own) / time.Duration(c.waiting)
		ahead.Accounts = flows
		if own == 0 {
			ahead.Accounts++
		}
	}
	return ahead
}

// Urgent reports whether a request waits that goes before a retry of the given
// class.
func (q *Queue[T]) Urgent(k Class) bool {
	for _, c := range q.classes {
		switch order := c.Compare(k); {
		case order > 0:
			return false
		case order < 0 && c.waiting > 0, order == 0 && c.retries.Len() > 0:
			return true
		}
	}
	return false
}
