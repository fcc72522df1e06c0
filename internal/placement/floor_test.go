package placement

import (
	"testing"
	"time"
)

// The floor of the users' rules: while a service loses more than floorLoss of
// its requests, but under floorMost, floorShare of its sound upstreams get
// requests within floorWindow. An upstream is sound from soundAfter on after a
// spell.
const (
	floorWindow = 2 * time.Second
	floorLoss   = 0.1
	floorMost   = 0.5
	floorShare  = 0.7
	soundAfter  = 2 * time.Second
)

// belowFloor counts the windows with at least the given share of losses that had
// to meet the floor, and those that did not.
func belowFloor(r result, least float64, until time.Duration) (below, windows int) {
	const step = 250 * time.Millisecond
	for from := 5 * time.Second; from+floorWindow < until; from += step {
		to := from + floorWindow
		used := make(map[int]bool)
		lost, all := 0, 0
		for _, s := range r.sends {
			if s.at >= from && s.at < to {
				used[s.upstream] = true
				all++
				if s.lost {
					lost++
				}
			}
		}
		share := float64(lost) / float64(all)
		if share < least || share >= floorMost {
			continue
		}
		sound, soundUsed := 0, 0
		for i, spells := range r.spells {
			if !soundIn(spells, from-soundAfter, to) {
				continue
			}
			sound++
			if used[i] {
				soundUsed++
			}
		}
		if sound < 3 {
			continue
		}
		windows++
		if float64(soundUsed) < floorShare*float64(sound) {
			below++
		}
	}
	return below, windows
}

func soundIn(spells []time.Duration, from, to time.Duration) bool {
	if faultyAt(spells, from) {
		return false
	}
	for _, change := range spells {
		if change > from && change <= to {
			return false
		}
	}
	return true
}

// floorOf replays a load in each of three regions, which have upstreams and
// trackers of their own, and looks at the service as a whole.
func floorOf(l load, least float64) (below, windows int, sum result) {
	const regions, seeds = 3, 4
	for seed := range uint64(seeds) {
		var service result
		for region := range uint64(regions) {
			tr := NewTracker(DefaultModel())
			r := l.replay(seed*regions+region, tr, l.placed(tr))
			for _, s := range r.sends {
				s.upstream += len(service.spells)
				service.sends = append(service.sends, s)
			}
			service.spells = append(service.spells, r.spells...)
			sum = sum.plus(r)
		}
		b, w := belowFloor(service, least, time.Duration(l.seconds)*time.Second)
		below, windows = below+b, windows+w
	}
	return below, windows, sum
}

func floorLoad(name string, upstreams, slots int, perSecond float64, healthy time.Duration) load {
	return load{
		name: name, upstreams: upstreams, slots: slots, perSecond: perSecond, seconds: 30,
		healthy: healthy, faulty: 7 * time.Second, hang: 0.75, clump: 1, deadline: 5 * time.Second,
	}
}

func checkFloor(t *testing.T, least float64, loads ...load) {
	t.Helper()
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			below, windows, sum := floorOf(l, least)
			t.Logf("below the floor %d of %d windows, lost %.4f, refused %d", below, windows, sum.lostShare(), sum.refused)
			if below > 0 || windows == 0 {
				t.Errorf("below the floor in %d of %d windows", below, windows)
			}
		})
	}
}

// Guards against sound upstreams that get nothing for seconds while requests are
// lost. The loads are those of services at low load in three regions, in which
// few upstreams could serve all requests. All instances may be lost at any
// moment, and the requests in flight with them, so that services with many
// upstreams have to meet the floor in each window, whatever is lost in it.
func TestReplayFloor(t *testing.T) {
	checkFloor(t, floorLoss, floorLoad("few upstreams", 5, 6, 18, 20*time.Second))
	checkFloor(t, 0,
		floorLoad("many upstreams", 33, 3, 100, 20*time.Second),
		floorLoad("many upstreams, often faulty", 33, 3, 100, 10*time.Second),
		floorLoad("very many upstreams", 76, 6, 280, 20*time.Second),
	)
}

// Guards against the same in services with hardly more than one request a
// second for each upstream. KNOWN-RED.txt lists it.
func TestReplayFloorAtFewRequests(t *testing.T) {
	checkFloor(t, floorLoss,
		floorLoad("few requests", 8, 6, 11, 20*time.Second),
		floorLoad("few requests, often faulty", 8, 6, 11, 10*time.Second),
	)
}
