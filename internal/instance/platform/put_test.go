package platform

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"knapweedreel/internal/document"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/standin/storeserver"
	"knapweedreel/internal/store"
)

const service = "entries"

// putterHarness has a Putter whose store can fail.
type putterHarness struct {
	memory  *storeserver.Memory
	store   *faultyStore
	control *fakeControl
	putter  *Putter
}

func newPutterHarness() *putterHarness {
	h := &putterHarness{memory: storeserver.NewMemory(), control: newFakeControl("i1", newAnnouncements())}
	h.store = &faultyStore{Store: h.memory}
	h.putter = NewPutter(PutterConfig{Instance: "i1", Random: seeded(1)}, h.control, h.store)
	return h
}

func text(remark string) string {
	return fmt.Sprintf(`{
	// %s
	"service": %q,
	"hosts": ["entries.example"],
	"upstreams": [{"id": "u1", "address": "127.0.0.1:9001", "region": "south", "failure_domain": "s1", "slots": 6, "connections": 330}],
	"routes": [{"method": "POST", "path": "/entries", "idempotent": false, "deadline_ms": 2000, "max_body_bytes": 65536}]
}`, remark, service)
}

func request(expected uint64, author, id string) PutRequest {
	return PutRequest{Service: service, Text: text(id), ExpectedRevision: expected, Author: author, ChangeID: id}
}

func (h *putterHarness) stored(t interface{ Fatal(...any) }) document.Envelope {
	v, err := h.memory.Get(context.Background(), documentKey(service))
	if err != nil {
		t.Fatal(err)
	}
	e, err := DecodeEnvelope(documentKey(service), v)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// writeFaults returns a function for setFaults that injects the faults into successive
// writes. Other calls succeed.
func writeFaults(faults ...fault) func(store.CallKind) fault {
	return func(kind store.CallKind) fault {
		if kind != store.CallPut || len(faults) == 0 {
			return faultNone
		}
		f := faults[0]
		faults = faults[1:]
		return f
	}
}

// callFaults returns a function for setFaults that injects the faults into successive
// calls of any kind.
func callFaults(calls []fault) func(store.CallKind) fault {
	return func(store.CallKind) fault {
		if len(calls) == 0 {
			return faultNone
		}
		f := calls[0]
		calls = calls[1:]
		return f
	}
}

// Guards against a put that reports a failure after a lost response, writes two
// revisions for one change, or does not retry a write that never arrived.
func TestPutRecoversFromLostResponses(t *testing.T) {
	for name, faults := range map[string][]fault{
		"no fault":                    nil,
		"response lost":               {faultResponseLost},
		"write lost":                  {faultRequestLost, faultRequestLost},
		"late write before the read":  {faultLate},
		"late write before the retry": {faultLateUntilWrite},
		"late write after lost retry": {faultLate, faultRequestLost, faultLate},
		"store unavailable at first":  {faultUnavailable, faultUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newPutterHarness()
				h.store.setFaults(writeFaults(faults...))
				got := h.putter.Put(t.Context(), request(0, "anna", "c1"))
				if got.Outcome != Accepted || got.Revision != 1 {
					t.Fatalf("Put = %+v", got)
				}
				h.store.applyLateWrites()
				e := h.stored(t)
				if e.Revision != 1 || len(e.History) != 1 || e.Latest().Author != "anna" || e.Latest().Instance != "i1" {
					t.Errorf("stored %+v", e)
				}
				if h.control.appliedEnvelope(service).Revision != 1 {
					t.Error("the accepted document is not applied at this instance")
				}
			})
		})
	}
}

// Guards against a change that takes effect twice if an operator repeats it after an
// unknown result, and against a different text that is accepted under a used ID.
func TestPutWithSameIDTakesEffectOnce(t *testing.T) {
	h := newPutterHarness()
	r := request(0, "anna", "c1")
	for range 2 {
		if got := h.putter.Put(t.Context(), r); got.Outcome != Accepted || got.Revision != 1 {
			t.Fatalf("Put = %+v", got)
		}
	}
	r.Text = text("another text")
	if got := h.putter.Put(t.Context(), r); got.Outcome != NotAccepted || got.Kind != errkind.Conflict {
		t.Errorf("Put of a different text = %+v", got)
	}
	if got := h.putter.ChangeResult(t.Context(), service, "c1"); got.Outcome != Accepted || got.Revision != 1 {
		t.Errorf("ChangeResult = %+v", got)
	}
	if got := h.putter.ChangeResult(t.Context(), service, "c2"); got.Outcome != Unknown || got.Kind != errkind.NotFound {
		t.Errorf("ChangeResult of an absent change = %+v", got)
	}
}

// Guards against a history that does not describe the changes.
func TestPutSummarizesChange(t *testing.T) {
	h := newPutterHarness()
	r := request(0, "anna", "c1")
	h.putter.Put(t.Context(), r)
	r = request(1, "anna", "c2")
	r.Text = strings.Replace(r.Text, `"slots": 6`, `"slots": 4`, 1)
	h.putter.Put(t.Context(), r)
	r = request(2, "anna", "c3")
	r.Text = strings.Replace(r.Text, `"slots": 6`, `"slots": 4`, 1)
	h.putter.Put(t.Context(), r)
	e := h.stored(t)
	for i, want := range []string{"new document", "slots", "no change of meaning"} {
		if !strings.Contains(e.History[i].Summary, want) {
			t.Errorf("summary of revision %d is %q, want %q in it", i+1, e.History[i].Summary, want)
		}
	}
}

