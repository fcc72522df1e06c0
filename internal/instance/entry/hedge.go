package entry

import (
	"context"

	"github.com/cockroachdb/errors"
)

// errNotNeeded cancels an attempt because another one has responded.
var errNotNeeded = errors.New("another attempt has responded to the request")

// hedge is an attempt that runs concurrently with an earlier one whose response
// is late. The earlier one isn't canceled, because a request that takes long at
// every upstream would then never complete in time.
type hedge struct {
	attempt *attempt
	done    chan struct{} // closed when the attempt has a result
}

// startHedge starts a hedge of a.
func (a *attempt) startHedge(c choice) *hedge {
	h := &hedge{attempt: a.e.newAttempt(a.st, c, causeLate, a.number+1), done: make(chan struct{})}
	h.attempt.hedgeOf = a
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
			a.err = a.s.panicError(a.e, p)
			a.end()
		}
	}()
	a.run()
	if a.final() {
		for b := a.hedgeOf; b != nil; b = b.hedgeOf {
			b.late.supersede(b)
		}
	}
}

// cancelHedge cancels the hedge of a without waiting for it.
func (a *attempt) cancelHedge() {
	if h := a.late.hedge; h != nil {
		h.attempt.cancel(errNotNeeded)
	}
}

// waitForHedges cancels the hedges of a and waits for them.
func (a *attempt) waitForHedges() {
	a.late.stop() // in case a has panicked
	for h := a.late.hedge; h != nil; h = h.attempt.late.hedge {
		h.attempt.cancel(errNotNeeded)
		<-h.done
		h.attempt.end()
		h.attempt.releaseBuffer()
	}
}

// notNeeded reports whether the attempt was canceled because another one has
// responded.
func (a *attempt) notNeeded() bool { return errors.Is(context.Cause(a.ctx), errNotNeeded) }
