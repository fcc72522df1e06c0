package entry

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets are the bounds of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond,
	20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
}

// serviceMetrics are the metrics of one service.
type serviceMetrics struct {
	scope    tally.Scope
	attempts tally.Counter
	retries  tally.Counter
	refusals tally.Counter
	total    tally.Histogram
	queued   tally.Histogram
	overhead tally.Histogram
}

// unknownServiceScope is for requests that belong to no service, such as locate
// requests. Counters of a name all need the same labels.
func unknownServiceScope(scope tally.Scope) tally.Scope {
	return scope.Tagged(map[string]string{"service": "none"})
}

func newServiceMetrics(scope tally.Scope, service string) *serviceMetrics {
	sc := scope.Tagged(map[string]string{"service": service})
	return &serviceMetrics{
		scope:    sc,
		attempts: sc.Counter("attempts"),
		retries:  sc.Counter("retries"),
		refusals: sc.Counter("refusals"),
		total:    sc.Histogram("request_seconds", latencyBuckets),
		queued:   sc.Histogram("queued_seconds", latencyBuckets),
		overhead: sc.Histogram("overhead_seconds", latencyBuckets),
	}
}

// statusClasses name the first digit of a status.
var statusClasses = [...]string{"none", "1xx", "2xx", "3xx", "4xx", "5xx"}

func statusClass(status int) string {
	if c := status / 100; c > 0 && c < len(statusClasses) {
		return statusClasses[c]
	}
	return statusClasses[0]
}

// requestCounter counts answers by the class of their status and, for the
// fleet's own answers, their kind.
func requestCounter(scope tally.Scope, status int, kind string) tally.Counter {
	if kind == "" {
		kind = "none"
	}
	return scope.Tagged(map[string]string{"status": statusClass(status), "kind": kind}).Counter("requests")
}