// Guards against concurrent puts of which more than one is accepted for the same
// revision, and against a conflict that does not name the accepted change and its
// author.
func TestPutRace(t *testing.T) {
	h := newPutterHarness()
	const operators = 8
	results := make([]PutResult, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			results[i] = h.putter.Put(t.Context(), request(0, fmt.Sprintf("operator-%d", i), fmt.Sprintf("c%d", i)))
		})
	}
	wg.Wait()
	stored := h.stored(t)
	winner := stored.Latest()
	accepted := 0
	for i, r := range results {
		if r.Outcome == Accepted {
			accepted++
			continue
		}
		if r.Kind != errkind.Conflict || r.Other != winner || r.Revision != 1 || !strings.Contains(r.Message, winner.Author) {
			t.Errorf("operator %d: %+v", i, r)
		}
	}
	if accepted != 1 {
		t.Errorf("%d puts were accepted as revision 1", accepted)
	}
}

// Guards against a put that hangs during an outage, that reports Unknown although no
// write was sent, or NotAccepted although a write may still take effect.
func TestPutDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPutterHarness()
		h.store.setFaults(func(store.CallKind) fault { return faultUnavailable })
		got := h.putter.Put(t.Context(), request(0, "anna", "c1"))
		if got.Outcome != NotAccepted || got.Kind != errkind.StoreUnavailable {
			t.Errorf("nothing sent: %+v", got)
		}
		wrote := false
		h.store.setFaults(func(kind store.CallKind) fault {
			switch {
			case wrote:
				return faultUnavailable
			case kind == store.CallPut:
				wrote = true
				return faultLate
			default:
				return faultNone
			}
		})
		start := time.Now()
		got = h.putter.Put(t.Context(), request(0, "anna", "c2"))
		if got.Outcome != Unknown || got.Kind != errkind.StoreUnknown || !strings.Contains(got.Message, "c2") {
			t.Errorf("response lost: %+v", got)
		}
		if took := time.Since(start); took > putTimeout {
			t.Errorf("took %v", took)
		}
		h.store.setFaults(nil)
		h.store.applyLateWrites()
		if got := h.putter.ChangeResult(t.Context(), service, "c2"); got.Outcome != Accepted || got.Revision != 1 {
			t.Errorf("ChangeResult = %+v", got)
		}
		h.store.setFaults(func(kind store.CallKind) fault {
			if kind == store.CallPut {
				return faultRequestLost
			}
			return faultNone
		})
		if got := h.putter.Put(t.Context(), request(1, "anna", "c3")); got.Outcome != Unknown {
			t.Errorf("write lost: %+v", got)
		}
		if got := h.putter.ChangeResult(t.Context(), service, "c3"); got.Outcome != Unknown {
			t.Errorf("ChangeResult of a write that may still take effect = %+v", got)
		}
		put(t, h.memory, 1, "c4")
		if got := h.putter.ChangeResult(t.Context(), service, "c3"); got.Outcome != NotAccepted || got.Other.ChangeID != "c4" {
			t.Errorf("ChangeResult of a superseded write = %+v", got)
		}
	})
}

// Guards against a put that is reported as not accepted because of a stale read,
// although its write takes effect after its response was lost.
func TestStaleReadDoesNotDecidePut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPutterHarness()
		h.putter.Put(t.Context(), request(0, "anna", "c1"))
		h.store.setFaults(callFaults([]fault{faultNone, faultLateUntilWrite, faultStale, faultStale}))
		if got := h.putter.Put(t.Context(), request(1, "anna", "c2")); got.Outcome != Accepted || got.Revision != 2 {
			t.Errorf("Put = %+v", got)
		}
	})
}

// Guards against a put that is based on stale data from the store. It would restore
// or build on a revision that has been replaced.
func TestPutRefusesStaleStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPutterHarness()
		if got := h.putter.Put(t.Context(), request(0, "anna", "c1")); got.Outcome != Accepted {
			t.Fatal(got)
		}
		h.memory.SetStale(true)
		if got := h.putter.Put(t.Context(), request(1, "anna", "c2")); got.Outcome != Accepted {
			t.Fatal(got)
		}
		for _, expected := range []uint64{1, 2} {
			got := h.putter.Put(t.Context(), request(expected, "berta", fmt.Sprintf("c3-%d", expected)))
			if got.Outcome != NotAccepted || got.Kind != errkind.StoreStale {
				t.Errorf("store older than the applied revision, expected revision %d: %+v", expected, got)
			}
		}
		other := NewPutter(PutterConfig{Instance: "i2", Random: seeded(2)}, newFakeControl("i2", newAnnouncements()), h.store)
		got := other.Put(t.Context(), request(1, "berta", "c4"))
		if got.Outcome != NotAccepted || got.Kind != errkind.StoreStale {
			t.Errorf("at an instance without the newer revision: %+v", got)
		}
	})
}

