package platform

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"knapweedreel/internal/audit"
)

const (
	// maxAuditQueue bounds the records that wait while the store is unavailable.
	maxAuditQueue = 4096
	// auditInterval is the mean time between two writes. With 64 shards, the
	// audit trail uses 32 of the several hundred writes/s that the store can take.
	auditInterval = 2 * time.Second
	// maxAuditBatch bounds the records of one write. More don't fit in a segment.
	maxAuditBatch = 512
)

// auditQueue holds records until they are written. When it is full, the oldest
// record is dropped and counted.
type auditQueue struct {
	mu      sync.Mutex
	records []audit.Record
	dropped tally.Counter
}

func newAuditQueue(dropped tally.Counter) *auditQueue { return &auditQueue{dropped: dropped} }

func (q *auditQueue) add(r audit.Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.records) >= maxAuditQueue {
		q.records = q.records[1:]
		q.dropped.Inc(1)
	}
	q.records = append(q.records, r)
}

// take removes and returns the oldest records, at most n.
func (q *auditQueue) take(n int) []audit.Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	n = min(n, len(q.records))
	taken := append([]audit.Record(nil), q.records[:n]...)
	q.records = q.records[n:]
	return taken
}

// requeue puts records back at the head of the queue. Records that don't fit are
// dropped, oldest first.
func (q *auditQueue) requeue(records []audit.Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if over := len(records) + len(q.records) - maxAuditQueue; over > 0 {
		over = min(over, len(records))
		records = records[over:]
		q.dropped.Inc(int64(over))
	}
	q.records = append(append([]audit.Record(nil), records...), q.records...)
}

// collectAudit moves records from control to the queue, whether or not the lease
// is held.
func (c *Child) collectAudit(ctx context.Context) error {
	records := c.control.AuditRecords()
	for {
		select {
		case r, ok := <-records:
			if !ok {
				return nil
			}
			c.auditQueue.add(r)
		case <-ctx.Done():
			return nil
		}
	}
}

// writeAudit writes queued records while the lease is held.
func (c *Child) writeAudit(ctx context.Context, h *heldLease) error {
	w := audit.NewWriter(c.store, h.shard, h.lease)
	var batch []audit.Record // taken from the queue and not known to be written
	defer func() { c.auditQueue.requeue(batch) }()
	for c.jitter.sleep(ctx, auditInterval) {
		if len(batch) < maxAuditBatch {
			batch = append(batch, c.auditQueue.take(maxAuditBatch-len(batch))...)
		}
		current := c.usableLease()
		if current == nil { // hold is about to cancel ctx
			continue
		}
		n, err := c.appendAudit(ctx, w, current, batch)
		batch = batch[n:]
		c.metrics.auditWritten.Inc(int64(n))
		if err != nil {
			c.log.Warn("audit_write_failed", zap.Int("waiting", len(batch)), zap.Error(err))
		}
	}
	return nil
}

// appendAudit writes records under the lease. The call ends when the lease does.
func (c *Child) appendAudit(ctx context.Context, w *audit.Writer, h *heldLease, batch []audit.Record) (int, error) {
	ctx, cancel := context.WithDeadline(ctx, h.usableUntil())
	defer cancel()
	return w.Append(ctx, batch)
}
