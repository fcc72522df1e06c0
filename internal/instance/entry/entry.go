// Package entry is the caller-facing side of an instance: it admits requests,
// chooses upstreams, proxies requests and answers, and tells callers which
// addresses of the fleet to use.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/entry/upstream"
	"knapweedreel/internal/instance/evidence"
	"knapweedreel/internal/routing"
	"knapweedreel/internal/settings"
)

// Control is what the entry needs of the control goroutine. No call blocks.
type Control interface {
	// Snapshot returns the current routing snapshot, never nil.
	Snapshot() *routing.Snapshot
	// ReportOutcome hands over the outcome of an attempt. An outcome that does
	// not fit in the queue is dropped and counted.
	ReportOutcome(health.Outcome)
}

// Config holds what the entry needs to start.
type Config struct {
	Instance string // this instance's name
	Address  string // IP:port where callers connect
	Limits   settings.Limits
	Times    settings.Times
	Log      *zap.Logger // default: none
	Scope    tally.Scope // default: none
	// Listener accepts callers instead of one opened at Address. Run closes it.
	Listener net.Listener
	// Rand seeds the choice among equal upstreams. Default: a random seed.
	Rand *rand.Rand
	// Placement chooses upstreams by a belief about each one, for instances that
	// see most of the requests of their region. nil shares slots among instances
	// by home slots instead.
	Placement *Placement
	// Share tells other instances of an attempt; nil for none. It must not block.
	Share func(evidence.Record)
	// Upstreams changes how connections to upstreams are opened, for tests.
	Upstreams upstream.Config
}

// Server serves callers.
type Server struct {
	cfg     Config
	control Control
	log     *zap.Logger
	pools   *upstream.Pools
	ring    *ring
	metrics *serviceMetrics // of requests that belong to no service

	buffers *bufferPool

	mu       sync.Mutex
	services map[string]*service
	rand     *rand.Rand // seeds the services' random sources
	http     *http.Server

	served  atomic.Uint64 // requests that were read
	drain   drainState
	ending  context.Context // done when requests in flight have to be answered
	end     context.CancelFunc
	callers callerTable
}

// New returns a server. It accepts callers once Run is called.
func New(cfg Config, control Control) *Server {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	cfg.Limits, cfg.Times = withDefaults(cfg.Limits, cfg.Times)
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if cfg.Upstreams.ConnectTimeout == 0 {
		cfg.Upstreams.ConnectTimeout = milliseconds(cfg.Times.ConnectMS)
	}
	if cfg.Upstreams.HeaderBytes == 0 {
		cfg.Upstreams.HeaderBytes = int64(cfg.Limits.HeaderBytes)
	}
	s := &Server{
		cfg:      cfg,
		control:  control,
		log:      cfg.Log,
		pools:    upstream.New(cfg.Upstreams),
		ring:     newRing(cfg.Limits.Explanations),
		metrics:  newServiceMetrics(cfg.Scope, noService),
		buffers:  &bufferPool{size: cfg.Limits.BufferedAnswerBytes + 1},
		services: make(map[string]*service),
		rand:     cfg.Rand,
	}
	s.ending, s.end = context.WithCancel(context.Background())
	s.callers.active = make(map[net.Conn]struct{})
	s.callers.idle = make(map[net.Conn]time.Time)
	return s
}

// protocol returns the protocol with callers and upstreams.
func (s *Server) protocol() *upstream.Protocol { return s.pools.Protocol() }

// Requests returns the number of requests that the server has read.
func (s *Server) Requests() uint64 { return s.served.Load() }

// withDefaults fills in the defaults that settings document, for callers that
// build settings by hand.
func withDefaults(l settings.Limits, t settings.Times) (settings.Limits, settings.Times) {
	set := func(v *int, def int) {
		if *v == 0 {
			*v = def
		}
	}
	set(&l.CallerConnections, 4096)
	set(&l.HeaderBytes, 32<<10)
	set(&l.BufferedAnswerBytes, 64<<10)
	set(&l.BufferedBodyBytes, 64<<10)
	set(&l.Explanations, 1024)
	set(&t.HeaderMS, 30_000)
	set(&t.ConnectMS, 1_000)
	set(&t.KeepMS, 10_000)
	set(&t.DrainMS, t.KeepMS+2_000)
	set(&t.QuietLimitMS, t.DrainMS)
	set(&t.StopLimitMS, 120_000)
	return l, t
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
