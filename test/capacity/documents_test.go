package capacity

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"knapweedreel/internal/document"
	"knapweedreel/internal/instance/control"
	"knapweedreel/internal/instance/platform"
)

// Guards against documents that need too much memory or take too long to apply.
// In a fleet of one member, that member serves all services. With 2,800 members in
// 64 shards, each member serves about nine services and only stores the other
// documents.
func BenchmarkDocuments(b *testing.B) {
	for _, members := range []int{1, 2_800} {
		for _, n := range []int{10, 50, 100, documentCount} {
			b.Run(fmt.Sprintf("members=%d/documents=%d", members, n), func(b *testing.B) {
				benchmarkDocuments(b, members, n)
			})
		}
	}
}

func benchmarkDocuments(b *testing.B, members, n int) {
	// A document in use has a full history.
	old := newEnvelope(0, document.HistoryLimit)
	old.History = history(document.HistoryLimit)
	encoded, err := platform.EncodeEnvelope(old)
	if err != nil {
		b.Fatal(err)
	}
	envelopes := make([]document.Envelope, n)
	for i := range envelopes {
		envelopes[i] = newEnvelope(i, 1)
	}
	var size int64
	for range b.N {
		b.StopTimer()
		l := startLoop(b)
		l.SetReady()
		l.SetInstances(instances(members, 0, 0))
		l.wait(b)
		before := heap()
		b.StartTimer()
		// Each text is a copy, as it is when read from the store.
		offerAll(b, l, envelopes)
		b.StopTimer()
		size = heap() - before
		runtime.KeepAlive(l)
		b.StartTimer()
	}
	b.ReportMetric(float64(size), "heap-bytes")
	b.ReportMetric(float64(size)/float64(n), "heap-bytes/document")
	b.ReportMetric(float64(len(encoded)), "envelope-bytes")
	reportPer(b, "apply-µs/document", n)
}

// Guards against a snapshot build time that grows with the number of all
// documents. Every accepted document publishes a snapshot. So does every
// membership change, which also reassigns the slots of all services of the
// shard.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{10, 50, 100, documentCount} {
		envelopes := make([]document.Envelope, n)
		for i := range envelopes {
			envelopes[i] = newEnvelope(i, 1)
		}
		b.Run(fmt.Sprintf("one-document/documents=%d", n), func(b *testing.B) {
			l := startLoop(b)
			l.SetReady()
			offerAll(b, l, envelopes)
			l.wait(b)
			changed, sequence := envelopes[0], l.Snapshot().Sequence
			for b.Loop() {
				changed.Revision++
				offerAll(b, l, []document.Envelope{changed})
			}
			l.wait(b)
			reportPer(b, "change-µs", 1)
			b.ReportMetric(float64(l.Snapshot().Sequence-sequence)/float64(b.N), "snapshots/op")
		})
		b.Run(fmt.Sprintf("members/documents=%d", n), func(b *testing.B) {
			l := startLoop(b)
			l.SetReady()
			offerAll(b, l, envelopes)
			l.SetInstances(instances(1, 0, 0))
			l.wait(b)
			members, sequence := 1, l.Snapshot().Sequence
			for b.Loop() {
				members++
				l.clock.elapsed.Add(int64(control.PublishInterval))
				l.SetInstances(instances(1+members%shardMembers, 0, 0))
				l.wait(b)
			}
			reportPer(b, "snapshot-µs", 1)
			b.ReportMetric(float64(l.Snapshot().Sequence-sequence)/float64(b.N), "snapshots/op")
		})
	}
}

func offerAll(b *testing.B, l *loop, envelopes []document.Envelope) {
	b.Helper()
	for _, e := range envelopes {
		e.Text = strings.Clone(e.Text)
		if _, err := l.Offer(context.Background(), e, platform.SourceStore); err != nil {
			b.Fatal(err)
		}
	}
}
