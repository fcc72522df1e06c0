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

// bench is a Putter with a store that can fail.
type bench struct {
	memory  *storeserver.Memory
	store   *faultyStore
	control *fakeControl
	putter  *Putter
}

func newBench() *bench {
	b := &bench{memory: storeserver.NewMemory(), control: newFakeControl("i1", newHub())}
	b.store = &faultyStore{Store: b.memory}
	b.putter = NewPutter(PutterConfig{Instance: "i1", Random: seeded(1)}, b.control, b.store)
	return b
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

func (b *bench) stored(t interface{ Fatal(...any) }) document.Envelope {
	v, err := b.memory.Get(context.Background(), documentKey(service))
	if err != nil {
		t.Fatal(err)
	}
	e, err := DecodeEnvelope(documentKey(service), v)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// script returns faults for successive writes; all other calls work.
func script(faults ...fault) func(store.CallKind) fault {
	return func(kind store.CallKind) fault {
		if kind != store.CallPut || len(faults) == 0 {
			return faultNone
		}
		f := faults[0]
		faults = faults[1:]
		return f
	}
}

// inOrder returns faults for successive calls of any kind.
func inOrder(calls []fault) func(store.CallKind) fault {
	return func(store.CallKind) fault {
		if len(calls) == 0 {
			return faultNone
		}
		f := calls[0]
		calls = calls[1:]
		return f
	}
}

// Guards against a put that reports a lost answer as a failure, makes two
// revisions of one change, or gives up although the write never arrived.
func TestPutSettlesLostAnswers(t *testing.T) {
	for name, faults := range map[string][]fault{
		"no fault":                     nil,
		"answer lost":                  {faultLostAfter},
		"write lost":                   {faultLostBefore, faultLostBefore},
		"late write before read back":  {faultLate},
		"late write beats the repeat":  {faultLater},
		"late write after lost repeat": {faultLate, faultLostBefore, faultLate},
		"refused before":               {faultRefused, faultRefused},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				b.store.set(script(faults...))
				got := b.putter.Put(t.Context(), request(0, "anna", "c1"))
				if got.Outcome != Accepted || got.Revision != 1 {
					t.Fatalf("Put = %+v", got)
				}
				b.store.settle()
				e := b.stored(t)
				if e.Revision != 1 || len(e.History) != 1 || e.Latest().Author != "anna" || e.Latest().Instance != "i1" {
					t.Errorf("stored %+v", e)
				}
				if b.control.inForce(service).Revision != 1 {
					t.Error("the accepted document is not in force at this instance")
				}
			})
		})
	}
}

// Guards against a change that takes effect twice when an operator repeats it
// after an unknown result, and against a reused ID that hides another text.
func TestPutWithSameIDTakesEffectOnce(t *testing.T) {
	b := newBench()
	r := request(0, "anna", "c1")
	for range 2 {
		if got := b.putter.Put(t.Context(), r); got.Outcome != Accepted || got.Revision != 1 {
			t.Fatalf("Put = %+v", got)
		}
	}
	r.Text = text("another text")
	if got := b.putter.Put(t.Context(), r); got.Outcome != NotAccepted || got.Kind != errkind.Conflict {
		t.Errorf("Put of another text = %+v", got)
	}
	if got := b.putter.ChangeResult(t.Context(), service, "c1"); got.Outcome != Accepted || got.Revision != 1 {
		t.Errorf("ChangeResult = %+v", got)
	}
	if got := b.putter.ChangeResult(t.Context(), service, "c2"); got.Outcome != Unknown || got.Kind != errkind.NotFound {
		t.Errorf("ChangeResult of an absent change = %+v", got)
	}
}

// Guards against a history that does not tell what a change was.
func TestPutSummarizesChange(t *testing.T) {
	b := newBench()
	r := request(0, "anna", "c1")
	b.putter.Put(t.Context(), r)
	r = request(1, "anna", "c2")
	r.Text = strings.Replace(r.Text, `"slots": 6`, `"slots": 4`, 1)
	b.putter.Put(t.Context(), r)
	r = request(2, "anna", "c3")
	r.Text = strings.Replace(r.Text, `"slots": 6`, `"slots": 4`, 1)
	b.putter.Put(t.Context(), r)
	e := b.stored(t)
	for i, want := range []string{"new document", "slots", "no change of meaning"} {
		if !strings.Contains(e.History[i].Summary, want) {
			t.Errorf("summary of revision %d is %q, want %q in it", i+1, e.History[i].Summary, want)
		}
	}
}

