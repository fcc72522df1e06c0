package catalog

import "math"

// Utilizations, as shares of an instance's capacity, that decide how many
// instances serve the callers of a region.
const (
	widenAbove        = 0.6  // more instances are needed
	narrowBelow       = 0.15 // fewer instances suffice
	targetUtilization = 0.4  // expected after the number has changed
)

// Width returns the number of instances that should serve the callers of a
// region. current is the present number; rate is the load of this instance and
// capacity its limit, both in requests per second.
func Width(current int, rate, capacity float64) int {
	utilization := rate / capacity
	if utilization <= widenAbove && utilization >= narrowBelow {
		return current
	}
	return max(MinWidth, int(math.Ceil(float64(current)*utilization/targetUtilization)))
}
