package instance

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"knapweedreel/internal/settings"
)

// settingsInterval is the time between looks at the settings file, which may
// change without a signal.
const settingsInterval = 2 * time.Second

// reloader follows the settings file.
type reloader struct {
	path  string
	apply func(settings.Settings)
	log   *zap.Logger

	text []byte // of the settings in force, nil before the first read
}

func (r *reloader) run(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticks := time.NewTicker(settingsInterval)
	defer ticks.Stop()
	for {
		r.check()
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			r.log.Info("reload_requested", zap.String("file", r.path))
		case <-ticks.C:
		}
	}
}

// check reads the file again and applies it if it has changed. A file with
// mistakes changes nothing.
func (r *reloader) check() {
	text, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Warn("settings_unreadable", zap.String("file", r.path), zap.Error(err))
		return
	}
	if bytes.Equal(text, r.text) {
		return
	}
	first := r.text == nil
	r.text = text
	if first {
		return
	}
	s, err := settings.Parse(r.path, text)
	if err != nil {
		r.log.Error("settings_invalid", zap.Error(err), zap.String("outcome", "the settings in force stay"))
		return
	}
	r.apply(s)
}

// applySettings takes over what can change while the instance runs: the time for
// which callers keep an address answer. All else is read at the start.
func (n *platformParts) applySettings(s settings.Settings) {
	n.keep.Store(int64(milliseconds(s.Times.KeepMS)))
	restart := settings.Diff(n.settings, s, "times.keep_ms")
	n.log.Info("settings_reloaded", zap.Int("keep_ms", s.Times.KeepMS), zap.Strings("needs_restart", restart))
}
