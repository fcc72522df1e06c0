package capacity

import (
	"bytes"
	"fmt"
	"testing"

	"knapweedreel/internal/health"
	"knapweedreel/internal/member"
	"knapweedreel/internal/wire"
)

// Guards against messages that exceed an instance's budget for control traffic,
// and measures the cost of each additional entry.
func BenchmarkMessages(b *testing.B) {
	for _, n := range []int{0, 1, 10, 50} {
		benchmarkMessage(b, fmt.Sprintf("heartbeat/entries=%d", n), wire.Message{Heartbeat: &wire.Heartbeat{
			Info: member.Info{Sequence: 100_000, State: member.Active}, Digest: 1 << 63, InFlight: inFlight(n),
		}})
		benchmarkMessage(b, fmt.Sprintf("evidence/entries=%d", n), wire.Message{Evidence: &wire.Evidence{
			Region: "region-1", Evidence: evidence(0, n, 100),
		}})
		benchmarkMessage(b, fmt.Sprintf("document-push/upstreams=%d", n), documentPush(n, 1))
		benchmarkMessage(b, fmt.Sprintf("revision-vector/services=%d", n), wire.Message{RevisionVector: revisionVector(n)})
	}
	hello := memberInfo(7)
	benchmarkMessage(b, "hello", wire.Message{Hello: &hello})
	benchmarkMessage(b, fmt.Sprintf("revision-vector/services=%d", documentCount), wire.Message{RevisionVector: revisionVector(documentCount)})
	benchmarkMessage(b, fmt.Sprintf("document-push/upstreams=%d/history=32", upstreamsPerDocument), documentPush(upstreamsPerDocument, 32))
}

func inFlight(n int) []wire.InFlight {
	var out []wire.InFlight
	for i := range n {
		out = append(out, wire.InFlight{Upstream: upstreamKey(0, i), Count: 3})
	}
	return out
}

func evidence(service, n int, count uint64) []health.Evidence {
	var out []health.Evidence
	for i := range n {
		out = append(out, health.Evidence{
			Upstream: upstreamKey(service, i), Successes: 10 * count, Failures: count / 50,
			Callers: []uint64{1 << 60, 1 << 61, 1 << 62}, Traffic: 500,
		})
	}
	return out
}

func documentPush(upstreams, changes int) wire.Message {
	e := newEnvelope(0, uint64(changes))
	e.Text, e.History = documentText(0, upstreams, routesPerDocument), history(changes)
	return wire.Message{DocumentPush: &wire.DocumentPush{Envelope: e}}
}

func revisionVector(n int) *wire.RevisionVector {
	v := &wire.RevisionVector{Revisions: make(map[string]uint64), Round: 5}
	for i := range n {
		v.Revisions[serviceName(i)] = uint64(i + 300)
	}
	return v
}

func benchmarkMessage(b *testing.B, name string, m wire.Message) {
	m.Version, m.Sender, m.Incarnation, m.Sequence = wire.Version, memberID(7), memberInfo(7).Incarnation, 1_000_000
	frame, err := wire.Encode(m)
	if err != nil {
		b.Fatalf("%s: %v", name, err)
	}
	b.Run("encode/"+name, func(b *testing.B) {
		for b.Loop() {
			if _, err := wire.Encode(m); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(frame)), "message-bytes")
		reportPer(b, "encode-µs", 1)
	})
	b.Run("decode/"+name, func(b *testing.B) {
		for b.Loop() {
			if _, err := wire.NewReader(bytes.NewReader(frame)).Next(); err != nil {
				b.Fatal(err)
			}
		}
		reportPer(b, "decode-µs", 1)
	})
}
