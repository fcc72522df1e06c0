package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"knapweedreel/internal/document"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/platform"
)

// changeIDBytes is long enough that random change IDs do not collide.
const changeIDBytes = 16

type documentPut struct {
	target   target
	file     string
	revision string // empty: the one in effect
	changeID string // empty: a new one
}

// putReport is the printed result of a put.
type putReport struct {
	Service  string           `json:"service"`
	ChangeID string           `json:"change_id"`
	Outcome  platform.Outcome `json:"outcome"`
	Revision uint64           `json:"revision,omitempty"`
	Kind     errkind.Kind     `json:"kind,omitempty"`
	Message  string           `json:"message,omitempty"`
	Other    *document.Change `json:"other,omitempty"` // the latest change by somebody else, after a conflict
	AskAgain string           `json:"ask_again,omitempty"`
}

func documentPutCommand() *command {
	var p documentPut
	return &command{
		name:        "document put",
		description: "Apply a service's document at all instances",
		examples: []string{
			"knapweedreel document put entries.jsonc --admin 10.0.0.1:9443,10.0.1.1:9443",
			"knapweedreel document put entries.jsonc --revision 41",
		},
		addArgs: func(sc *flaggy.Subcommand) {
			addFileArgument(sc, &p.file, 1)
			p.target.addFlags(sc)
			sc.String(&p.revision, "", "revision", "Revision that the change is based on, 0 for a new service; default: the one in effect")
			sc.String(&p.changeID, "", "change", "ID of an earlier put whose result is unknown, to repeat it safely; also needs --revision")
		},
		run: p.run,
	}
}

func (p *documentPut) run(ctx context.Context, s *session) error {
	d, text, err := readDocument(p.file)
	if err != nil {
		return err
	}
	if p.changeID != "" && p.revision == "" {
		return exitErrorf(ExitUsage, "--change needs --revision: the revision that the first put was based on")
	}
	if p.changeID == "" {
		p.changeID = newChangeID()
	}
	revision, err := p.expectedRevision(ctx, d.Service)
	if err != nil {
		return err
	}
	var result platform.PutResult
	err = p.target.write(ctx, func(c adminClient) (err error) {
		result, err = c.Put(ctx, d.Service, []byte(text), revision, p.changeID)
		return err
	})
	if err != nil {
		return err
	}
	return reportPut(s, newPutReport(d.Service, p.changeID, result))
}

// expectedRevision returns the revision that the change is based on.
func (p *documentPut) expectedRevision(ctx context.Context, service string) (uint64, error) {
	if p.revision != "" {
		n, err := strconv.ParseUint(p.revision, 10, 64)
		if err != nil {
			return 0, exitErrorf(ExitUsage, "--revision is %q, want a whole number", p.revision)
		}
		return n, nil
	}
	var current document.Envelope
	err := p.target.read(ctx, func(c adminClient) (err error) {
		current, err = c.Document(ctx, service)
		return err
	})
	if isKind(err, errkind.NotFound) || isKind(err, errkind.UnknownService) {
		return 0, nil
	}
	return current.Revision, err
}

func newPutReport(service, changeID string, result platform.PutResult) putReport {
	report := putReport{Service: service, ChangeID: changeID, Outcome: result.Outcome, Revision: result.Revision, Kind: result.Kind, Message: result.Message}
	if result.Other.ChangeID != "" {
		report.Other = &result.Other
	}
	if result.Outcome == platform.Unknown {
		report.AskAgain = fmt.Sprintf("knapweedreel document status %s --change %s", service, changeID)
	}
	return report
}

// reportPut prints the report and returns an error unless the change was
// accepted.
func reportPut(s *session, r putReport) error {
	err := s.print(r, func(w io.Writer) {
		fmt.Fprintf(w, "outcome=%s service=%s revision=%d change=%s\n", r.Outcome, r.Service, r.Revision, r.ChangeID)
		if r.Other != nil {
			fmt.Fprintf(w, "changed by=%s revision=%d time=%s what=%q\n", r.Other.Author, r.Other.Revision, r.Other.Time.Format(time.RFC3339), r.Other.Summary)
		}
		if r.AskAgain != "" {
			fmt.Fprintf(w, "ask again with: %s\n", r.AskAgain)
		}
	})
	switch {
	case err != nil || r.Outcome == platform.Accepted:
		return err
	case r.Outcome == platform.Unknown:
		return exitErrorf(ExitUnknown, "the result is unknown: %s", r.Message)
	case r.Kind == errkind.InvalidDocument:
		return exitErrorf(ExitUsage, "not accepted: %s", r.Message)
	}
	return exitErrorf(ExitConflict, "not accepted: %s", r.Message)
}

func newChangeID() string {
	b := make([]byte, changeIDBytes)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}
