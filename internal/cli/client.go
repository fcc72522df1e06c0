package cli

import (
	"context"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/adminclient"
	"knapweedreel/internal/audit"
	"knapweedreel/internal/document"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/admin"
	"knapweedreel/internal/instance/platform"
	"knapweedreel/internal/keys"
	"knapweedreel/internal/settings"
)

// adminClient is what commands need of one instance's admin server;
// *adminclient.Client implements it.
type adminClient interface {
	Document(ctx context.Context, service string) (document.Envelope, error)
	Put(ctx context.Context, service string, text []byte, revision uint64, changeID string) (platform.PutResult, error)
	History(ctx context.Context, service string) (admin.History, error)
	ChangeResult(ctx context.Context, service, changeID string) (platform.PutResult, error)
	Status(ctx context.Context) (admin.Status, error)
	ExplainUpstream(ctx context.Context, service, upstream string) (admin.UpstreamExplanation, error)
	ExplainRequest(ctx context.Context, id string) (admin.RequestExplanation, error)
	Audit(ctx context.Context, q admin.AuditQuery) ([]audit.Record, error)
}

// newDialer returns the function that makes clients with the given keys.
func newDialer(files settings.Keys) (func(string) adminClient, error) {
	if files.CertificateFile == "" || files.KeyFile == "" || files.AuthorityFile == "" {
		return nil, exitWith(ExitUsage, "a certificate, its key and the authorities are needed: use --certificate, --key and --authority, or %s, %s and %s",
			envCertificate, envKey, envAuthority)
	}
	material, err := keys.LoadTLS(files)
	if err != nil {
		return nil, &exitError{code: ExitUsage, err: err}
	}
	return func(address string) adminClient { return adminclient.New(address, material.AdminClient()) }, nil
}

// notReached reports whether nothing was sent.
func notReached(err error) bool { return errors.Is(err, adminclient.ErrUnreachable) }

// noAnswer reports whether the error is not an instance's answer, which has a
// kind.
func noAnswer(err error) bool {
	var answer *errkind.Error
	return !errors.As(err, &answer)
}
