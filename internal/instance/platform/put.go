package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"knapweedreel/internal/document"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/store"
	"knapweedreel/internal/supervisor"
)

const (
	// putLimit is the longest time for a put. A shorter one gives more unknown
	// results while the store recovers; a longer one keeps operators waiting.
	putLimit = 10 * time.Second
	// putPause is the mean time between two tries of a put.
	putPause = 200 * time.Millisecond
	// offerLimit bounds the wait for the control goroutine after acceptance.
	offerLimit = 2 * time.Second
)

// Outcome tells what became of a put.
type Outcome string

// The outcomes.
const (
	Accepted Outcome = "accepted"
	// NotAccepted means that this put has changed nothing and will not. An
	// earlier put of the same change ID may still take effect.
	NotAccepted Outcome = "not-accepted"
	Unknown     Outcome = "unknown"
)

// PutRequest asks for a new revision of a service's document.
type PutRequest struct {
	Service          string
	Text             string // JSON with comments
	ExpectedRevision uint64 // 0 for a new document
	Author           string
	ChangeID         string // unique; a put with the same ID takes effect at most once
}

// PutResult is the result of a put, or of asking for it again.
type PutResult struct {
	Outcome  Outcome         `json:"outcome"`
	Revision uint64          `json:"revision,omitempty"` // accepted: of this change; else: the stored one, if known
	Kind     errkind.Kind    `json:"kind,omitempty"`     // empty when accepted
	Message  string          `json:"message,omitempty"`
	Other    document.Change `json:"other,omitzero"` // conflict: the latest change by somebody else
}

// PutterConfig configures a Putter.
type PutterConfig struct {
	// Instance is the name of this instance, for the history.
	Instance string
	// Random gives the jitter of waits. It must be given to nothing else,
	// because it is not safe for several goroutines. Default: a random seed.
	Random *rand.Rand
	// Log receives one line for each put.
	Log *zap.Logger
}

// Putter brings operators' changes into the store. It may be used by several
// goroutines.
type Putter struct {
	config  PutterConfig
	control Control
	store   store.Store
	random  *jitter
	unknown *unsettled
}

// NewPutter returns a Putter.
func NewPutter(c PutterConfig, control Control, s store.Store) *Putter {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	return &Putter{config: c, control: control, store: s, random: newJitter(c.Random), unknown: newUnsettled()}
}

// Put validates the document and writes it as revision ExpectedRevision+1 by
// compare-and-swap. It returns within 10 s, or when ctx ends. After an unknown
// result the change may still take effect: ask with ChangeResult, or put the
// same change with the same ID again, which never applies it twice.
func (p *Putter) Put(ctx context.Context, r PutRequest) PutResult {
	ctx, cancel := context.WithTimeout(ctx, putLimit)
	defer cancel()
	result := p.put(ctx, r)
	if result.Outcome == Unknown {
		p.unknown.add(r)
	}
	p.config.Log.Info("document_put",
		zap.String("service", r.Service), zap.String("author", r.Author), zap.String("change", r.ChangeID),
		zap.Uint64("expected_revision", r.ExpectedRevision), zap.String("outcome", string(result.Outcome)),
		zap.Uint64("revision", result.Revision), zap.String("kind", string(result.Kind)), zap.String("message", result.Message))
	return result
}

func (p *Putter) put(ctx context.Context, r PutRequest) PutResult {
	doc, err := p.check(r)
	if err != nil {
		return notAccepted(0, errkind.InvalidDocument, "%v", err)
	}
	a := &attempt{putter: p, request: r, document: doc}
	for {
		result, done := a.step(ctx)
		if done {
			return result
		}
		if !p.random.sleep(ctx, putPause) {
			return a.giveUp()
		}
	}
}

// check validates what does not need the store.
func (p *Putter) check(r PutRequest) (*document.Document, error) {
	if r.ChangeID == "" {
		return nil, errors.New("change ID is missing")
	}
	if r.Author == "" {
		return nil, errors.New("author is missing")
	}
	if !utf8.ValidString(r.Text) {
		return nil, errors.New("document is not UTF-8")
	}
	doc, err := document.Parse(r.Service, []byte(r.Text))
	if err != nil {
		return nil, err
	}
	if doc.Service != r.Service {
		return nil, errors.Newf("document is for service %q, not %q", doc.Service, r.Service)
	}
	return doc, nil
}

// inForce returns the revision in force at this instance, 0 for none.
func (p *Putter) inForce(service string) uint64 {
	if s, ok := p.control.Snapshot().Services[service]; ok {
		return s.Revision
	}
	return 0
}

// offer puts an accepted envelope in force at this instance, whose control
// goroutine pushes it to the peers. It goes on when the operator has gone.
func (p *Putter) offer(ctx context.Context, e document.Envelope, source DocumentSource) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), offerLimit)
	defer cancel()
	if _, err := p.control.Offer(ctx, e, source); err != nil {
		p.config.Log.Error("document_offer_failed", zap.String("service", e.Service), zap.Uint64("revision", e.Revision), zap.Error(err))
	}
}

// ChangeResult tells what became of a put whose result was unknown. A change
// that is not found stays unknown, because its write may still be on the way to
// the store. The instance that ran the put can tell that it was not accepted
// once another change has made its revision.
func (p *Putter) ChangeResult(ctx context.Context, service, changeID string) PutResult {
	ctx, cancel := context.WithTimeout(ctx, putLimit)
	defer cancel()
	key := documentKey(service)
	v, err := p.store.Get(ctx, key)
	if err != nil {
		return unknown(0, errkind.StoreUnavailable, "the store could not be read: %v", err)
	}
	e, err := DecodeEnvelope(key, v)
	if err != nil {
		return unknown(0, errkind.Internal, "%v", err)
	}
	if c, ok := findChange(e, changeID); ok {
		p.offer(ctx, e, SourceStore)
		return PutResult{Outcome: Accepted, Revision: c.Revision}
	}
	if expected, ok := p.unknown.find(service, changeID); ok && madeRevision(e, expected+1) {
		return conflict(e, service, expected)
	}
	return unknown(e.Revision, errkind.NotFound,
		"the last %d changes of service %s, up to revision %d, do not hold change %s; put it again with the same ID to settle it",
		len(e.History), service, e.Revision, changeID)
}

// jitter makes a random source usable by several goroutines.
type jitter struct {
	mu     sync.Mutex
	source *rand.Rand
}

func newJitter(source *rand.Rand) *jitter {
	if source == nil {
		source = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &jitter{source: source}
}

// upTo returns a random duration in [0, limit).
func (j *jitter) upTo(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return time.Duration(j.source.Int64N(int64(limit)))
}

// around returns a random duration in [0.9, 1.1) of mean.
func (j *jitter) around(mean time.Duration) time.Duration {
	return mean - mean/10 + j.upTo(mean/5)
}

// sleep waits for around(mean). It returns false when ctx ended first.
func (j *jitter) sleep(ctx context.Context, mean time.Duration) bool {
	return supervisor.Sleep(ctx, j.around(mean))
}
