package cli

import (
	"context"

	"github.com/integrii/flaggy"

	"knapweedreel/internal/instance"
	"knapweedreel/internal/telemetry"
)

func serveCommand() *command {
	var file string
	return &command{
		name:        "serve",
		description: "Run an instance until SIGTERM or an interrupt stops it as planned",
		examples:    []string{"knapweedreel serve /etc/knapweedreel/settings.jsonc"},
		define:      func(sc *flaggy.Subcommand) { settingsFile(sc, &file) },
		run:         func(ctx context.Context, s *session) error { return serve(ctx, s, file) },
	}
}

func serve(ctx context.Context, s *session, file string) error {
	cfg, err := loadSettings(file)
	if err != nil {
		return err
	}
	log, err := telemetry.NewLogger(s.stderr, cfg.LogLevel)
	if err != nil {
		return err
	}
	return instance.Run(ctx, cfg, log)
}
