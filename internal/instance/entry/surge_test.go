package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/entry/upstream"
	"knapweedreel/internal/routing"
	"knapweedreel/internal/slots"
)

// surge is a fleet of instances in one process that share upstreams with few
// slots. Heartbeats carry the requests in flight once per interval.
type surge struct {
	instances, upstreams, slots int
	called                      int // instances that callers use
	work, heartbeat             time.Duration
	controls                    []*fakeControl
	servers                     []*Server
	urls                        []string
	served, shed                atomic.Int64
	goodput                     int64 // served while the load lasted
}

func (g *surge) start(b *testing.B) {
	var ups []routing.Upstream
	var specs []slots.Upstream
	for i := range g.upstreams {
		var running atomic.Int64
		u := standin(b, fmt.Sprint("u", i), func(w http.ResponseWriter, r *http.Request) {
			defer running.Add(-1)
			if running.Add(1) > int64(g.slots) {
				g.shed.Add(1)
				refuse("shed")(w, r)
				return
			}
			select {
			case <-time.After(g.work):
				g.served.Add(1)
			case <-r.Context().Done():
			}
		})
		u.Slots = g.slots
		ups, specs = append(ups, u), append(specs, slots.Upstream{ID: u.ID, Slots: g.slots})
	}
	var members []string
	for i := range g.instances {
		members = append(members, fmt.Sprint("i", i))
	}
	homes := slots.Assign("svc", specs, members)
	for _, m := range members {
		own := append([]routing.Upstream(nil), ups...)
		for i := range own {
			own[i].HomeSlots = homes[m][own[i].ID]
		}
		c := &fakeControl{snap: snapshotOf(testDocument(), own...)}
		s, url := startServer(b, c, nil)
		g.controls, g.servers, g.urls = append(g.controls, c), append(g.servers, s), append(g.urls, url)
	}
}

// exchangeHeartbeats publishes each instance's requests in flight to the others.
func (g *surge) exchangeHeartbeats() {
	counts := make([]map[string]int, len(g.servers))
	total := map[string]int{}
	for i, s := range g.servers {
		counts[i] = map[string]int{}
		for _, in := range s.InFlight() {
			counts[i][in.Upstream.Upstream] = int(in.Count)
			total[in.Upstream.Upstream] += int(in.Count)
		}
	}
	for i, c := range g.controls {
		old := c.Snapshot()
		svc := *old.Services["svc"]
		svc.Upstreams = append([]routing.Upstream(nil), svc.Upstreams...)
		for k := range svc.Upstreams {
			id := svc.Upstreams[k].ID
			svc.Upstreams[k].PeerInFlight = total[id] - counts[i][id]
		}
		snap := *old
		snap.Services = map[string]*routing.Service{"svc": &svc}
		snap.Hosts = snap.Services
		c.mu.Lock()
		c.snap = &snap
		c.mu.Unlock()
	}
}

// load sends requests at a constant rate, whatever the answers take.
func (g *surge) load(ctx context.Context, rate int, kinds *sync.Map) {
	var wg sync.WaitGroup
	defer wg.Wait()
	began := time.Now()
	heartbeat := time.NewTicker(g.heartbeat)
	defer heartbeat.Stop()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for n := 0; ; {
		select {
		case <-ctx.Done():
			g.goodput = g.served.Load()
			return
		case <-heartbeat.C:
			g.exchangeHeartbeats()
		case <-tick.C:
			for due := int(time.Since(began).Seconds() * float64(rate)); n < due; n++ {
				wg.Go(func() { g.call(n, kinds) })
			}
		}
	}
}

func (g *surge) call(n int, kinds *sync.Map) {
	req, err := http.NewRequest(http.MethodGet, g.urls[n%g.called]+"/write/x", nil)
	if err != nil {
		return
	}
	req.Host = "svc"
	req.Header.Set(headerCaller, fmt.Sprint("c", n%97))
	req.Header.Set(headerDeadline, "1000")
	req.Header.Set(upstream.HeaderRequestID, fmt.Sprint("r", n))
	kind := "transport"
	if resp, err := callers.RoundTrip(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		kind = resp.Header.Get(errkind.HeaderError)
	}
	count, _ := kinds.LoadOrStore(kind, new(atomic.Int64))
	count.(*atomic.Int64).Add(1)
}

// BenchmarkSurge reports the goodput, as a share of the slots' capacity, and
// the answers by kind while callers send a multiple of the capacity.
func BenchmarkSurge(b *testing.B) {
	for _, c := range []struct {
		factor float64
		called int
	}{{0.5, 8}, {2, 8}, {10, 8}, {0.9, 1}, {2, 2}} {
		factor := c.factor
		b.Run(fmt.Sprintf("%gx-at-%d-of-8", factor, c.called), func(b *testing.B) {
			g := &surge{instances: 8, called: c.called, upstreams: 6, slots: 3, work: 100 * time.Millisecond, heartbeat: time.Second}
			g.start(b)
			capacity := float64(g.upstreams*g.slots) / g.work.Seconds()
			for b.Loop() {
				g.served.Store(0)
				g.shed.Store(0)
				const d = 4 * time.Second
				ctx, cancel := context.WithTimeout(b.Context(), d)
				var kinds sync.Map
				g.load(ctx, int(factor*capacity), &kinds)
				cancel()
				b.ReportMetric(float64(g.goodput)/(capacity*d.Seconds()), "goodput")
				b.ReportMetric(float64(g.shed.Load())/(capacity*d.Seconds()), "refusals")
				kinds.Range(func(k, v any) bool {
					b.ReportMetric(float64(v.(*atomic.Int64).Load()), "kind-"+k.(string))
					return true
				})
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
