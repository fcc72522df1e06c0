// Package instance is the root of an instance's supervisor tree. Its children
// are the packages below it: control, peering, platform, entry and admin.
package instance

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/settings"
	"knapweedreel/internal/supervisor"
)

// Run runs an instance until ctx is cancelled, then stops it as planned: peers
// and the list are told, the entry serves on for the drain time, requests in
// flight end, and the children stop. It returns an error without a kind when
// the instance cannot start, and one of kind errkind.Internal when a child that
// it cannot do without fails too often.
func Run(ctx context.Context, s settings.Settings, log *zap.Logger) error {
	s.Normalize()
	log = log.With(zap.String("instance", s.Instance))
	defer redirectStandardLog(log)()
	p, err := build(s, log)
	if err != nil {
		return err
	}
	defer p.close()
	log.Info("instance_started", zap.String("entry", s.EntryAddress), zap.String("peer", s.PeerAddress), zap.String("admin", s.AdminAddress))

	tree, stopTree := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTree()
	ended := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		defer stopTree()
		p.planStop(ctx, ended)
	}()
	err = supervisor.Run(tree, log, p.children()...)
	close(ended)
	<-stopped
	if errors.Is(err, supervisor.ErrTooManyFailures) {
		err = errkind.Wrap(errkind.Internal, err, "instance %s", s.Instance)
	}
	log.Info("instance_stopped", zap.Error(err))
	return err
}
