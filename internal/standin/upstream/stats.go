package upstream

import (
	"maps"
	"net/http"
	"sync"
	"time"
)

// outcome is the result of a request.
type outcome string

const (
	outcomeOK         outcome = "ok"
	outcomeFailed     outcome = "failed"
	outcomeShed       outcome = "shed"
	outcomeDraining   outcome = "draining"
	outcomeHung       outcome = "hung"
	outcomeTruncated  outcome = "truncated"
	outcomeCrossed    outcome = "crossed"
	outcomeDuplicated outcome = "duplicated"
	outcomeNoFraming  outcome = "no_framing"
	outcomeBodyFailed outcome = "body_failed" // the request body ended early
	outcomeCanceled   outcome = "canceled"    // the request was canceled while running
)

// Runs counts how often requests were run.
type Runs struct {
	Total int            `json:"total"`
	ByID  map[string]int `json:"by_id"` // by Knapweedreel-Request-Id
}

// Stats holds counts of all requests since the start and of current requests.
type Stats struct {
	Upstream     string          `json:"upstream"`
	Service      string          `json:"service"`
	Outcomes     map[outcome]int `json:"outcomes"`
	Running      int             `json:"running"`
	MaxRunning   int             `json:"max_running"`
	Waiting      int             `json:"waiting"`
	LastAccepted time.Time       `json:"last_accepted"` // time at which a request last got a slot, zero for never
}

type stats struct {
	mu           sync.Mutex
	runs         map[string]int
	total        int
	outcomes     map[outcome]int
	admitted     int // running or waiting
	running      int
	maxRunning   int
	lastAccepted time.Time
}

func newStats() stats {
	return stats{runs: map[string]int{}, outcomes: map[outcome]int{}}
}

// admit counts a request that may run or wait. It returns false if limit
// requests already run or wait.
func (s *stats) admit(limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.admitted >= limit {
		return false
	}
	s.admitted++
	return true
}

func (s *stats) leaveQueue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitted--
}

func (s *stats) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.maxRunning = max(s.maxRunning, s.running)
	s.lastAccepted = time.Now()
}

func (s *stats) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.admitted--
}

func (s *stats) recordRun(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	s.runs[id]++
}

func (s *stats) countOutcome(o outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[o]++
}

// Runs returns how often each request was run.
func (s *Server) Runs() Runs {
	s.stats.mu.Lock()
	defer s.stats.mu.Unlock()
	return Runs{Total: s.stats.total, ByID: maps.Clone(s.stats.runs)}
}

// Stats returns the current counts.
func (s *Server) Stats() Stats {
	s.stats.mu.Lock()
	defer s.stats.mu.Unlock()
	return Stats{
		Upstream:     s.cfg.ID,
		Service:      s.cfg.Service,
		Outcomes:     maps.Clone(s.stats.outcomes),
		Running:      s.stats.running,
		MaxRunning:   s.stats.maxRunning,
		Waiting:      s.stats.admitted - s.stats.running,
		LastAccepted: s.stats.lastAccepted,
	}
}

func (s *Server) getRuns(w http.ResponseWriter, _ *http.Request)  { writeJSON(w, s.Runs()) }
func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) }
