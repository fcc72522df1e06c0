package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/settings"
)

// ProtocolPeer is the ALPN protocol of links between instances. QUIC requires
// one.
const ProtocolPeer = "knapweedreel/1"

// Credentials is a certificate with its key and the trusted authorities.
type Credentials struct {
	identity    Identity
	certificate tls.Certificate
	authorities *x509.CertPool
}

// LoadTLS reads the PEM files. It fails if the key does not match the
// certificate or no authority in the authority file has signed the certificate.
func LoadTLS(files settings.Keys) (*Credentials, error) {
	certificate, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
	if err != nil {
		return nil, errors.Wrapf(err, "load %s and %s", files.CertificateFile, files.KeyFile)
	}
	authorities, err := loadAuthorities(files.AuthorityFile)
	if err != nil {
		return nil, err
	}
	c := &Credentials{certificate: certificate, authorities: authorities}
	if c.identity, err = c.verify([]*x509.Certificate{certificate.Leaf}, x509.ExtKeyUsageAny); err != nil {
		return nil, errors.Wrap(err, files.CertificateFile)
	}
	return c, nil
}

func loadAuthorities(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Newf("%s contains no certificate", file)
	}
	return pool, nil
}

// Identity returns the name and role in the certificate.
func (c *Credentials) Identity() Identity { return c.identity }

// PeerServer returns the TLS configuration for accepting links from peers.
func (c *Credentials) PeerServer() *tls.Config {
	config := c.server(RoleInstance)
	config.NextProtos = []string{ProtocolPeer}
	return config
}

// PeerClient returns the TLS configuration for opening links to peers.
func (c *Credentials) PeerClient() *tls.Config {
	config := c.client()
	config.NextProtos = []string{ProtocolPeer}
	return config
}

// AdminServer returns the TLS configuration of the admin server. Operators and
// instances may connect; the server authorizes each role.
func (c *Credentials) AdminServer() *tls.Config { return c.server(RoleOperator, RoleInstance) }

// AdminClient returns the TLS configuration for connecting to an admin server.
func (c *Credentials) AdminClient() *tls.Config { return c.client() }

func (c *Credentials) server(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.certificate},
		ClientAuth:   tls.RequireAnyClientCert,
		// VerifyConnection is also called for resumed sessions, for which
		// ClientCAs would not be checked again.
		VerifyConnection: c.verifier(x509.ExtKeyUsageClientAuth, roles...),
	}
}

func (c *Credentials) client() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.certificate},
		// Addresses are IP:port and certificates carry no DNS names, so the
		// default verification cannot apply. VerifyConnection replaces it.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verifier(x509.ExtKeyUsageServerAuth, RoleInstance),
	}
}

func (c *Credentials) verifier(usage x509.ExtKeyUsage, roles ...Role) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		id, err := c.verify(state.PeerCertificates, usage)
		if err != nil {
			return err
		}
		if !slices.Contains(roles, id.Role) {
			return errors.Newf("certificate of %s has role %s, want one of %v", id.Name, id.Role, roles)
		}
		return nil
	}
}

// verify verifies a certificate chain and returns the identity of its first
// certificate.
func (c *Credentials) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage) (Identity, error) {
	if len(chain) == 0 {
		return Identity{}, errors.New("peer sent no certificate")
	}
	options := x509.VerifyOptions{
		Roots:         c.authorities,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	}
	for _, intermediate := range chain[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	if _, err := chain[0].Verify(options); err != nil {
		return Identity{}, errors.Wrap(err, "verify certificate")
	}
	return IdentityOf(chain[0])
}
