// Package instance builds and runs an instance as a supervisor tree. The children
// are in the packages below it, such as control, peering, platform, entry and admin.
package instance

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/settings"
	"knapweedreel/internal/supervisor"
)

// Run runs an instance until ctx is canceled, then shuts it down gracefully: it
// notifies the peers and the platform, serves requests for the drain time, waits
// for requests in flight, and stops the children. It returns an error without a
// kind if the instance cannot start, and one of kind errkind.Internal if an
// essential child fails too often.
func Run(ctx context.Context, s settings.Settings, log *zap.Logger) error {
	s.Normalize()
	log = log.With(zap.String("instance", s.Instance))
	defer redirectStandardLog(log)()
	c, err := build(s, log)
	if err != nil {
		return err
	}
	defer c.close()
	log.Info("instance_started", zap.String("entry", s.EntryAddress), zap.String("peer", s.PeerAddress), zap.String("admin", s.AdminAddress))

	tree, stopTree := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTree()
	ended := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		defer stopTree()
		c.gracefulShutdown(ctx, ended)
	}()
	err = supervisor.Run(tree, log, c.children()...)
	close(ended)
	<-stopped
	if errors.Is(err, supervisor.ErrTooManyFailures) {
		err = errkind.Wrap(errkind.Internal, err, "instance %s", s.Instance)
	}
	log.Info("instance_stopped", zap.Error(err))
	return err
}
