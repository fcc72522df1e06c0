// Package cli implements the commands of the knapweedreel binary.
package cli

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/jsonc"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2 // wrong usage or invalid input
	ExitConflict    = 3 // the change conflicts with another or was not accepted
	ExitUnknown     = 4 // the result of the change is unknown
	ExitUnreachable = 5
	ExitWarnings    = 6 // a configuration has warnings, but no errors
	ExitInternal    = 70
)

// Main runs the command that args name and returns the exit code. SIGINT or
// SIGTERM cancels the command's context.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return run(ctx, args, stdout, stderr)
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	s := &session{stdout: stdout, stderr: stderr, output: outputText}
	c, code := parse(args, s)
	if c == nil {
		return code
	}
	if err := s.checkOutput(); err != nil {
		return s.fail(err)
	}
	if err := c.run(ctx, s); err != nil {
		return s.fail(err)
	}
	return ExitOK
}

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// exitErrorf returns an error with an exit code.
func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code: code, err: errors.NewWithDepthf(1, format, args...)}
}

// fail prints the error and returns its exit code.
func (s *session) fail(err error) int {
	fmt.Fprintln(s.stderr, err)
	return exitCode(err)
}

// exitCode returns the exit code of an exitError, or else the one for the
// error's kind.
func exitCode(err error) int {
	var exit *exitError
	var invalid *jsonc.Error
	var kindErr *errkind.Error
	switch {
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &invalid):
		return ExitUsage
	case errors.As(err, &kindErr):
		return kindExitCode(kindErr.Kind)
	}
	return ExitFailed
}

func kindExitCode(kind errkind.Kind) int {
	switch kind {
	case errkind.BadRequest, errkind.InvalidDocument:
		return ExitUsage
	case errkind.Conflict, errkind.StoreStale, errkind.StoreUnavailable:
		return ExitConflict
	case errkind.StoreUnknown:
		return ExitUnknown
	case errkind.Internal:
		return ExitInternal
	}
	return ExitFailed
}
