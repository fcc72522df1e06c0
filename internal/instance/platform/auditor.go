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
	// auditQueueLimit bounds the records that wait while the store is away.
	auditQueueLimit = 4096
	// auditInterval is the mean time between two writes. With 64 shards it
	// keeps the audit trail at 32 of the store's several hundred writes/s.
	auditInterval = 2 * time.Second
	// auditBatch bounds the records of one write; more don't fit a segment.
	auditBatch = 512
)

// auditQueue holds records until they are written. When it is full the oldest
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
	if len(q.records) >= auditQueueLimit {
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

// giveBack puts records back before all others. Those that don't fit are
// dropped, oldest first.
func (q *auditQueue) giveBack(records []audit.Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if over := len(records) + len(q.records) - auditQueueLimit; over > 0 {
		over = min(over, len(records))
		records = records[over:]
		q.dropped.Inc(int64(over))
	}
	q.records = append(append([]audit.Record(nil), records...), q.records...)
}

// collectAudit moves control's records to the queue, whether or not the lease
// is held at the moment.
func (c *Child) collectAudit(ctx context.Context) error {
	records := c.control.AuditRecords()
	for {
		select {
		case r, ok := <-records:
			if !ok {
				return nil
			}
			c.queue.add(r)
		case <-ctx.Done():
			return nil
		}
	}
}

// writeAudit writes queued records while the lease is held.
func (c *Child) writeAudit(ctx context.Context, h *holding) error {
	w := audit.NewWriter(c.store, h.shard, h.lease)
	var batch []audit.Record // taken from the queue, not yet known as written
	defer func() { c.queue.giveBack(batch) }()
	for c.random.sleep(ctx, auditInterval) {
		if len(batch) < auditBatch {
			batch = append(batch, c.queue.take(auditBatch-len(batch))...)
		}
		held := c.held()
		if held == nil { // the renewal ends ctx soon
			continue
		}
		n, err := c.append(ctx, w, held, batch)
		batch = batch[n:]
		c.metrics.auditWritten.Inc(int64(n))
		if err != nil {
			c.log.Warn("audit_write_failed", zap.Int("waiting", len(batch)), zap.Error(err))
		}
	}
	return nil
}

// append writes under the lease; the call ends with the holding.
func (c *Child) append(ctx context.Context, w *audit.Writer, h *holding, batch []audit.Record) (int, error) {
	ctx, cancel := context.WithDeadline(ctx, h.end())
	defer cancel()
	return w.Append(ctx, batch)
}
