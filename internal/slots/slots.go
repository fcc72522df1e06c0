// Package slots assigns the slots of upstreams to instances.
package slots

import (
	"slices"
	"strings"

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
// depends on the sets only, not on their order. The home slots of two members
// differ by at most one, and a member's slots are spread over upstreams.
func Assign(service string, upstreams []Upstream, members []string) Assignment {
	result := make(Assignment, len(members))
	if len(members) == 0 {
		return result
	}
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b string) int { return compareHashes(service, a, b) })
	order = slices.Compact(order)
	ups := slices.Clone(upstreams)
	slices.SortFunc(ups, func(a, b Upstream) int { return compareHashes(service, a.ID, b.ID) })
	next := 0
	for _, u := range ups {
		for range u.Slots {
			m := order[next%len(order)]
			next++
			if result[m] == nil {
				result[m] = make(map[string]int)
			}
			result[m][u.ID]++
		}
	}
	return result
}

// compareHashes orders names by their hash within the service, so that members
// with an extra slot differ from service to service.
func compareHashes(service, a, b string) int {
	ha, hb := hash(service, a), hash(service, b)
	switch {
	case ha < hb:
		return -1
	case ha > hb:
		return 1
	}
	return strings.Compare(a, b)
}

func hash(service, name string) uint64 {
	return xxhash.Sum64String(service + "\x00" + name)
}
