// Package upstream is a stand-in for an upstream: an HTTP/1.1 server with a
// limited number of concurrent requests and with faults that tests switch on
// and off. It counts how often each request was run.
package upstream

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Header names.
const (
	HeaderRequestID = "Knapweedreel-Request-Id"  // echoed in the response
	HeaderCaller    = "Knapweedreel-Caller"      // caller account
	HeaderDeadline  = "Knapweedreel-Deadline-Ms" // time left to the caller's deadline, in milliseconds
	HeaderRefused   = "Knapweedreel-Refused"     // reason why the request was not run
	HeaderUpstream  = "Standin-Upstream"         // ID of the upstream that sent the response
	HeaderChecksum  = "Standin-Checksum"         // hex SHA-256 of the response body
)

// Values of HeaderRefused.
const (
	RefusedShed     = "shed"
	RefusedDraining = "draining"
)

// coldStartFactor multiplies Config.Work during the cold start.
const coldStartFactor = 4

// Config describes an upstream.
type Config struct {
	ID        string
	Service   string
	Slots     int           // concurrent requests, and length of the queue
	Work      time.Duration // time that a request takes
	ColdStart time.Duration // period after New in which requests take longer
	Seed      uint64        // of the random choice of faulty requests; 0 uses the hash of ID
}

// Server is a stand-in upstream.
type Server struct {
	cfg     Config
	started time.Time
	slots   chan struct{}
	faults  faults
	stats   stats

	mu       sync.Mutex
	random   *rand.Rand
	previous *response // last response, for crossed responses
}

// New returns an upstream without faults.
func New(cfg Config) *Server {
	cfg.Slots = max(cfg.Slots, 1)
	if cfg.Seed == 0 {
		cfg.Seed = xxhash.Sum64String(cfg.ID)
	}
	return &Server{
		cfg:     cfg,
		started: time.Now(),
		slots:   make(chan struct{}, cfg.Slots),
		stats:   newStats(),
		random:  rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
}

// Handler returns the handler for requests and for the control paths under
// "/.standin/".
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /.standin/health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /.standin/control", s.getControl)
	mux.HandleFunc("POST /.standin/control", s.postControl)
	mux.HandleFunc("GET /.standin/runs", s.getRuns)
	mux.HandleFunc("GET /.standin/stats", s.getStats)
	mux.HandleFunc("/", s.serve)
	return mux
}

// serve runs a request or refuses it. It refuses before it reads the body.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	fault := s.faults.forRequest(r, s.chance)
	if fault.Draining {
		s.refuse(w, r, RefusedDraining)
		return
	}
	if fault.Shed || !s.acquire(r) {
		s.refuse(w, r, RefusedShed)
		return
	}
	defer s.release()
	body, err := readBody(r)
	if err != nil {
		s.stats.countOutcome(outcomeBodyFailed)
		panic(http.ErrAbortHandler)
	}
	s.stats.recordRun(r.Header.Get(HeaderRequestID))
	if !s.work(r.Context(), fault) {
		s.stats.countOutcome(outcomeCanceled)
		panic(http.ErrAbortHandler)
	}
	s.respond(w, r, body, fault)
}

// acquire waits for a free slot. It returns false if the queue is full, the
// request's deadline expires or the request is canceled.
func (s *Server) acquire(r *http.Request) bool {
	if !s.stats.admit(2 * s.cfg.Slots) {
		return false
	}
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get(HeaderDeadline)); err == nil {
		withDeadline, cancel := context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
		ctx = withDeadline
	}
	select {
	case s.slots <- struct{}{}:
		s.stats.start()
		return true
	case <-ctx.Done():
		s.stats.leaveQueue()
		return false
	}
}

func (s *Server) release() {
	s.stats.finish()
	<-s.slots
}

// work simulates the work of a request. It returns false if the request is
// canceled first.
func (s *Server) work(ctx context.Context, fault Control) bool {
	if fault.Hang {
		s.stats.countOutcome(outcomeHung)
		<-ctx.Done()
		return false
	}
	duration := time.Duration(float64(s.cfg.Work) * fault.SlowFactor)
	if time.Since(s.started) < s.cfg.ColdStart {
		duration *= coldStartFactor
	}
	if duration <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request, reason string) {
	if reason == RefusedDraining {
		s.stats.countOutcome(outcomeDraining)
	} else {
		s.stats.countOutcome(outcomeShed)
	}
	h := w.Header()
	h.Set(HeaderRefused, reason)
	h.Set(HeaderUpstream, s.cfg.ID)
	h.Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// chance returns true with the given probability.
func (s *Server) chance(probability float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < probability
}
