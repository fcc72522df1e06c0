// Package control owns the control state of an instance: the documents in
// effect, the member table and the health engine.
//
// All of this state belongs to the goroutine of Loop.Run. Other goroutines send
// it typed events through bounded queues and read an immutable routing.Snapshot
// without locks. Requests never wait for the loop.
package control

import (
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/peering"
	"knapweedreel/internal/member"
	"knapweedreel/internal/wire"
)

// Queue sizes.
const (
	EventQueue   = 1024 // events from peers, platform and operators; senders block when full
	OutcomeQueue = 8192 // outcomes of attempts; dropped when full
	AuditQueue   = 4096 // audit records while no lease holder is known; the oldest is dropped when full
	traceQueue   = 4096 // events for one trace reader; dropped when full
)

// Fixed intervals and thresholds of the loop.
const (
	// PublishInterval is the minimum time between two snapshots. Urgent changes,
	// such as ejections, leaving upstreams and documents, are published at once.
	PublishInterval = 10 * time.Millisecond
	// SyncInterval is the time between anti-entropy rounds.
	SyncInterval = time.Second
	// PauseThreshold is the delay of the loop above which the process counts as
	// paused. Outcomes observed around a pause reflect the state of this process
	// rather than that of the upstreams.
	PauseThreshold = 500 * time.Millisecond
	// RecheckThreshold is the length of a pause above which documents are compared
	// with a peer or the store before requests are served again. Peers drop an
	// instance that is silent for this long, so pushes may have been missed.
	RecheckThreshold = 3 * time.Second
)

// Fanout is the number of random peers to which a received document is
// forwarded, and the number of random links to other shards.
const Fanout = 4

// Engine is the part of health.Engine that the loop uses.
type Engine interface {
	Apply(now time.Time, event health.Event) []health.Change
	// Outgoing returns the evidence to send to peers. It is called after each
	// Tick.
	Outgoing(now time.Time) []health.Evidence
	// TakeLeaving returns the upstreams that have become known to be leaving since
	// the last call. It omits those that only peers have reported.
	TakeLeaving() []health.Key
	Views(service string) []health.View
}

// Config configures a Loop. All fields except InFlight are required.
type Config struct {
	// Self describes this instance. Its Incarnation must be higher than in earlier
	// runs of the process.
	Self member.Info
	// NewEngine returns an empty health engine.
	NewEngine func() Engine
	// Parse parses and validates a document and applies its defaults.
	Parse func(name string, text []byte) (*document.Document, error)
	// InFlight returns the number of requests in flight at each upstream, which
	// heartbeats carry.
	InFlight func() []wire.InFlight
	// Peers sends messages to other instances. Its methods do not block.
	Peers peering.Sender
	// Heartbeat is the heartbeat interval.
	Heartbeat time.Duration
	// PeerTimeout is the time without a message after which a peer is lost.
	PeerTimeout time.Duration
	// HolderTimeout is the time for which an announcement of a lease holder is
	// valid.
	HolderTimeout time.Duration
	// Explanations is the number of decisions kept for ExplainUpstream.
	Explanations int
	Clock        Clock
	Random       *rand.Rand
	Log          *zap.Logger
	Scope        tally.Scope
}
