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

func settingsFile(sc *flaggy.Subcommand, file *string) {
	sc.AddPositionalValue(file, "SETTINGS", 1, true, "File with the instance's settings")
}

func settingsCheckCommand() *command {
	var file string
	return &command{
		name:        "settings check",
		description: "Report every mistake in a settings file",
		examples:    []string{"knapweedreel settings check settings.jsonc"},
		define:      func(sc *flaggy.Subcommand) { settingsFile(sc, &file) },
		run: func(_ context.Context, s *session) error {
			if _, err := loadSettings(file); err != nil {
				return err
			}
			return s.print(checked{File: file, Valid: true}, func(w io.Writer) { fmt.Fprintf(w, "%s is valid\n", file) })
		},
	}
}

// loadSettings is settings.Load with the exit code for a file that cannot be
// read.
func loadSettings(file string) (settings.Settings, error) {
	cfg, err := settings.Load(file)
	var mistakes *jsonc.Error
	if err != nil && !errors.As(err, &mistakes) {
		return cfg, &exitError{code: ExitUsage, err: err}
	}
	return cfg, err
}

// checked is the result of a check that found no mistake.
type checked struct {
	File  string `json:"file"`
	Valid bool   `json:"valid"`
}

func settingsPrintCommand() *command {
	var file string
	return &command{
		name:        "settings print",
		description: "Print a settings file with all defaults filled in",
		examples:    []string{"knapweedreel settings print settings.jsonc"},
		define:      func(sc *flaggy.Subcommand) { settingsFile(sc, &file) },
		run: func(_ context.Context, s *session) error {
			cfg, err := loadSettings(file)
			if err != nil {
				return err
			}
			return s.print(cfg, func(w io.Writer) { printIndented(w, cfg) })
		},
	}
}

// printIndented prints data whose text form is JSON too.
func printIndented(w io.Writer, data any) {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(data) // settings and documents hold nothing that JSON cannot
}
