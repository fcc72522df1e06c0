// Package control owns the control state of an instance: the documents in
// force, the member table and the health engine.
//
// One goroutine, Loop.Run, owns all of it. Others hand it typed events through
// bounded queues and read an immutable routing.Snapshot without locks. Traffic
// never waits for the loop.
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

// Sizes of queues.
const (
	EventQueue   = 1024 // events of peers, platform and operators; senders wait
	OutcomeQueue = 8192 // outcomes of traffic; dropped when full
	AuditQueue   = 4096 // audit records without a known lease holder; oldest dropped
	traceQueue   = 4096 // events of one trace reader; dropped when full
)

// Intervals of the loop that do not come from settings.
const (
	// PublishInterval is the shortest time between two snapshots, but for
	// ejections, leavings and documents, which are published at once.
	PublishInterval = 10 * time.Millisecond
	// SyncInterval is the time between anti-entropy rounds.
	SyncInterval = time.Second
	// PauseLimit is the lateness of the loop from which the process counts as
	// paused. Evidence of the time around a pause is about this process rather
	// than about upstreams.
	PauseLimit = 500 * time.Millisecond
	// RecheckLimit is the pause after which documents are compared with a peer
	// or the store before requests are served again. Peers drop an instance
	// that is silent for this long, so pushes may have been missed.
	RecheckLimit = 3 * time.Second
)

// Fanout is the number of random peers to which a received document is passed
// on, and of random links outside the own shard.
const Fanout = 4

// Engine is the part of health.Engine that the loop uses.
type Engine interface {
	Apply(now time.Time, event health.Event) []health.Change
	// Outgoing returns the evidence that is due for peers, after each Tick.
	Outgoing(now time.Time) []health.Evidence
	// Leaving returns the upstreams that this instance has newly learned to be
	// leaving from others than peers, each once.
	Leaving() []health.Key
	Views(service string) []health.View
}

// Config is what a Loop needs. All fields but InFlight are required.
type Config struct {
	// Self is this instance. Its Boot must be higher than at earlier starts.
	Self member.Info
	// NewEngine returns an empty health engine.
	NewEngine func() Engine
	// Parse reads and validates a document and applies its defaults.
	Parse func(name string, text []byte) (*document.Document, error)
	// InFlight returns the entry's requests in flight for heartbeats.
	InFlight func() []wire.InFlight
	// Peers sends messages. No call blocks.
	Peers peering.Sender
	// Heartbeat is the time between heartbeats.
	Heartbeat time.Duration
	// PeerTimeout is the time without a message after which a peer is lost.
	PeerTimeout time.Duration
	// HolderTimeout is the time for which an announced lease holder counts.
	HolderTimeout time.Duration
	// Explanations is the number of decisions kept for ExplainUpstream.
	Explanations int
	Clock        Clock
	Random       *rand.Rand
	Log          *zap.Logger
	Scope        tally.Scope
}
