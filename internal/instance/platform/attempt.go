package platform

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/document"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/store"
)

const (
	// unsentTries is the number of tries while nothing has been sent. It covers
	// one broken connection; an operator should hear of an outage soon.
	unsentTries = 3
	// maxSummaryBytes keeps 32 changes far below the store's limit for a value.
	maxSummaryBytes = 512
)

// attempt is one put until its result is known or its time is over.
type attempt struct {
	putter   *Putter
	request  PutRequest
	document *document.Document
	change   document.Change // set at the first write, so that each repeat writes the same
	sent     bool            // a write's answer was lost: it may take effect at any time
	tries    int             // failed tries while nothing was sent
	refused  uint64          // store version at which a write met a conflict
	lastErr  error
}

// step reads the stored document and settles the put or writes. done is false
// when another step is needed.
func (a *attempt) step(ctx context.Context) (result PutResult, done bool) {
	key := documentKey(a.request.Service)
	// Taken before the read: a document that another put brings in force in the
	// meantime does not make the read stale.
	inForce := a.putter.inForce(a.request.Service)
	v, err := a.putter.store.Get(ctx, key)
	if err != nil {
		return a.failed(err)
	}
	stored, err := DecodeEnvelope(key, v)
	if err != nil {
		return a.undecodable(err)
	}
	if result, done := a.settle(ctx, stored, v.Version, inForce); done {
		return result, true
	}
	if stored.Revision != a.request.ExpectedRevision {
		return PutResult{}, false // a stale read after a write was sent
	}
	return a.write(ctx, key, stored, v.Version)
}

// settle decides the put from the stored document, if it can. inForce is the
// revision that was in force here before the document was read.
func (a *attempt) settle(ctx context.Context, stored document.Envelope, version, inForce uint64) (PutResult, bool) {
	if c, ok := findChange(stored, a.request.ChangeID); ok {
		return a.found(ctx, stored, c), true
	}
	if a.sent {
		return a.overtaken(ctx, stored)
	}
	if stored.Revision < inForce {
		return notAccepted(stored.Revision, errkind.StoreStale,
			"the store holds revision %d, but revision %d is in force", stored.Revision, inForce), true
	}
	if stored.Revision != a.request.ExpectedRevision {
		a.putter.offer(ctx, stored, SourceStore)
		return conflict(stored, a.request.Service, a.request.ExpectedRevision), true
	}
	if a.refused > 0 && version+1 == a.refused {
		return notAccepted(stored.Revision, errkind.StoreStale,
			"the store refuses to replace revision %d, which it still returns", stored.Revision), true
	}
	return PutResult{}, false
}

// found is the result of a put whose change is in the stored history.
func (a *attempt) found(ctx context.Context, stored document.Envelope, c document.Change) PutResult {
	if c.Revision == stored.Revision && stored.Text != a.request.Text {
		return notAccepted(stored.Revision, errkind.Conflict,
			"change ID %s was used for another text at revision %d", c.ChangeID, c.Revision)
	}
	a.putter.offer(ctx, stored, SourcePut)
	return PutResult{Outcome: Accepted, Revision: c.Revision}
}

// overtaken settles a put whose write may still be on the way. The write can
// no longer take effect once another change has made the same revision.
func (a *attempt) overtaken(ctx context.Context, stored document.Envelope) (PutResult, bool) {
	if !madeRevision(stored, a.request.ExpectedRevision+1) {
		return PutResult{}, false
	}
	a.putter.offer(ctx, stored, SourceStore)
	return conflict(stored, a.request.Service, a.request.ExpectedRevision), true
}

// madeRevision reports whether the history tells who made the revision.
func madeRevision(stored document.Envelope, revision uint64) bool {
	for _, c := range stored.History {
		if c.Revision == revision {
			return true
		}
	}
	return false
}

func conflict(stored document.Envelope, service string, expected uint64) PutResult {
	if stored.Revision == 0 {
		return notAccepted(0, errkind.Conflict, "service %s has no document; expected revision %d", service, expected)
	}
	other := stored.Latest()
	r := notAccepted(stored.Revision, errkind.Conflict,
		"expected revision %d, but revision %d was made by %s at %s: %s", expected,
		stored.Revision, other.Author, other.Time.Format(time.RFC3339), other.Summary)
	r.Other = other
	return r
}

