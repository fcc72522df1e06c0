// Package entry implements the caller-facing HTTP server of an instance. It
// admits requests, chooses upstreams, proxies requests and responses, and
// serves the addresses of the fleet's instances to callers.
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
	"knapweedreel/internal/membudget"
	"knapweedreel/internal/routing"
	"knapweedreel/internal/settings"
)

// Control is the interface to the control goroutine. Its methods don't block.
type Control interface {
	// Snapshot returns the current routing snapshot, never nil.
	Snapshot() *routing.Snapshot
	// ReportOutcome reports the outcome of an attempt. If the queue is full, the
	// outcome is dropped and counted.
	ReportOutcome(health.Outcome)
}

// Config configures a Server.
type Config struct {
	Instance string // this instance's name
	Address  string // IP:port where callers connect
	Limits   settings.Limits
	Times    settings.Times
	Log      *zap.Logger // default: none
	Scope    tally.Scope // default: none
	// Listener is used instead of listening at Address. Run closes it.
	Listener net.Listener
	// Rand seeds the random choices of upstreams. Default: a random seed.
	Rand *rand.Rand
	// Placement enables the choice of upstreams by estimated failure
	// probability, for instances that serve most of the requests of their
	// region. If it is nil, each instance uses the home slots that are assigned
	// to it instead.
	Placement *Placement
	// Share, if not nil, sends the state of an attempt to other instances. It
	// must not block.
	Share func(evidence.Record)
	// Quota enables the limits of client accounts.
	Quota *Quota
	// Upstreams configures the protocol with upstreams and the connections to
	// them. If its limits are 0, they are taken from Limits and Times.
	Upstreams upstream.Config
}

// Server serves the requests of callers.
type Server struct {
	cfg          Config
	control      Control
	log          *zap.Logger
	pools        *upstream.Pools
	explanations *explanationRing
	metrics      *serviceMetrics // of requests without a service

	buffers       *bufferPool // for whole responses
	pieces        *bufferPool // for small responses and pieces of others
	budget        *membudget.Budget
	memoryMetrics *memoryMetrics
	quota         *quotaGate // nil without Config.Quota

	mu       sync.Mutex
	services map[string]*serviceState
	rand     *rand.Rand // seeds the services' random sources
	http     *http.Server

	requestCount   atomic.Uint64 // requests read so far
	drain          drainState
	stopping       context.Context // done when requests in flight are canceled
	cancelRequests context.CancelFunc
	callers        callerTable
	loads          remoteLoads
}

// New returns a server that accepts connections once Run is called.
func New(cfg Config, control Control) *Server {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	cfg.Limits, cfg.Times = withDefaults(cfg.Limits, cfg.Times)
	cfg.Limits = limitsWithinMemory(cfg.Limits)
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
		cfg:          cfg,
		control:      control,
		log:          cfg.Log,
		pools:        upstream.New(cfg.Upstreams),
		explanations: newExplanationRing(cfg.Limits.Explanations),
		metrics:      newServiceMetrics(cfg.Scope, noService),
		buffers:      &bufferPool{size: cfg.Limits.BufferedAnswerBytes + 1},
		pieces:       &bufferPool{size: min(smallAnswer, cfg.Limits.BufferedAnswerBytes) + 1},
		services:     make(map[string]*serviceState),
		rand:         cfg.Rand,
		budget:       newBudget(cfg.Limits, cfg.Times),
	}
	s.quota = newQuotaGate(s, cfg.Quota)
	s.memoryMetrics = newMemoryMetrics(cfg.Scope)
	s.stopping, s.cancelRequests = context.WithCancel(context.Background())
	s.callers.active = make(map[net.Conn]struct{})
	s.callers.idle = make(map[net.Conn]time.Time)
	return s
}

// protocol returns the protocol used with callers and upstreams.
func (s *Server) protocol() *upstream.Protocol { return s.pools.Protocol() }

// Requests returns the number of requests that the server has read.
func (s *Server) Requests() uint64 { return s.requestCount.Load() }

// withDefaults sets the defaults that package settings documents, for
// configurations that are built in code.
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
	set(&l.CallerMemoryBytes, 256<<20)
	set(&l.Explanations, 1024)
	set(&t.HeaderMS, 30_000)
	set(&t.StallMS, 1_000)
	set(&t.SlotStallMS, settings.SlotStallFactor*t.StallMS)
	set(&t.MemoryWaitMS, 2_000)
	set(&t.ConnectMS, 1_000)
	set(&t.KeepMS, 10_000)
	set(&t.DrainMS, t.KeepMS+2_000)
	set(&t.QuietLimitMS, t.DrainMS)
	set(&t.StopLimitMS, 120_000)
	return l, t
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
