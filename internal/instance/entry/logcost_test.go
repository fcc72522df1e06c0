package entry

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"knapweedreel/internal/telemetry"
)

// Guards against requests that block because the log is not read. The log buffer
// is full before the first request.
func TestRequestsDoNotWaitForTheLog(t *testing.T) {
	unread, stdout := io.Pipe()
	log, end, err := telemetry.NewServiceLogger(stdout, "info", func() {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = unread.Close() // ends the blocked write
		end()
	})
	for i := range 1_000 {
		log.Info(fmt.Sprint("filler", i), zap.String("detail", string(make([]byte, 1<<10))))
	}
	c := &fakeControl{snap: snapshotOf(testDocument(), standin(t, "u1", succeed))}
	_, url := startServer(t, c, func(cfg *Config) { cfg.Log = log })
	began := time.Now()
	for range 100 {
		if resp, _ := roundTrip(t, request(t, http.MethodGet, url+"/read/x", nil)); resp.StatusCode != http.StatusOK {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
	if took := time.Since(began); took > waitTimeout/2 {
		t.Errorf("100 requests took %v", took)
	}
}

// counter counts the bytes and lines written to it.
type counter struct{ bytes, lines atomic.Int64 }

func (c *counter) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	for _, b := range p {
		if b == '\n' {
			c.lines.Add(1)
		}
	}
	return len(p), nil
}

// BenchmarkLog reports the CPU time for each request, including the caller and
// the upstream, with logging alternately on and off, and the bytes and lines
// logged for it: at a rate that is logged in full, and at ten times that rate,
// served and refused.
func BenchmarkLog(b *testing.B) {
	const rate, phase, turns = 250, 2 * time.Second, 3
	for _, load := range []struct {
		name   string
		rate   int
		path   string
		status int
	}{
		{"served", rate, "/read/x", http.StatusOK},
		{"surge-served", 10 * rate, "/read/x", http.StatusOK},
		{"surge-refused", 10 * rate, "/unknown", http.StatusNotFound},
	} {
		b.Run(load.name, func(b *testing.B) {
			var written counter
			log, end, err := telemetry.NewServiceLogger(&written, "info", func() {})
			if err != nil {
				b.Fatal(err)
			}
			c := &fakeControl{snap: snapshotOf(testDocument(), standin(b, "u1", succeed))}
			_, off := startServer(b, c, nil)
			_, on := startServer(b, c, func(cfg *Config) { cfg.Log = log })
			var spent [2]time.Duration
			var sent [2]int
			for b.Loop() {
				for turn := range 2 * turns {
					logs := turn % 2
					before := cpuTime(b)
					sent[logs] += sendAtRate(b, []string{off, on}[logs]+load.path, load.rate, phase, load.status)
					spent[logs] += cpuTime(b) - before
				}
			}
			end()
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(spent[0].Microseconds())/float64(sent[0]), "µs-off")
			b.ReportMetric(float64(spent[1].Microseconds())/float64(sent[1]), "µs-on")
			b.ReportMetric(float64(written.bytes.Load())/float64(sent[1]), "B/request")
			b.ReportMetric(float64(written.lines.Load())/float64(sent[1]), "lines/request")
		})
	}
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// sendAtRate sends requests at a constant rate for d and returns their number.
func sendAtRate(b *testing.B, url string, rate int, d time.Duration, status int) int {
	var wg sync.WaitGroup
	began, tick := time.Now(), time.NewTicker(time.Millisecond)
	defer tick.Stop()
	n := 0
	for time.Since(began) < d {
		<-tick.C
		for due := int(time.Since(began).Seconds() * float64(rate)); n < due; n++ {
			wg.Go(func() {
				req, _ := http.NewRequest(http.MethodGet, url, nil)
				req.Host = "svc"
				resp, err := callers.RoundTrip(req)
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode != status {
					b.Errorf("status %d", resp.StatusCode)
				}
			})
		}
	}
	wg.Wait()
	return n
}
