package entry

import (
	"sync"

	"knapweedreel/internal/instance/admin"
)

// ring keeps the explanations of the latest requests.
type ring struct {
	mu    sync.Mutex
	slots []admin.RequestExplanation
	next  int
	byID  map[string]int // newest explanation of each request identity
}

func newRing(size int) *ring {
	return &ring{slots: make([]admin.RequestExplanation, size), byID: make(map[string]int, size)}
}

func (g *ring) add(x admin.RequestExplanation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.slots[g.next].RequestID
	if i, ok := g.byID[old]; ok && i == g.next {
		delete(g.byID, old)
	}
	g.slots[g.next] = x
	g.byID[x.RequestID] = g.next
	g.next = (g.next + 1) % len(g.slots)
}

func (g *ring) get(id string) (admin.RequestExplanation, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i, ok := g.byID[id]
	if !ok {
		return admin.RequestExplanation{}, false
	}
	return g.slots[i], true
}

// ExplainRequest returns the explanation of one of the latest requests.
func (s *Server) ExplainRequest(id string) (admin.RequestExplanation, bool) { return s.ring.get(id) }
