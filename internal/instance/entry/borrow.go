package entry

import (
	"time"

	"knapweedreel/internal/instance/entry/upstream"
)

// Times for which an instance borrows no slots of a service after an upstream
// has shed one of its requests. The time doubles with each refusal and starts
// anew after a borrowed slot that was free. Under a surge every instance knows
// too little of the others to find free slots. A longer time saves refusals and
// leaves slots unused when callers use few of the instances: with 800 ms, halved
// and not ended by a free slot, two of eight instances reached 70% to 89% of the
// slots' capacity in BenchmarkSurge; with these values 95%.
const (
	minBorrowPause = 25 * time.Millisecond
	maxBorrowPause = 200 * time.Millisecond
)

// borrowPause is the time until slots are borrowed again.
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

// noteBorrow learns from an attempt with a borrowed slot.
func (st *service) noteBorrow(a *attempt) {
	st.mu.Lock()
	defer st.mu.Unlock()
	switch {
	case a.refused == upstream.Shed:
		st.borrow.refused(time.Now())
	case a.err == nil && !a.choice.home:
		st.borrow.accepted()
	}
}
