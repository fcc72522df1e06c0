package platform

import "sync"

// maxUnknownPuts bounds the number of puts kept. A put has an unknown result if the
// response to its write is lost and the store does not confirm or reject the change
// within 10 s.
const maxUnknownPuts = 256

type changeKey struct{ service, changeID string }

// unknownPuts keeps the expected revisions of puts whose outcome was Unknown. With
// them, ChangeResult can report that a put was not accepted: its write can no
// longer take effect once another change has created the next revision.
type unknownPuts struct {
	mu       sync.Mutex
	expected map[changeKey]uint64
	order    []changeKey // oldest first
}

func newUnknownPuts() *unknownPuts { return &unknownPuts{expected: map[changeKey]uint64{}} }

func (u *unknownPuts) add(r PutRequest) {
	u.mu.Lock()
	defer u.mu.Unlock()
	k := changeKey{r.Service, r.ChangeID}
	if _, ok := u.expected[k]; !ok {
		u.order = append(u.order, k)
	}
	u.expected[k] = r.ExpectedRevision
	if len(u.order) > maxUnknownPuts {
		delete(u.expected, u.order[0])
		u.order = u.order[1:]
	}
}

func (u *unknownPuts) find(service, changeID string) (expected uint64, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	expected, ok = u.expected[changeKey{service, changeID}]
	return expected, ok
}