func (a *attempt) write(ctx context.Context, key string, stored document.Envelope, version uint64) (PutResult, bool) {
	if a.change.ChangeID == "" {
		a.change = a.newChange(stored)
	}
	next := nextEnvelope(stored, a.request, a.change)
	data, err := EncodeEnvelope(next)
	if err != nil {
		return notAccepted(stored.Revision, errkind.InvalidDocument, "%v", err), true
	}
	_, err = a.putter.store.Put(ctx, key, data, version, "")
	switch {
	case err == nil:
		a.putter.offer(ctx, next, SourcePut)
		return PutResult{Outcome: Accepted, Revision: next.Revision}, true
	case errors.Is(err, store.ErrConflict):
		a.refused = version + 1
		return PutResult{}, false
	case errors.Is(err, store.ErrUnavailable):
		return a.failed(err)
	default:
		a.sent = true
		a.lastErr = err
		return PutResult{}, false
	}
}

// failed handles a call without effect.
func (a *attempt) failed(err error) (PutResult, bool) {
	a.lastErr = err
	if a.sent {
		return PutResult{}, false
	}
	a.tries++
	if a.tries < unsentTries {
		return PutResult{}, false
	}
	return a.giveUp(), true
}

func (a *attempt) undecodable(err error) (PutResult, bool) {
	if a.sent {
		return unknown(0, errkind.Internal, "%v", err), true
	}
	return notAccepted(0, errkind.Internal, "%v", err), true
}

// giveUp is the result when the put's time is over.
func (a *attempt) giveUp() PutResult {
	if a.sent {
		return unknown(0, errkind.StoreUnknown, "the store's answer was lost; ask again for change %s: %v", a.request.ChangeID, a.lastErr)
	}
	return notAccepted(0, errkind.StoreUnavailable, "the store could not be reached; nothing was written: %v", a.lastErr)
}

func (a *attempt) newChange(stored document.Envelope) document.Change {
	return document.Change{
		Revision: stored.Revision + 1,
		ChangeID: a.request.ChangeID,
		Author:   a.request.Author,
		Time:     time.Now().UTC().Truncate(time.Millisecond),
		Instance: a.putter.config.Instance,
		Summary:  summarize(stored, a.document),
	}
}

func summarize(stored document.Envelope, next *document.Document) string {
	if stored.Revision == 0 {
		return "new document"
	}
	old, err := document.Parse(stored.Service, []byte(stored.Text))
	if err != nil {
		return "replaced a document that this version cannot read"
	}
	lines := document.Diff(old, next)
	if len(lines) == 0 {
		return "no change of meaning"
	}
	s := strings.Join(lines, "; ")
	if len(s) > maxSummaryBytes {
		s = strings.ToValidUTF8(s[:maxSummaryBytes], "") + "..."
	}
	return s
}

func nextEnvelope(stored document.Envelope, r PutRequest, c document.Change) document.Envelope {
	kept := stored.History[max(0, len(stored.History)-document.HistoryLimit+1):]
	history := make([]document.Change, 0, len(kept)+1)
	history = append(append(history, kept...), c)
	return document.Envelope{Service: r.Service, Revision: c.Revision, Text: r.Text, History: history}
}

func findChange(e document.Envelope, id string) (document.Change, bool) {
	for _, c := range e.History {
		if c.ChangeID == id {
			return c, true
		}
	}
	return document.Change{}, false
}

func notAccepted(revision uint64, kind errkind.Kind, format string, args ...any) PutResult {
	return PutResult{Outcome: NotAccepted, Revision: revision, Kind: kind, Message: fmt.Sprintf(format, args...)}
}

func unknown(revision uint64, kind errkind.Kind, format string, args ...any) PutResult {
	return PutResult{Outcome: Unknown, Revision: revision, Kind: kind, Message: fmt.Sprintf(format, args...)}
}
