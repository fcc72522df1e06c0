package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"knapweedreel/internal/health"
	"knapweedreel/internal/slots"
)

// newEngine returns an engine with the given number of services that has
// evidence for all upstreams from all peers of a shard, and the time of the last
// evidence.
func newEngine(b *testing.B, services int) (*health.Engine, time.Time) {
	b.Helper()
	now := time.Unix(1_700_000_000, 0)
	e := health.New(health.Config{Instance: memberID(0), Region: "region-0"})
	for s := range services {
		e.Apply(now, health.Event{Document: &health.DocumentChanged{
			Service: serviceName(s), Revision: 1, Document: parseDocument(b, s, upstreamsPerDocument, routesPerDocument),
		}})
	}
	for round := range 3 {
		now = now.Add(time.Second)
		for peer := 1; peer < shardMembers; peer++ {
			for s := range services {
				e.Apply(now, peerEvidence(peer, s, uint64(round+1)))
			}
		}
		e.Apply(now, health.Event{Tick: &health.Tick{}})
	}
	return e, now
}

func peerEvidence(peer, service int, count uint64) health.Event {
	return health.Event{Peer: &health.PeerEvidence{
		Reporter: memberID(peer), Incarnation: 1, Sequence: count*1_000 + uint64(service), Region: fmt.Sprintf("region-%d", peer%8),
		Evidence: evidence(service, upstreamsPerDocument, count),
	}}
}

func outcome(service, i int) health.Event {
	o := &health.Outcome{
		Upstream: upstreamKey(service, i%upstreamsPerDocument), Route: "GET /resource-000/*",
		Caller: uint64(i % 117), Class: health.OK, Latency: 20 * time.Millisecond,
	}
	if i%200 == 0 {
		o.Class = health.Failed
	}
	return health.Event{Outcome: o}
}

// Guards against an engine whose cost per event grows with the number of
// services of the instance. Only the cost of a tick may.
func BenchmarkHealth(b *testing.B) {
	for _, services := range []int{1, 7, 14} {
		size := fmt.Sprintf("services=%d", services)
		b.Run("outcome/"+size, func(b *testing.B) {
			e, now := newEngine(b, services)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				e.Apply(now, outcome(i%services, i))
				i++
			}
			reportPer(b, "outcome-µs", 1)
		})
		b.Run("peer-evidence/"+size, func(b *testing.B) {
			e, now := newEngine(b, services)
			i, count := 0, uint64(4)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				e.Apply(now, peerEvidence(1+i%(shardMembers-1), i%services, count))
				i++
				if i%(shardMembers*services) == 0 {
					count++
				}
			}
			reportPer(b, "evidence-µs/upstream", upstreamsPerDocument)
		})
		b.Run("tick/"+size, func(b *testing.B) {
			before := heap()
			e, now := newEngine(b, services)
			bytes := heap() - before
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(health.TickInterval)
				e.Apply(now, health.Event{Tick: &health.Tick{}})
				e.Outgoing(now)
			}
			runtime.KeepAlive(e)
			b.ReportMetric(float64(bytes), "heap-bytes")
			b.ReportMetric(float64(bytes)/float64(services*upstreamsPerDocument), "heap-bytes/upstream")
			reportPer(b, "tick-µs", 1)
		})
	}
}

// Guards against memory that grows with every caller ever seen.
func BenchmarkCallersInHealth(b *testing.B) {
	for _, callers := range []int{1_000, 10_000, 69_000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			var size int64
			for range b.N {
				b.StopTimer()
				e, now := newEngine(b, 1)
				before := heap()
				b.StartTimer()
				for c := range callers {
					ev := outcome(0, c)
					ev.Outcome.Caller = uint64(c) << 32
					// Every caller fails once, because a failure makes the largest record.
					ev.Outcome.Class = health.Failed
					e.Apply(now.Add(time.Duration(c)*10*time.Microsecond), ev)
				}
				b.StopTimer()
				size = heap() - before
				runtime.KeepAlive(e)
				b.StartTimer()
			}
			b.ReportMetric(float64(size), "heap-bytes")
			b.ReportMetric(float64(size)/float64(callers), "heap-bytes/caller")
			reportPer(b, "outcome-µs", callers)
		})
	}
}

// Guards against a slot assignment that is too slow to run on every membership
// change, which recomputes it for all services of the shard.
func BenchmarkSlots(b *testing.B) {
	for _, upstreams := range []int{12, 49, 200} {
		for _, members := range []int{32, 44, 64} {
			var us []slots.Upstream
			for i := range upstreams {
				us = append(us, slots.Upstream{ID: upstreamID(0, i), Slots: 6})
			}
			var ids []string
			for i := range members {
				ids = append(ids, memberID(i))
			}
			b.Run(fmt.Sprintf("upstreams=%d/members=%d", upstreams, members), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					slots.Assign(serviceName(0), us, ids)
				}
				reportPer(b, "assign-µs", 1)
			})
		}
	}
}
