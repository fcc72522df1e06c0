package quota

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// ring assigns accounts to holders. Each region has a number of an account's
// holders in proportion to its members, so that a transfer rarely crosses regions
// and a region that is cut off keeps its part of the tokens. Within a region, the
// holders are the members that follow the account's hash, so that few of them
// change with the members.
type ring struct {
	n       int // members of all regions
	regions []ringRegion
	self    Member // zero if this instance doesn't serve callers
}

// ringRegion holds the members of a region.
type ringRegion struct {
	name    string
	members []Member // sorted by hash
	hashes  []uint64
	before  int // members of the regions before this one
}

func newRing(members []Member) *ring {
	r := &ring{n: len(members)}
	type hashed struct {
		hash   uint64
		member Member
	}
	all := make([]hashed, len(members))
	for i, m := range members {
		all[i] = hashed{xxhash.Sum64String(m.ID), m}
		if m.Self {
			r.self = m
		}
	}
	slices.SortFunc(all, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(a.member.Region, b.member.Region), cmp.Compare(a.hash, b.hash), cmp.Compare(a.member.ID, b.member.ID))
	})
	for i, h := range all {
		if i == 0 || h.member.Region != all[i-1].member.Region {
			r.regions = append(r.regions, ringRegion{name: h.member.Region, before: i})
		}
		g := &r.regions[len(r.regions)-1]
		g.members, g.hashes = append(g.members, h.member), append(g.hashes, h.hash)
	}
	return r
}

// holders returns the number of an account's k holders in a region, and the index
// of the first one. The account's hash decides which regions have one more than
// others.
func (r *ring) holders(g *ringRegion, hash uint64, k int) (count, first int) {
	start := int(hash>>1) % r.n
	count = (k*(g.before+len(g.members))+start)/r.n - (k*g.before+start)/r.n
	first = sort.Search(len(g.hashes), func(i int) bool { return g.hashes[i] >= hash })
	return count, first
}

// holds reports whether this instance is one of the k holders of an account.
func (r *ring) holds(account string, k int) bool {
	if !r.self.Self {
		return false
	}
	hash := xxhash.Sum64String(account)
	for i := range r.regions {
		g := &r.regions[i]
		if g.name != r.self.Region {
			continue
		}
		count, first := r.holders(g, hash, k)
		for j := range count {
			if g.members[(first+j)%len(g.members)].Self {
				return true
			}
		}
	}
	return false
}

// choose appends the addresses of at most count other holders of an account, all
// of this region or all of other regions, and returns the offset to continue from.
func (r *ring) choose(dst []Member, account string, k, count, offset int, remote bool) ([]Member, int) {
	hash := xxhash.Sum64String(account)
	total := 0
	for i := range r.regions {
		if g := &r.regions[i]; g.members[0].Remote == remote {
			c, _ := r.holders(g, hash, k)
			total += c
		}
	}
	for tried := 0; tried < total && len(dst) < count; tried++ {
		if m := r.holder(hash, k, offset%total, remote); !m.Self {
			dst = append(dst, *m)
		}
		offset = (offset + 1) % total
	}
	return dst, offset
}

// holder returns the holder with an index among those of this region or of other
// regions.
func (r *ring) holder(hash uint64, k, index int, remote bool) *Member {
	for i := range r.regions {
		g := &r.regions[i]
		if g.members[0].Remote != remote {
			continue
		}
		c, first := r.holders(g, hash, k)
		if index < c {
			return &g.members[(first+index)%len(g.members)]
		}
		index -= c
	}
	panic("quota: index beyond the holders")
}
