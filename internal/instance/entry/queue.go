package entry

import (
	"time"

	"knapweedreel/internal/admission"
	"knapweedreel/internal/document"
)

// waiter is a queued request.
type waiter struct {
	req   *slotRequest
	grant chan choice // receives the slot or the error; buffered, size 1
	until time.Time   // end of the wait
}

// requestQueue holds the waiting requests of a service.
type requestQueue = admission.Queue[*waiter]

// newRequestQueue returns the queue of a service. With a placer, callers of the
// same class share by recent service, otherwise in turn.
func newRequestQueue(placer bool) *requestQueue {
	if placer {
		return admission.NewQueue[*waiter](admission.LeastService)
	}
	return admission.NewQueue[*waiter](admission.RoundRobin)
}

// Kinds of waiting requests. An upstream in probation takes idempotent ones only.
const (
	kindNonIdempotent admission.Kind = iota
	kindIdempotent
)

// newItem returns a request as an item of the queue.
func (st *serviceState) newItem(w *waiter) *admission.Item[*waiter] {
	it := &admission.Item[*waiter]{Value: w, Class: w.req.class, Account: w.req.caller, Kind: kindNonIdempotent, Retry: w.req.retry, Work: st.work(w.req)}
	if w.req.idempotent {
		it.Kind = kindIdempotent
	}
	return it
}

// work returns the expected service of a request.
func (st *serviceState) work(req *slotRequest) time.Duration {
	if st.placer == nil {
		return time.Second // only the turns matter
	}
	mean, _ := st.placer.expectedTimes(req)
	return mean
}

const (
	// callerQuotaDivisor limits each caller to 1/callerQuotaDivisor of the maximum
	// queue length, but to no less than one request.
	callerQuotaDivisor = 4
	// maxPlacerQueue bounds the memory for the waiting requests of a service with a
	// placer. Their number is usually limited by their expected wait.
	maxPlacerQueue = 4096
)

// hasRoom reports whether a request may be added to the queue.
func (st *serviceState) hasRoom(req *slotRequest, doc *document.Document) bool {
	if st.placer != nil {
		return st.queue.Len() < maxPlacerQueue
	}
	length := queueLength(doc)
	return st.queue.Len() < length && st.queue.Waiting(req.caller) < max(1, length/callerQuotaDivisor)
}

// mayPass reports whether a request may take a free slot before the waiting ones. A
// retry may, unless a more urgent request waits.
func (st *serviceState) mayPass(req *slotRequest) bool {
	if st.queue.Len() == 0 {
		return true
	}
	return req.retry && (st.placer == nil || !st.queue.Urgent(req.class))
}
