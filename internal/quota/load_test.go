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
		for i, n := range []int{6, 12, 6, 12} {
			queued, most := 0.0, 1.0/20
			if i >= 2 { // transferred tokens may lapse in the queue
				queued, most = 0.1, 1.0/10
			}
			t.Run(fmt.Sprintf("%v/s over %d, %v queued", limit.Rate, n, queued), func(t *testing.T) {
				arrived, refused, central, messages := 0, 0, 0, 0
				for seed := range uint64(6) {
					s := newSimulation(seed, n, 3, limit)
					s.queued = queued
					s.setDemand(0.62*limit.Rate, unequal)
					s.run(30 * time.Second)
					s.checkBound(t)
					arrived, refused, central, messages = arrived+s.arrived, refused+s.refused, central+s.refusedCentrally, messages+s.messages
				}
				t.Logf("%d of %d refused, %d by a single bucket, %.1f messages/s", refused, arrived, central, float64(messages)/(6*30))
				if float64(refused) > most*float64(central) {
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
		for i, n := range []int{6, 12, 30, 6, 12, 30} {
			// The account is on its own, so no request is queued. Otherwise, some of the
			// transferred tokens lapse in the queue.
			queued, want := 0.0, 0.95
			if i >= 3 {
				queued, want = 0.1, 0.9
			}
			if n == 30 && min(limit.Rate, limit.Burst) < 100 {
				// The parts of tokens that lapse and the small buckets cost more.
				want -= 0.1
			}
			t.Run(fmt.Sprintf("%v/s burst %v over %d, %v queued", limit.Rate, limit.Burst, n, queued), func(t *testing.T) {
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
					s.loss, s.jitter, s.queued = 0.01, 3*time.Millisecond, queued
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
