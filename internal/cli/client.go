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

// adminClient has the methods of *adminclient.Client that commands use.
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

// newDialer returns a function that creates clients with the given keys.
func newDialer(files settings.Keys) (func(string) adminClient, error) {
	if files.CertificateFile == "" || files.KeyFile == "" || files.AuthorityFile == "" {
		return nil, exitErrorf(ExitUsage, "a certificate, its key and the authorities are required: use --certificate, --key and --authority, or %s, %s and %s",
			envCertificate, envKey, envAuthority)
	}
	credentials, err := keys.LoadTLS(files)
	if err != nil {
		return nil, &exitError{code: ExitUsage, err: err}
	}
	return func(address string) adminClient { return adminclient.New(address, credentials.AdminClient()) }, nil
}

// nothingSent reports whether a call failed before anything was sent.
func nothingSent(err error) bool { return errors.Is(err, adminclient.ErrUnreachable) }

// noResponse reports whether a call failed without a response from the instance.
// Errors that an instance responds with have a kind.
func noResponse(err error) bool {
	var kindErr *errkind.Error
	return !errors.As(err, &kindErr)
}
