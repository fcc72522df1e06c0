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
	// putTimeout bounds a put. A shorter timeout leads to more unknown results
	// while the store recovers; a longer one keeps operators waiting.
	putTimeout = 10 * time.Second
	// putRetryInterval is the mean wait before a put calls the store again.
	putRetryInterval = 200 * time.Millisecond
	// offerTimeout bounds the wait until the control goroutine applies a document.
	offerTimeout = 2 * time.Second
)

// Outcome is the outcome of a put.
type Outcome string

// Outcomes of a put.
const (
	Accepted Outcome = "accepted"
	// NotAccepted means that this put has had no effect and will have none. An
	// earlier put with the same change ID may still take effect.
	NotAccepted Outcome = "not-accepted"
	Unknown     Outcome = "unknown"
)

// PutRequest asks for a new revision of a service's document.
type PutRequest struct {
	Service          string
	Text             string // JSON with comments
	ExpectedRevision uint64 // 0 for a new document
	Author           string
	ChangeID         string // unique; puts with the same ID take effect at most once
}

// PutResult is the result of a put, as returned by Put or ChangeResult.
type PutResult struct {
	Outcome  Outcome         `json:"outcome"`
	Revision uint64          `json:"revision,omitempty"` // if accepted, of this change; else the stored one, if known
	Kind     errkind.Kind    `json:"kind,omitempty"`     // empty if accepted
	Message  string          `json:"message,omitempty"`
	Other    document.Change `json:"other,omitzero"` // the latest stored change, set for a conflict
}

// PutterConfig configures a Putter.
type PutterConfig struct {
	// Instance is the ID of this instance, recorded in the history.
	Instance string
	// Random is the source of jitter for waits. It must not be shared, because
	// it is not safe for concurrent use. Default: a randomly seeded source.
	Random *rand.Rand
	// Log receives one line for each put. Default: no log.
	Log *zap.Logger
}

// Putter writes operators' changes to the store. It is safe for concurrent use.
type Putter struct {
	config      PutterConfig
	control     Control
	store       store.Store
	jitter      *jitter
	unknownPuts *unknownPuts
}

// NewPutter returns a Putter.
func NewPutter(c PutterConfig, control Control, s store.Store) *Putter {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	return &Putter{config: c, control: control, store: s, jitter: newJitter(c.Random), unknownPuts: newUnknownPuts()}
}

// Put validates the document and writes it as revision ExpectedRevision+1 by
// compare-and-swap. It returns within 10 s, or when ctx ends. If the outcome is
// Unknown, the change may still take effect: call ChangeResult, or repeat the put
// with the same change ID, which never applies the change twice.
func (p *Putter) Put(ctx context.Context, r PutRequest) PutResult {
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	result := p.put(ctx, r)
	if result.Outcome == Unknown {
		p.unknownPuts.add(r)
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
	pending := &pendingPut{putter: p, request: r, document: doc}
	for {
		result, done := pending.step(ctx)
		if done {
			return result
		}
		if !p.jitter.sleep(ctx, putRetryInterval) {
			return pending.giveUp()
		}
	}
}

// check validates the parts of a request that don't depend on the store.
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

// appliedRevision returns the revision in effect at this instance, or 0 for none.
func (p *Putter) appliedRevision(service string) uint64 {
	if s, ok := p.control.Snapshot().Services[service]; ok {
		return s.Revision
	}
	return 0
}

// offer applies a stored envelope at this instance, whose control goroutine pushes
// it to the peers. It ignores the cancellation of ctx, so that it completes even if
// the operator has disconnected.
func (p *Putter) offer(ctx context.Context, envelope document.Envelope, source DocumentSource) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), offerTimeout)
	defer cancel()
	if _, err := p.control.Offer(ctx, envelope, source); err != nil {
		p.config.Log.Error("document_offer_failed", zap.String("service", envelope.Service), zap.Uint64("revision", envelope.Revision), zap.Error(err))
	}
}

// ChangeResult returns the result of a put whose outcome was Unknown. A change that
// is not found stays Unknown, because its write may still reach the store. Only the
// instance that ran the put can tell that it was not accepted, once another change
// has created its revision.
func (p *Putter) ChangeResult(ctx context.Context, service, changeID string) PutResult {
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
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
	if expected, ok := p.unknownPuts.find(service, changeID); ok && historyHasRevision(e, expected+1) {
		return conflict(e, service, expected)
	}
	return unknown(e.Revision, errkind.NotFound,
		"the last %d changes of service %s, up to revision %d, do not include change %s; put it again with the same ID to get a definite result",
		len(e.History), service, e.Revision, changeID)
}

// jitter makes a random source safe for concurrent use.
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

// around returns a random duration in [0.9, 1.1) times mean.
func (j *jitter) around(mean time.Duration) time.Duration {
	return mean - mean/10 + j.upTo(mean/5)
}

// sleep waits for around(mean). It returns false if ctx ended first.
func (j *jitter) sleep(ctx context.Context, mean time.Duration) bool {
	return supervisor.Sleep(ctx, j.around(mean))
}
