package catalog

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedreel/internal/document"
	"knapweedreel/internal/member"
	"knapweedreel/internal/routing"
)

var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func configuration(version uint64) Change {
	return Change{Kind: KindConfiguration, ID: "configuration", Configuration: &Configuration{
		Version: version,
		Routes: []Route{{
			Name: "r", Host: "a.example", Rule: document.Route{Method: "*", Path: "/a/*", DeadlineMS: 1000},
			Split: []routing.WeightedService{{Service: "s", Weight: 1}},
		}},
		Services: map[string]Service{"s": {Connections: 40}},
	}}
}

func upstreamChange(id string, change func(*Upstream)) Change {
	u := &Upstream{ID: id, Service: "s", Address: "10.0.0.1:80", FailureDomain: "z1", Slots: 6, Incarnation: 1}
	if change != nil {
		change(u)
	}
	return Change{Kind: KindUpstream, ID: id, Upstream: u}
}

func removed(k Kind, id string) Change { return Change{Kind: k, ID: id, Removed: true} }

// used returns the IDs of the upstreams in a snapshot.
func used(c *Catalog, now time.Time) []string {
	var table *routing.Table
	if c.Configuration() != nil {
		table = c.Configuration().Table()
	}
	s := c.Snapshot(SnapshotInput{Self: member.Info{ID: "i"}, Regions: map[string]string{"z1": "south"}}, table, now)
	ids := []string{}
	if svc := s.Services["s"]; svc != nil {
		for _, u := range svc.Upstreams {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

func loaded(changes ...Change) *Catalog {
	c := New()
	c.Reset(append([]Change{configuration(1)}, changes...), 0, epoch)
	return c
}

func wantUsed(t *testing.T, what string, c *Catalog, now time.Time, want ...string) {
	t.Helper()
	if want == nil {
		want = []string{}
	}
	if diff := cmp.Diff(want, used(c, now)); diff != "" {
		t.Errorf("%s: %s", what, diff)
	}
}

// Guards against an instance that returns to an older configuration, or replaces
// the one in effect when the item is removed or unreadable.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	c := New()
	if c.Ready() {
		t.Error("ready without a configuration")
	}
	c.Reset(nil, 0, epoch)
	if c.Ready() {
		t.Error("ready with an empty store")
	}
	for _, step := range []struct {
		change Change
		want   uint64
	}{
		{configuration(3), 3}, {configuration(2), 3}, {configuration(7), 7},
		{removed(KindConfiguration, "configuration"), 7},
		{Change{Kind: KindConfiguration, Unreadable: fmt.Errorf("broken")}, 7},
	} {
		c.Apply(&step.change, epoch)
		if got := c.Configuration().Version; got != step.want {
			t.Errorf("version %d in effect, want %d", got, step.want)
		}
	}
}

// Guards against new requests to an upstream that is leaving, even if a later
// entry of the same incarnation is not leaving, and against an upstream that gets
// no requests after its restart.
func TestLeavingUpstreamIsExcludedUntilRestart(t *testing.T) {
	c := loaded(upstreamChange("a", nil))
	wantUsed(t, "ready", c, epoch, "a")
	leaving := upstreamChange("a", func(u *Upstream) { u.Leaving = true })
	c.Apply(&leaving, epoch)
	wantUsed(t, "leaving", c, epoch)
	again := upstreamChange("a", nil)
	c.Apply(&again, epoch)
	wantUsed(t, "ready again in the same incarnation", c, epoch)
	restarted := upstreamChange("a", func(u *Upstream) { u.Incarnation = 2 })
	c.Apply(&restarted, epoch)
	wantUsed(t, "restarted", c, epoch, "a")
}

// Guards against requests to an upstream whose entry was removed without a
// preceding change to leaving.
func TestRemovedUpstreamIsDroppedImmediately(t *testing.T) {
	c := loaded(upstreamChange("a", nil), upstreamChange("b", nil))
	removal := removed(KindUpstream, "a")
	c.Apply(&removal, epoch)
	wantUsed(t, "vanished", c, epoch, "b")
	c.Reset([]Change{configuration(1)}, 0, epoch)
	wantUsed(t, "missing after a reset", c, epoch)
}

// Guards against a service without upstreams after an outage of the store in
// which all entries expired, and against upstreams used after the grace period.
func TestExpiredUpstreamsHaveGraceAfterOutage(t *testing.T) {
	c := loaded(upstreamChange("a", nil), upstreamChange("b", nil), upstreamChange("c", func(u *Upstream) { u.Leaving = true }))
	c.StoreLost()
	c.StoreReached(at(10 * time.Second))
	c.Reset([]Change{configuration(1)}, 0, at(10*time.Second))
	wantUsed(t, "on return", c, at(10*time.Second), "a", "b")
	back := upstreamChange("b", nil)
	c.Apply(&back, at(11*time.Second))
	c.Tick(at(10*time.Second + ReconnectGrace - time.Millisecond))
	wantUsed(t, "within the grace", c, at(11*time.Second), "a", "b")
	c.Tick(at(10*time.Second + ReconnectGrace))
	wantUsed(t, "after the grace", c, at(13*time.Second), "b")
}

// Guards against a grace period for a removed upstream although only this instance
// was disconnected from the store, and against a relay's first update that ends
// the grace period after an outage.
func TestRelayDistinguishesOutageFromPartition(t *testing.T) {
	removed := Change{Kind: KindUpstream, ID: "a", Removed: true}
	c := loaded(upstreamChange("a", nil), upstreamChange("b", nil))
	c.StoreLost()
	c.Resumed()
	c.Apply(&removed, at(10*time.Second))
	wantUsed(t, "after a partition", c, at(10*time.Second), "b")

	c = loaded(upstreamChange("a", nil), upstreamChange("b", nil))
	c.StoreLost()
	c.StoreReached(at(10 * time.Second))
	c.Reset([]Change{configuration(1)}, 0, at(10*time.Second))
	c.Resumed()
	c.Tick(at(10*time.Second + ReconnectGrace - time.Millisecond))
	wantUsed(t, "within the grace after an outage", c, at(11*time.Second), "a", "b")
}

// Guards against an upstream that stays in use although its entry is unreadable.
func TestUnreadableEntryRemovesUpstream(t *testing.T) {
	c := loaded(upstreamChange("a", nil), upstreamChange("b", nil))
	events := c.Apply(&Change{Kind: KindUpstream, ID: "a", Unreadable: fmt.Errorf("broken")}, epoch)
	if len(events) == 0 || events[0].Name != "entry_unreadable" {
		t.Errorf("events %+v", events)
	}
	wantUsed(t, "unreadable", c, epoch, "b")
}

// Guards against a log line for an odd entry each time that the content is read,
// against a line as long as the entry, and against one that hides a later version.
func TestUnreadableEntryIsReportedOncePerVersion(t *testing.T) {
	c := loaded(upstreamChange("a", nil))
	odd := func(revision uint64) Change {
		return Change{Kind: KindUpstream, ID: "odd", Revision: revision, Unreadable: fmt.Errorf("broken %s", strings.Repeat("9", 10_000))}
	}
	for i, step := range []struct {
		revision uint64
		want     int
	}{{5, 1}, {5, 0}, {5, 0}, {6, 1}, {6, 0}} {
		events := c.Reset([]Change{configuration(1), upstreamChange("a", nil), odd(step.revision)}, 0, epoch)
		if len(events) != step.want || step.want == 1 && len(events[0].Detail) > 400 {
			t.Errorf("read %d: %d events", i, len(events))
		}
	}
	removed := Change{Kind: KindUpstream, ID: "odd", Removed: true}
	c.Apply(&removed, epoch)
	if len(c.unreadable) != 0 {
		t.Errorf("kept after the removal: %v", c.unreadable)
	}
}

// Guards against events, and thereby new snapshots, at every tick while an
// upstream is cold, and against an upstream that stays cold.
func TestUpstreamWarmsUpOnce(t *testing.T) {
	c := loaded(upstreamChange("a", func(u *Upstream) { u.ColdFor = time.Second }), upstreamChange("b", nil))
	for _, step := range []struct {
		now  time.Duration
		want int
	}{{0, 0}, {900 * time.Millisecond, 0}, {time.Second, 1}, {2 * time.Second, 0}} {
		if got := c.Tick(at(step.now)); len(got) != step.want || step.want == 1 && (got[0].Name != "upstream_warm" || got[0].ID != "a") {
			t.Errorf("after %v: %+v", step.now, got)
		}
	}
}

// Guards against a snapshot that includes upstreams of other services or does not
// mark cold ones.
func TestSnapshotMarksColdUpstreams(t *testing.T) {
	c := loaded(upstreamChange("a", func(u *Upstream) { u.ColdFor = time.Second }), upstreamChange("b", func(u *Upstream) { u.Service = "other" }))
	for _, step := range []struct {
		now  time.Duration
		cold bool
	}{{0, true}, {2 * time.Second, false}} {
		c.Tick(at(step.now)) // as the control goroutine does periodically
		s := c.Snapshot(SnapshotInput{Regions: map[string]string{"z1": "south"}}, c.Configuration().Table(), at(step.now))
		u := s.Services["s"].Upstreams
		if len(u) != 1 || u[0].Cold != step.cold || u[0].Region != "south" || u[0].MaxConnections != 10 {
			t.Errorf("after %v: %+v", step.now, u)
		}
	}
}

func memberChange(i int, region string, width int) Change {
	id := fmt.Sprintf("%s-%d", region, i)
	return Change{Kind: KindMember, ID: id, Member: &Member{
		ID: id, Address: fmt.Sprintf("10.0.%d.%d:80", len(region), i), Region: region, FailureDomain: fmt.Sprintf("%s-z%d", region, i%2), Width: width,
	}}
}

func fleet(regions ...string) *Catalog {
	c := New()
	for _, r := range regions {
		for i := range 6 {
			m := memberChange(i, r, MinWidth)
			c.Apply(&m, epoch)
		}
	}
	return c
}

// Guards against callers that are directed to other regions, to a single failure
// domain, or to different instances depending on which instance they ask.
func TestLocateReturnsFewInstancesOfTheRegion(t *testing.T) {
	d := fleet("south", "north").Directory()
	got := d.Locate("a.example", "south")
	if len(got) != MinWidth || got[0].Region != "south" || got[0].FailureDomain == got[1].FailureDomain {
		t.Errorf("%+v", got)
	}
	if diff := cmp.Diff(got, fleet("north", "south").Directory().Locate("a.example", "south")); diff != "" {
		t.Error(diff)
	}
	if got := d.Locate("a.example", "west"); len(got) != MinWidth {
		t.Errorf("%d instances for a region without any", len(got))
	}
}

// Guards against too few instances when one of them reports that its load needs
// more.
func TestLocateUsesTheReportedWidth(t *testing.T) {
	c := fleet("south")
	m := memberChange(3, "south", 5)
	c.Apply(&m, epoch)
	if got := c.Directory().Locate("a.example", "south"); len(got) != 5 {
		t.Errorf("%d instances", len(got))
	}
}

// Guards against a response without addresses when the store has removed the
// entries of all members, and against one that includes a failed member forever.
func TestLocateReturnsRemovedMembersLast(t *testing.T) {
	c := fleet("south")
	for i := range 5 {
		removal := removed(KindMember, fmt.Sprintf("south-%d", i))
		c.Apply(&removal, epoch)
	}
	got := c.Directory().Locate("a.example", "south")
	if len(got) != MinWidth || got[0].ID != "south-5" {
		t.Errorf("%+v", got)
	}
	c.Tick(at(removedMemberGrace + time.Second))
	if got := c.Directory().Locate("a.example", "south"); len(got) != 1 {
		t.Errorf("%+v", got)
	}
}

// Guards against instances that serve callers but have no share of the accounts'
// tokens, and the reverse, in fleets with one and several shards.
func TestAllServingMembersAreThoseThatCallersUse(t *testing.T) {
	for _, n := range []int{1, 6, 70} {
		c := New()
		for _, r := range []string{"south", "north", "west"} {
			for i := range n {
				m := memberChange(i, r, 3)
				c.Apply(&m, epoch)
			}
		}
		for i := range n - n/3 {
			removal := removed(KindMember, fmt.Sprintf("west-%d", i))
			c.Apply(&removal, epoch)
		}
		d := c.Directory()
		want := map[string]bool{}
		var hosts []string
		for i := range 40 {
			host := fmt.Sprintf("host-%d.example", i)
			hosts = append(hosts, host)
			for _, r := range []string{"south", "north", "west"} {
				for _, m := range d.Locate(host, r) {
					want[m.ID] = true
				}
			}
		}
		got := map[string]bool{}
		for _, m := range d.AllServingMembers(hosts) {
			got[m.ID] = true
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%d instances in each region: %s", n, diff)
		}
	}
}

// Guards against callers that are directed to a member that is shutting down,
// where too few others are left: unlike one whose entry has expired, it will stop
// listening.
func TestLocateExcludesLeavingMembers(t *testing.T) {
	c := New()
	for i := range 2 {
		m := memberChange(i, "south", MinWidth)
		c.Apply(&m, epoch)
	}
	leaving := memberChange(1, "south", MinWidth)
	leaving.Member.Leaving = true
	expired := removed(KindMember, "south-1")
	for _, ch := range []*Change{&leaving, &expired} {
		c.Apply(ch, epoch)
		if got := c.Directory().Locate("a.example", "south"); len(got) != 1 || got[0].ID != "south-0" {
			t.Errorf("%+v", got)
		}
	}
	again := memberChange(1, "south", MinWidth)
	c.Apply(&again, epoch)
	if got := c.Directory().Locate("a.example", "south"); len(got) != 2 {
		t.Errorf("after a restart: %+v", got)
	}
}

// Guards against computing the directory again at each change of an upstream, and
// against a directory that misses changes of members.
func TestDirectoryChangesOnlyWithMembers(t *testing.T) {
	c := fleet("south")
	d := c.Directory()
	up := upstreamChange("u", nil)
	c.Apply(&up, epoch)
	c.Tick(at(time.Minute))
	if c.Directory() != d {
		t.Error("new directory although no member has changed")
	}
	removal := removed(KindMember, "south-0")
	c.Apply(&removal, at(time.Minute))
	if c.Directory() == d || len(c.Directory().registered) != 5 {
		t.Error("a removed member is still registered")
	}
	m := memberChange(7, "south", MinWidth)
	c.Apply(&m, at(time.Minute))
	if len(c.Directory().registered) != 6 {
		t.Error("a member that joined is not registered")
	}
	c.Tick(at(time.Minute + removedMemberGrace + time.Second))
	if len(c.Directory().recentlyRemoved) != 0 {
		t.Error("a member removed long ago is still kept")
	}
}

// Guards against limits of the configuration that don't reach the instances'
// listeners.
func TestSnapshotHasCallerLimits(t *testing.T) {
	change := configuration(1)
	change.Configuration.Limits = Limits{HeaderBytes: 16384, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	c := New()
	c.Reset([]Change{change}, 0, epoch)
	s := c.Snapshot(SnapshotInput{Self: member.Info{ID: "i"}}, c.Configuration().Table(), epoch)
	if s.CallerHeaderBytes != 16384 || s.CallerHeaderTimeout != 3*time.Second || s.CallerIdle != 15*time.Second {
		t.Errorf("%d bytes, %v for a header, %v idle", s.CallerHeaderBytes, s.CallerHeaderTimeout, s.CallerIdle)
	}
}
