package platform

import (
	"context"
	"time"

	"go.uber.org/zap"

	"knapweedreel/internal/store"
)

const (
	// readRetry is the mean first wait after a failed read of all documents.
	// It doubles up to maxReadRetry, so that a fleet that starts while the
	// store recovers does not overload it.
	readRetry    = 500 * time.Millisecond
	maxReadRetry = 8 * time.Second
	// isolatedRead is the mean time between reads of the store by an instance
	// that hears no peer. With the 3 s after which peers count as lost it keeps
	// an accepted document within 5 s, as long as the store answers.
	isolatedRead = time.Second
	// watchRetry is the mean wait after a failed watch.
	watchRetry = time.Second
	// watchPace is the mean time between two watches. Without it each change
	// of a busy time would cost a call of its own.
	watchPace = 50 * time.Millisecond
)

// readDocuments reads all documents once and tells control that it may serve.
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
		if !c.random.sleep(ctx, wait) {
			return nil
		}
	}
}

// readWhileIsolated reads all documents again and again while this instance
// hears none of the other members, since no peer can push documents to it.
func (c *Child) readWhileIsolated(ctx context.Context) error {
	for c.random.sleep(ctx, isolatedRead) {
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

// isolated reports whether other members are known and none is live.
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

// offerAll puts stored documents in force where they are newer. One that cannot
// be decoded is logged and left out, so that it does not stop the others.
func (c *Child) offerAll(ctx context.Context, kvs []store.KeyValue) {
	for _, kv := range kvs {
		e, err := DecodeEnvelope(kv.Key, kv.Value)
		if err != nil {
			c.log.Error("document_undecodable", zap.String("key", kv.Key), zap.Error(err))
			continue
		}
		inForce, err := c.control.Offer(ctx, e, SourceStore)
		switch {
		case err != nil:
			c.log.Error("document_offer_failed", zap.String("service", e.Service), zap.Uint64("revision", e.Revision), zap.Error(err))
		case inForce > e.Revision:
			c.metrics.storeStale.Inc(1)
			c.log.Warn("store_stale", zap.String("service", e.Service), zap.Uint64("revision", e.Revision), zap.Uint64("in_force", inForce))
		}
	}
}

// watchDocuments watches the store while this instance holds the lease. The
// first watch returns all documents.
func (c *Child) watchDocuments(ctx context.Context) error {
	var index uint64
	for {
		if c.held() == nil { // the renewal ends ctx soon
			if !c.random.sleep(ctx, watchRetry) {
				return nil
			}
			continue
		}
		kvs, next, err := c.store.Watch(ctx, DocumentPrefix, index)
		if ctx.Err() != nil {
			return nil
		}
		wait := watchPace
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
		if !c.random.sleep(ctx, wait) {
			return nil
		}
	}
}
