package proofs

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// clockTick is the unit of processor times in /proc on every Linux platform that
// Go supports.
const clockTick = 10 * time.Millisecond

// usage is the resource use of all instances together, and the traffic of the
// loopback interface.
type usage struct {
	at         time.Time
	cpu        time.Duration
	resident   int64 // bytes, sum over the instances
	loopback   int64 // bytes sent over the loopback interface
	storeCalls map[string]int
}

func (f *fleet) usage() usage {
	u := usage{at: time.Now(), loopback: loopbackBytes(f.t), storeCalls: f.storeCallCounts()}
	for _, in := range f.live() {
		u.cpu += processorTime(f.t, in.cmd.Process.Pid)
		u.resident += residentBytes(f.t, in.cmd.Process.Pid)
	}
	return u
}

func processorTime(t testing.TB, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	// The fields after the name in parentheses; utime and stime are the 14th
	// and 15th of all.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+2:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick
}

func residentBytes(t testing.TB, pid int) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		t.Fatal(err)
	}
	pages, _ := strconv.ParseInt(strings.Fields(string(text))[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

func loopbackBytes(t testing.TB) int64 {
	t.Helper()
	text, err := os.ReadFile("/sys/class/net/lo/statistics/tx_bytes")
	if err != nil {
		t.Fatal(err)
	}
	n, _ := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	return n
}

// storeCallCounts returns the number of calls to the store by kind.
func (f *fleet) storeCallCounts() map[string]int {
	counts := make(map[string]int)
	for kind, n := range f.storeCalls() {
		if count, ok := n.(float64); ok {
			counts[kind] = int(count)
		}
	}
	return counts
}

// BenchmarkControlCost measures the cost of control traffic and decisions per
// instance for several fleet sizes, idle and during continuous document changes.
// No requests are sent. The loopback counter includes all processes of the
// machine, so nothing else may use the loopback interface.
func BenchmarkControlCost(b *testing.B) {
	for _, instances := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("instances-%d", instances), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b, options{instances: instances, services: []serviceSpec{
					{name: "schedules", upstreams: 12, slots: 6, workMS: 5},
					{name: "entries", upstreams: 15, slots: 6, workMS: 5},
					{name: "photos", upstreams: 12, slots: 6, workMS: 5},
				}})
				f.measureControl(b, "idle", func(context.Context) int { return 0 })
				f.measureControl(b, "storm", f.putChanges)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// controlPeriod is the duration of each measurement of control cost.
const controlPeriod = 15 * time.Second

func (f *fleet) measureControl(b *testing.B, name string, work func(context.Context) int) {
	ctx, cancel := context.WithTimeout(b.Context(), controlPeriod)
	defer cancel()
	before := f.usage()
	var wg sync.WaitGroup
	changes := 0
	wg.Go(func() { changes = work(ctx) })
	<-ctx.Done()
	wg.Wait()
	after := f.usage()
	seconds := after.at.Sub(before.at).Seconds()
	n := float64(len(f.live()))
	b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/seconds/n, name+"-cpu-%")
	b.ReportMetric(float64(after.resident)/n/1e6, name+"-MB")
	b.ReportMetric(float64(after.loopback-before.loopback)/seconds/n, name+"-B/s")
	b.ReportMetric(float64(changes)/seconds, name+"-changes/s")
	total := 0
	for kind, count := range after.storeCalls {
		total += count - before.storeCalls[kind]
	}
	b.ReportMetric(float64(total)/seconds, name+"-store-calls/s")
}

// putChanges puts changed documents one after another until ctx ends and
// returns their number.
func (f *fleet) putChanges(ctx context.Context) int {
	n := 0
	for ; ctx.Err() == nil; n++ {
		doc := f.documents["entries"]
		f.put(f.instances[n%len(f.instances)], withDeadline(doc, 8_000+n%1000))
	}
	return n
}
