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
	// maxUnsentFailures is the number of failed calls after which a put gives
	// up if no write was sent. It covers one broken connection, and still
	// reports an outage to the operator soon.
	maxUnsentFailures = 3
	// maxSummaryBytes keeps a history of 32 changes far below the store's limit
	// for a value.
	maxSummaryBytes = 512
)

// pendingPut is a put whose result is not known yet.
type pendingPut struct {
	putter          *Putter
	request         PutRequest
	document        *document.Document
	change          document.Change // set before the first write, so that all retries write the same change
	maybeWritten    bool            // the response to a write was lost; it may take effect at any time
	unsentFailures  int             // failed calls before any write was sent
	conflictVersion uint64          // version that a conflicting write would have created; 0 for none
	lastErr         error
}

// step reads the stored document, then resolves the put from it or writes. done
// is false if another step is needed.
func (p *pendingPut) step(ctx context.Context) (result PutResult, done bool) {
	key := documentKey(p.request.Service)
	// Taken before the read, so that a document that another put applies in the
	// meantime does not make the read look stale.
	applied := p.putter.appliedRevision(p.request.Service)
	v, err := p.putter.store.Get(ctx, key)
	if err != nil {
		return p.retryOrGiveUp(err)
	}
	stored, err := DecodeEnvelope(key, v)
	if err != nil {
		return p.decodeFailed(err)
	}
	if result, done := p.resolve(ctx, stored, v.Version, applied); done {
		return result, true
	}
	if stored.Revision != p.request.ExpectedRevision {
		return PutResult{}, false // a stale read after a write that may have taken effect
	}
	return p.write(ctx, key, stored, v.Version)
}

// resolve returns the put's result if the stored document determines it. applied
// is the revision that was in effect at this instance before the document was read.
func (p *pendingPut) resolve(ctx context.Context, stored document.Envelope, version, applied uint64) (PutResult, bool) {
	if c, ok := findChange(stored, p.request.ChangeID); ok {
		return p.resolveStored(ctx, stored, c), true
	}
	if p.maybeWritten {
		return p.resolveSent(ctx, stored)
	}
	if stored.Revision < applied {
		return notAccepted(stored.Revision, errkind.StoreStale,
			"the store returned revision %d, but revision %d is in effect", stored.Revision, applied), true
	}
	if stored.Revision != p.request.ExpectedRevision {
		p.putter.offer(ctx, stored, SourceStore)
		return conflict(stored, p.request.Service, p.request.ExpectedRevision), true
	}
	if p.conflictVersion > 0 && version+1 == p.conflictVersion {
		return notAccepted(stored.Revision, errkind.StoreStale,
			"the store reported a conflict when replacing revision %d, which it still returns", stored.Revision), true
	}
	return PutResult{}, false
}

// resolveStored returns the result of a put whose change is in the stored
// history.
func (p *pendingPut) resolveStored(ctx context.Context, stored document.Envelope, c document.Change) PutResult {
	if c.Revision == stored.Revision && stored.Text != p.request.Text {
		return notAccepted(stored.Revision, errkind.Conflict,
			"change ID %s was already used for a different text at revision %d", c.ChangeID, c.Revision)
	}
	p.putter.offer(ctx, stored, SourcePut)
	return PutResult{Outcome: Accepted, Revision: c.Revision}
}

// resolveSent resolves a put whose write may still reach the store. The write
// can no longer take effect once another change has created the same revision.
func (p *pendingPut) resolveSent(ctx context.Context, stored document.Envelope) (PutResult, bool) {
	if !historyHasRevision(stored, p.request.ExpectedRevision+1) {
		return PutResult{}, false
	}
	p.putter.offer(ctx, stored, SourceStore)
	return conflict(stored, p.request.Service, p.request.ExpectedRevision), true
}

// historyHasRevision reports whether the history contains the change that created
// the revision.
func historyHasRevision(stored document.Envelope, revision uint64) bool {
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
	latest := stored.Latest()
	r := notAccepted(stored.Revision, errkind.Conflict,
		"expected revision %d, but revision %d was written by %s at %s: %s", expected,
		stored.Revision, latest.Author, latest.Time.Format(time.RFC3339), latest.Summary)
	r.Other = latest
	return r
}

func (p *pendingPut) write(ctx context.Context, key string, stored document.Envelope, version uint64) (PutResult, bool) {
	if p.change.ChangeID == "" {
		p.change = p.newChange(stored)
	}
	next := nextEnvelope(stored, p.request, p.change)
	data, err := EncodeEnvelope(next)
	if err != nil {
		return notAccepted(stored.Revision, errkind.InvalidDocument, "%v", err), true
	}
	_, err = p.putter.store.Put(ctx, key, data, version, "")
	switch {
	case err == nil:
		p.putter.offer(ctx, next, SourcePut)
		return PutResult{Outcome: Accepted, Revision: next.Revision}, true
	case errors.Is(err, store.ErrConflict):
		p.conflictVersion = version + 1
		return PutResult{}, false
	case errors.Is(err, store.ErrUnavailable):
		return p.retryOrGiveUp(err)
	default:
		p.maybeWritten = true
		p.lastErr = err
		return PutResult{}, false
	}
}

// retryOrGiveUp handles a call that had no effect.
func (p *pendingPut) retryOrGiveUp(err error) (PutResult, bool) {
	p.lastErr = err
	if p.maybeWritten {
		return PutResult{}, false
	}
	p.unsentFailures++
	if p.unsentFailures < maxUnsentFailures {
		return PutResult{}, false
	}
	return p.giveUp(), true
}

func (p *pendingPut) decodeFailed(err error) (PutResult, bool) {
	if p.maybeWritten {
		return unknown(0, errkind.Internal, "%v", err), true
	}
	return notAccepted(0, errkind.Internal, "%v", err), true
}

// giveUp returns the result of a put that ends before its outcome is known.
func (p *pendingPut) giveUp() PutResult {
	if p.maybeWritten {
		return unknown(0, errkind.StoreUnknown, "the store's response was lost; query the result of change %s: %v", p.request.ChangeID, p.lastErr)
	}
	return notAccepted(0, errkind.StoreUnavailable, "the store could not be reached; nothing was written: %v", p.lastErr)
}

func (p *pendingPut) newChange(stored document.Envelope) document.Change {
	return document.Change{
		Revision: stored.Revision + 1,
		ChangeID: p.request.ChangeID,
		Author:   p.request.Author,
		Time:     time.Now().UTC().Truncate(time.Millisecond),
		Instance: p.putter.config.Instance,
		Summary:  summarize(stored, p.document),
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
