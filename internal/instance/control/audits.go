package control

import (
	"fmt"
	"strings"

	"knapweedreel/internal/audit"
	"knapweedreel/internal/health"
	"knapweedreel/internal/wire"
)

const (
	auditBuffer    = 256 // records waiting for the platform child
	auditBatch     = 64  // records in a message; at 1 KB each they fit in wire.MaxControlFrameBytes
	maxDetailBytes = 256 // bytes of a record's detail
	auditPerTick   = 256 // records sent to the lease holder per tick
	maxReporters   = 8   // reporters named in a record
)

// auditQueue holds audit records until they are passed to the lease holder.
type auditQueue struct {
	records []audit.Record
}

// add appends a record. If the queue is full, it drops the oldest record and
// returns true.
func (q *auditQueue) add(r audit.Record) bool {
	q.records = append(q.records, r)
	if len(q.records) <= AuditQueue {
		return false
	}
	q.records = append(q.records[:0], q.records[1:]...)
	return true
}

// AuditRecords returns the channel of the records that this instance has to
// write while it holds the lease: its own and those of its peers.
func (l *Loop) AuditRecords() <-chan audit.Record { return l.auditRecords }

// recordAudit queues a record for the lease holder.
func (l *Loop) recordAudit(r audit.Record) {
	if len(r.Detail) > maxDetailBytes {
		r.Detail = strings.ToValidUTF8(r.Detail[:maxDetailBytes], "")
	}
	if l.audits.add(r) {
		l.metrics.auditDropped.Inc(1)
	}
}

func (l *Loop) receiveAudits(m *wire.AuditEvents) {
	for _, r := range m.Records {
		l.recordAudit(r)
	}
}

// flushAudits passes queued records to the platform child if this instance
// holds the lease, and otherwise sends them to the lease holder.
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
		case l.auditRecords <- q.records[0]:
			q.records = q.records[1:]
		default:
			return
		}
	}
}

func changeDetail(c health.Change) string {
	reporters := c.Reporters[:min(len(c.Reporters), maxReporters)]
	return fmt.Sprintf("from %s, score %.2f of %.2f, %d failures, %d successes, healthy %d, floor %d, reporters %s; %s",
		c.From, c.Score, c.Threshold, c.Failures, c.Successes, c.Healthy, c.Floor, strings.Join(reporters, " "), c.Detail)
}
