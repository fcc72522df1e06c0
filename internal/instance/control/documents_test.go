package control

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/platform"
	"knapweedreel/internal/member"
	"knapweedreel/internal/store"
)

// Guards against pushing a new document to only some of the linked peers.
func TestPutReachesAllLinkedPeersAtOnce(t *testing.T) {
	f := newFleet(t, 1, 8)
	f.deliverAll()
	f.put(f.nodes["i03"], envelope("entries", 1, "a"), platform.SourcePut)
	f.deliverAll()
	for id, n := range f.nodes {
		if n.revision("entries") != 1 {
			t.Errorf("%s has revision %d, want 1", id, n.revision("entries"))
		}
	}
}

// Guards against an older, conflicting or invalid document, from any source,
// replacing the one in effect.
func TestAppliedDocumentIsKept(t *testing.T) {
	f := newFleet(t, 1, 1)
	n := f.nodes["i00"]
	f.put(n, envelope("entries", 5, "a"), platform.SourcePut)
	for _, source := range []platform.DocumentSource{platform.SourcePut, platform.SourceStore, platform.SourcePeer} {
		if got := f.put(n, envelope("entries", 4, "old"), source); got.revision != 5 || got.err != nil {
			t.Errorf("%s: offer of an older revision returned %+v", source, got)
		}
		if got := f.put(n, envelope("entries", 5, "other"), source); got.revision != 5 || n.documents.byService["entries"].envelope.Text != "a" {
			t.Errorf("%s: offer of a conflicting text returned %+v", source, got)
		}
		if got := f.put(n, envelope("entries", 6, "bad"), source); got.revision != 5 || errkind.Of(got.err) != errkind.InvalidDocument {
			t.Errorf("%s: offer of an invalid document returned %+v", source, got)
		}
	}
	if got := n.Snapshot().Services["entries"]; got.Revision != 5 || len(got.Document.Upstreams) != 2 {
		t.Errorf("snapshot has %+v", got)
	}
}

// Guards against documents that remain different after a partition has healed or
// a push was lost, and against revisions that decrease at any instance meanwhile.
func TestAntiEntropyConvergesWithoutReverting(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t, rapid.Uint64().Draw(rt, "seed"), 6)
		for _, n := range f.nodes {
			n.handle(readyEvent{}) // otherwise it would request revisions without comparing digests
		}
		stored := make(map[string]uint64) // latest revisions; compare-and-swap makes each unique
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			n := f.nodes[rapid.SampledFrom(f.ids()).Draw(rt, "node")]
			service := rapid.SampledFrom([]string{"schedules", "entries", "photos"}).Draw(rt, "service")
			split := rapid.IntRange(1, 5).Draw(rt, "split")
			switch rapid.SampledFrom([]string{"put", "old", "cut", "heal", "restart", "put and lose"}).Draw(rt, "step") {
			case "put":
				stored[service]++
				f.put(n, envelope(service, stored[service], fmt.Sprint(stored[service])), platform.SourcePut)
			case "put and lose":
				stored[service]++
				f.put(n, envelope(service, stored[service], fmt.Sprint(stored[service])), platform.SourcePut)
				f.queue = nil
			case "old":
				if r := stored[service]; r > 0 {
					r = rapid.Uint64Range(1, r).Draw(rt, "revision")
					f.put(n, envelope(service, r, fmt.Sprint(r)), platform.SourceStore)
				}
			case "cut":
				f.partition(f.ids()[:split], f.ids()[split:], true)
			case "heal":
				f.partition(f.ids()[:split], f.ids()[split:], false)
			case "restart":
				// Connect and synchronize first, so that the restarted instance does
				// not hold the only copy of a document.
				f.partition(f.ids()[:split], f.ids()[split:], false)
				f.run(2 * time.Second)
				for _, id := range f.ids() {
					if id != n.id {
						f.nodes[id].handle(linkDownEvent{n.id})
					}
				}
				f.start(n.id).handle(readyEvent{})
			}
			f.run(300 * time.Millisecond)
		}
		for a := range f.disconnected {
			if f.disconnected[a] {
				f.partition([]string{a[0]}, []string{a[1]}, false)
			}
		}
		f.run(10 * time.Second)
		for service, revision := range stored {
			for _, id := range f.ids() {
				if got := f.nodes[id].revision(service); got != revision {
					rt.Fatalf("%s: service %s at revision %d, want %d", id, service, got, revision)
				}
			}
		}
	})
}

