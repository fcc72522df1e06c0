package control

import (
	"context"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"knapweedreel/internal/audit"
	"knapweedreel/internal/document"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/platform"
	"knapweedreel/internal/wire"
)

// appliedDocument is the document in effect for a service.
type appliedDocument struct {
	envelope document.Envelope
	parsed   *document.Document
}

// documents holds the documents in effect and a digest of their revisions.
type documents struct {
	byService map[string]*appliedDocument
	hosts     map[string]string // service by lower-case host
	refused   map[string]uint64 // highest invalid revision by service
	digest    uint64
}

func (d *documents) init() {
	if d.byService == nil {
		d.byService = make(map[string]*appliedDocument)
		d.refused = make(map[string]uint64)
		d.hosts = make(map[string]string)
	}
}

func (d *documents) revision(service string) uint64 {
	if doc, ok := d.byService[service]; ok {
		return doc.envelope.Revision
	}
	return 0
}

func (d *documents) set(doc *appliedDocument) {
	service := doc.envelope.Service
	old := d.byService[service]
	if old != nil {
		d.digest ^= revisionHash(service, old.envelope.Revision)
	}
	d.digest ^= revisionHash(service, doc.envelope.Revision)
	d.byService[service] = doc
	if old == nil || !slices.Equal(old.parsed.Hosts, doc.parsed.Hosts) {
		d.assignHosts()
	}
}

// assignHosts maps hosts to services. If several services claim a host, the one
// whose name sorts first gets it, so that all instances agree.
func (d *documents) assignHosts() {
	clear(d.hosts)
	for service, doc := range d.byService {
		for _, host := range doc.parsed.Hosts {
			host = strings.ToLower(host)
			if owner, taken := d.hosts[host]; !taken || service < owner {
				d.hosts[host] = service
			}
		}
	}
}

func (d *documents) revisions() map[string]uint64 {
	out := make(map[string]uint64, len(d.byService))
	for service, doc := range d.byService {
		out[service] = doc.envelope.Revision
	}
	return out
}

// revisionHash returns the hash of one service's revision. The digest is the XOR
// of all these hashes, so that it can be updated for one document without
// iterating over all of them.
func revisionHash(service string, revision uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(service), revision))
}

// Offer applies the envelope if its revision is higher than the one in effect,
// and returns the revision then in effect at this instance. It returns
// errkind.InvalidDocument for an invalid document.
func (l *Loop) Offer(ctx context.Context, envelope document.Envelope, source platform.DocumentSource) (uint64, error) {
	reply := make(chan offerResult, 1)
	if err := l.submit(ctx, offerEvent{offer: l.parseOffer(envelope), source: source, reply: reply}); err != nil {
		return 0, err
	}
	select {
	case r := <-reply:
		return r.revision, r.err
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-l.stopped:
		return 0, ErrStopped
	}
}

type offerResult struct {
	revision uint64
	err      error
}

type offerEvent struct {
	offer  offer
	source platform.DocumentSource
	reply  chan<- offerResult
}

func (e offerEvent) apply(l *Loop, now time.Time) {
	err := l.applyOffer(now, e.offer, e.source, "")
	e.reply <- offerResult{l.documents.revision(e.offer.envelope.Service), err}
}

// offer is an envelope with the result of parsing its text, which happens
// outside the loop. Neither parsed nor err is set if the envelope was not newer
// than the document in effect.
type offer struct {
	envelope document.Envelope
	parsed   *document.Document
	err      error
}

// parseOffer parses an envelope on the calling goroutine: a text of 512 KiB
// takes tens of milliseconds, for which the loop must not block. It skips an
// envelope that is not newer than the document in effect; as revisions only
// increase, it cannot become newer later.
func (l *Loop) parseOffer(envelope document.Envelope) offer {
	o := offer{envelope: envelope}
	if s, ok := l.Snapshot().Services[envelope.Service]; ok && envelope.Revision <= s.Revision {
		return o
	}
	o.parsed, o.err = l.parse(&envelope)
	return o
}

// applyOffer applies an envelope and forwards it to peers. The sender is the
// peer that pushed it, or empty.
func (l *Loop) applyOffer(now time.Time, o offer, source platform.DocumentSource, sender string) error {
	envelope := o.envelope
	current := l.documents.byService[envelope.Service]
	if current != nil && envelope.Revision <= current.envelope.Revision {
		l.reportConflict(current, &envelope, source, sender)
		return nil
	}
	if o.err != nil {
		l.refuse(&envelope, source, sender, o.err)
		return o.err
	}
	doc := &appliedDocument{envelope: envelope, parsed: o.parsed}
	l.documents.set(doc)
	l.cfg.Log.Info("document_in_force",
		zap.String("service", envelope.Service), zap.Uint64("revision", envelope.Revision),
		zap.String("source", string(source)), zap.String("sender", sender),
		zap.String("change", envelope.Latest().ChangeID), zap.String("author", envelope.Latest().Author))
	l.metrics.documentsApplied.Inc(1)
	l.applyDocument(now, doc)
	l.pushDocument(envelope, source, sender)
	if source == platform.SourcePut {
		l.recordAudit(documentRecord(now, l.self.ID, &envelope))
	}
	l.checkReady()
	return nil
}

