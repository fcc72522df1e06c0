package slots

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func names(prefix string, n int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprintf("%s%d", prefix, i))
	}
	return all
}

// Guards against slots that are assigned to no member or to two, members with
// more than their share, and instances that compute different assignments.
func TestAssignProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		service := rapid.StringMatching(`[a-z]{1,8}`).Draw(rt, "service")
		members := names("m", rapid.IntRange(1, 64).Draw(rt, "members"))
		var ups []Upstream
		total := 0
		for _, id := range names("u", rapid.IntRange(0, 20).Draw(rt, "upstreams")) {
			u := Upstream{ID: id, Slots: rapid.IntRange(0, 12).Draw(rt, "slots")}
			ups, total = append(ups, u), total+u.Slots
		}
		got := Assign(service, ups, members)
		perUpstream := map[string]int{}
		for _, m := range members {
			sum := 0
			for u, n := range got[m] {
				sum += n
				perUpstream[u] += n
			}
			if sum != total/len(members) && sum != total/len(members)+1 {
				rt.Fatalf("member %s has %d of %d slots", m, sum, total)
			}
		}
		for _, u := range ups {
			if perUpstream[u.ID] != u.Slots {
				rt.Fatalf("%d of %d slots of %s are assigned", perUpstream[u.ID], u.Slots, u.ID)
			}
		}
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		r.Shuffle(len(ups), func(i, j int) { ups[i], ups[j] = ups[j], ups[i] })
		r.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		if diff := cmp.Diff(got, Assign(service, ups, append(members, members[0]))); diff != "" {
			rt.Fatal(diff)
		}
	})
}

// fleets are the sizes of the two users' services and of a shard as expected in
// two years.
var fleets = []struct{ upstreams, slots, members int }{
	{12, 6, 32}, {15, 6, 32}, {12, 3, 32}, {14, 3, 32}, {50, 6, 44},
}

// Guards against members whose home slots are all at one upstream: they would
// lose all of them when that upstream becomes faulty.
func TestAssignSpreads(t *testing.T) {
	for _, f := range fleets {
		var ups []Upstream
		for _, id := range names("u", f.upstreams) {
			ups = append(ups, Upstream{ID: id, Slots: f.slots})
		}
		for service := range 20 {
			for m, counts := range Assign(fmt.Sprint("s", service), ups, names("m", f.members)) {
				for u, n := range counts {
					if n > 1 {
						t.Errorf("%+v: member %s has %d slots of %s", f, m, n, u)
					}
				}
			}
		}
	}
}

// Guards against moving most slots to other members when one joins or leaves,
// which makes instances compete for slots.
func TestAssignKeepsMostSlotsWhenMembershipChanges(t *testing.T) {
	for _, f := range fleets {
		var ups []Upstream
		for _, id := range names("u", f.upstreams) {
			ups = append(ups, Upstream{ID: id, Slots: f.slots})
		}
		moved, total := 0, 0
		for service := range 20 {
			name := fmt.Sprint("s", service)
			members := names("m", f.members)
			before := Assign(name, ups, members)
			after := Assign(name, ups, members[:f.members-1])
			for m, counts := range after {
				for u, n := range counts {
					moved += max(0, n-before[m][u])
				}
			}
			total += f.upstreams * f.slots
		}
		share := float64(moved) / float64(total)
		t.Logf("%+v: %.0f%% of the slots moved", f, 100*share)
		if share > 0.2 {
			t.Errorf("%+v: %.0f%% of the slots moved", f, 100*share)
		}
	}
}
