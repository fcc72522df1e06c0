package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/integrii/flaggy"

	"knapweedreel/internal/document"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/admin"
)

func addServiceArgument(sc *flaggy.Subcommand, service *string, required bool) {
	sc.AddPositionalValue(service, "SERVICE", 1, required, "Name of the service")
}

func documentGetCommand() *command {
	var t target
	var service string
	return &command{
		name:        "document get",
		description: "Print the document in effect for a service",
		examples:    []string{"knapweedreel document get entries --admin 10.0.0.1:9443 > entries.jsonc"},
		addArgs: func(sc *flaggy.Subcommand) {
			addServiceArgument(sc, &service, true)
			t.addFlags(sc)
		},
		run: func(ctx context.Context, s *session) error {
			e, err := readEnvelope(ctx, &t, service)
			if err != nil {
				return err
			}
			return s.print(e, func(w io.Writer) { _, _ = io.WriteString(w, e.Text) })
		},
	}
}

func readEnvelope(ctx context.Context, t *target, service string) (e document.Envelope, err error) {
	err = t.read(ctx, func(c adminClient) error {
		e, err = c.Document(ctx, service)
		return err
	})
	return e, err
}

// documentDiff is the difference between a file and the document in effect.
type documentDiff struct {
	Service  string   `json:"service"`
	Revision uint64   `json:"revision"` // in effect, 0 for none
	Changes  []string `json:"changes"`
}

func documentDiffCommand() *command {
	var t target
	var file string
	return &command{
		name:        "document diff",
		description: "Print what putting a file would change",
		examples:    []string{"knapweedreel document diff entries.jsonc --admin 10.0.0.1:9443"},
		addArgs: func(sc *flaggy.Subcommand) {
			addFileArgument(sc, &file, 1)
			t.addFlags(sc)
		},
		run: func(ctx context.Context, s *session) error {
			d, err := diffFile(ctx, &t, file)
			if err != nil {
				return err
			}
			return s.print(d, func(w io.Writer) {
				for _, line := range d.Changes {
					fmt.Fprintln(w, line)
				}
			})
		},
	}
}

func diffFile(ctx context.Context, t *target, file string) (documentDiff, error) {
	updated, _, err := readDocument(file)
	if err != nil {
		return documentDiff{}, err
	}
	e, err := readEnvelope(ctx, t, updated.Service)
	var current *document.Document
	switch {
	case isKind(err, errkind.NotFound):
	case err != nil:
		return documentDiff{}, err
	default:
		if current, err = document.Parse(updated.Service, []byte(e.Text)); err != nil {
			return documentDiff{}, exitErrorf(ExitFailed, "the document in effect: %v", err)
		}
	}
	changes := append([]string{}, document.Diff(current, updated)...)
	return documentDiff{Service: updated.Service, Revision: e.Revision, Changes: changes}, nil
}

func documentHistoryCommand() *command {
	var t target
	var service string
	return &command{
		name:        "document history",
		description: "Print who changed a document and when, newest change last",
		examples:    []string{"knapweedreel document history entries --admin 10.0.0.1:9443"},
		addArgs: func(sc *flaggy.Subcommand) {
			addServiceArgument(sc, &service, true)
			t.addFlags(sc)
		},
		run: func(ctx context.Context, s *session) error {
			var h admin.History
			err := t.read(ctx, func(c adminClient) (err error) {
				h, err = c.History(ctx, service)
				return err
			})
			if err != nil {
				return err
			}
			return s.print(h, func(w io.Writer) {
				for _, c := range h.Changes {
					fmt.Fprintf(w, "revision=%d time=%s author=%s instance=%s change=%s summary=%q\n",
						c.Revision, c.Time.Format(time.RFC3339), c.Author, c.Instance, c.ChangeID, c.Summary)
				}
			})
		},
	}
}
