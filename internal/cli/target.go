package cli

import (
	"context"
	"os"

	"github.com/integrii/flaggy"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/settings"
)

// Environment variables that stand for flags.
const (
	envAdmin       = "KNAPWEEDREEL_ADMIN"
	envCertificate = "KNAPWEEDREEL_CERTIFICATE"
	envKey         = "KNAPWEEDREEL_KEY"
	envAuthority   = "KNAPWEEDREEL_AUTHORITY"
)

// target is how a command reaches the admin servers of instances.
type target struct {
	admin string // IP:port, several separated by commas
	keys  settings.Keys
	dial  func(address string) adminClient // set by connect; tests replace it
}

// define adds the flags of commands that ask an instance.
func (t *target) define(sc *flaggy.Subcommand) {
	sc.String(&t.admin, "", "admin", "IP:port of admin addresses, separated by commas; the next is used when one cannot be reached (or "+envAdmin+")")
	sc.String(&t.keys.CertificateFile, "", "certificate", "PEM file with the operator's certificate (or "+envCertificate+")")
	sc.String(&t.keys.KeyFile, "", "key", "PEM file with the certificate's key (or "+envKey+")")
	sc.String(&t.keys.AuthorityFile, "", "authority", "PEM file with the trusted authorities (or "+envAuthority+")")
}

// connect fills in what comes from the environment and loads the keys. It
// returns the admin addresses.
func (t *target) connect() ([]string, error) {
	fromEnvironment(&t.admin, envAdmin)
	fromEnvironment(&t.keys.CertificateFile, envCertificate)
	fromEnvironment(&t.keys.KeyFile, envKey)
	fromEnvironment(&t.keys.AuthorityFile, envAuthority)
	addresses := splitList(t.admin)
	if len(addresses) == 0 {
		return nil, exitWith(ExitUsage, "an admin address is needed: use --admin or %s", envAdmin)
	}
	if t.dial != nil {
		return addresses, nil
	}
	var err error
	t.dial, err = newDialer(t.keys)
	return addresses, err
}

func fromEnvironment(value *string, name string) {
	if *value == "" {
		*value = os.Getenv(name)
	}
}

// ask calls an instance, and the next one when it could not be reached before
// anything was sent. For calls that change nothing, see read.
func (t *target) ask(ctx context.Context, call func(adminClient) error) error {
	return t.tryEach(ctx, call, notReached)
}

// read calls an instance that only reads, and the next one when it gave no
// answer for whatever reason.
func (t *target) read(ctx context.Context, call func(adminClient) error) error {
	return t.tryEach(ctx, call, noAnswer)
}

func (t *target) tryEach(ctx context.Context, call func(adminClient) error, next func(error) bool) error {
	addresses, err := t.connect()
	if err != nil {
		return err
	}
	for _, address := range addresses {
		err = call(t.dial(address))
		if err == nil || !next(err) || ctx.Err() != nil {
			break
		}
	}
	if err != nil && noAnswer(err) {
		return &exitError{code: ExitUnreachable, err: err}
	}
	return err
}

// isKind reports whether an instance answered with the kind.
func isKind(err error, kind errkind.Kind) bool {
	return err != nil && !noAnswer(err) && errkind.Of(err) == kind
}
