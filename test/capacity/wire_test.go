package capacity

import (
	"bytes"
	"fmt"
	"testing"

	"knapweedreel/internal/health"
	"knapweedreel/internal/member"
	"knapweedreel/internal/wire"
)

// Guards against messages that outgrow the control traffic of a node, and shows
// the cost of one more entry in each of them.
func BenchmarkMessages(b *testing.B) {
	for _, n := range []int{0, 1, 10, 50} {
		measureMessage(b, fmt.Sprintf("heartbeat/entries=%d", n), wire.Message{Heartbeat: &wire.Heartbeat{
			Info: member.Info{Sequence: 100_000, State: member.Active}, Digest: 1 << 63, InFlight: inFlight(n),
		}})
		measureMessage(b, fmt.Sprintf("evidence/entries=%d", n), wire.Message{Evidence: &wire.Evidence{
			Region: "region-1", Evidence: evidence(0, n, 100),
		}})
		measureMessage(b, fmt.Sprintf("document-push/upstreams=%d", n), push(n, 1))
		measureMessage(b, fmt.Sprintf("revision-vector/services=%d", n), wire.Message{RevisionVector: vector(n)})
	}
	hello := infoOf(7)
	measureMessage(b, "hello", wire.Message{Hello: &hello})
	measureMessage(b, fmt.Sprintf("revision-vector/services=%d", documentCount), wire.Message{RevisionVector: vector(documentCount)})
	measureMessage(b, fmt.Sprintf("document-push/upstreams=%d/history=32", upstreamsPerDocument), push(upstreamsPerDocument, 32))
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

func push(upstreams, changes int) wire.Message {
	e := envelopeOf(0, uint64(changes))
	e.Text, e.History = documentText(0, upstreams, routesPerDocument), history(changes)
	return wire.Message{DocumentPush: &wire.DocumentPush{Envelope: e}}
}

func vector(n int) *wire.RevisionVector {
	v := &wire.RevisionVector{Revisions: make(map[string]uint64), Round: 5}
	for i := range n {
		v.Revisions[serviceName(i)] = uint64(i + 300)
	}
	return v
}

func measureMessage(b *testing.B, name string, m wire.Message) {
	m.Version, m.Sender, m.Incarnation, m.Sequence = wire.Version, memberID(7), infoOf(7).Incarnation, 1_000_000
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
