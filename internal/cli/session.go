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

// session holds the output streams and the output format of a running command.
type session struct {
	stdout io.Writer
	stderr io.Writer
	output string
}

func (s *session) checkOutput() error {
	if s.output != outputText && s.output != outputJSON {
		return exitErrorf(ExitUsage, "--output is %q, want text or json", s.output)
	}
	return nil
}

// print writes data in the format of --output: as JSON, or by calling text.
func (s *session) print(data any, text func(io.Writer)) error {
	if s.output == outputText {
		text(s.stdout)
		return nil
	}
	e := json.NewEncoder(s.stdout)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false) // <, > and & in messages stay readable
	return errors.Wrap(e.Encode(data), "print")
}
