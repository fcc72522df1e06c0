package proofs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"knapweedreel/internal/document"
)

// loadProfile describes the requests of one case of BenchmarkAddedLatency.
type loadProfile struct {
	name string
	rate int // requests/s
	path string
	body int // bytes of the request body
}

// BenchmarkAddedLatency compares requests through an instance with requests sent
// directly to the same upstreams, at the same time and rate. It reports the
// difference of the latency percentiles in milliseconds.
func BenchmarkAddedLatency(b *testing.B) {
	f := newFleet(b, options{instances: 1, services: []serviceSpec{{
		name: "lookups", upstreams: 6, slots: 64, workMS: 2,
		change: func(d *document.Document) { d.FloorSlots = 0 },
	}}})
	for _, profile := range []loadProfile{
		{"small-70", 70, "/lookup", 0},
		{"small-2000", 2000, "/lookup", 0},
		{"answer-1MB-70", 70, "/bytes/1000000", 0},
		{"upload-1MB-70", 70, "/upload", 1_000_000},
		{"answer-1MB-500", 500, "/bytes/1000000", 0},
	} {
		b.Run(profile.name, func(b *testing.B) {
			for b.Loop() {
				f.compareLatency(b, profile, 15*time.Second)
			}
		})
	}
}

func (f *fleet) compareLatency(b *testing.B, profile loadProfile, d time.Duration) {
	through := hdrhistogram.New(1, 60_000_000, 3)
	direct := hdrhistogram.New(1, 60_000_000, 3)
	upstreams := f.upstreams["lookups"]
	r := request{host: "lookups.example", method: "GET", path: profile.path}
	if profile.body > 0 {
		r.method, r.body = "POST", make([]byte, profile.body)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		sendAtRate(b.Context(), profile.rate, d, through, func(int) request { r := r; r.address = f.instances[0].entry; return r })
	})
	wg.Go(func() {
		sendAtRate(b.Context(), profile.rate, d, direct, func(i int) request {
			r := r
			r.address = upstreams[i%len(upstreams)].address
			return r
		})
	})
	wg.Wait()
	for _, p := range []float64{50, 95, 99, 99.9} {
		added := float64(through.ValueAtPercentile(p)-direct.ValueAtPercentile(p)) / 1000
		b.ReportMetric(added, fmt.Sprintf("added-ms-p%g", p))
		b.ReportMetric(float64(direct.ValueAtPercentile(p))/1000, fmt.Sprintf("direct-ms-p%g", p))
	}
	b.ReportMetric(float64(through.TotalCount()), "requests")
	b.ReportMetric(0, "ns/op")
}

// sendAtRate sends requests at a mean rate with exponential gaps, independent of
// response times. It records the times of served requests in microseconds and
// returns the number of failed ones.
func sendAtRate(ctx context.Context, rate int, d time.Duration, h *hdrhistogram.Histogram, next func(i int) request) (failed int) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	rng := rand.New(rand.NewPCG(*seedFlag, uint64(rate)))
	c := newCaller(fmt.Sprintf("rate%d", rate))
	var mu sync.Mutex
	var wg sync.WaitGroup
	due := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / float64(rate) * float64(time.Second)))
		if wait := time.Until(due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
		}
		wg.Go(func() {
			resp := c.do(context.WithoutCancel(ctx), next(i))
			mu.Lock()
			defer mu.Unlock()
			if !resp.served() {
				failed++
				return
			}
			_ = h.RecordValue(resp.took.Microseconds())
		})
	}
	wg.Wait()
	return failed
}
