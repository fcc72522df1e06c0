package catalog

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"knapweedreel/internal/member"
)

// MinWidth is the number of instances that serve the callers of a region at low
// load. The fewer instances, the more responses of each upstream each of them
// sees; with two, callers continue at once when one of them fails.
const MinWidth = 2

// Directory determines which members callers should use. It is immutable.
type Directory struct {
	registered      []Member
	recentlyRemoved []Member // at most removedMemberGrace ago
}

// Directory returns a directory of the current members. It returns the same one
// until the members change.
func (c *Catalog) Directory() *Directory {
	if c.directory != nil {
		return c.directory
	}
	d := new(Directory)
	for _, m := range c.members {
		if m.removedAt.IsZero() {
			d.registered = append(d.registered, m.Member)
		} else {
			d.recentlyRemoved = append(d.recentlyRemoved, m.Member)
		}
	}
	c.directory = d
	return d
}

// Locate returns the members that the callers of a host in a region should use.
// Members of other regions are returned only if the region has no registered one.
// The result depends only on the arguments and the members, so that all instances
// return the same ones.
func (d *Directory) Locate(host, region string) []Member {
	return locate(ranked(host, d.registered), ranked(host, d.recentlyRemoved), region)
}

// locate returns the members for a region from those registered and recently
// removed, both in order of preference.
func locate(registered, recentlyRemoved []Member, region string) []Member {
	regional := inRegion(registered, region)
	if len(regional) == 0 {
		regional = registered
	}
	width := maxWidth(regional)
	picked := pickAcrossDomains(largestFirst(regional), width)
	// Members whose entries were removed may still run while the store is down.
	for _, m := range inRegion(recentlyRemoved, region) {
		if len(picked) >= MinWidth {
			break
		}
		picked = append(picked, m)
	}
	return picked
}

// Width returns the number of instances that serve the callers of a region.
func (d *Directory) Width(region string) int { return maxWidth(inRegion(d.registered, region)) }

// maxRelays is the number of relays of a failure domain, of which one is in use
// at a time.
const maxRelays = 3

// Relays returns the members that may read the store for the failure domain of
// self, in order of preference: the next one takes over when one lags behind.
// self need not be registered.
func (d *Directory) Relays(self Member) []Member {
	members := slices.DeleteFunc(slices.Clone(d.registered), func(m Member) bool { return m.ID == self.ID })
	var relays []Member
	for _, m := range largestFirst(ranked("relay", append(members, self))) {
		if m.FailureDomain == self.FailureDomain && len(relays) < maxRelays {
			relays = append(relays, m)
		}
	}
	return relays
}

// ServingInstances returns the number of instances that serve the callers of all
// regions.
func (d *Directory) ServingInstances() int {
	regions := make(map[string][]Member)
	for _, m := range d.registered {
		regions[m.Region] = append(regions[m.Region], m)
	}
	n := 0
	for _, members := range regions {
		n += min(maxWidth(members), len(members))
	}
	return n
}

func maxWidth(members []Member) int {
	width := MinWidth
	for _, m := range members {
		width = max(width, m.Width)
	}
	return width
}

// ServingMembers returns the members that serve the callers of any of the hosts
// in a region.
func (d *Directory) ServingMembers(hosts []string, region string) []Member {
	seen := make(map[string]bool)
	var all []Member
	for _, host := range hosts {
		for _, m := range d.Locate(host, region) {
			if !seen[m.ID] {
				seen[m.ID] = true
				all = append(all, m)
			}
		}
	}
	return all
}

// AllServingMembers returns the members that serve the callers of any of the hosts
// in any region, sorted by ID. It ranks the members once for each shard of hosts.
func (d *Directory) AllServingMembers(hosts []string) []Member {
	regions := make(map[string]bool)
	for _, m := range d.registered {
		regions[m.Region] = true
	}
	for _, m := range d.recentlyRemoved {
		regions[m.Region] = true
	}
	shards, removedShards := member.Shards(len(d.registered)), member.Shards(len(d.recentlyRemoved))
	done := make(map[[2]int]bool)
	serving := make(map[string]Member)
	for _, host := range hosts {
		shard := [2]int{member.ShardOf(host, shards), member.ShardOf(host, removedShards)}
		if done[shard] {
			continue
		}
		done[shard] = true
		registered, removed := ranked(host, d.registered), ranked(host, d.recentlyRemoved)
		for region := range regions {
			for _, m := range locate(slices.Clone(registered), removed, region) {
				serving[m.ID] = m
			}
		}
	}
	return slices.SortedFunc(maps.Values(serving), func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
}

// ranked returns members in order of preference for the callers of a host. All
// hosts of a shard have the same order: in a small fleet few instances serve all
// hosts, and a large fleet divides its services among instances.
func ranked(host string, members []Member) []Member {
	shard := strconv.Itoa(member.ShardOf(host, member.Shards(len(members))))
	type rankedMember struct {
		rank uint64
		m    *Member
	}
	order := make([]rankedMember, len(members))
	for i := range members {
		order[i] = rankedMember{xxhash.Sum64String(shard + "\x00" + members[i].ID), &members[i]}
	}
	slices.SortFunc(order, func(a, b rankedMember) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.m.ID, b.m.ID))
	})
	sorted := make([]Member, len(members))
	for i := range order {
		sorted[i] = *order[i].m
	}
	return sorted
}

// largestFirst moves the members that have at least half the capacity of the
// largest one to the front. Fewer instances then see more responses of each
// upstream, and a large body does not saturate a slow link.
func largestFirst(members []Member) []Member {
	maxCapacity := 0.0
	for _, m := range members {
		maxCapacity = max(maxCapacity, m.Capacity)
	}
	small := func(m Member) int {
		if m.Capacity < maxCapacity/2 {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(members, func(a, b Member) int { return cmp.Compare(small(a), small(b)) })
	return members
}

func inRegion(members []Member, region string) []Member {
	var regional []Member
	for _, m := range members {
		if m.Region == region {
			regional = append(regional, m)
		}
	}
	return regional
}

// pickAcrossDomains returns the first members up to width. The second one is the
// first member of another failure domain with at least half the capacity of the
// first one.
func pickAcrossDomains(members []Member, width int) []Member {
	for i := 1; i < len(members); i++ {
		m := members[i]
		if m.FailureDomain != members[0].FailureDomain && m.Capacity >= members[0].Capacity/2 {
			copy(members[2:i+1], members[1:i])
			members[1] = m
			break
		}
	}
	return members[:min(width, len(members))]
}
