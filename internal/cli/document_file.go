package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"knapweedreel/internal/document"
)

func documentCheckCommand() *command {
	var file string
	return &command{
		name:        "document check",
		description: "Report every mistake in a document, without an instance",
		examples:    []string{"knapweedreel document check entries.jsonc"},
		define:      func(sc *flaggy.Subcommand) { documentFile(sc, &file, 1) },
		run: func(_ context.Context, s *session) error {
			if _, _, err := readDocument(file); err != nil {
				return err
			}
			return s.print(checked{File: file, Valid: true}, func(w io.Writer) { fmt.Fprintf(w, "%s is valid\n", file) })
		},
	}
}

func documentFile(sc *flaggy.Subcommand, file *string, position int) {
	sc.AddPositionalValue(file, "FILE", position, true, "File with the document, - for the standard input")
}

// readDocument reads and parses a document's file.
func readDocument(file string) (*document.Document, string, error) {
	text, err := readLimited(file)
	if err != nil {
		return nil, "", exitWith(ExitUsage, "read document: %v", err)
	}
	d, err := document.Parse(file, text)
	return d, string(text), err
}

// readLimited reads at most one byte more than a document may have, so that a
// wrong file name cannot fill the memory.
func readLimited(file string) ([]byte, error) {
	input, err := openInput(file)
	if err != nil {
		return nil, err
	}
	defer input.Close()
	return io.ReadAll(io.LimitReader(input, document.MaxTextBytes+1))
}

// openInput opens a file, or the standard input for "-".
func openInput(file string) (*os.File, error) {
	if file == "-" {
		return os.Stdin, nil
	}
	return os.Open(file)
}
