package entry

import (
	"context"

	"github.com/cockroachdb/errors"
)

// errNotNeeded ends an attempt whose request was answered by another one.
var errNotNeeded = errors.New("another attempt has answered the request")

// hedge is an attempt that runs beside an earlier one whose answer is late. A
// request that takes long wherever it runs would not end in time if the earlier
// attempt were given up.
type hedge struct {
	attempt *attempt
	done    chan struct{} // closed when the attempt has its result
}

// startHedge begins an attempt beside a.
func (a *attempt) startHedge(c choice) *hedge {
	h := &hedge{attempt: a.e.newAttempt(a.st, c, causeLate, a.number+1), done: make(chan struct{})}
	h.attempt.before = a
	a.st.metrics.retries.Inc(1)
	go h.run()
	return h
}

func (h *hedge) run() {
	a := h.attempt
	defer close(h.done)
	defer func() {
		if p := recover(); p != nil {
			a.late.stop()
			a.err = a.s.panicked(a.e, p)
			a.end()
		}
	}()
	a.run()
	if a.final() {
		for b := a.before; b != nil; b = b.before {
			b.late.beat(b)
		}
	}
}

// dismissHedge ends the attempt that runs beside a, and does not wait for it.
func (a *attempt) dismissHedge() {
	if h := a.late.hedge; h != nil {
		h.attempt.cancel(errNotNeeded)
	}
}

// collectHedges waits until no attempt runs beside a any more.
func (a *attempt) collectHedges() {
	a.late.stop() // for the case that a has panicked
	for h := a.late.hedge; h != nil; h = h.attempt.late.hedge {
		h.attempt.cancel(errNotNeeded)
		<-h.done
		h.attempt.end()
		h.attempt.drop()
	}
}

// notNeeded reports whether another attempt has answered the request.
func (a *attempt) notNeeded() bool { return errors.Is(context.Cause(a.ctx), errNotNeeded) }
