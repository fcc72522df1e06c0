package proofs

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"knapweedreel/internal/document"
	"knapweedreel/internal/settings"
)

// inEffectLimit is the time within which an accepted document must be in effect
// at every live instance.
const inEffectLimit = 5 * time.Second

func withDeadline(d *document.Document, ms int) *document.Document {
	changed := *d
	changed.DeadlineMS = ms
	return &changed
}

// Guards against accepted documents that do not reach every instance, or that are
// reverted. The store fails right after it accepted a write, responses to writes
// are lost, an instance is paused, one is replaced during the outage, and the
// store returns stale data afterwards.
func TestAcceptedDocumentsStayInEffect(t *testing.T) {
	const service = "jars"
	f := newFleet(t, options{instances: 4,
		services: []serviceSpec{{name: service, upstreams: 3, slots: 3, workMS: 2}},
		settings: func(_ int, s *settings.Settings) { s.Times.LeaseMS = 4_000 },
	})
	doc := f.documents[service]

	t.Run("lost response", func(t *testing.T) {
		f.setStoreFaults(storeFaults{LoseAnswers: 1})
		if got := f.put(f.instances[0], withDeadline(doc, 5_001)); got != putAccepted {
			t.Fatalf("put with a lost response: %v", got)
		}
		f.mustBeInEffect(t, service, 2, f.instances)
	})
	t.Run("store outage after accepting", func(t *testing.T) {
		if got := f.put(f.instances[1], withDeadline(doc, 5_002)); got != putAccepted {
			t.Fatalf("put: %v", got)
		}
		f.setStoreFaults(storeFaults{Outage: true})
		f.mustBeInEffect(t, service, 3, f.instances)
	})
	t.Run("put during the outage", func(t *testing.T) {
		if got := f.put(f.instances[2], withDeadline(doc, 5_003)); got != putNotAccepted {
			t.Errorf("put without a store: %v, want not accepted", got)
		}
		f.mustServe(t, service, f.instances)
	})
	t.Run("replaced during the outage", func(t *testing.T) {
		f.instances[3].kill()
		f.startInstance(3, "replaced")
		f.waitRevision(service, 3, f.instances[3:])
		f.mustServe(t, service, f.instances)
	})
	t.Run("paused longer than the lease", func(t *testing.T) {
		f.setStoreFaults(storeFaults{})
		f.instances[2].pause()
		eventually(t, "put after the outage", waitTimeout, func() (bool, string) {
			got := f.put(f.instances[0], withDeadline(doc, 5_004))
			return got == putAccepted, got.String()
		})
		<-time.After(6 * time.Second) // longer than the lease
		f.instances[2].resume()
		f.mustBeInEffect(t, service, 4, f.instances)
	})
	t.Run("stale data", func(t *testing.T) {
		// From now on, the store returns revision 4, also to a new lease holder,
		// whose first watch returns all documents.
		f.setStoreFaults(storeFaults{Stale: true})
		if got := f.put(f.instances[0], withDeadline(doc, 5_005)); got != putAccepted {
			t.Fatalf("put with stale reads: %v", got)
		}
		f.mustBeInEffect(t, service, 5, f.instances)
		holder := f.leaseHolder()
		f.instances[holder].kill()
		f.startInstance(holder, "restarted")
		f.waitRevision(service, 5, f.instances)
		f.mustNeverRevert(t, service, 5, f.instances, 12*time.Second)
		f.setStoreFaults(storeFaults{})
	})
	t.Logf("store calls by kind: %v", f.storeCalls())
}

// Guards against concurrent changes of the same document by two operators of
// which both or neither is accepted.
func TestOneOfTwoOperatorsWins(t *testing.T) {
	const service, rounds = "jars", 10
	f := newFleet(t, options{instances: 3, services: []serviceSpec{{name: service, upstreams: 3, slots: 3, workMS: 2}}})
	for round := range rounds {
		results := make([]putResult, 2)
		var wg sync.WaitGroup
		for i := range results {
			wg.Go(func() {
				results[i] = f.putAt(f.instances[i], withDeadline(f.documents[service], 6_000+10*round+i), uint64(round+1))
			})
		}
		wg.Wait()
		if (results[0] == putAccepted) == (results[1] == putAccepted) {
			t.Errorf("round %d: results %v, want exactly one accepted", round, results)
		}
		f.mustBeInEffect(t, service, uint64(round+2), f.instances)
	}
}

// mustBeInEffect fails the test unless the revision is in effect at all instances
// within inEffectLimit.
func (f *fleet) mustBeInEffect(t *testing.T, service string, revision uint64, instances []*instance) {
	t.Helper()
	took := eventually(t, fmt.Sprintf("revision %d in effect", revision), inEffectLimit, func() (bool, string) {
		return f.inEffect(service, revision, instances)
	})
	t.Logf("revision %d in effect at %d instances after %v", revision, len(instances), took.Round(time.Millisecond))
}

// mustNeverRevert fails the test if an instance returns to an older revision
// within d.
func (f *fleet) mustNeverRevert(t *testing.T, service string, revision uint64, instances []*instance, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	seen := make(map[string]uint64)
	for ctx.Err() == nil {
		for _, in := range instances {
			got := f.revision(in, service)
			if got < max(seen[in.name], revision) {
				t.Fatalf("%s has revision %d after %d", in.name, got, max(seen[in.name], revision))
			}
			seen[in.name] = got
		}
	}
}

// mustServe fails the test unless every instance serves a lookup.
func (f *fleet) mustServe(t *testing.T, service string, instances []*instance) {
	t.Helper()
	c := newCaller("serve")
	for _, in := range instances {
		r := request{address: in.entry, host: service + ".example", method: "GET", path: "/lookup"}
		eventually(t, "lookup at "+in.name, waitTimeout, func() (bool, string) {
			resp := c.do(t.Context(), r)
			return resp.served(), fmt.Sprintf("status %d %s %v", resp.status, resp.kind, resp.err)
		})
	}
}
