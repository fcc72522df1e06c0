package health

import (
	"cmp"
	"slices"
)

// healthy returns the slots of the upstreams in service.
func (s *service) healthy() int {
	slots := 0
	for _, u := range s.upstreams {
		if u.state == InService {
			slots += u.spec.Slots
		}
	}
	return slots
}

// required returns the healthy capacity that the service must keep, in slots:
// the floor, or all that is not leaving where that is less.
func (s *service) required() int {
	slots := 0
	for _, u := range s.upstreams {
		if u.state != Leaves {
			slots += u.spec.Slots
		}
	}
	return min(s.document.FloorSlots, slots)
}

// mayEject reports whether the service keeps its floor without the upstream.
func (s *service) mayEject(u *upstream) bool {
	return s.healthy()-u.spec.Slots >= s.required()
}

// holdFloor puts upstreams back in service until the service has its required
// capacity: first those in probation, which have waited, then the ejected ones
// with the lowest score. It runs in the same Apply as whatever took capacity
// away, so that no published state is below the floor.
func (e *Engine) holdFloor(s *service) {
	if s.healthy() >= s.required() {
		return
	}
	out := slices.DeleteFunc(slices.Clone(s.upstreams), func(u *upstream) bool {
		return u.state != Ejected && u.state != Probation
	})
	slices.SortStableFunc(out, func(a, b *upstream) int {
		if a.state != b.state {
			return cmp.Compare(rank(a.state), rank(b.state))
		}
		return cmp.Compare(a.score(), b.score())
	})
	for _, u := range out {
		if s.healthy() >= s.required() {
			return
		}
		e.setState(s, u, InService, RuleFloorReinstate, "")
		u.recovery.rampFrom = e.now
	}
}

func rank(s State) int {
	if s == Probation {
		return 0
	}
	return 1
}
