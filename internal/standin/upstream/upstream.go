// Package upstream is a stand-in for an upstream: an HTTP/1.1 server that does
// a bounded number of requests at a time and has faults that a test can switch
// on. It counts how often each request was run.
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
	HeaderRequestID = "Knapweedreel-Request-Id"  // echoed in the answer
	HeaderCaller    = "Knapweedreel-Caller"      // caller account
	HeaderDeadline  = "Knapweedreel-Deadline-Ms" // remaining time, in milliseconds
	HeaderRefused   = "Knapweedreel-Refused"     // the request was not run
	HeaderUpstream  = "Standin-Upstream"         // ID of the upstream that answered
	HeaderChecksum  = "Standin-Checksum"         // hex SHA-256 of the answer's body
)

// Values of HeaderRefused.
const (
	RefusedShed     = "shed"
	RefusedDraining = "draining"
)

// coldStartFactor is how much longer work takes during the cold start.
const coldStartFactor = 4

// Config describes an upstream.
type Config struct {
	ID        string
	Service   string
	Slots     int           // requests that are run at a time; as many may wait
	Work      time.Duration // time that a request takes
	ColdStart time.Duration // time after New in which work takes longer
	Seed      uint64        // of the random choice of faulty requests; 0 takes the hash of ID
}

// Server is one upstream.
type Server struct {
	cfg     Config
	started time.Time
	slots   chan struct{}
	faults  faults
	stats   stats

	mu       sync.Mutex
	random   *rand.Rand
	previous *answer // the answer before, for crossed answers
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

// Handler returns the handler of requests and of the control paths, which
// begin with "/.standin/".
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

// serve runs a request, or refuses it before reading its body.
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
		s.stats.count(outcomeBodyFailed)
		panic(http.ErrAbortHandler)
	}
	s.stats.run(r.Header.Get(HeaderRequestID))
	if !s.work(r.Context(), fault) {
		s.stats.count(outcomeCanceled)
		panic(http.ErrAbortHandler)
	}
	s.answer(w, r, body, fault)
}

// acquire waits for a slot. It returns false when the queue is full, when the
// request's deadline passes, or when the request is canceled.
func (s *Server) acquire(r *http.Request) bool {
	if !s.stats.enter(2 * s.cfg.Slots) {
		return false
	}
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get(HeaderDeadline)); err == nil {
		limited, cancel := context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	select {
	case s.slots <- struct{}{}:
		s.stats.start()
		return true
	case <-ctx.Done():
		s.stats.leave()
		return false
	}
}

func (s *Server) release() {
	s.stats.finish()
	<-s.slots
}

// work takes the time of a request. It returns false when the request was
// canceled before its end.
func (s *Server) work(ctx context.Context, fault Control) bool {
	if fault.Hang {
		s.stats.count(outcomeHung)
		<-ctx.Done()
		return false
	}
	took := time.Duration(float64(s.cfg.Work) * fault.SlowFactor)
	if time.Since(s.started) < s.cfg.ColdStart {
		took *= coldStartFactor
	}
	if took <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(took)
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
		s.stats.count(outcomeDraining)
	} else {
		s.stats.count(outcomeShed)
	}
	h := w.Header()
	h.Set(HeaderRefused, reason)
	h.Set(HeaderUpstream, s.cfg.ID)
	h.Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// chance returns true for the given share of calls.
func (s *Server) chance(share float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < share
}
