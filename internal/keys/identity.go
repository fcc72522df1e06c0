// Package keys creates and loads the certificates with which instances and
// operators prove who they are, and builds the TLS settings that check them.
//
// The common name of a certificate is the instance's or operator's name, and
// its organizational unit is the role. There are no DNS names: a certificate
// counts when an authority in the authority file has signed it.
package keys

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/cockroachdb/errors"
)

// Role says what a certificate allows.
type Role string

// The roles.
const (
	RoleInstance Role = "instance" // peers of the fleet; reads at the admin server
	RoleOperator Role = "operator" // reads and changes at the admin server
)

// Identity is who a certificate speaks for.
type Identity struct {
	Name string
	Role Role
}

// IdentityOf returns the identity in a certificate. It does not verify the
// certificate.
func IdentityOf(c *x509.Certificate) (Identity, error) {
	if c.Subject.CommonName == "" {
		return Identity{}, errors.New("certificate has no common name")
	}
	if len(c.Subject.OrganizationalUnit) != 1 {
		return Identity{}, errors.New("certificate needs exactly one organizational unit")
	}
	role := Role(c.Subject.OrganizationalUnit[0])
	if role != RoleInstance && role != RoleOperator {
		return Identity{}, errors.Newf("certificate has unknown role %q", role)
	}
	return Identity{Name: c.Subject.CommonName, Role: role}, nil
}

// PeerIdentity returns the identity of the other side of a connection whose
// handshake is complete.
func PeerIdentity(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, errors.New("the other side sent no certificate")
	}
	return IdentityOf(state.PeerCertificates[0])
}
