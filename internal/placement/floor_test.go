package placement

import (
	"testing"
	"time"
)

// The users require a floor of upstreams in use: while a share of a service's
// requests between floorMinFailed and floorMaxFailed fails, at least floorShare
// of its healthy upstreams get requests within floorWindow. An upstream counts
// as healthy from healthyAfter after the end of a fault period.
const (
	floorWindow    = 2 * time.Second
	floorMinFailed = 0.1
	floorMaxFailed = 0.5
	floorShare     = 0.7
	healthyAfter   = 2 * time.Second
)

// belowFloor counts the windows in which at least the share minFailed of the
// requests failed and the floor applies, and how many of them did not meet it.
func belowFloor(r result, minFailed float64, until time.Duration) (below, windows int) {
	const step = 250 * time.Millisecond
	for from := 5 * time.Second; from+floorWindow < until; from += step {
		to := from + floorWindow
		used := make(map[int]bool)
		failed, all := 0, 0
		for _, s := range r.sends {
			if s.at >= from && s.at < to {
				used[s.upstream] = true
				all++
				if s.failed {
					failed++
				}
			}
		}
		share := float64(failed) / float64(all)
		if share < minFailed || share >= floorMaxFailed {
			continue
		}
		healthy, healthyUsed := 0, 0
		for i, transitions := range r.transitions {
			if !healthyDuring(transitions, from-healthyAfter, to) {
				continue
			}
			healthy++
			if used[i] {
				healthyUsed++
			}
		}
		if healthy < 3 {
			continue
		}
		windows++
		if float64(healthyUsed) < floorShare*float64(healthy) {
			below++
		}
	}
	return below, windows
}

func healthyDuring(transitions []time.Duration, from, to time.Duration) bool {
	if faultyAt(transitions, from) {
		return false
	}
	for _, change := range transitions {
		if change > from && change <= to {
			return false
		}
	}
	return true
}

// replayRegions replays a load in three regions with their own upstreams and
// trackers, and counts the windows of the service as a whole.
func replayRegions(l load, minFailed float64) (below, windows int, sum result) {
	const regions, seeds = 3, 4
	for seed := range uint64(seeds) {
		var service result
		for region := range uint64(regions) {
			tr := NewTracker(DefaultModel())
			r := l.replay(seed*regions+region, tr, l.choose(tr))
			for _, s := range r.sends {
				s.upstream += len(service.transitions)
				service.sends = append(service.sends, s)
			}
			service.transitions = append(service.transitions, r.transitions...)
			sum = sum.plus(r)
		}
		b, w := belowFloor(service, minFailed, time.Duration(l.seconds)*time.Second)
		below, windows = below+b, windows+w
	}
	return below, windows, sum
}

func floorLoad(name string, upstreams, slots int, perSecond float64, healthy time.Duration) load {
	return load{
		name: name, upstreams: upstreams, slots: slots, perSecond: perSecond, seconds: 30,
		meanHealthy: healthy, meanFaulty: 7 * time.Second, hangShare: 0.75, burst: 1, deadline: 5 * time.Second,
	}
}

func checkFloor(t *testing.T, minFailed float64, loads ...load) {
	t.Helper()
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			below, windows, sum := replayRegions(l, minFailed)
			t.Logf("below the floor %d of %d windows, failed %.4f, refused %d", below, windows, sum.failedShare(), sum.refused)
			if below > 0 || windows == 0 {
				t.Errorf("below the floor in %d of %d windows", below, windows)
			}
		})
	}
}

// Guards against healthy upstreams that get no requests for seconds while
// requests fail. The services have a low load in three regions, so that a few
// upstreams could serve all requests. All instances may crash at any moment,
// which fails their requests in flight, so services with many upstreams have to
// meet the floor in every window, whatever share of the requests fails in it.
func TestReplayFloor(t *testing.T) {
	checkFloor(t, floorMinFailed, floorLoad("few upstreams", 5, 6, 18, 20*time.Second))
	checkFloor(t, 0,
		floorLoad("many upstreams", 33, 3, 100, 20*time.Second),
		floorLoad("many upstreams, often faulty", 33, 3, 100, 10*time.Second),
		floorLoad("very many upstreams", 76, 6, 280, 20*time.Second),
	)
}

// Guards against healthy upstreams that get no requests for seconds while
// requests fail, in services with little more than one request per second and
// upstream. KNOWN-RED.txt lists it.
func TestReplayFloorAtFewRequests(t *testing.T) {
	checkFloor(t, floorMinFailed,
		floorLoad("few requests", 8, 6, 11, 20*time.Second),
		floorLoad("few requests, often faulty", 8, 6, 11, 10*time.Second),
	)
}

// Guards against upstreams whose slots are kept free for urgent requests and that
// therefore get none while requests fail. One request in two or in 30 is urgent; the
// few urgent ones have long work, so that two thirds of the slots are kept free. As
// in TestReplayFloor every window counts, whatever share of the requests fails in it.
func TestReplayFloorWithKeptSlots(t *testing.T) {
	l := floorLoad("many upstreams", 33, 3, 100, 20*time.Second)
	for _, tc := range []struct {
		every int     // one request of so many is urgent
		slots float64 // that these need
	}{{2, 20}, {30, 60}} {
		below, windows, failed, all := 0, 0, 0, 0
		for seed := range uint64(4) {
			tr := NewTracker(DefaultModel())
			times := tr.ResponseTimes("r", medianTime)
			n := 0
			r := l.replay(seed, tr, func(c []Candidate, waited time.Duration, now time.Time) (int, bool) {
				req := Request{MayWait: waited < times.MaxWait()}
				if n%tc.every != 0 {
					req.Headroom = Headroom{Urgent: true, Slots: tc.slots}
				}
				got, ok := tr.Choose(c, nil, req, now)
				if ok {
					n++
				}
				return got.Index, ok
			})
			b, w := belowFloor(r, 0, time.Duration(l.seconds)*time.Second)
			below, windows, failed, all = below+b, windows+w, failed+r.failed, all+r.failed+r.served
		}
		t.Logf("one of %d urgent: below the floor %d of %d windows, failed %.4f", tc.every, below, windows, float64(failed)/float64(all))
		if below > 0 || windows == 0 {
			t.Errorf("one of %d urgent: below the floor in %d of %d windows", tc.every, below, windows)
		}
	}
}