func (l *Loop) parse(envelope *document.Envelope) (*document.Document, error) {
	parsed, err := l.cfg.Parse(envelope.Service, []byte(envelope.Text))
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidDocument, err, "document %s revision %d", envelope.Service, envelope.Revision)
	}
	if parsed.Service != envelope.Service {
		return nil, errkind.New(errkind.InvalidDocument, "document for service %s in the envelope of service %s", parsed.Service, envelope.Service)
	}
	return parsed, nil
}

// reportConflict logs an envelope whose text differs from that of the document
// in effect under the same revision. The document stays in effect. Lower
// revisions in the store are reported by the platform child.
func (l *Loop) reportConflict(current *appliedDocument, envelope *document.Envelope, source platform.DocumentSource, sender string) {
	if envelope.Revision != current.envelope.Revision || envelope.Text == current.envelope.Text {
		return
	}
	l.metrics.documentConflicts.Inc(1)
	l.cfg.Log.Error("document_conflict",
		zap.String("service", envelope.Service), zap.Uint64("revision", envelope.Revision),
		zap.String("source", string(source)), zap.String("sender", sender),
		zap.String("change_in_force", current.envelope.Latest().ChangeID), zap.String("change", envelope.Latest().ChangeID))
}

// refuse logs an invalid document, once per revision, as peers push it again in
// every anti-entropy round.
func (l *Loop) refuse(envelope *document.Envelope, source platform.DocumentSource, sender string, err error) {
	l.metrics.documentsRefused.Inc(1)
	if l.documents.refused[envelope.Service] >= envelope.Revision {
		return
	}
	l.documents.refused[envelope.Service] = envelope.Revision
	l.cfg.Log.Error("document_refused",
		zap.String("service", envelope.Service), zap.Uint64("revision", envelope.Revision),
		zap.Uint64("in_force", l.documents.revision(envelope.Service)),
		zap.String("source", string(source)), zap.String("sender", sender), zap.Error(err))
	l.checkReady()
}

// applyDocument updates the engine and marks the service for the next snapshot.
func (l *Loop) applyDocument(now time.Time, doc *appliedDocument) {
	if l.serves(doc.envelope.Service, l.shards) {
		l.feedDocument(now, doc, true)
	}
	l.publisher.markService(doc.envelope.Service, true)
}

// pushDocument sends a new document to all linked peers if it was put at this
// instance, and otherwise to Fanout random ones.
func (l *Loop) pushDocument(envelope document.Envelope, source platform.DocumentSource, sender string) {
	targets := slices.DeleteFunc(l.linkedIDs(), func(id string) bool { return id == sender })
	if source != platform.SourcePut {
		targets = l.sample(targets, Fanout)
	}
	for _, id := range targets {
		l.send(id, wire.Message{DocumentPush: &wire.DocumentPush{Envelope: envelope}})
	}
}

// sample returns up to n random elements of ids.
func (l *Loop) sample(ids []string, n int) []string {
	l.cfg.Random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(n, len(ids))]
}

// Envelope returns the envelope in effect for a service, or false if there is
// none.
func (l *Loop) Envelope(ctx context.Context, service string) (document.Envelope, bool, error) {
	reply := make(chan *appliedDocument, 1)
	if err := l.submit(ctx, envelopeEvent{service: service, reply: reply}); err != nil {
		return document.Envelope{}, false, err
	}
	select {
	case doc := <-reply:
		if doc == nil {
			return document.Envelope{}, false, nil
		}
		return doc.envelope, true, nil
	case <-ctx.Done():
		return document.Envelope{}, false, ctx.Err()
	case <-l.stopped:
		return document.Envelope{}, false, ErrStopped
	}
}

type envelopeEvent struct {
	service string
	reply   chan<- *appliedDocument
}

func (e envelopeEvent) apply(l *Loop, _ time.Time) {
	e.reply <- l.documents.byService[e.service]
}

func documentRecord(now time.Time, instance string, e *document.Envelope) audit.Record {
	change := e.Latest()
	return audit.Record{
		Time: now, Instance: instance, Kind: audit.KindDocument, Service: e.Service,
		Subject: e.Service, Action: "accepted", Revision: e.Revision,
		Detail: change.Author + " " + change.ChangeID + ": " + change.Summary,
	}
}
