package platform

import "sync"

// maxUnsettled bounds the unknown results that are remembered. There is one for
// each put during which the store's answer was lost and stayed lost for 10 s.
const maxUnsettled = 256

type changeKey struct{ service, changeID string }

// unsettled remembers the expected revisions of puts whose result was unknown.
// With it a later question can be answered with a refusal: the write cannot
// take effect any more once another change has made the next revision.
type unsettled struct {
	mu       sync.Mutex
	expected map[changeKey]uint64
	order    []changeKey // oldest first
}

func newUnsettled() *unsettled { return &unsettled{expected: map[changeKey]uint64{}} }

func (u *unsettled) add(r PutRequest) {
	u.mu.Lock()
	defer u.mu.Unlock()
	k := changeKey{r.Service, r.ChangeID}
	if _, ok := u.expected[k]; !ok {
		u.order = append(u.order, k)
	}
	u.expected[k] = r.ExpectedRevision
	if len(u.order) > maxUnsettled {
		delete(u.expected, u.order[0])
		u.order = u.order[1:]
	}
}

func (u *unsettled) find(service, changeID string) (expected uint64, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	expected, ok = u.expected[changeKey{service, changeID}]
	return expected, ok
}
