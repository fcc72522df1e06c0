package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/control"
	"knapweedreel/internal/member"
	"knapweedreel/internal/wire"
)

// Sizes expected in two years, when 590 services with one document each have
// 29,000 upstreams and 48,000 routes.
const (
	upstreamsPerDocument = 49
	routesPerDocument    = 81
	documentCount        = 590
	shardMembers         = 44
)

var fleetSizes = []int{32, 320, 2_800}

// heap returns the size in bytes of the live heap objects.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// reportPer reports a metric with the time in µs per item, for operations on
// several items.
func reportPer(b *testing.B, name string, items int) {
	b.Helper()
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/1e3/float64(b.N)/float64(max(items, 1)), name)
}

func serviceName(i int) string { return fmt.Sprintf("service-%03d", i) }

func upstreamKey(service, i int) health.Key {
	return health.Key{Service: serviceName(service), Upstream: upstreamID(service, i)}
}

func upstreamID(service, i int) string { return fmt.Sprintf("upstream-%03d-%03d", service, i) }

func memberID(i int) string { return fmt.Sprintf("instance-%04d", i) }

// documentText returns a document in the form in which an operator writes it.
func documentText(service, upstreams, routes int) string {
	var s strings.Builder
	fmt.Fprintf(&s, "{\n  \"service\": %q,\n  \"hosts\": [%q],\n  \"floor_slots\": %d,\n  \"upstreams\": [\n",
		serviceName(service), serviceName(service)+".example", upstreams)
	for i := range upstreams {
		fmt.Fprintf(&s, "    {\"id\": %q, \"address\": \"10.%d.%d.%d:8080\", \"region\": \"region-%d\", \"failure_domain\": \"domain-%02d\", \"slots\": 6},\n",
			upstreamID(service, i), service/250, service%250, i+1, i%8, i%18)
	}
	s.WriteString("  ],\n  \"routes\": [\n")
	for i := range routes {
		fmt.Fprintf(&s, "    {\"method\": \"GET\", \"path\": \"/resource-%03d/*\", \"idempotent\": true, \"deadline_ms\": 2000},\n", i)
	}
	s.WriteString("  ],\n}\n")
	return s.String()
}

func newEnvelope(service int, revision uint64) document.Envelope {
	return document.Envelope{
		Service: serviceName(service), Revision: revision,
		Text:    documentText(service, upstreamsPerDocument, routesPerDocument),
		History: history(1),
	}
}

func history(n int) []document.Change {
	var out []document.Change
	for i := range n {
		out = append(out, document.Change{
			Revision: uint64(i + 1), ChangeID: fmt.Sprintf("change-%08d", i), Author: "operator-01",
			Time: time.Unix(1_700_000_000, 0).UTC(), Instance: memberID(i), Summary: "upstreams[0].slots: 4 to 6",
		})
	}
	return out
}

func parseDocument(b *testing.B, service, upstreams, routes int) *document.Document {
	b.Helper()
	d, err := document.Parse("bench", []byte(documentText(service, upstreams, routes)))
	if err != nil {
		b.Fatal(err)
	}
	return d
}

func memberInfo(i int) member.Info {
	return member.Info{
		ID: memberID(i), Incarnation: uint64(1_700_000_000_000_000_000 + i), Sequence: 1,
		EntryAddress: fmt.Sprintf("10.9.%d.%d:8080", i/250, i%250+1),
		PeerAddress:  fmt.Sprintf("10.9.%d.%d:8081", i/250, i%250+1),
		AdminAddress: fmt.Sprintf("10.9.%d.%d:8082", i/250, i%250+1),
		Region:       fmt.Sprintf("region-%d", i%8), FailureDomain: fmt.Sprintf("domain-%02d", i%18), State: member.Active,
	}
}

// manualClock is a control.Clock whose time and health ticks are advanced by the
// benchmark. After uses real time.
type manualClock struct {
	start   time.Time
	elapsed atomic.Int64 // nanoseconds
	ticks   chan time.Time
}

func (c *manualClock) Now() time.Time { return c.start.Add(time.Duration(c.elapsed.Load())) }

func (c *manualClock) Tick(d time.Duration) (<-chan time.Time, func()) {
	if d == health.TickInterval {
		return c.ticks, func() {}
	}
	return nil, func() {}
}

func (c *manualClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// countingSender is a peering.Sender that discards messages and counts them.
type countingSender struct{ sent atomic.Int64 }

func (s *countingSender) Send(string, wire.Message) { s.sent.Add(1) }
func (s *countingSender) SetPeers([]member.Info)    {}

// loop is a running control loop.
type loop struct {
	*control.Loop
	clock *manualClock
	peers *countingSender
}

func startLoop(b *testing.B) *loop {
	b.Helper()
	l := &loop{clock: &manualClock{start: time.Now(), ticks: make(chan time.Time)}, peers: &countingSender{}}
	self := memberInfo(0)
	l.Loop = control.New(control.Config{
		Self: self,
		NewEngine: func() control.Engine {
			return health.New(health.Config{Instance: self.ID, Region: self.Region})
		},
		Parse: document.Parse, Peers: l.peers, Heartbeat: time.Second,
		PeerTimeout: member.Timeout, HolderTimeout: 15 * time.Second, Explanations: 100,
		Clock: l.clock, Random: rand.New(rand.NewPCG(1, 2)), Log: zap.NewNop(), Scope: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			b.Error(err)
		}
		l.Stop()
	})
	return l
}

// wait blocks until the loop has handled all earlier events.
func (l *loop) wait(b *testing.B) {
	b.Helper()
	if _, _, err := l.Envelope(context.Background(), "none"); err != nil {
		b.Fatal(err)
	}
}

// tick advances the clock by one tick and waits until the loop has handled it.
func (l *loop) tick(b *testing.B) {
	b.Helper()
	l.clock.elapsed.Add(int64(health.TickInterval))
	l.clock.ticks <- l.clock.Now()
	l.wait(b)
}
