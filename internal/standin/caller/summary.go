package caller

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of recorded latencies, in microseconds, with three significant digits.
const (
	minLatency = 1
	maxLatency = 300_000_000
	digits     = 3
)

// maxFailures is the number of failed results that a summary lists.
const maxFailures = 20

// Percentiles are latencies in milliseconds.
type Percentiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99_9"`
	Max  float64 `json:"max"`
}

// Summary is what the callers of one service got.
type Summary struct {
	Service    string          `json:"service"`
	Region     string          `json:"region"`
	Sent       int             `json:"sent"`
	Skipped    int             `json:"skipped"` // not sent, too many in flight
	Outcomes   map[Outcome]int `json:"outcomes"`
	Kinds      map[string]int  `json:"kinds"`      // of the fleet's errors
	Upstreams  map[string]int  `json:"upstreams"`  // that answered
	Instances  map[string]int  `json:"instances"`  // by entry address
	Failovers  int             `json:"failovers"`  // addresses that could not be reached
	Seconds    float64         `json:"seconds"`    // from the first request to the last answer
	Goodput    float64         `json:"goodput"`    // ok answers per second
	LatencyMS  Percentiles     `json:"latency_ms"` // of ok answers
	LastID     string          `json:"last_id"`    // identity of the last ok request
	Failures   []Result        `json:"failures"`   // the first that were not ok
	Runs       *RunCheck       `json:"runs,omitempty"`
	BytesBack  int64           `json:"bytes_back"` // bodies of all answers
	BytesThere int64           `json:"bytes_there"`
}

// Failed reports whether any request was not answered rightly, or the runs are
// not what the callers were told.
func (s *Summary) Failed() bool {
	return s.Outcomes[OK] != s.Sent || s.Sent == 0 || s.Skipped > 0 || s.Runs != nil && len(s.Runs.Mistakes) > 0
}

// recorder collects results.
type recorder struct {
	cfg Config

	mu       sync.Mutex
	s        Summary
	latency  *hdrhistogram.Histogram
	outcomes map[string]Outcome // by identity, kept for the check of runs
}

func newRecorder(cfg Config) *recorder {
	return &recorder{
		cfg: cfg,
		s: Summary{Service: cfg.Service, Region: cfg.Region, Outcomes: map[Outcome]int{}, Kinds: map[string]int{},
			Upstreams: map[string]int{}, Instances: map[string]int{}, Failures: []Result{}},
		latency:  hdrhistogram.New(minLatency, maxLatency, digits),
		outcomes: map[string]Outcome{},
	}
}

func (r *recorder) skip() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.s.Skipped++
}

func (r *recorder) add(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.s.Sent++
	r.s.Outcomes[result.Outcome]++
	r.s.Failovers += result.Failovers
	r.s.BytesBack += result.Bytes
	r.s.BytesThere += r.cfg.BodyBytes
	if result.Kind != "" {
		r.s.Kinds[result.Kind]++
	}
	if result.Upstream != "" {
		r.s.Upstreams[result.Upstream]++
	}
	r.s.Instances[result.Address]++
	if result.Outcome == OK {
		r.s.LastID = result.ID
		_ = r.latency.RecordValue(min(result.Latency.Microseconds(), maxLatency)) // in range
	} else if len(r.s.Failures) < maxFailures {
		r.s.Failures = append(r.s.Failures, result)
	}
	if len(r.cfg.Upstreams) > 0 {
		r.outcomes[result.ID] = result.Outcome
	}
	if r.cfg.OnResult != nil {
		r.cfg.OnResult(result)
	}
}

func (r *recorder) summary(took time.Duration) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.s
	s.Seconds = took.Seconds()
	s.Goodput = float64(s.Outcomes[OK]) / s.Seconds
	at := func(percentile float64) float64 { return float64(r.latency.ValueAtPercentile(percentile)) / 1_000 }
	s.LatencyMS = Percentiles{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(r.latency.Max()) / 1_000}
	return s
}

// known returns the outcome of each request by identity.
func (r *recorder) known() map[string]Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.outcomes)
}
