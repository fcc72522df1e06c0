package catalog

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against an order of revisions of different eras, and against an order
// within an era that is not that of the revisions.
func TestPositionsCompareWithinAnEra(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(label string) Position {
			return Position{Era(rapid.IntRange(0, 2).Draw(rt, "era "+label)), rapid.Uint64Range(0, 3).Draw(rt, "revision "+label)}
		}
		p, q := draw("p"), draw("q")
		want := Same
		switch {
		case p.Era != q.Era:
			want = OtherEra
		case p.Revision < q.Revision:
			want = Older
		case p.Revision > q.Revision:
			want = Newer
		}
		if got := p.Compare(q); got != want {
			rt.Errorf("%v compared with %v: %v, want %v", p, q, got, want)
		}
	})
}

// Guards against an older configuration, a service without upstreams and an
// unreadable entry that is not reported, when the store comes back from an older
// copy; and against upstreams that stay although nobody writes them again.
func TestNewEraKeepsConfigurationAndUpstreams(t *testing.T) {
	c := New()
	c.Reset([]Change{configuration(7), upstreamChange("a", nil), upstreamChange("b", nil), upstreamChange("c", nil)}, 1, epoch)
	odd := Change{Kind: KindUpstream, ID: "odd", Revision: 5, Unreadable: fmt.Errorf("broken")}
	c.Apply(&odd, epoch)
	began := at(10 * time.Second)
	events := c.Reset([]Change{configuration(6), upstreamChange("a", nil), odd}, 2, began)
	if v := c.Configuration().Version; v != 7 || c.Era() != 2 {
		t.Errorf("version %d of era %d in effect, want 7 and 2", v, c.Era())
	}
	reported := false
	for _, e := range events {
		reported = reported || e.Name == "entry_unreadable"
	}
	if !reported {
		t.Errorf("the revision of an unreadable entry is that of another one: %+v", events)
	}
	wantUsed(t, "after the return", c, began, "a", "b", "c")
	back := upstreamChange("b", nil)
	c.Apply(&back, began.Add(time.Second))
	c.Tick(began.Add(ReconnectGrace - time.Millisecond))
	wantUsed(t, "within the grace", c, began, "a", "b", "c")
	c.Tick(began.Add(ReconnectGrace))
	wantUsed(t, "after the grace", c, began, "a", "b")
	older := configuration(6)
	c.Apply(&older, began.Add(time.Second))
	if v := c.Configuration().Version; v != 7 {
		t.Errorf("version %d in effect", v)
	}
}

// Guards against content of an earlier era, such as that of a replica, that replaces
// what is known.
func TestContentOfEarlierEraIsIgnored(t *testing.T) {
	c := New()
	c.Reset([]Change{configuration(7), upstreamChange("a", nil)}, 2, epoch)
	c.Reset([]Change{configuration(8), upstreamChange("b", nil)}, 1, epoch)
	if c.Configuration().Version != 7 || c.Era() != 2 {
		t.Errorf("version %d, era %d", c.Configuration().Version, c.Era())
	}
	wantUsed(t, "after content of an earlier era", c, epoch, "a")
}

// Guards against requests to upstreams that the older copy of a store still has: one
// that has left meanwhile, and the previous start of one that has restarted. Within
// an era, entries count as they are.
func TestNewEraDoesNotReviveUpstreams(t *testing.T) {
	for _, era := range []Era{1, 2} {
		c := New()
		c.Reset([]Change{configuration(1), upstreamChange("left", nil), upstreamChange("old", nil)}, 1, epoch)
		leaving := upstreamChange("left", func(u *Upstream) { u.Leaving = true })
		gone := removed(KindUpstream, "left")
		restarted := upstreamChange("old", func(u *Upstream) { u.Incarnation = 9 })
		for _, ch := range []Change{leaving, gone, restarted} {
			c.Apply(&ch, epoch)
		}
		wantUsed(t, "before the return", c, epoch, "old")
		began := at(5 * time.Second)
		c.Reset([]Change{configuration(1), upstreamChange("left", nil), upstreamChange("old", nil)}, era, began)
		if era == 1 {
			wantUsed(t, "in the same era", c, began, "left", "old")
			continue
		}
		wantUsed(t, "in the grace", c, began, "old")
		if got := c.upstreams["old"].Incarnation; got != 9 {
			t.Errorf("start %d in use, want 9", got)
		}
		c.Tick(began.Add(ReconnectGrace))
		wantUsed(t, "not written again", c, began)
		for _, ch := range []Change{restarted, upstreamChange("left", func(u *Upstream) { u.Incarnation = 2 })} {
			c.Apply(&ch, began.Add(ReconnectGrace))
		}
		wantUsed(t, "written again", c, began, "left", "old")
	}
}

// Guards against memory that grows with each upstream that has left.
func TestDeparturesAreForgotten(t *testing.T) {
	c := loaded(upstreamChange("a", func(u *Upstream) { u.Leaving = true }))
	gone := removed(KindUpstream, "a")
	c.Apply(&gone, epoch)
	if len(c.departures) != 1 {
		t.Fatalf("%d departures", len(c.departures))
	}
	c.Tick(at(departureMemory + time.Millisecond))
	if len(c.departures) != 0 {
		t.Errorf("%d departures after %v", len(c.departures), departureMemory)
	}
}

// Guards against a fleet's key that is not written again in a new era, and against
// one that is written again without need.
func TestKeyStoredIsOfThePresentEra(t *testing.T) {
	key := Change{Kind: KindKey, ID: "key", Key: []byte("k")}
	c := New()
	for _, step := range []struct {
		era  Era
		all  []Change
		want bool
	}{{1, []Change{configuration(1)}, false}, {1, []Change{key}, true}, {1, nil, true}, {2, []Change{configuration(1)}, false}, {3, []Change{key}, true}} {
		c.Reset(step.all, step.era, epoch)
		if c.KeyStored() != step.want {
			t.Errorf("era %d, %d items: stored %t", step.era, len(step.all), c.KeyStored())
		}
	}
	if string(c.Key()) != "k" {
		t.Errorf("key %q", c.Key())
	}
}
