package cli

import (
	"context"
	"os"

	"github.com/integrii/flaggy"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/settings"
)

// Environment variables that are used for flags that are not set.
const (
	envAdmin       = "KNAPWEEDREEL_ADMIN"
	envCertificate = "KNAPWEEDREEL_CERTIFICATE"
	envKey         = "KNAPWEEDREEL_KEY"
	envAuthority   = "KNAPWEEDREEL_AUTHORITY"
)

// target holds the addresses and keys with which a command calls admin servers.
type target struct {
	admin string // one or more IP:port, separated by commas
	keys  settings.Keys
	dial  func(address string) adminClient // set by connect; tests replace it
}

// addFlags adds the flags of commands that call an instance.
func (t *target) addFlags(sc *flaggy.Subcommand) {
	sc.String(&t.admin, "", "admin", "IP:port of admin addresses, separated by commas; the next is tried when one cannot be reached (or "+envAdmin+")")
	sc.String(&t.keys.CertificateFile, "", "certificate", "PEM file with the operator's certificate (or "+envCertificate+")")
	sc.String(&t.keys.KeyFile, "", "key", "PEM file with the certificate's private key (or "+envKey+")")
	sc.String(&t.keys.AuthorityFile, "", "authority", "PEM file with the trusted certificate authorities (or "+envAuthority+")")
}

// connect sets flags from the environment, loads the keys and returns the admin
// addresses.
func (t *target) connect() ([]string, error) {
	setFromEnvironment(&t.admin, envAdmin)
	setFromEnvironment(&t.keys.CertificateFile, envCertificate)
	setFromEnvironment(&t.keys.KeyFile, envKey)
	setFromEnvironment(&t.keys.AuthorityFile, envAuthority)
	addresses := splitList(t.admin)
	if len(addresses) == 0 {
		return nil, exitErrorf(ExitUsage, "an admin address is required: use --admin or %s", envAdmin)
	}
	if t.dial != nil {
		return addresses, nil
	}
	var err error
	t.dial, err = newDialer(t.keys)
	return addresses, err
}

func setFromEnvironment(value *string, name string) {
	if *value == "" {
		*value = os.Getenv(name)
	}
}

// write calls an instance to make a change. It tries the next address only if
// nothing was sent to the previous one.
func (t *target) write(ctx context.Context, call func(adminClient) error) error {
	return t.tryEach(ctx, call, nothingSent)
}

// read calls an instance without making a change. It tries the next address
// whenever there was no response.
func (t *target) read(ctx context.Context, call func(adminClient) error) error {
	return t.tryEach(ctx, call, noResponse)
}

func (t *target) tryEach(ctx context.Context, call func(adminClient) error, tryNext func(error) bool) error {
	addresses, err := t.connect()
	if err != nil {
		return err
	}
	for _, address := range addresses {
		err = call(t.dial(address))
		if err == nil || !tryNext(err) || ctx.Err() != nil {
			break
		}
	}
	if err != nil && noResponse(err) {
		return &exitError{code: ExitUnreachable, err: err}
	}
	return err
}

// isKind reports whether an instance responded with an error of the kind.
func isKind(err error, kind errkind.Kind) bool {
	return err != nil && !noResponse(err) && errkind.Of(err) == kind
}
