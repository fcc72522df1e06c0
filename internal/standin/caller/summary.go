package caller

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of recorded latencies.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 300_000_000
	significantDigits = 3
)

// maxFailures limits the failed results that a summary lists.
const maxFailures = 20

// Percentiles holds latency percentiles in milliseconds.
type Percentiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99_9"`
	Max  float64 `json:"max"`
}

// Summary sums up the results of a Caller.
type Summary struct {
	Service    string          `json:"service"`
	Region     string          `json:"region"`
	Sent       int             `json:"sent"`
	Skipped    int             `json:"skipped"` // not sent: maxInFlight reached
	Outcomes   map[Outcome]int `json:"outcomes"`
	Kinds      map[string]int  `json:"kinds"`      // errors of the fleet by kind
	Upstreams  map[string]int  `json:"upstreams"`  // responses by upstream ID
	Instances  map[string]int  `json:"instances"`  // requests by entry address
	Failovers  int             `json:"failovers"`  // connection attempts that failed
	Seconds    float64         `json:"seconds"`    // from the first request to the last response
	Goodput    float64         `json:"goodput"`    // ok responses per second
	LatencyMS  Percentiles     `json:"latency_ms"` // of ok responses
	LastID     string          `json:"last_id"`    // ID of the last ok request
	Failures   []Result        `json:"failures"`   // first results that were not ok, at most maxFailures
	Runs       *RunCheck       `json:"runs,omitempty"`
	BytesBack  int64           `json:"bytes_back"`  // response bodies received
	BytesThere int64           `json:"bytes_there"` // request bodies, at their full size
}

// Failed reports whether any request was skipped or was not ok, no request was
// sent, or the runs contradict the outcomes.
func (s *Summary) Failed() bool {
	return s.Outcomes[OK] != s.Sent || s.Sent == 0 || s.Skipped > 0 || s.Runs != nil && len(s.Runs.Mistakes) > 0
}

// recorder accumulates results.
type recorder struct {
	cfg Config

	mu       sync.Mutex
	totals   Summary
	latency  *hdrhistogram.Histogram
	outcomes map[string]Outcome // by request ID, for the check of runs
}

func newRecorder(cfg Config) *recorder {
	return &recorder{
		cfg: cfg,
		totals: Summary{Service: cfg.Service, Region: cfg.Region, Outcomes: map[Outcome]int{}, Kinds: map[string]int{},
			Upstreams: map[string]int{}, Instances: map[string]int{}, Failures: []Result{}},
		latency:  hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
		outcomes: map[string]Outcome{},
	}
}

func (r *recorder) skip() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.Skipped++
}

func (r *recorder) add(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.Sent++
	r.totals.Outcomes[result.Outcome]++
	r.totals.Failovers += result.Failovers
	r.totals.BytesBack += result.Bytes
	r.totals.BytesThere += r.cfg.BodyBytes
	if result.Kind != "" {
		r.totals.Kinds[result.Kind]++
	}
	if result.Upstream != "" {
		r.totals.Upstreams[result.Upstream]++
	}
	r.totals.Instances[result.Address]++
	if result.Outcome == OK {
		r.totals.LastID = result.ID
		_ = r.latency.RecordValue(min(result.Latency.Microseconds(), maxLatencyMicros)) // cannot fail: the value is in range
	} else if len(r.totals.Failures) < maxFailures {
		r.totals.Failures = append(r.totals.Failures, result)
	}
	if len(r.cfg.CheckRunsAt) > 0 {
		r.outcomes[result.ID] = result.Outcome
	}
	if r.cfg.OnResult != nil {
		r.cfg.OnResult(result)
	}
}

func (r *recorder) summary(took time.Duration) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.totals
	s.Seconds = took.Seconds()
	s.Goodput = float64(s.Outcomes[OK]) / s.Seconds
	millisAt := func(percentile float64) float64 { return float64(r.latency.ValueAtPercentile(percentile)) / 1_000 }
	s.LatencyMS = Percentiles{P50: millisAt(50), P90: millisAt(90), P99: millisAt(99), P999: millisAt(99.9), Max: float64(r.latency.Max()) / 1_000}
	return s
}

// outcomesByID returns the outcome of each request by its ID.
func (r *recorder) outcomesByID() map[string]Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.outcomes)
}
