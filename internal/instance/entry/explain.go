package entry

import (
	"sync"

	"knapweedreel/internal/instance/admin"
)

// explanationRing holds the explanations of the latest requests.
type explanationRing struct {
	mu      sync.Mutex
	entries []admin.RequestExplanation
	next    int
	byID    map[string]int // index of the newest explanation of each request ID
}

func newExplanationRing(size int) *explanationRing {
	return &explanationRing{entries: make([]admin.RequestExplanation, size), byID: make(map[string]int, size)}
}

func (r *explanationRing) add(explanation admin.RequestExplanation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.entries[r.next].RequestID
	if i, ok := r.byID[old]; ok && i == r.next {
		delete(r.byID, old)
	}
	r.entries[r.next] = explanation
	r.byID[explanation.RequestID] = r.next
	r.next = (r.next + 1) % len(r.entries)
}

func (r *explanationRing) get(id string) (admin.RequestExplanation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, ok := r.byID[id]
	if !ok {
		return admin.RequestExplanation{}, false
	}
	return r.entries[i], true
}

// ExplainRequest returns the explanation of one of the latest requests.
func (s *Server) ExplainRequest(id string) (admin.RequestExplanation, bool) {
	return s.explanations.get(id)
}
