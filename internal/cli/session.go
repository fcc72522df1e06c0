package cli

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// session is what a running command needs besides its own flags.
type session struct {
	stdout io.Writer
	stderr io.Writer
	output string
}

func (s *session) checkOutput() error {
	if s.output != outputText && s.output != outputJSON {
		return exitWith(ExitUsage, "--output is %q, want text or json", s.output)
	}
	return nil
}

// print writes data as JSON, or calls text to write it for a reader.
func (s *session) print(data any, text func(io.Writer)) error {
	if s.output == outputText {
		text(s.stdout)
		return nil
	}
	e := json.NewEncoder(s.stdout)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false) // arrows and comparisons in messages stay readable
	return errors.Wrap(e.Encode(data), "print")
}
