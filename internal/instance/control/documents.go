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

// inForce is a document in force.
type inForce struct {
	envelope document.Envelope
	parsed   *document.Document
}

// documents are the documents in force with the digest of their revisions.
type documents struct {
	byService map[string]*inForce
	hosts     map[string]string // lower-case host to service
	refused   map[string]uint64 // highest revision that did not parse
	digest    uint64
}

func (d *documents) init() {
	if d.byService == nil {
		d.byService = make(map[string]*inForce)
		d.refused = make(map[string]uint64)
		d.hosts = make(map[string]string)
	}
}

func (d *documents) revision(service string) uint64 {
	if f, ok := d.byService[service]; ok {
		return f.envelope.Revision
	}
	return 0
}

func (d *documents) set(f *inForce) {
	service := f.envelope.Service
	old := d.byService[service]
	if old != nil {
		d.digest ^= revisionHash(service, old.envelope.Revision)
	}
	d.digest ^= revisionHash(service, f.envelope.Revision)
	d.byService[service] = f
	if old == nil || !slices.Equal(old.parsed.Hosts, f.parsed.Hosts) {
		d.assignHosts()
	}
}

// assignHosts maps hosts to services. Of several services that claim a host the
// one with the smallest name gets it, at every instance alike.
func (d *documents) assignHosts() {
	clear(d.hosts)
	for service, f := range d.byService {
		for _, host := range f.parsed.Hosts {
			host = strings.ToLower(host)
			if owner, taken := d.hosts[host]; !taken || service < owner {
				d.hosts[host] = service
			}
		}
	}
}

func (d *documents) revisions() map[string]uint64 {
	out := make(map[string]uint64, len(d.byService))
	for service, f := range d.byService {
		out[service] = f.envelope.Revision
	}
	return out
}

// revisionHash is one part of the digest. The digest is the exclusive or of
// all parts, so that it changes with one document without a walk over all.
func revisionHash(service string, revision uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(service), revision))
}

// Offer puts the envelope in force if its revision is higher than the one in
// force, and returns the revision then in force at this instance. A document
// with mistakes is refused with errkind.InvalidDocument.
func (l *Loop) Offer(ctx context.Context, envelope document.Envelope, source platform.DocumentSource) (uint64, error) {
	reply := make(chan offerResult, 1)
	if err := l.submit(ctx, offerEvent{offer: l.prepare(envelope), source: source, reply: reply}); err != nil {
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
	err := l.offer(now, e.offer, e.source, "")
	e.reply <- offerResult{l.documents.revision(e.offer.envelope.Service), err}
}

// offer is an envelope whose text was parsed before it reached the loop. With
// neither parsed nor err it was not newer than the document in force.
type offer struct {
	envelope document.Envelope
	parsed   *document.Document
	err      error
}

// prepare parses an envelope on the goroutine of the caller. A text of 512 KiB
// takes tens of milliseconds, in which the loop has other work. Revisions in
// force only grow, so that a text that is not newer now never will be.
func (l *Loop) prepare(envelope document.Envelope) offer {
	o := offer{envelope: envelope}
	if s, ok := l.Snapshot().Services[envelope.Service]; ok && envelope.Revision <= s.Revision {
		return o
	}
	o.parsed, o.err = l.parse(&envelope)
	return o
}

// offer applies an envelope and passes it on. The sender is the peer that
// pushed it, or empty.
func (l *Loop) offer(now time.Time, o offer, source platform.DocumentSource, sender string) error {
	envelope := o.envelope
	current := l.documents.byService[envelope.Service]
	if current != nil && envelope.Revision <= current.envelope.Revision {
		l.notNewer(current, &envelope, source, sender)
		return nil
	}
	if o.err != nil {
		l.refuse(&envelope, source, sender, o.err)
		return o.err
	}
	f := &inForce{envelope: envelope, parsed: o.parsed}
	l.documents.set(f)
	l.cfg.Log.Info("document_in_force",
		zap.String("service", envelope.Service), zap.Uint64("revision", envelope.Revision),
		zap.String("source", string(source)), zap.String("sender", sender),
		zap.String("change", envelope.Latest().ChangeID), zap.String("author", envelope.Latest().Author))
	l.metrics.documents.Inc(1)
	l.applyDocument(now, f)
	l.pushDocument(envelope, source, sender)
	if source == platform.SourcePut {
		l.record(documentRecord(now, l.self.ID, &envelope))
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
		return nil, errkind.New(errkind.InvalidDocument, "document of service %s in the envelope of %s", parsed.Service, envelope.Service)
	}
	return parsed, nil
}

// notNewer logs two texts under one revision. The document in force stays. A
// lower revision of the store is reported by the platform child.
func (l *Loop) notNewer(current *inForce, envelope *document.Envelope, source platform.DocumentSource, sender string) {
	if envelope.Revision != current.envelope.Revision || envelope.Text == current.envelope.Text {
		return
	}
	l.metrics.conflicts.Inc(1)
	l.cfg.Log.Error("document_conflict",
		zap.String("service", envelope.Service), zap.Uint64("revision", envelope.Revision),
		zap.String("source", string(source)), zap.String("sender", sender),
		zap.String("change_in_force", current.envelope.Latest().ChangeID), zap.String("change", envelope.Latest().ChangeID))
}

// refuse logs a document that does not parse, once for each revision: peers
// push it again in every anti-entropy round.
func (l *Loop) refuse(envelope *document.Envelope, source platform.DocumentSource, sender string, err error) {
	l.metrics.refused.Inc(1)
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

// applyDocument makes the engine and the next snapshot follow a document.
func (l *Loop) applyDocument(now time.Time, f *inForce) {
	if l.serves(f.envelope.Service, l.shards) {
		l.feedDocument(now, f, true)
	}
	l.publisher.service(f.envelope.Service, true)
}

// pushDocument passes a new document on: to every link when it was accepted
// here, else to a few random ones.
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

// Envelope returns the envelope in force of a service.
func (l *Loop) Envelope(ctx context.Context, service string) (document.Envelope, bool, error) {
	reply := make(chan *inForce, 1)
	if err := l.submit(ctx, envelopeEvent{service: service, reply: reply}); err != nil {
		return document.Envelope{}, false, err
	}
	select {
	case f := <-reply:
		if f == nil {
			return document.Envelope{}, false, nil
		}
		return f.envelope, true, nil
	case <-ctx.Done():
		return document.Envelope{}, false, ctx.Err()
	case <-l.stopped:
		return document.Envelope{}, false, ErrStopped
	}
}

type envelopeEvent struct {
	service string
	reply   chan<- *inForce
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
