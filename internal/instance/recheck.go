package instance

import (
	"context"
	"time"

	"go.uber.org/zap"

	"knapweedreel/internal/instance/control"
	"knapweedreel/internal/instance/platform"
	"knapweedreel/internal/store"
)

// recheckPollInterval is the time between two checks whether control is unready and
// the documents have to be read again.
const recheckPollInterval = 500 * time.Millisecond

// documentRecheck reads the documents from the store again when a long pause of the
// process has made control unready. A peer may make control ready first.
type documentRecheck struct {
	control *control.Loop
	store   store.Store
	log     *zap.Logger
}

func (r *documentRecheck) run(ctx context.Context) error {
	ticks := time.NewTicker(recheckPollInterval)
	defer ticks.Stop()
	wasReady := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		}
		if r.control.Snapshot().Ready {
			wasReady = true
			continue
		}
		if wasReady {
			r.read(ctx)
		}
	}
}

// read passes all stored documents to control and then reports that they have been
// read. A read that was interrupted by another pause may have returned outdated
// documents, so it is repeated.
func (r *documentRecheck) read(ctx context.Context) {
	begin := time.Now()
	values, err := r.store.List(ctx, platform.DocumentPrefix)
	if err != nil {
		r.log.Warn("documents_recheck_failed", zap.Error(err))
		return
	}
	for _, v := range values {
		e, err := platform.DecodeEnvelope(v.Key, v.Value)
		if err != nil {
			r.log.Error("document_undecodable", zap.String("key", v.Key), zap.Error(err))
			continue
		}
		if _, err := r.control.Offer(ctx, e, platform.SourceStore); err != nil {
			r.log.Error("document_offer_failed", zap.String("service", e.Service), zap.Error(err))
		}
	}
	if time.Since(begin) < control.RecheckThreshold {
		r.control.SetReady()
	}
}