// Guards against documents that do not reach other shards in time while the store
// is unavailable. Each instance has links only to its own shard and to a few
// others.
func TestDocumentCrossesShards(t *testing.T) {
	f := newFleet(t, 1, 0)
	var instances []store.Instance
	for i := range 4 * member.TargetShardSize {
		id := fmt.Sprintf("i%03d", i)
		f.add(id)
		instances = append(instances, store.Instance{ID: id, Role: store.RoleEntry, PeerAddress: "127.0.0.1:1", State: store.StateLive})
	}
	for _, id := range f.ids() {
		f.nodes[id].handle(instancesEvent{instances})
	}
	links := 0
	for _, id := range f.ids() {
		for _, other := range f.nodes[id].requestedLinks {
			f.link(id, other)
			links++
		}
	}
	if mean := links / len(instances); mean > 2*member.TargetShardSize {
		t.Errorf("mean of %d links per instance", mean)
	}
	f.deliverAll()
	f.put(f.nodes["i007"], envelope("entries", 1, "a"), platform.SourcePut)
	f.deliverAll()
	pushed := 0
	for _, n := range f.nodes {
		if n.revision("entries") == 1 {
			pushed++
		}
	}
	f.run(2 * time.Second)
	for id, n := range f.nodes {
		if n.revision("entries") != 1 {
			t.Errorf("%s has no document after 2 s (%d of %d received it by push)", id, pushed, len(f.nodes))
		}
	}
}

// Guards against losing documents, members or readiness when the loop restarts
// after a failure.
func TestRestartOfTheLoopKeepsDocuments(t *testing.T) {
	f := newFleet(t, 1, 2)
	n := f.nodes["i00"]
	n.handle(readyEvent{})
	f.put(n, envelope("entries", 3, "a"), platform.SourcePut)
	f.run(time.Second)
	n.engine = newFakeEngine()
	n.reset(f.clock.now)
	if s := n.Snapshot(); !s.Ready || len(s.Members) != 2 || n.revision("entries") != 3 {
		t.Errorf("ready %v, %d members, revision %d", s.Ready, len(s.Members), n.revision("entries"))
	}
	if got := len(n.Snapshot().Services["entries"].Upstreams); got != 2 || n.engine.documents["entries"] == nil {
		t.Errorf("%d upstreams, engine has %v", got, n.engine.documents)
	}
}

// Guards against digests that differ for the same revisions, with which instances
// would exchange revisions every second forever.
func TestDigestDependsOnRevisionsOnly(t *testing.T) {
	f := newFleet(t, 1, 2)
	a, b := f.nodes["i00"], f.nodes["i01"]
	f.queue = nil
	f.partition([]string{"i00"}, []string{"i01"}, true)
	for r := uint64(1); r <= 3; r++ {
		f.put(a, envelope("entries", r, "x"), platform.SourceStore)
	}
	f.put(a, envelope("photos", 1, "x"), platform.SourceStore)
	f.put(b, envelope("photos", 1, "x"), platform.SourceStore)
	f.put(b, envelope("entries", 3, "x"), platform.SourceStore)
	if a.documents.digest != b.documents.digest {
		t.Error("digests differ for equal revisions")
	}
	f.put(b, envelope("entries", 4, "x"), platform.SourceStore)
	if a.documents.digest == b.documents.digest {
		t.Error("digests are equal for different revisions")
	}
}
