package entry

import (
	"cmp"
	"slices"
)

// waiter is a request that waits for a slot.
type waiter struct {
	want  *want
	grant chan choice // receives the slot or the error, capacity 1
}

// fairQueue holds the waiting requests of a service. Callers take turns, and
// each caller's requests are served in their order.
type fairQueue struct {
	byCaller map[string][]*waiter
	turns    []string // callers with waiting requests, next one first
	length   int
}

// callerQuota is the part of a queue that one caller may hold: one in
// callerQuota places, and at least one place.
const callerQuota = 4

// admits reports whether a request of caller may wait in a queue of the given
// length.
func (q *fairQueue) admits(caller string, length int) bool {
	return q.length < length && len(q.byCaller[caller]) < max(1, length/callerQuota)
}

// push adds w behind the other requests of its caller.
func (q *fairQueue) push(w *waiter) {
	c := w.want.caller
	if len(q.byCaller[c]) == 0 {
		q.turns = append(q.turns, c)
	}
	q.add(c, append(q.byCaller[c], w))
}

// pushFront adds w before all others. It is used for requests that had a slot
// before.
func (q *fairQueue) pushFront(w *waiter) {
	c := w.want.caller
	if i := slices.Index(q.turns, c); i >= 0 {
		q.turns = slices.Delete(q.turns, i, i+1)
	}
	q.turns = slices.Insert(q.turns, 0, c)
	q.add(c, slices.Insert(q.byCaller[c], 0, w))
}

func (q *fairQueue) add(caller string, waiting []*waiter) {
	if q.byCaller == nil {
		q.byCaller = make(map[string][]*waiter)
	}
	q.byCaller[caller] = waiting
	q.length++
}

// remove takes w out and returns whether it was there. The caller's turn ends.
func (q *fairQueue) remove(w *waiter) bool {
	c := w.want.caller
	i := slices.Index(q.byCaller[c], w)
	if i < 0 {
		return false
	}
	q.byCaller[c] = slices.Delete(q.byCaller[c], i, i+1)
	q.length--
	if len(q.byCaller[c]) == 0 {
		delete(q.byCaller, c)
		if t := slices.Index(q.turns, c); t >= 0 {
			q.turns = slices.Delete(q.turns, t, t+1)
		}
	}
	return true
}

// ahead returns the number of waiting requests that go before a new one of the
// given priority.
func (q *fairQueue) ahead(priority int) int {
	n := 0
	for _, waiting := range q.byCaller {
		for _, w := range waiting {
			if w.want.priority <= priority {
				n++
			}
		}
	}
	return n
}

// rank lets callers whose next request has a lower priority number go first.
// Callers of equal priority keep their turns.
func (q *fairQueue) rank() {
	slices.SortStableFunc(q.turns, func(a, b string) int {
		return cmp.Compare(q.byCaller[a][0].want.priority, q.byCaller[b][0].want.priority)
	})
}

// endTurn moves caller behind the others.
func (q *fairQueue) endTurn(caller string) {
	if i := slices.Index(q.turns, caller); i >= 0 {
		q.turns = append(slices.Delete(q.turns, i, i+1), caller)
	}
}
