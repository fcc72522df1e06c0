package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"knapweedreel/internal/jsonc"
	"knapweedreel/internal/settings"
)

func addSettingsArgument(sc *flaggy.Subcommand, file *string) {
	sc.AddPositionalValue(file, "SETTINGS", 1, true, "File with the instance's settings")
}

func settingsCheckCommand() *command {
	var file string
	return &command{
		name:        "settings check",
		description: "Report all errors in a settings file",
		examples:    []string{"knapweedreel settings check settings.jsonc"},
		addArgs:     func(sc *flaggy.Subcommand) { addSettingsArgument(sc, &file) },
		run: func(_ context.Context, s *session) error {
			if _, err := loadSettings(file); err != nil {
				return err
			}
			return s.print(checkResult{File: file, Valid: true}, func(w io.Writer) { fmt.Fprintf(w, "%s is valid\n", file) })
		},
	}
}

// loadSettings calls settings.Load. If the file cannot be read, the error has
// the exit code ExitUsage.
func loadSettings(file string) (settings.Settings, error) {
	cfg, err := settings.Load(file)
	var invalid *jsonc.Error
	if err != nil && !errors.As(err, &invalid) {
		return cfg, &exitError{code: ExitUsage, err: err}
	}
	return cfg, err
}

// checkResult is the result of a check that found no errors.
type checkResult struct {
	File  string `json:"file"`
	Valid bool   `json:"valid"`
}

func settingsPrintCommand() *command {
	var file string
	return &command{
		name:        "settings print",
		description: "Print a settings file with all defaults filled in",
		examples:    []string{"knapweedreel settings print settings.jsonc"},
		addArgs:     func(sc *flaggy.Subcommand) { addSettingsArgument(sc, &file) },
		run: func(_ context.Context, s *session) error {
			cfg, err := loadSettings(file)
			if err != nil {
				return err
			}
			return s.print(cfg, func(w io.Writer) { printIndented(w, cfg) })
		},
	}
}

// printIndented writes data as JSON, which is also its text format.
func printIndented(w io.Writer, data any) {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(data) // settings can always be encoded
}
