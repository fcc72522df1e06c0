// Package slots assigns the slots of upstreams to instances.
//
// Every instance computes the same assignment from the same upstreams and
// members, without asking anyone. An instance uses the slots that are assigned
// to it, its home slots, before it borrows others, so that instances rarely
// meet at the same slot.
package slots

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Upstream is an upstream with its number of slots.
type Upstream struct {
	ID    string
	Slots int
}

// Assignment maps members to upstreams to the number of home slots. Members
// without home slots are absent.
type Assignment map[string]map[string]int

// Assign gives each slot of the service's upstreams to one member. The result
// depends on the sets only, not on their order. The numbers of home slots of
// two members differ by at most one, and a member has a second slot of an
// upstream only where that cannot be avoided by exchanging it. When a member
// joins or leaves, most slots keep their home.
func Assign(service string, upstreams []Upstream, members []string) Assignment {
	members = slices.Clone(members)
	slices.Sort(members)
	members = slices.Compact(members)
	if len(members) == 0 {
		return Assignment{}
	}
	d := newDeal(service, upstreams, members)
	for _, s := range d.slots() {
		d.give(s.upstream, d.best(s))
	}
	d.separate()
	return d.assignment()
}

// slot is one unit of concurrency of an upstream.
type slot struct {
	upstream int
	hash     uint64
}

// deal is an assignment in the making. Upstreams and members are indexes.
type deal struct {
	service   string
	upstreams []Upstream
	members   []string
	hashes    []uint64 // of members
	base      int      // slots that every member gets
	extras    int      // members that may still get one more
	held      []int    // slots of each member
	counts    [][]int  // slots of each member at each upstream
}

func newDeal(service string, upstreams []Upstream, members []string) *deal {
	ups := slices.Clone(upstreams)
	slices.SortFunc(ups, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	total := 0
	for _, u := range ups {
		total += max(0, u.Slots)
	}
	d := &deal{
		service:   service,
		upstreams: ups,
		members:   members,
		base:      total / len(members),
		extras:    total % len(members),
		held:      make([]int, len(members)),
	}
	for _, m := range members {
		d.hashes = append(d.hashes, xxhash.Sum64String(service+"\x00"+m))
		d.counts = append(d.counts, make([]int, len(ups)))
	}
	return d
}

// slots returns all slots: the first of every upstream, then the second, and so
// on. Within these the order is that of a hash, so that upstreams do not always
// come first or last by their name.
func (d *deal) slots() []slot {
	var all []slot
	for round := 0; ; round++ {
		begin := len(all)
		for i, u := range d.upstreams {
			if round < u.Slots {
				all = append(all, slot{i, mix(xxhash.Sum64String(d.service+"\x00"+u.ID), uint64(round))})
			}
		}
		if len(all) == begin {
			return all
		}
		slices.SortFunc(all[begin:], func(a, b slot) int { return cmp.Compare(a.hash, b.hash) })
	}
}

// best returns the member for s: one with room and the fewest slots of the
// upstream, and among these the one with the highest hash of slot and member.
// The hashes make most slots keep their member when others come or go.
func (d *deal) best(s slot) int {
	best, bestHash := -1, uint64(0)
	for m := range d.members {
		if d.held[m] > d.base || d.held[m] == d.base && d.extras == 0 {
			continue
		}
		h := mix(s.hash, d.hashes[m])
		if best >= 0 {
			if c := cmp.Compare(d.counts[m][s.upstream], d.counts[best][s.upstream]); c > 0 || c == 0 && h <= bestHash {
				continue
			}
		}
		best, bestHash = m, h
	}
	return best
}

func (d *deal) give(upstream, m int) {
	if d.held[m] == d.base {
		d.extras--
	}
	d.held[m]++
	d.counts[m][upstream]++
}

// separate exchanges slots between members that hold several slots of one
// upstream and members that hold none of it. The last slots that are given away
// leave little choice, and would otherwise tie members to one upstream.
func (d *deal) separate() {
	for m := range d.members {
		for u := range d.upstreams {
			for d.counts[m][u] > 1 && d.exchange(m, u) {
			}
		}
	}
}

// exchange gives one of m's slots of upstream u for a slot of an upstream of
// which m has none.
func (d *deal) exchange(m, u int) bool {
	for other := range d.members {
		if d.counts[other][u] > 0 {
			continue
		}
		for v := range d.upstreams {
			if d.counts[other][v] > 0 && d.counts[m][v] == 0 {
				d.counts[m][u]--
				d.counts[m][v]++
				d.counts[other][v]--
				d.counts[other][u]++
				return true
			}
		}
	}
	return false
}

func (d *deal) assignment() Assignment {
	result := make(Assignment, len(d.members))
	for m, name := range d.members {
		if d.held[m] == 0 {
			continue
		}
		result[name] = make(map[string]int)
		for u, n := range d.counts[m] {
			if n > 0 {
				result[name][d.upstreams[u].ID] += n
			}
		}
	}
	return result
}

// mix combines two hashes.
func mix(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
