// Package slots assigns the slots of upstreams to instances.
//
// Every instance computes the same assignment from the same upstreams and
// members, without coordination. An instance uses the slots assigned to it, its
// home slots, before it borrows others, so that instances rarely compete for the
// same slot.
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

// Assignment maps members to their number of home slots by upstream. Members
// without home slots are absent.
type Assignment map[string]map[string]int

// Assign assigns each slot of the service's upstreams to one member. The result
// does not depend on the order of upstreams and members. The numbers of home
// slots of two members differ by at most one, and a member has a second slot of
// an upstream only if no exchange with another member avoids it. When a member
// joins or leaves, most slots stay with their member.
func Assign(service string, upstreams []Upstream, members []string) Assignment {
	members = slices.Clone(members)
	slices.Sort(members)
	members = slices.Compact(members)
	if len(members) == 0 {
		return Assignment{}
	}
	d := newDistribution(service, upstreams, members)
	for _, s := range d.slots() {
		d.assign(s.upstream, d.pickMember(s))
	}
	d.spread()
	return d.assignment()
}

// slot is one unit of concurrency of an upstream.
type slot struct {
	upstream int
	hash     uint64
}

// distribution is an assignment under construction. Upstreams and members are
// referred to by index.
type distribution struct {
	service   string
	upstreams []Upstream
	members   []string
	hashes    []uint64 // of members
	base      int      // slots that every member gets
	extras    int      // members that may still get one slot more than base
	totals    []int    // slots of each member
	counts    [][]int  // slots of each member at each upstream
}

func newDistribution(service string, upstreams []Upstream, members []string) *distribution {
	ups := slices.Clone(upstreams)
	slices.SortFunc(ups, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	total := 0
	for _, u := range ups {
		total += max(0, u.Slots)
	}
	d := &distribution{
		service:   service,
		upstreams: ups,
		members:   members,
		base:      total / len(members),
		extras:    total % len(members),
		totals:    make([]int, len(members)),
	}
	for _, m := range members {
		d.hashes = append(d.hashes, xxhash.Sum64String(service+"\x00"+m))
		d.counts = append(d.counts, make([]int, len(ups)))
	}
	return d
}

// slots returns all slots: the first of every upstream, then the second of every
// upstream, and so on. Each round is ordered by hash, so that the position of an
// upstream does not depend on its name.
func (d *distribution) slots() []slot {
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

// pickMember returns the member for s: among those that may get another slot, the
// one with the fewest slots of the upstream, then the one with the highest hash
// of slot and member. The hashes make most slots keep their member when others
// join or leave.
func (d *distribution) pickMember(s slot) int {
	best, bestHash := -1, uint64(0)
	for m := range d.members {
		if d.totals[m] > d.base || d.totals[m] == d.base && d.extras == 0 {
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

func (d *distribution) assign(upstream, m int) {
	if d.totals[m] == d.base {
		d.extras--
	}
	d.totals[m]++
	d.counts[m][upstream]++
}

// spread exchanges slots between members that have several slots of one upstream
// and members that have none of it. The last slots to be assigned leave little
// choice and would otherwise concentrate a member's slots on one upstream.
func (d *distribution) spread() {
	for m := range d.members {
		for u := range d.upstreams {
			for d.counts[m][u] > 1 && d.exchange(m, u) {
			}
		}
	}
}

// exchange swaps one of m's slots of upstream u for another member's slot of an
// upstream of which m has none. It reports whether it found one.
func (d *distribution) exchange(m, u int) bool {
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

func (d *distribution) assignment() Assignment {
	result := make(Assignment, len(d.members))
	for m, name := range d.members {
		if d.totals[m] == 0 {
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
