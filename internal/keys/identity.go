// Package keys creates and loads the certificates with which instances and
// operators authenticate, and builds the TLS configurations that verify them.
//
// The common name of a certificate is the instance's or operator's name, and its
// organizational unit is the role. There are no DNS names: a certificate is
// accepted if an authority in the authority file has signed it.
package keys

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/cockroachdb/errors"
)

// Role is the role of a certificate's holder. It determines the permissions.
type Role string

// The roles.
const (
	RoleInstance Role = "instance" // connects to peers; reads from the admin server
	RoleOperator Role = "operator" // reads from the admin server and makes changes there
)

// Identity is the name and role in a certificate.
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

// PeerIdentity returns the identity of the peer of a connection whose handshake
// is complete.
func PeerIdentity(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, errors.New("peer sent no certificate")
	}
	return IdentityOf(state.PeerCertificates[0])
}
