package platform

import (
	"context"
	"time"

	"go.uber.org/zap"

	"knapweedreel/internal/store"
)

const (
	// readRetry is the mean wait after the first failed read of all documents.
	// It doubles up to maxReadRetry, so that a fleet that starts while the store
	// recovers does not overload it.
	readRetry    = 500 * time.Millisecond
	maxReadRetry = 8 * time.Second
	// isolatedReadInterval is the mean time between reads of the store by an
	// instance without live peers. A peer counts as lost after 3 s, so an
	// accepted document arrives within 5 s as long as the store responds.
	isolatedReadInterval = time.Second
	// watchRetry is the mean wait after a failed watch.
	watchRetry = time.Second
	// watchInterval is the mean wait between two watches. It batches changes:
	// without it, each of many changes in a short time would take a call.
	watchInterval = 50 * time.Millisecond
)

// readDocuments reads all documents once and reports to control that they have
// been read.
func (c *Child) readDocuments(ctx context.Context) error {
	for wait := readRetry; ; wait = min(2*wait, maxReadRetry) {
		kvs, err := c.store.List(ctx, DocumentPrefix)
		if err == nil {
			c.offerAll(ctx, kvs)
			if ctx.Err() == nil {
				c.control.SetReady()
				c.log.Info("documents_read", zap.Int("documents", len(kvs)))
			}
			return nil
		}
		if ctx.Err() != nil {
			return nil
		}
		c.log.Warn("documents_read_failed", zap.Error(err))
		if !c.jitter.sleep(ctx, wait) {
			return nil
		}
	}
}

// readWhileIsolated polls all documents while none of the other members is live,
// because then no peer can push documents to this instance.
func (c *Child) readWhileIsolated(ctx context.Context) error {
	for c.jitter.sleep(ctx, isolatedReadInterval) {
		if !c.isolated() {
			continue
		}
		kvs, err := c.store.List(ctx, DocumentPrefix)
		if err != nil {
			c.log.Warn("documents_read_failed", zap.Error(err))
			continue
		}
		c.offerAll(ctx, kvs)
	}
	return nil
}

// isolated reports whether other members are known but none of them is live.
func (c *Child) isolated() bool {
	others := 0
	for _, m := range c.control.Snapshot().Members {
		if m.ID == c.config.Self.ID {
			continue
		}
		if m.Live {
			return false
		}
		others++
	}
	return others > 0
}

// offerAll applies the stored documents that are newer than those in effect. A
// document that cannot be decoded is logged and skipped, so that it does not
// block the others.
func (c *Child) offerAll(ctx context.Context, kvs []store.KeyValue) {
	for _, kv := range kvs {
		e, err := DecodeEnvelope(kv.Key, kv.Value)
		if err != nil {
			c.log.Error("document_undecodable", zap.String("key", kv.Key), zap.Error(err))
			continue
		}
		applied, err := c.control.Offer(ctx, e, SourceStore)
		switch {
		case err != nil:
			c.log.Error("document_offer_failed", zap.String("service", e.Service), zap.Uint64("revision", e.Revision), zap.Error(err))
		case applied > e.Revision:
			c.metrics.storeStale.Inc(1)
			c.log.Warn("store_stale", zap.String("service", e.Service), zap.Uint64("revision", e.Revision), zap.Uint64("in_force", applied))
		}
	}
}

// watchDocuments watches the documents in the store while this instance holds
// the lease. The first watch returns all of them.
func (c *Child) watchDocuments(ctx context.Context) error {
	var index uint64
	for {
		if c.usableLease() == nil { // hold is about to cancel ctx
			if !c.jitter.sleep(ctx, watchRetry) {
				return nil
			}
			continue
		}
		kvs, next, err := c.store.Watch(ctx, DocumentPrefix, index)
		if ctx.Err() != nil {
			return nil
		}
		wait := watchInterval
		switch {
		case err != nil:
			c.log.Warn("watch_failed", zap.Error(err))
			wait = watchRetry
		case next < index:
			c.log.Warn("store_index_went_back", zap.Uint64("index", next), zap.Uint64("before", index))
			wait = watchRetry
		}
		if err == nil {
			c.offerAll(ctx, kvs)
			index = next
		}
		if !c.jitter.sleep(ctx, wait) {
			return nil
		}
	}
}
