package capacity

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/entry"
	"knapweedreel/internal/member"
	"knapweedreel/internal/routing"
	"knapweedreel/internal/settings"
)

// fixedControl is an entry.Control whose snapshot never changes.
type fixedControl struct{ snapshot *routing.Snapshot }

func (c fixedControl) Snapshot() *routing.Snapshot { return c.snapshot }
func (fixedControl) ReportOutcome(health.Outcome)  {}

// newServer returns an entry server that routes by the document.
func newServer(doc *document.Document, members int) *entry.Server {
	svc := &routing.Service{Name: doc.Service, Revision: 1, Document: doc, InShard: true}
	snapshot := &routing.Snapshot{
		Sequence: 1, Self: memberInfo(0), Ready: true, Shards: member.Shards(members),
		Services: map[string]*routing.Service{doc.Service: svc},
		Hosts:    map[string]*routing.Service{doc.Hosts[0]: svc},
	}
	for i := range members {
		snapshot.Members = append(snapshot.Members, routing.Member{Info: memberInfo(i), Live: true})
	}
	s := settings.Settings{}
	s.Normalize()
	return entry.New(entry.Config{Instance: memberID(0), Limits: s.Limits, Times: s.Times}, fixedControl{snapshot})
}

func get(b *testing.B, s *entry.Server, target, caller string) *httptest.ResponseRecorder {
	b.Helper()
	r := httptest.NewRequest(http.MethodGet, target, nil)
	r.Header.Set("Knapweedreel-Caller", caller)
	// Exceeds every body limit, so a proxied request ends once its route is known.
	r.ContentLength = 1 << 40
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// Guards against a routing time per request that exceeds the latency budget.
// Routes are matched in order, so the request matches the last one. The time
// with a single route is the part that does not depend on the number of routes.
func BenchmarkRoutes(b *testing.B) {
	for _, routes := range []int{1, 81, 500} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			s := newServer(parseDocument(b, 0, 1, routes), 1)
			target := fmt.Sprintf("http://%s.example/resource-%03d/x", serviceName(0), routes-1)
			for b.Loop() {
				if w := get(b, s, target, "caller"); w.Code != http.StatusRequestEntityTooLarge {
					b.Fatalf("status %d, header %v", w.Code, w.Header())
				}
			}
			reportPer(b, "request-µs", 1)
		})
	}
}

// Guards against address lookups whose time grows with the fleet.
func BenchmarkLocate(b *testing.B) {
	for _, members := range fleetSizes {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			s := newServer(parseDocument(b, 0, upstreamsPerDocument, 1), members)
			target := "http://entry.example/.knapweedreel/locate?region=region-1&service=" + serviceName(0)
			size := 0
			for b.Loop() {
				w := get(b, s, target, "caller")
				if w.Code != http.StatusOK {
					b.Fatalf("status %d", w.Code)
				}
				size = w.Body.Len()
			}
			b.ReportMetric(float64(size), "answer-bytes")
			reportPer(b, "locate-µs", 1)
		})
	}
}

// Guards against an entry.Server whose memory grows with every caller ever seen.
func BenchmarkCallersInEntry(b *testing.B) {
	for _, callers := range []int{1_000, 10_000, 69_000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			doc := parseDocument(b, 0, 1, 1)
			target := fmt.Sprintf("http://%s.example/resource-000/x", serviceName(0))
			var size int64
			for range b.N {
				b.StopTimer()
				s := newServer(doc, 1)
				before := heap()
				b.StartTimer()
				for c := range callers {
					get(b, s, target, fmt.Sprintf("caller-%06d", c))
				}
				b.StopTimer()
				size = heap() - before
				runtime.KeepAlive(s)
				b.StartTimer()
			}
			b.ReportMetric(float64(size), "heap-bytes")
			b.ReportMetric(float64(size)/float64(callers), "heap-bytes/caller")
			reportPer(b, "request-µs", callers)
		})
	}
}
