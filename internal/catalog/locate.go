package catalog

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"knapweedreel/internal/member"
)

// MinWidth is the number of instances among which the callers of a region are
// spread at low load. Fewer instances see more of each upstream's answers; two
// let callers go on at once when one of them is lost.
const MinWidth = 2

// Directory answers which members callers should use. It does not change.
type Directory struct {
	registered []Member
	vanished   []Member // entries that ended lately
}

// Directory returns the members as they are now.
func (c *Catalog) Directory() *Directory {
	d := new(Directory)
	for _, m := range c.members {
		if m.vanished.IsZero() {
			d.registered = append(d.registered, m.Member)
		} else {
			d.vanished = append(d.vanished, m.Member)
		}
	}
	return d
}

// Locate returns the members that the callers of a host in a region should
// use. Members of the region come before others; which ones depends on the host
// alone, so that all instances give the same answer.
func (d *Directory) Locate(host, region string) []Member {
	registered := ranked(host, d.registered)
	near := inRegion(registered, region)
	if len(near) == 0 {
		near = registered
	}
	width := MinWidth
	for _, m := range near {
		width = max(width, m.Width)
	}
	picked := spread(near, width)
	// Members whose entries have vanished may live on while the store is away.
	for _, m := range inRegion(ranked(host, d.vanished), region) {
		if len(picked) >= MinWidth {
			break
		}
		picked = append(picked, m)
	}
	return picked
}

// Serving returns the members that serve the callers of any of the hosts in a
// region.
func (d *Directory) Serving(hosts []string, region string) []Member {
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

// ranked returns members in the order in which the callers of a host use them.
// All hosts of a shard have the same order, so that few instances serve a small
// fleet and a large one divides its services.
func ranked(host string, members []Member) []Member {
	shard := strconv.Itoa(member.ShardOf(host, member.Shards(len(members))))
	rank := func(m *Member) uint64 { return xxhash.Sum64String(shard + "\x00" + m.ID) }
	return slices.SortedFunc(slices.Values(members), func(a, b Member) int {
		return cmp.Or(cmp.Compare(rank(&a), rank(&b)), cmp.Compare(a.ID, b.ID))
	})
}

func inRegion(members []Member, region string) []Member {
	var near []Member
	for _, m := range members {
		if m.Region == region {
			near = append(near, m)
		}
	}
	return near
}

// spread returns the first members up to width, each from a failure domain that
// has given the fewest before it.
func spread(members []Member, width int) []Member {
	given := make(map[string]int)
	order := make(map[string]int, len(members)) // position within the failure domain
	for _, m := range members {
		order[m.ID] = given[m.FailureDomain]
		given[m.FailureDomain]++
	}
	slices.SortStableFunc(members, func(a, b Member) int { return cmp.Compare(order[a.ID], order[b.ID]) })
	return members[:min(width, len(members))]
}
