package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// disturb changes the fleet at random.
func (s *simulation) disturb(rt *rapid.T) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(rt, "node")]
	switch rapid.SampledFrom([]string{"kill", "pause", "serve", "demand", "cut", "limit", "none"}).Draw(rt, "event") {
	case "kill":
		if n.alive {
			n.alive, n.waiting, n.held = false, nil, nil
			n.rejoinAt = s.now + time.Duration(rapid.IntRange(500, 8000).Draw(rt, "down"))*time.Millisecond
		}
	case "pause":
		if n.alive {
			n.pausedTo = s.now + time.Duration(rapid.IntRange(100, 8000).Draw(rt, "pause"))*time.Millisecond
		}
	case "serve":
		n.serving = !n.serving
		s.publish(s.viewDelay)
	case "demand":
		region := rapid.IntRange(0, 3).Draw(rt, "region")
		s.setDemand(4*s.limit.Rate, func(n *node) float64 {
			if n.region == region || region == 3 {
				return unequal(n)
			}
			return 0.01
		})
	case "cut":
		s.cut = !s.cut
	}
}

// rejoin starts the processes whose time has come.
func (s *simulation) rejoin() {
	for _, n := range s.nodes {
		if !n.alive && n.rejoinAt <= s.now {
			s.start(n)
			s.publish(s.viewDelay)
		}
	}
}

// Guards against more requests than the bound allows, whatever is lost, repeated,
// delayed, killed, paused or changed.
func TestBoundHoldsUnderDisturbances(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.SampledFrom([]float64{1, 3, 20, 60}).Draw(rt, "rate")
		limit := Limit{Rate: rate, Burst: rate * rapid.SampledFrom([]float64{0, 0.2, 1, 2}).Draw(rt, "burst")}
		s := newSimulation(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(3, 12).Draw(rt, "instances"), 3, limit)
		s.loss = rapid.Float64Range(0, 0.5).Draw(rt, "loss")
		s.duplication = rapid.Float64Range(0, 0.5).Draw(rt, "duplication")
		s.jitter = time.Duration(rapid.IntRange(0, 400).Draw(rt, "jitter")) * time.Millisecond
		s.setDemand(4*limit.Rate, unequal)
		if rapid.Bool().Draw(rt, "quiet first") {
			s.setDemand(0.1*limit.Rate, unequal)
		}
		for range rapid.IntRange(1, 8).Draw(rt, "events") {
			s.disturb(rt)
			for range rapid.IntRange(1, 12).Draw(rt, "time") {
				s.run(100 * time.Millisecond)
				s.rejoin()
			}
		}
		s.setDemand(4*limit.Rate, unequal)
		s.run(3 * time.Second)
		s.checkBound(rt)
	})
}

// Guards against a burst that is admitted twice when all instances restart or
// resume after a pause.
func TestBoundHoldsWhenTheFleetStartsAgain(t *testing.T) {
	for _, limit := range []Limit{{20, 20}, {244, 244}, {20, 100}, {20, 0}} {
		s := newSimulation(1, 12, 3, limit)
		s.run(5 * time.Second) // fills the buckets
		s.setDemand(8*limit.Rate, unequal)
		s.run(time.Second)
		for _, n := range s.nodes {
			s.start(n)
		}
		s.publish(s.viewDelay)
		s.run(5 * time.Second)
		s.checkBound(t)

		s = newSimulation(2, 12, 3, limit)
		s.run(5 * time.Second)
		s.setDemand(8*limit.Rate, unequal)
		s.run(time.Second)
		for i, n := range s.nodes {
			if n.serving = i%2 == 0; !n.serving {
				n.pausedTo = s.now + 3*time.Second
			}
		}
		s.publish(s.viewDelay) // those that are paused receive it after they resume
		s.run(5 * time.Second)
		s.checkBound(t)
	}
}

// Guards against a lowered limit that doesn't become binding one window after all
// instances have it.
func TestLoweredLimitBecomesBinding(t *testing.T) {
	s := newSimulation(1, 12, 3, Limit{200, 200})
	s.run(5 * time.Second)
	s.setDemand(500, unequal)
	s.run(time.Second)
	s.limit, s.version = Limit{10, 10}, 2
	s.run(testConfig.Window)
	s.sent = nil
	s.run(2 * testConfig.Window)
	s.checkBound(t)
	if most := s.most(); most < 40 {
		t.Errorf("%d requests in a window after the limit was lowered to 10/s", most)
	}
}

// Guards against a region that refuses everything, or admits more than its share,
// while it is cut off from the others.
func TestRegionsKeepTheirSharesWhenCutOff(t *testing.T) {
	s := newSimulation(1, 12, 3, Limit{60, 60})
	s.cut = true
	s.setDemand(240, func(*node) float64 { return 1 })
	s.run(3 * time.Second)
	s.reset()
	s.run(10 * time.Second)
	s.checkBound(t)
	if got := float64(s.admitted) / 10; got < 0.9*60 {
		t.Errorf("%.1f requests/s admitted in regions without contact, limit 60", got)
	}
}
