package entry

import (
	"cmp"
	"slices"
	"time"
)

// waiter is a queued request.
type waiter struct {
	req   *slotRequest
	grant chan choice // receives the slot or the error; buffered, size 1
	until time.Time   // end of the wait
}

// fairQueue holds the waiting requests of a service. It is round-robin across
// callers and FIFO within a caller.
type fairQueue struct {
	byCaller map[string][]*waiter
	turns    []string // callers with waiting requests, next one first
	length   int
}

// callerQuotaDivisor limits each caller to 1/callerQuotaDivisor of the maximum
// queue length, but to no less than one request.
const callerQuotaDivisor = 4

// admits reports whether another request of caller may wait in a queue of the
// given maximum length.
func (q *fairQueue) admits(caller string, length int) bool {
	return q.length < length && len(q.byCaller[caller]) < max(1, length/callerQuotaDivisor)
}

// push adds w after the other requests of its caller.
func (q *fairQueue) push(w *waiter) {
	c := w.req.caller
	if len(q.byCaller[c]) == 0 {
		q.turns = append(q.turns, c)
	}
	q.add(c, append(q.byCaller[c], w))
}

// pushFront adds w ahead of all others. It is used for retries, which have held
// a slot before.
func (q *fairQueue) pushFront(w *waiter) {
	c := w.req.caller
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

// remove removes w and reports whether it was queued.
func (q *fairQueue) remove(w *waiter) bool {
	c := w.req.caller
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

// ahead returns the number of waiting requests that are served before a new one
// of a caller with the given priority: the caller's own, and of each other caller
// as many and one more, because callers take turns.
func (q *fairQueue) ahead(caller string, priority int) int {
	count := func(waiting []*waiter) int {
		n := 0
		for _, w := range waiting {
			if w.req.priority <= priority {
				n++
			}
		}
		return n
	}
	own := count(q.byCaller[caller])
	n := own
	for c, waiting := range q.byCaller {
		if c != caller {
			n += min(count(waiting), own+1)
		}
	}
	return n
}

// sortTurns orders callers by the priority of their next request, lowest number
// first. Callers of equal priority keep their order.
func (q *fairQueue) sortTurns() {
	slices.SortStableFunc(q.turns, func(a, b string) int {
		return cmp.Compare(q.byCaller[a][0].req.priority, q.byCaller[b][0].req.priority)
	})
}

// endTurn moves caller to the end of the turns.
func (q *fairQueue) endTurn(caller string) {
	if i := slices.Index(q.turns, caller); i >= 0 {
		q.turns = append(slices.Delete(q.turns, i, i+1), caller)
	}
}
