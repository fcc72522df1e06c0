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

// settingsPollInterval is the time between checks of the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// settingsReloader reloads the settings file when it changes.
type settingsReloader struct {
	path  string
	apply func(settings.Settings)
	log   *zap.Logger

	lastRead []byte // content of the file as last read; nil before the first read
}

func (r *settingsReloader) run(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticks := time.NewTicker(settingsPollInterval)
	defer ticks.Stop()
	for {
		r.reloadIfChanged()
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			r.log.Info("reload_requested", zap.String("file", r.path))
		case <-ticks.C:
		}
	}
}

// reloadIfChanged reads the file and applies it if it has changed. An invalid file
// has no effect.
func (r *settingsReloader) reloadIfChanged() {
	text, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Warn("settings_unreadable", zap.String("file", r.path), zap.Error(err))
		return
	}
	if bytes.Equal(text, r.lastRead) {
		return
	}
	first := r.lastRead == nil
	r.lastRead = text
	if first {
		return
	}
	s, err := settings.Parse(r.path, text)
	if err != nil {
		r.log.Error("settings_invalid", zap.Error(err), zap.String("outcome", "the settings in effect are kept"))
		return
	}
	r.apply(s)
}

// applySettings applies the only setting that can change while the instance runs:
// the time for which callers cache addresses. All others need a restart.
func (c *platformComponents) applySettings(s settings.Settings) {
	if c.platform.Complete != nil {
		if err := c.platform.Complete(&s); err != nil {
			c.log.Warn("settings_incomplete", zap.Error(err))
		}
	}
	c.cacheTime.Store(int64(milliseconds(s.Times.KeepMS)))
	restart := settings.Diff(c.settings, s, "times.keep_ms")
	c.log.Info("settings_reloaded", zap.Int("keep_ms", s.Times.KeepMS), zap.Strings("needs_restart", restart))
}
