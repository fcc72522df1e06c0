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

// Directory returns the members as they are now. It is the same one until they
// change.
func (c *Catalog) Directory() *Directory {
	if c.directory != nil {
		return c.directory
	}
	d := new(Directory)
	for _, m := range c.members {
		if m.vanished.IsZero() {
			d.registered = append(d.registered, m.Member)
		} else {
			d.vanished = append(d.vanished, m.Member)
		}
	}
	c.directory = d
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
	width := widest(near)
	picked := spread(largest(near), width)
	// Members whose entries have vanished may live on while the store is away.
	for _, m := range inRegion(ranked(host, d.vanished), region) {
		if len(picked) >= MinWidth {
			break
		}
		picked = append(picked, m)
	}
	return picked
}

// Width returns among how many instances the callers of a region are spread.
func (d *Directory) Width(region string) int { return widest(inRegion(d.registered, region)) }

// maxRelays is the number of members that may read the store for a failure
// domain, one of them at a time.
const maxRelays = 3

// Relays returns the members that read the store for the failure domain of self,
// which need not be registered. The next one takes over from one that is behind.
func (d *Directory) Relays(self Member) []Member {
	members := slices.DeleteFunc(slices.Clone(d.registered), func(m Member) bool { return m.ID == self.ID })
	var relays []Member
	for _, m := range largest(ranked("relay", append(members, self))) {
		if m.FailureDomain == self.FailureDomain && len(relays) < maxRelays {
			relays = append(relays, m)
		}
	}
	return relays
}

// Serving returns among how many instances the callers of all regions are
// spread.
func (d *Directory) Serving() int {
	regions := make(map[string][]Member)
	for _, m := range d.registered {
		regions[m.Region] = append(regions[m.Region], m)
	}
	n := 0
	for _, members := range regions {
		n += min(widest(members), len(members))
	}
	return n
}

func widest(members []Member) int {
	width := MinWidth
	for _, m := range members {
		width = max(width, m.Width)
	}
	return width
}

// ServingHosts returns the members that serve the callers of any of the hosts in
// a region.
func (d *Directory) ServingHosts(hosts []string, region string) []Member {
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

// largest puts the members first that can serve at least half as many requests
// as the largest one. Fewer instances then see more of each upstream's answers,
// and a large body does not fill a narrow link.
func largest(members []Member) []Member {
	most := 0.0
	for _, m := range members {
		most = max(most, m.Capacity)
	}
	small := func(m Member) int {
		if m.Capacity < most/2 {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(members, func(a, b Member) int { return cmp.Compare(small(a), small(b)) })
	return members
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

// spread returns the first members up to width. The second one is the first of
// another failure domain that is not much smaller.
func spread(members []Member, width int) []Member {
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
