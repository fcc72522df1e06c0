package upstream

import (
	"maps"
	"net/http"
	"sync"
	"time"
)

// outcome is what became of a request.
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
	outcomeBodyFailed outcome = "body_failed" // the body ended early
	outcomeCanceled   outcome = "canceled"    // the request was canceled while it ran
)

// Runs tells how often requests were run.
type Runs struct {
	Total int            `json:"total"`
	ByID  map[string]int `json:"by_id"` // by Knapweedreel-Request-Id
}

// Stats counts requests since the start.
type Stats struct {
	Upstream     string          `json:"upstream"`
	Service      string          `json:"service"`
	Outcomes     map[outcome]int `json:"outcomes"`
	Running      int             `json:"running"`
	MaxRunning   int             `json:"max_running"`
	Waiting      int             `json:"waiting"`
	LastAccepted time.Time       `json:"last_accepted"` // last request that got a slot, zero for none
}

type stats struct {
	mu       sync.Mutex
	runs     map[string]int
	total    int
	outcomes map[outcome]int
	inside   int // running and waiting
	running  int
	maximum  int
	accepted time.Time
}

func newStats() stats {
	return stats{runs: map[string]int{}, outcomes: map[outcome]int{}}
}

// enter admits a request to the slots or the queue if fewer than limit are
// there.
func (s *stats) enter(limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inside >= limit {
		return false
	}
	s.inside++
	return true
}

func (s *stats) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inside--
}

func (s *stats) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.maximum = max(s.maximum, s.running)
	s.accepted = time.Now()
}

func (s *stats) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.inside--
}

func (s *stats) run(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	s.runs[id]++
}

func (s *stats) count(o outcome) {
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

// Stats returns the counts since the start.
func (s *Server) Stats() Stats {
	s.stats.mu.Lock()
	defer s.stats.mu.Unlock()
	return Stats{
		Upstream:     s.cfg.ID,
		Service:      s.cfg.Service,
		Outcomes:     maps.Clone(s.stats.outcomes),
		Running:      s.stats.running,
		MaxRunning:   s.stats.maximum,
		Waiting:      s.stats.inside - s.stats.running,
		LastAccepted: s.stats.accepted,
	}
}

func (s *Server) getRuns(w http.ResponseWriter, _ *http.Request)  { writeJSON(w, s.Runs()) }
func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) }