// Guards against two operators who are both told that they made a revision, and
// against a loser who is not told by whom and how the document was changed.
func TestPutRace(t *testing.T) {
	b := newBench()
	const operators = 8
	results := make([]PutResult, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			results[i] = b.putter.Put(t.Context(), request(0, fmt.Sprintf("operator-%d", i), fmt.Sprintf("c%d", i)))
		})
	}
	wg.Wait()
	stored := b.stored(t)
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
		t.Errorf("%d operators were told that they made revision 1", accepted)
	}
}

// Guards against a put that hangs during an outage, that calls a change unknown
// although nothing was sent, or refused although its write is on the way.
func TestPutDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.store.set(func(store.CallKind) fault { return faultRefused })
		got := b.putter.Put(t.Context(), request(0, "anna", "c1"))
		if got.Outcome != NotAccepted || got.Kind != errkind.StoreUnavailable {
			t.Errorf("nothing sent: %+v", got)
		}
		wrote := false
		b.store.set(func(kind store.CallKind) fault {
			switch {
			case wrote:
				return faultRefused
			case kind == store.CallPut:
				wrote = true
				return faultLate
			default:
				return faultNone
			}
		})
		start := time.Now()
		got = b.putter.Put(t.Context(), request(0, "anna", "c2"))
		if got.Outcome != Unknown || got.Kind != errkind.StoreUnknown || !strings.Contains(got.Message, "c2") {
			t.Errorf("answer lost: %+v", got)
		}
		if took := time.Since(start); took > putLimit {
			t.Errorf("took %v", took)
		}
		b.store.set(nil)
		b.store.settle()
		if got := b.putter.ChangeResult(t.Context(), service, "c2"); got.Outcome != Accepted || got.Revision != 1 {
			t.Errorf("ChangeResult = %+v", got)
		}
		b.store.set(func(kind store.CallKind) fault {
			if kind == store.CallPut {
				return faultLostBefore
			}
			return faultNone
		})
		if got := b.putter.Put(t.Context(), request(1, "anna", "c3")); got.Outcome != Unknown {
			t.Errorf("write lost: %+v", got)
		}
		if got := b.putter.ChangeResult(t.Context(), service, "c3"); got.Outcome != Unknown {
			t.Errorf("ChangeResult of a write that may come = %+v", got)
		}
		put(t, b.memory, 1, "c4")
		if got := b.putter.ChangeResult(t.Context(), service, "c3"); got.Outcome != NotAccepted || got.Other.ChangeID != "c4" {
			t.Errorf("ChangeResult of an overtaken write = %+v", got)
		}
	})
}

// Guards against a put that is reported as refused because of a stale read while
// its write, whose answer was lost, takes effect.
func TestStaleReadBackSettlesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.putter.Put(t.Context(), request(0, "anna", "c1"))
		b.store.set(inOrder([]fault{faultNone, faultLater, faultStale, faultStale}))
		if got := b.putter.Put(t.Context(), request(1, "anna", "c2")); got.Outcome != Accepted || got.Revision != 2 {
			t.Errorf("Put = %+v", got)
		}
	})
}

// Guards against a put on the ground of old data, which would bring back or
// branch from a revision that is no longer in force.
func TestPutRefusesStaleStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		if got := b.putter.Put(t.Context(), request(0, "anna", "c1")); got.Outcome != Accepted {
			t.Fatal(got)
		}
		b.memory.SetStale(true)
		if got := b.putter.Put(t.Context(), request(1, "anna", "c2")); got.Outcome != Accepted {
			t.Fatal(got)
		}
		for _, expected := range []uint64{1, 2} {
			got := b.putter.Put(t.Context(), request(expected, "berta", fmt.Sprintf("c3-%d", expected)))
			if got.Outcome != NotAccepted || got.Kind != errkind.StoreStale {
				t.Errorf("older than in force, expected revision %d: %+v", expected, got)
			}
		}
		other := NewPutter(PutterConfig{Instance: "i2", Random: seeded(2)}, newFakeControl("i2", newHub()), b.store)
		got := other.Put(t.Context(), request(1, "berta", "c4"))
		if got.Outcome != NotAccepted || got.Kind != errkind.StoreStale {
			t.Errorf("at an instance without the newer revision: %+v", got)
		}
	})
}

