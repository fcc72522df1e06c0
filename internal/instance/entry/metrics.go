package entry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets are the bucket bounds of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond,
	20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
}

// serviceMetrics are the metrics of one service.
type serviceMetrics struct {
	scope    tally.Scope
	requests sync.Map // requestLabels → tally.Counter
	attempts tally.Counter
	retries  tally.Counter
	refusals tally.Counter
	total    tally.Histogram
	queued   tally.Histogram
	overhead tally.Histogram

	waiting, inFlight, slots tally.Gauge
	leaveDomain, leaveRegion tally.Gauge // shares of requests
	classes                  classMetrics
}

// memoryMetrics are the metrics of the memory for callers.
type memoryMetrics struct {
	used, waiting               tally.Gauge
	evicted, stalled, displaced tally.Counter
	refused                     tally.Counter // connections closed unread
}

func newMemoryMetrics(scope tally.Scope) *memoryMetrics {
	evictions := func(reason string) tally.Counter {
		return scope.Tagged(map[string]string{"reason": reason}).Counter("caller_evictions")
	}
	return &memoryMetrics{
		used: scope.Gauge("caller_memory_bytes"), waiting: scope.Gauge("caller_memory_waiting"),
		evicted: evictions("memory"), stalled: evictions("slot"), displaced: evictions("connection"),
		refused: scope.Counter("caller_connections_refused"),
	}
}

// noService is the service label of requests without a service, such as locate
// requests. All counters of a name need the same labels.
const noService = "none"

func newServiceMetrics(scope tally.Scope, service string) *serviceMetrics {
	sc := scope.Tagged(map[string]string{"service": service})
	return &serviceMetrics{
		scope:       sc,
		attempts:    sc.Counter("attempts"),
		retries:     sc.Counter("retries"),
		refusals:    sc.Counter("refusals"),
		total:       sc.Histogram("request_seconds", latencyBuckets),
		queued:      sc.Histogram("queued_seconds", latencyBuckets),
		overhead:    sc.Histogram("overhead_seconds", latencyBuckets),
		waiting:     sc.Gauge("requests_waiting"),
		leaveDomain: sc.Tagged(map[string]string{"scope": "domain"}).Gauge("requests_leaving_share"),
		leaveRegion: sc.Tagged(map[string]string{"scope": "region"}).Gauge("requests_leaving_share"),
		inFlight:    sc.Gauge("requests_in_flight"),
		slots:       sc.Gauge("region_slots"),
		classes:     classMetrics{scope: sc},
	}
}

// statusClasses are the values of the status label, by the first digit of the
// status.
var statusClasses = [...]string{"none", "1xx", "2xx", "3xx", "4xx", "5xx"}

func statusClass(status int) string {
	if c := status / 100; c > 0 && c < len(statusClasses) {
		return statusClasses[c]
	}
	return statusClasses[0]
}

// requestLabels are the labels of a counter of requests.
type requestLabels struct{ status, kind string }

// request returns the counter of responses with a status class and, for error
// responses of the fleet itself, an error kind.
func (m *serviceMetrics) request(status int, kind string) tally.Counter {
	if kind == "" {
		kind = "none"
	}
	l := requestLabels{statusClass(status), kind}
	if c, ok := m.requests.Load(l); ok {
		return c.(tally.Counter)
	}
	c := m.scope.Tagged(map[string]string{"status": l.status, "kind": l.kind}).Counter("requests")
	m.requests.Store(l, c)
	return c
}
