package entry

import (
	"time"

	"knapweedreel/internal/instance/entry/upstream"
)

// Bounds of the time for which an instance borrows no slots of a service after
// an upstream has shed one of its requests. It doubles with each refusal and is
// reset when a borrowed slot turns out to be free. Under a surge no instance
// knows enough of the others to find free slots. Longer pauses avoid refusals,
// but leave slots unused when callers use few of the instances: in
// BenchmarkSurge, two of eight instances use 95% of the slots' capacity with
// these bounds, and 70% to 89% with pauses of 800 ms that a free slot halves
// instead of resetting.
const (
	minBorrowPause = 25 * time.Millisecond
	maxBorrowPause = 200 * time.Millisecond
)

// borrowPause is the exponential backoff of borrowing after refusals.
type borrowPause struct {
	length time.Duration
	until  time.Time
}

func (p *borrowPause) refused(now time.Time) {
	p.length = min(max(2*p.length, minBorrowPause), maxBorrowPause)
	p.until = now.Add(p.length)
}

func (p *borrowPause) accepted() { *p = borrowPause{} }

func (p *borrowPause) over(now time.Time) bool { return !now.Before(p.until) }

// recordBorrow updates the borrow pause after an attempt.
func (st *serviceState) recordBorrow(a *attempt) {
	st.mu.Lock()
	defer st.mu.Unlock()
	switch {
	case a.refused == upstream.Shed:
		st.borrow.refused(time.Now())
	case a.err == nil && !a.choice.home:
		st.borrow.accepted()
	}
}
