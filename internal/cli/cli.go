// Package cli holds the command table of the knapweedreel binary.
package cli

import (
	"fmt"
	"io"

	"knapweedreel/internal/errkind"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2 // wrong usage or invalid input
	ExitConflict    = 3 // conflict, or not accepted
	ExitUnknown     = 4 // the result is unknown
	ExitUnreachable = 5
	ExitInternal    = 70
)

// Main runs the command that args name and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	fmt.Fprintln(stderr, errkind.New(errkind.BadRequest, "unknown command %v", args))
	return ExitUsage
}
