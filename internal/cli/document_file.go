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
		description: "Report all errors in a document, without connecting to an instance",
		examples:    []string{"knapweedreel document check entries.jsonc"},
		addArgs:     func(sc *flaggy.Subcommand) { addFileArgument(sc, &file, 1) },
		run: func(_ context.Context, s *session) error {
			if _, _, err := readDocument(file); err != nil {
				return err
			}
			return s.print(checkResult{File: file, Valid: true}, func(w io.Writer) { fmt.Fprintf(w, "%s is valid\n", file) })
		},
	}
}

func addFileArgument(sc *flaggy.Subcommand, file *string, position int) {
	sc.AddPositionalValue(file, "FILE", position, true, "File with the document, - for standard input")
}

// readDocument reads and parses a document file.
func readDocument(file string) (*document.Document, string, error) {
	text, err := readLimited(file)
	if err != nil {
		return nil, "", exitErrorf(ExitUsage, "read document: %v", err)
	}
	d, err := document.Parse(file, text)
	return d, string(text), err
}

// readLimited reads at most one byte more than a document may have, so that a
// wrong file name does not exhaust the memory.
func readLimited(file string) ([]byte, error) {
	input, err := openInput(file)
	if err != nil {
		return nil, err
	}
	defer input.Close()
	return io.ReadAll(io.LimitReader(input, document.MaxTextBytes+1))
}

// openInput opens a file, or standard input for "-".
func openInput(file string) (*os.File, error) {
	if file == "-" {
		return os.Stdin, nil
	}
	return os.Open(file)
}
