package catalog

import "math"

// Utilisations, as shares of an instance's capacity, by which a region's callers
// are spread among more or fewer instances.
const (
	wideAbove   = 0.6  // more instances are needed
	narrowBelow = 0.15 // fewer suffice
	wideTarget  = 0.4  // what the new number should lead to
)

// Width returns among how many instances the callers of a region should be
// spread, if they are spread among current ones now, of which this one serves
// rate of its capacity, both in requests per second.
func Width(current int, rate, capacity float64) int {
	use := rate / capacity
	if use <= wideAbove && use >= narrowBelow {
		return current
	}
	return max(MinWidth, int(math.Ceil(float64(current)*use/wideTarget)))
}
