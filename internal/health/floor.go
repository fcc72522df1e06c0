package health

import (
	"cmp"
	"slices"
)

// healthySlots returns the total slots of the upstreams in service.
func (s *service) healthySlots() int {
	slots := 0
	for _, u := range s.upstreams {
		if u.state == InService {
			slots += u.spec.Slots
		}
	}
	return slots
}

// requiredSlots returns the capacity that the service must keep in service: the
// floor, or the total slots of upstreams that are not leaving if that is less.
func (s *service) requiredSlots() int {
	slots := 0
	for _, u := range s.upstreams {
		if u.state != Leaving {
			slots += u.spec.Slots
		}
	}
	return min(s.document.FloorSlots, slots)
}

// mayEject reports whether the service keeps its required capacity without the
// upstream.
func (s *service) mayEject(u *upstream) bool {
	return s.healthySlots()-u.spec.Slots >= s.requiredSlots()
}

// enforceFloor reinstates upstreams until the service has its required capacity:
// first those in probation, whose ejection time is over, then the ejected ones,
// each group by lowest score. It runs in the same Apply call as the event that
// removed capacity, so that no published state is below the floor.
func (e *Engine) enforceFloor(s *service) {
	if s.healthySlots() >= s.requiredSlots() {
		return
	}
	candidates := slices.DeleteFunc(slices.Clone(s.upstreams), func(u *upstream) bool {
		return u.state != Ejected && u.state != Probation
	})
	slices.SortStableFunc(candidates, func(a, b *upstream) int {
		if a.state != b.state {
			return cmp.Compare(reinstateOrder(a.state), reinstateOrder(b.state))
		}
		return cmp.Compare(a.score(), b.score())
	})
	for _, u := range candidates {
		if s.healthySlots() >= s.requiredSlots() {
			return
		}
		e.setState(s, u, InService, RuleFloorReinstate, "")
		u.recovery.rampStartedAt = e.now
	}
}

func reinstateOrder(s State) int {
	if s == Probation {
		return 0
	}
	return 1
}
