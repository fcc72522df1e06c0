package entry

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/routing"
	"knapweedreel/internal/slots"
)

// surgeFleet is a fleet of instances in one process that share upstreams with
// few slots. Their requests in flight are exchanged once a second.
type surgeFleet struct {
	controls       []*fakeControl
	servers        []*Server
	urls           []string
	served, shed   atomic.Int64 // at the upstreams
	refusedCallers atomic.Int64 // callers that got the error kind upstream-refused
}

const (
	surgeInstances, surgeUpstreams, surgeSlots = 8, 6, 3
	surgeWork                                  = 100 * time.Millisecond
	surgeCapacity                              = surgeUpstreams * surgeSlots * 10 // requests a second
)

func newSurgeFleet(b *testing.B) *surgeFleet {
	g := new(surgeFleet)
	var ups []routing.Upstream
	var specs []slots.Upstream
	for i := range surgeUpstreams {
		var running atomic.Int64
		u := standin(b, fmt.Sprint("u", i), func(w http.ResponseWriter, r *http.Request) {
			defer running.Add(-1)
			if running.Add(1) > surgeSlots {
				g.shed.Add(1)
				refuse("shed")(w, r)
				return
			}
			select {
			case <-time.After(surgeWork):
				g.served.Add(1)
			case <-r.Context().Done():
			}
		})
		u.Slots = surgeSlots
		ups, specs = append(ups, u), append(specs, slots.Upstream{ID: u.ID, Slots: u.Slots})
	}
	members := []string{"i0", "i1", "i2", "i3", "i4", "i5", "i6", "i7"}
	homes := slots.Assign("svc", specs, members)
	for _, m := range members {
		assigned := slices.Clone(ups)
		for i := range assigned {
			assigned[i].HomeSlots = homes[m][assigned[i].ID]
		}
		c := &fakeControl{snap: snapshotOf(testDocument(), assigned...)}
		s, url := startServer(b, c, nil)
		g.controls, g.servers, g.urls = append(g.controls, c), append(g.servers, s), append(g.urls, url)
	}
	return g
}

// exchangeHeartbeats sends each instance's requests in flight to the others.
func (g *surgeFleet) exchangeHeartbeats() {
	total, ownInFlight := map[string]int{}, make([]map[string]int, len(g.servers))
	for i, s := range g.servers {
		ownInFlight[i] = map[string]int{}
		for _, in := range s.InFlight() {
			ownInFlight[i][in.Upstream.Upstream] = int(in.Count)
			total[in.Upstream.Upstream] += int(in.Count)
		}
	}
	for i, c := range g.controls {
		ups := slices.Clone(c.Snapshot().Services["svc"].Upstreams)
		for k := range ups {
			ups[k].PeerInFlight = total[ups[k].ID] - ownInFlight[i][ups[k].ID]
		}
		c.mu.Lock()
		c.snap = snapshotOf(testDocument(), ups...)
		c.mu.Unlock()
	}
}

// load sends requests at a constant rate, independent of response times, to the
// first instances until ctx is done, and returns the number served by then.
func (g *surgeFleet) load(ctx context.Context, rate float64, called int) int64 {
	var wg sync.WaitGroup
	defer wg.Wait()
	began, heartbeat, tick := time.Now(), time.NewTicker(time.Second), time.NewTicker(time.Millisecond)
	defer heartbeat.Stop()
	defer tick.Stop()
	for n := 0; ; {
		select {
		case <-ctx.Done():
			return g.served.Load()
		case <-heartbeat.C:
			g.exchangeHeartbeats()
		case <-tick.C:
			for due := int(time.Since(began).Seconds() * rate); n < due; n++ {
				wg.Go(func() { g.call(g.urls[n%called], fmt.Sprint("c", n%97)) })
			}
		}
	}
}

func (g *surgeFleet) call(url, caller string) {
	req, _ := http.NewRequest(http.MethodGet, url+"/write/x", nil)
	req.Host = "svc"
	req.Header.Set(headerCaller, caller)
	req.Header.Set(headerDeadline, "1000")
	if resp, err := callers.RoundTrip(req); err == nil {
		if resp.Header.Get(errkind.HeaderError) == string(errkind.UpstreamRefused) {
			g.refusedCallers.Add(1)
		}
		_ = resp.Body.Close()
	}
}

// BenchmarkSurge reports goodput and refusals as shares of the slots' capacity
// while callers send a multiple of that capacity to some of the instances.
func BenchmarkSurge(b *testing.B) {
	for _, c := range []struct {
		factor float64
		called int
	}{{0.5, 8}, {2, 8}, {10, 8}, {0.9, 1}, {2, 2}} {
		b.Run(fmt.Sprintf("%gx-at-%d-of-%d", c.factor, c.called, surgeInstances), func(b *testing.B) {
			for b.Loop() {
				const d = 4 * time.Second
				g := newSurgeFleet(b)
				ctx, cancel := context.WithTimeout(b.Context(), d)
				served := g.load(ctx, c.factor*surgeCapacity, c.called)
				cancel()
				b.ReportMetric(float64(served)/(surgeCapacity*d.Seconds()), "goodput")
				b.ReportMetric(float64(g.shed.Load())/(surgeCapacity*d.Seconds()), "refusals")
				b.ReportMetric(float64(g.refusedCallers.Load()), "upstream-refused")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
