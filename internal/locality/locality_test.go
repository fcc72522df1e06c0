package locality

import (
	"math"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

// region is a region in a replay of the loads of several regions as flows.
type region struct {
	slots   float64
	demand  func(at time.Duration) float64 // requests per second
	planner Planner
	load    float64 // requests running and waiting
}

// Parameters of a replay.
const (
	step     = 50 * time.Millisecond
	duration = 60 * time.Second
	meanTime = 400 * time.Millisecond
)

// outcome sums up a replay.
type outcome struct {
	left, all float64 // requests
	wait      float64 // mean wait of a request in seconds
	turns     int     // changes of direction of a share by more than a tenth
}

// replay lets requests flow into regions and, by the shares of their planners, to
// other regions. lost drops the reports of other regions.
func replay(in Input, lost bool, regions ...*region) outcome {
	var o outcome
	extremes := make([]float64, len(regions))
	rising := make([]bool, len(regions))
	for at := time.Duration(0); at < duration; at += step {
		now := epoch.Add(at)
		arrivals := make([]float64, len(regions))
		for i, r := range regions {
			in.Local, in.Remote = Pool{r.slots, r.load}, nil
			for j, other := range regions {
				if j != i && !lost {
					in.Remote = append(in.Remote, Pool{other.slots, other.load})
				}
			}
			r.planner.Update(in, now)
			share := r.planner.Share()
			if rising[i] && share < extremes[i]-0.1 || !rising[i] && share > extremes[i]+0.1 {
				o.turns++
				rising[i], extremes[i] = !rising[i], share
			} else if rising[i] == (share > extremes[i]) {
				extremes[i] = share
			}
			n := r.demand(at) * step.Seconds()
			o.all += n
			o.left += n * share
			arrivals[i] += n * (1 - share)
			for j := range regions {
				if j != i {
					arrivals[j] += n * share / float64(len(regions)-1)
				}
			}
		}
		for i, r := range regions {
			o.wait += arrivals[i] * max(0, r.load-r.slots) / r.slots * meanTime.Seconds()
			r.load += arrivals[i] - min(r.load, r.slots)*step.Seconds()/meanTime.Seconds()
		}
	}
	o.wait /= o.all
	return o
}

func constant(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// input has small requests and a usual objective.
func input() Input { return Input{MeanTime: meanTime, Objective: 1200 * time.Millisecond, Price: 0.09} }

// Guards against callers that wait in a region that is short of slots while other
// regions have free ones.
func TestRequestsLeaveAFullRegion(t *testing.T) {
	run := func(lost bool) outcome {
		return replay(input(), lost,
			&region{slots: 40, demand: constant(130)}, // capacity 100/s
			&region{slots: 40, demand: constant(50)},
			&region{slots: 40, demand: constant(50)})
	}
	got, alone := run(false), run(true)
	t.Logf("%.0f of %.0f left, mean wait %.3f s; %.3f s if none leaves", got.left, got.all, got.wait, alone.wait)
	if got.wait > 0.15 || alone.wait < 1 {
		t.Errorf("mean wait %.3f s, %.3f s if none leaves", got.wait, alone.wait)
	}
	if excess := 30.0 / 230; got.left < 0.9*excess*got.all || got.left > 1.7*excess*got.all {
		t.Errorf("%.0f of %.0f requests left", got.left, got.all)
	}
}

// Guards against regions that exchange requests although all of them are full,
// which costs bytes and serves nobody sooner.
func TestNoneLeavesIfAllRegionsAreFull(t *testing.T) {
	got := replay(input(), false,
		&region{slots: 40, demand: constant(130)},
		&region{slots: 44, demand: constant(143)},
		&region{slots: 36, demand: constant(117)})
	if got.left > 0.01*got.all {
		t.Errorf("%.0f of %.0f requests left", got.left, got.all)
	}
}

// Guards against requests that leave regions with free slots.
func TestNoneLeavesWithoutNeed(t *testing.T) {
	got := replay(input(), false,
		&region{slots: 40, demand: constant(85)}, &region{slots: 40, demand: constant(30)}, &region{slots: 40, demand: constant(50)})
	if got.left > 0 {
		t.Errorf("%.0f of %.0f requests left", got.left, got.all)
	}
}

// Guards against shares that swing instead of following a demand that moves from
// region to region.
func TestSharesFollowDemandOutOfPhase(t *testing.T) {
	wave := func(phase float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			return 80 * (1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/17+phase)))
		}
	}
	run := func(lost bool) outcome {
		return replay(input(), lost,
			&region{slots: 40, demand: wave(0)}, &region{slots: 40, demand: wave(1.0 / 3)}, &region{slots: 40, demand: wave(2.0 / 3)})
	}
	got, alone := run(false), run(true)
	t.Logf("%.0f of %.0f left, mean wait %.3f s, %d turns; %.3f s if none leaves", got.left, got.all, got.wait, got.turns, alone.wait)
	if got.wait > alone.wait/2 {
		t.Errorf("mean wait %.3f s, %.3f s if none leaves", got.wait, alone.wait)
	}
	// Each region has between three and four peaks, and each takes two turns.
	if got.turns > 24 {
		t.Errorf("the shares changed direction %d times", got.turns)
	}
}

// Guards against a price without effect: large responses leave later than small
// ones, and an urgent request sooner than one that can wait.
func TestPriceAndObjectiveDecide(t *testing.T) {
	share := func(price float64, objective time.Duration) float64 {
		in := Input{MeanTime: meanTime, Objective: objective, Price: price, Local: Pool{40, 60}, Remote: []Pool{{40, 20}}}
		return in.wanted(false)
	}
	cheap, costly := share(0.05, time.Second), share(0.15, time.Second)
	if cheap <= costly || costly <= 0 {
		t.Errorf("share %.2f at a low price, %.2f at a higher one", cheap, costly)
	}
	if got := share(0.5, time.Second); got != 0 {
		t.Errorf("share %.2f although leaving costs more than it gains", got)
	}
	if urgent, patient := share(0.09, 500*time.Millisecond), share(0.09, 4*time.Second); urgent <= patient {
		t.Errorf("share %.2f of urgent requests, %.2f of patient ones", urgent, patient)
	}
}

// Guards against requests that stay in a region without usable upstreams, and
// against division by zero in empty regions.
func TestRegionsWithoutSlots(t *testing.T) {
	in := input()
	in.Local, in.Remote = Pool{0, 5}, []Pool{{40, 10}, {0, 0}}
	if got := in.wanted(false); got < 0.7 {
		t.Errorf("share %.2f of a region without slots", got)
	}
	in.Remote = []Pool{{0, 0}}
	if got := in.wanted(false); got != 0 {
		t.Errorf("share %.2f toward a region without slots", got)
	}
	var p Planner
	p.Update(Input{MeanTime: meanTime, Objective: time.Second}, epoch)
	if p.Share() != 0 {
		t.Errorf("share %.2f without any load", p.Share())
	}
}