// Guards against documents that are invalid or too large, and against puts without
// an author or a change ID.
func TestPutRefusesInvalidRequests(t *testing.T) {
	h := newPutterHarness()
	valid := request(0, "anna", "c1")
	for name, change := range map[string]func(*PutRequest){
		"no author":       func(r *PutRequest) { r.Author = "" },
		"no change ID":    func(r *PutRequest) { r.ChangeID = "" },
		"not JSON":        func(r *PutRequest) { r.Text = "{" },
		"another service": func(r *PutRequest) { r.Service = "photos" },
		"not UTF-8":       func(r *PutRequest) { r.Text = text("\xff") },
		"over the limit":  func(r *PutRequest) { r.Text = text(strings.Repeat("x", document.MaxTextBytes)) },
		"over the limit when encoded": func(r *PutRequest) {
			r.Text = text(strings.Repeat("\x01", store.MaxValueBytes/6)) // each is encoded in six bytes
		},
	} {
		r := valid
		change(&r)
		if got := h.putter.Put(t.Context(), r); got.Outcome != NotAccepted || got.Kind != errkind.InvalidDocument {
			t.Errorf("%s: %+v", name, got)
		}
	}
	if e := h.stored(t); e.Revision != 0 {
		t.Errorf("stored revision %d", e.Revision)
	}
}

// Guards against a history that grows without limit, or that leaves no space to
// change a document whose size is near the store's limit.
func TestHistoryIsBounded(t *testing.T) {
	h := newPutterHarness()
	for i := range uint64(document.HistoryLimit + 3) {
		if got := h.putter.Put(t.Context(), request(i, "anna", fmt.Sprintf("c%d", i))); got.Outcome != Accepted {
			t.Fatal(got)
		}
	}
	e := h.stored(t)
	if len(e.History) != document.HistoryLimit || e.Latest().Revision != e.Revision {
		t.Errorf("%d changes, latest %+v", len(e.History), e.Latest())
	}
	r := request(e.Revision, "anna", "large")
	r.Text = text(strings.Repeat("\\", store.MaxValueBytes/2-1200)) // each is encoded in two bytes
	if got := h.putter.Put(t.Context(), r); got.Outcome != Accepted {
		t.Fatal(got)
	}
	if e := h.stored(t); len(e.History) == 0 || e.Latest().ChangeID != "large" {
		t.Errorf("history %+v", e.History)
	}
}

// Guards against a sequence of faults after which an accepted change is missing from
// the store, a change that was not accepted is stored, or one change has two
// revisions.
func TestPutResultsMatchStoreUnderFaults(t *testing.T) {
	often := []fault{
		faultNone, faultNone, faultNone, faultNone, faultUnavailable, faultRequestLost,
		faultResponseLost, faultLate, faultLateUntilWrite, faultLateUntilWrite, faultStale,
	}
	rapid.Check(t, func(rt *rapid.T) {
		calls := rapid.SliceOfN(rapid.SampledFrom(often), 0, 24).Draw(rt, "faults")
		rounds := rapid.SliceOfN(rapid.IntRange(1, 3), 1, 4).Draw(rt, "operators in each round")
		// Failures are reported outside of the synctest bubble, on rapid's goroutine.
		var failure string
		synctest.Test(t, func(t *testing.T) { failure = checkPuts(t, calls, rounds) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// checkPuts runs rounds of concurrent puts while calls fail. It returns a
// description of a wrong result, or "".
func checkPuts(t *testing.T, calls []fault, rounds []int) string {
	h := newPutterHarness()
	h.putter.Put(t.Context(), request(0, "anna", "first"))
	h.store.setFaults(callFaults(calls))
	results := map[string]PutResult{}
	var mu sync.Mutex
	for round, operators := range rounds {
		var wg sync.WaitGroup
		revision := h.stored(t).Revision
		for i := range operators {
			wg.Go(func() {
				id := fmt.Sprintf("c%d-%d", round, i)
				r := h.putter.Put(t.Context(), request(revision, "anna", id))
				mu.Lock()
				defer mu.Unlock()
				results[id] = r
			})
		}
		wg.Wait()
	}
	h.store.setFaults(nil)
	h.store.applyLateWrites()
	return findContradiction(h.stored(t), results)
}

// findContradiction compares results with the stored history. It returns a
// description of the first difference, or "".
func findContradiction(e document.Envelope, results map[string]PutResult) string {
	storedRevisions := map[string]uint64{}
	for i, c := range e.History {
		if c.Revision != uint64(i+1) || storedRevisions[c.ChangeID] != 0 {
			return fmt.Sprintf("history %+v", e.History)
		}
		storedRevisions[c.ChangeID] = c.Revision
	}
	for id, r := range results {
		if r.Outcome == Accepted && storedRevisions[id] != r.Revision || r.Outcome == NotAccepted && storedRevisions[id] != 0 {
			return fmt.Sprintf("put %s: result %+v, but stored as revision %d", id, r, storedRevisions[id])
		}
	}
	return ""
}
