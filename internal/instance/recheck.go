package instance

import (
	"context"
	"time"

	"go.uber.org/zap"

	"knapweedreel/internal/instance/control"
	"knapweedreel/internal/instance/platform"
	"knapweedreel/internal/store"
)

// recheckInterval is the mean time between two looks at whether the documents
// have to be compared again.
const recheckInterval = 500 * time.Millisecond

// recheck reads the documents from the store again when a long pause of the
// process has made control unready. Peers may answer first.
type recheck struct {
	control *control.Loop
	store   store.Store
	log     *zap.Logger
}

func (r *recheck) run(ctx context.Context) error {
	ticks := time.NewTicker(recheckInterval)
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

// read offers all stored documents and reports the read. A read that another
// pause interrupted may have brought old documents, and is repeated.
func (r *recheck) read(ctx context.Context) {
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
