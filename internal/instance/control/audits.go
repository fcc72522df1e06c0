package control

import (
	"fmt"
	"strings"

	"knapweedreel/internal/audit"
	"knapweedreel/internal/health"
	"knapweedreel/internal/wire"
)

const (
	auditBuffer     = 256 // records that wait for the platform child
	auditBatch      = 64  // records in one message; 1 KB each stays below wire.MaxFrame
	maxDetail       = 256 // bytes of a record's detail
	auditPerTick    = 256 // records sent to the holder on one tick
	maxReporterList = 8   // reporters named in a record
)

// auditQueue holds records until a lease holder takes them.
type auditQueue struct {
	records []audit.Record
}

// add appends a record and reports whether the oldest one was dropped for it.
func (q *auditQueue) add(r audit.Record) bool {
	q.records = append(q.records, r)
	if len(q.records) <= AuditQueue {
		return false
	}
	q.records = append(q.records[:0], q.records[1:]...)
	return true
}

// AuditRecords delivers the records that this instance, as holder, has to
// write: its own and those of its peers.
func (l *Loop) AuditRecords() <-chan audit.Record { return l.audited }

// record queues a record for the lease holder.
func (l *Loop) record(r audit.Record) {
	if len(r.Detail) > maxDetail {
		r.Detail = strings.ToValidUTF8(r.Detail[:maxDetail], "")
	}
	if l.audits.add(r) {
		l.metrics.auditDropped.Inc(1)
	}
}

func (l *Loop) receiveAudits(m *wire.AuditEvents) {
	for _, r := range m.Records {
		l.record(r)
	}
}

// flushAudits hands queued records to the platform child of this instance when
// it is the holder, else to the holder by its link.
func (l *Loop) flushAudits() {
	q := &l.audits
	h := l.Holder()
	if len(q.records) == 0 || h == nil {
		return
	}
	if h.Instance == l.self.ID {
		l.deliverAudits(q)
		return
	}
	if _, ok := l.links[h.Instance]; !ok {
		return
	}
	for sent := 0; len(q.records) > 0 && sent < auditPerTick; sent += auditBatch {
		n := min(len(q.records), auditBatch)
		batch := append([]audit.Record(nil), q.records[:n]...)
		l.send(h.Instance, wire.Message{AuditEvents: &wire.AuditEvents{Records: batch}})
		q.records = q.records[n:]
	}
}

func (l *Loop) deliverAudits(q *auditQueue) {
	for len(q.records) > 0 {
		select {
		case l.audited <- q.records[0]:
			q.records = q.records[1:]
		default:
			return
		}
	}
}

func changeDetail(c health.Change) string {
	reporters := c.Reporters[:min(len(c.Reporters), maxReporterList)]
	return fmt.Sprintf("from %s, score %.2f of %.2f, %d failures, %d successes, healthy %d, floor %d, reporters %s; %s",
		c.From, c.Score, c.Threshold, c.Failures, c.Successes, c.Healthy, c.Floor, strings.Join(reporters, " "), c.Detail)
}
