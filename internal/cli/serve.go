package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"knapweedreel/internal/instance"
	"knapweedreel/internal/settings"
	"knapweedreel/internal/telemetry"
	"knapweedreel/platform"
)

func serveCommand() *command {
	var file string
	return &command{
		name:        "serve",
		description: "Run an instance; SIGTERM or an interrupt starts a graceful shutdown",
		examples:    []string{"knapweedreel serve /etc/knapweedreel/settings.jsonc"},
		addArgs: func(sc *flaggy.Subcommand) {
			sc.AddPositionalValue(&file, "SETTINGS", 1, false, "File with the instance's settings; default: the path in "+platform.SettingsVariable)
		},
		run: func(ctx context.Context, s *session) error { return serve(ctx, s, file) },
	}
}

func serve(ctx context.Context, s *session, file string) error {
	if file == "" {
		file = os.Getenv(platform.SettingsVariable)
	}
	if file == "" {
		return exitErrorf(ExitUsage, "no settings file is given, and %s is not set", platform.SettingsVariable)
	}
	cfg, err := loadSettings(file)
	if err != nil {
		return err
	}
	if err := platform.ApplyEnvironment(&cfg, os.Getenv); err != nil {
		return exitErrorf(ExitUsage, "%v", err)
	}
	if cfg.Platform != nil {
		return serveOnPlatform(ctx, s, file, cfg)
	}
	log, err := telemetry.NewLogger(s.stderr, cfg.LogLevel)
	if err != nil {
		return err
	}
	return instance.Run(ctx, cfg, log)
}

// serveOnPlatform runs an instance on the platform. Its log goes to standard
// output, which the platform collects.
func serveOnPlatform(ctx context.Context, s *session, file string, cfg settings.Settings) error {
	metrics := telemetry.NewMetrics(func(err error) { fmt.Fprintln(s.stderr, "metric not registered:", err) })
	sampled := metrics.Scope.Counter("log_lines_sampled_out")
	log, stop, err := telemetry.NewServiceLogger(s.stdout, cfg.LogLevel, func() { sampled.Inc(1) })
	if err != nil {
		return err
	}
	defer stop()
	source := platform.NewStore(cfg.StoreAddress)
	return instance.RunOnPlatform(ctx, cfg, instance.Platform{
		Source: source, Protocol: platform.Protocol(),
		ReadinessHandler: platform.ReadinessHandler, ResolveHandler: platform.ResolveHandler,
		SettingsFile: file, Metrics: metrics, Close: source.Close,
		Complete: func(s *settings.Settings) error { return platform.ApplyEnvironment(s, os.Getenv) },
	}, log)
}
