package quota

import (
	"fmt"
	"testing"
	"time"
)

// Guards against refusals of an account within its limit, at large and small
// accounts: a single bucket may refuse some requests of a small account, whose
// arrivals vary more than its burst allows, and the fleet may refuse no more.
func TestNothingIsRefusedAtUsualLoad(t *testing.T) {
	for _, limit := range []Limit{{1, 1}, {2, 2}, {5, 5}, {20, 20}, {244, 244}} {
		for _, n := range []int{6, 12} {
			t.Run(fmt.Sprintf("%v/s over %d", limit.Rate, n), func(t *testing.T) {
				arrived, refused, central, messages := 0, 0, 0, 0
				for seed := range uint64(6) {
					s := newSimulation(seed, n, 3, limit)
					s.setDemand(0.62*limit.Rate, unequal)
					s.run(30 * time.Second)
					s.checkBound(t)
					arrived, refused, central, messages = arrived+s.arrived, refused+s.refused, central+s.refusedCentrally, messages+s.messages
				}
				t.Logf("%d of %d refused, %d by a single bucket, %.1f messages/s", refused, arrived, central, float64(messages)/(6*30))
				if refused > central/20 {
					t.Errorf("%d of %d requests refused, %d by a single bucket", refused, arrived, central)
				}
			})
		}
	}
}

// Guards against tokens that stay in a region whose callers have moved to another
// one.
func TestTokensFollowTheDemand(t *testing.T) {
	for _, limit := range []Limit{{20, 20}, {244, 244}, {244, 50}, {1000, 1000}} {
		for _, n := range []int{6, 12, 30} {
			t.Run(fmt.Sprintf("%v/s burst %v over %d", limit.Rate, limit.Burst, n), func(t *testing.T) {
				in := func(region int) func(*node) float64 {
					return func(n *node) float64 {
						if n.region != region {
							return 0
						}
						return 1
					}
				}
				const measured = 5
				seeds := uint64(2)
				if limit.Rate < 100 {
					seeds = 16 // few requests vary more
				}
				admitted, messages := 0, 0
				for seed := range seeds {
					s := newSimulation(seed, n, 3, limit)
					s.loss, s.jitter = 0.01, 3*time.Millisecond
					s.setDemand(1.5*limit.Rate, in(0))
					s.run(6 * time.Second)
					s.setDemand(1.5*limit.Rate, in(1))
					s.run(2 * time.Second)
					s.reset()
					s.messages = 0
					s.run(measured * time.Second)
					s.checkBound(t)
					admitted, messages = admitted+s.admitted, messages+s.messages
				}
				got := float64(admitted) / float64(seeds*measured)
				t.Logf("%.1f/s of %.1f/s, %.1f messages/s", got, limit.Rate, float64(messages)/float64(seeds*measured))
				// Over 30 instances, the parts of tokens that lapse and the small buckets
				// cost more at a small account or burst.
				want := 0.95
				if n == 30 && min(limit.Rate, limit.Burst) < 100 {
					want = 0.85
				}
				if got < want*limit.Rate {
					t.Errorf("%.1f requests/s admitted after the demand moved, limit %v", got, limit.Rate)
				}
			})
		}
	}
}

// Guards against an account that gets more than its limit, or less than it, when
// it sends nine times its usual rate.
func TestReplayNineTimesTheUsualRate(t *testing.T) {
	for _, limit := range []Limit{{2, 2}, {20, 20}, {244, 244}} {
		t.Run(fmt.Sprintf("%v/s", limit.Rate), func(t *testing.T) {
			s := newSimulation(1, 12, 3, limit)
			s.setDemand(0.62*limit.Rate, unequal)
			s.run(5 * time.Second)
			s.setDemand(9*0.62*limit.Rate, unequal)
			s.run(2 * time.Second)
			s.reset()
			s.messages = 0
			s.run(20 * time.Second)
			s.checkBound(t)
			got := float64(s.admitted) / 20
			t.Logf("%.1f/s of %.1f/s, %.1f messages/s, at most %d in a window, bound %.1f", got, limit.Rate, float64(s.messages)/20, s.most(), s.bound())
			if got < 0.9*limit.Rate {
				t.Errorf("%.1f requests/s admitted at nine times the usual rate, limit %v", got, limit.Rate)
			}
			s.setDemand(0.62*limit.Rate, unequal)
			s.run(5 * time.Second)
			s.reset()
			s.run(20 * time.Second)
			if s.refused > s.arrived/100 {
				t.Errorf("%d of %d requests refused after the rate returned to the usual one", s.refused, s.arrived)
			}
		})
	}
}
