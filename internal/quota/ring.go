package quota

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// ring assigns accounts to holders: the k members that follow the account's hash.
// A change of the members replaces at most one holder of an account for each
// member that joins or leaves.
type ring struct {
	members []Member // sorted by hash
	hashes  []uint64
	self    int // index of this instance, -1 if it doesn't serve callers
}

func newRing(members []Member) *ring {
	r := &ring{members: slices.Clone(members), self: -1}
	slices.SortFunc(r.members, func(a, b Member) int {
		ha, hb := xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)
		switch {
		case ha < hb:
			return -1
		case ha > hb:
			return 1
		}
		return 0
	})
	r.hashes = make([]uint64, len(r.members))
	for i := range r.members {
		r.hashes[i] = xxhash.Sum64String(r.members[i].ID)
		if r.members[i].Self {
			r.self = i
		}
	}
	return r
}

// first returns the index of the first holder of an account.
func (r *ring) first(account string) int {
	h := xxhash.Sum64String(account)
	i := sort.Search(len(r.hashes), func(i int) bool { return r.hashes[i] >= h })
	if i == len(r.hashes) {
		return 0
	}
	return i
}

// holds reports whether this instance is one of the k holders of an account.
func (r *ring) holds(account string, k int) bool {
	if r.self < 0 {
		return false
	}
	return (r.self-r.first(account)+len(r.members))%len(r.members) < k
}

// maxProbes bounds the holders considered when some are chosen.
const maxProbes = 64

// choose returns the addresses of at most count other holders of an account, all
// of this region or all of other regions, starting at the holder with the given
// offset, and the offset to continue from.
func (r *ring) choose(dst []Member, account string, k, count, offset int, remote bool) ([]Member, int) {
	if len(r.members) == 0 {
		return dst, offset
	}
	first := r.first(account)
	for range min(k, maxProbes) {
		m := &r.members[(first+offset%k)%len(r.members)]
		offset = (offset + 1) % k
		if m.Self || m.Remote != remote {
			continue
		}
		if dst = append(dst, *m); len(dst) == count {
			break
		}
	}
	return dst, offset
}