// Guards against a document that the store or the instances cannot hold, and
// against a put without who and what.
func TestPutRefusesInvalidRequests(t *testing.T) {
	b := newBench()
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
		if got := b.putter.Put(t.Context(), r); got.Outcome != NotAccepted || got.Kind != errkind.InvalidDocument {
			t.Errorf("%s: %+v", name, got)
		}
	}
	if e := b.stored(t); e.Revision != 0 {
		t.Errorf("stored revision %d", e.Revision)
	}
}

// Guards against a history that grows without limit, or that makes a document
// near the store's limit impossible to change.
func TestHistoryIsBounded(t *testing.T) {
	b := newBench()
	for i := range uint64(document.HistoryLimit + 3) {
		if got := b.putter.Put(t.Context(), request(i, "anna", fmt.Sprintf("c%d", i))); got.Outcome != Accepted {
			t.Fatal(got)
		}
	}
	e := b.stored(t)
	if len(e.History) != document.HistoryLimit || e.Latest().Revision != e.Revision {
		t.Errorf("%d changes, latest %+v", len(e.History), e.Latest())
	}
	r := request(e.Revision, "anna", "large")
	r.Text = text(strings.Repeat("\\", store.MaxValueBytes/2-1200)) // each is encoded in two bytes
	if got := b.putter.Put(t.Context(), r); got.Outcome != Accepted {
		t.Fatal(got)
	}
	if e := b.stored(t); len(e.History) == 0 || e.Latest().ChangeID != "large" {
		t.Errorf("history %+v", e.History)
	}
}

// Guards against any order of faults in which an accepted change is not in the
// store, a change that was not accepted is, or one change makes two revisions.
func TestPutResultsAreTrueUnderFaults(t *testing.T) {
	often := []fault{
		faultNone, faultNone, faultNone, faultNone, faultRefused, faultLostBefore,
		faultLostAfter, faultLate, faultLater, faultLater, faultStale,
	}
	rapid.Check(t, func(rt *rapid.T) {
		calls := rapid.SliceOfN(rapid.SampledFrom(often), 0, 24).Draw(rt, "faults")
		rounds := rapid.SliceOfN(rapid.IntRange(1, 3), 1, 4).Draw(rt, "operators in each round")
		// A failure is reported outside of the bubble, on rapid's goroutine.
		var failure string
		synctest.Test(t, func(t *testing.T) { failure = checkPuts(t, calls, rounds) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// checkPuts lets operators put concurrently in rounds while calls fail, and
// returns what is wrong with the results.
func checkPuts(t *testing.T, calls []fault, rounds []int) string {
	b := newBench()
	b.putter.Put(t.Context(), request(0, "anna", "first"))
	b.store.set(inOrder(calls))
	results := map[string]PutResult{}
	var mu sync.Mutex
	for round, operators := range rounds {
		var wg sync.WaitGroup
		revision := b.stored(t).Revision
		for i := range operators {
			wg.Go(func() {
				id := fmt.Sprintf("c%d-%d", round, i)
				r := b.putter.Put(t.Context(), request(revision, "anna", id))
				mu.Lock()
				defer mu.Unlock()
				results[id] = r
			})
		}
		wg.Wait()
	}
	b.store.set(nil)
	b.store.settle()
	return contradiction(b.stored(t), results)
}

// contradiction compares results with the stored history.
func contradiction(e document.Envelope, results map[string]PutResult) string {
	made := map[string]uint64{}
	for i, c := range e.History {
		if c.Revision != uint64(i+1) || made[c.ChangeID] != 0 {
			return fmt.Sprintf("history %+v", e.History)
		}
		made[c.ChangeID] = c.Revision
	}
	for id, r := range results {
		if r.Outcome == Accepted && made[id] != r.Revision || r.Outcome == NotAccepted && made[id] != 0 {
			return fmt.Sprintf("put %s: result %+v, but the store has it as revision %d", id, r, made[id])
		}
	}
	return ""
}
