package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// clockSkew is the clock difference between two machines up to which a new
// certificate is valid at once.
const clockSkew = 5 * time.Minute

// Files are the paths of the PEM files of a certificate and its private key.
type Files struct {
	CertificateFile string
	KeyFile         string
}

// CreateAuthority creates a self-signed authority and writes it to out. It fails
// if one of the files exists.
func CreateAuthority(out Files, name string, validity time.Duration) error {
	template := newTemplate(name, validity)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := newKey()
	if err != nil {
		return err
	}
	return createSigned(out, template, template, key, key)
}

// CreateCertificate creates a certificate signed by authority and writes it to
// out. The certificate is valid for the given duration, but not longer than the
// authority. CreateCertificate fails if one of the files exists.
func CreateCertificate(authority, out Files, name string, role Role, validity time.Duration) error {
	signer, err := tls.LoadX509KeyPair(authority.CertificateFile, authority.KeyFile)
	if err != nil {
		return errors.Wrapf(err, "load authority %s", authority.CertificateFile)
	}
	template := newTemplate(name, validity)
	if end := signer.Leaf.NotAfter; template.NotAfter.After(end) {
		template.NotAfter = end
	}
	template.Subject.OrganizationalUnit = []string{string(role)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if role == RoleInstance {
		template.ExtKeyUsage = append(template.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
	}
	if _, err := IdentityOf(template); err != nil {
		return err
	}
	key, err := newKey()
	if err != nil {
		return err
	}
	return createSigned(out, template, signer.Leaf, key, signer.PrivateKey)
}

func newTemplate(name string, validity time.Duration) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		Subject:   pkix.Name{CommonName: name},
		NotBefore: now.Add(-clockSkew),
		NotAfter:  now.Add(validity),
	}
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	return key, errors.Wrap(err, "create key")
}

func createSigned(out Files, template, parent *x509.Certificate, key *ecdsa.PrivateKey, signer any) error {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return errors.Wrap(err, "sign certificate")
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	if err := writePEM(out.KeyFile, "PRIVATE KEY", private, 0o600); err != nil {
		return err
	}
	return writePEM(out.CertificateFile, "CERTIFICATE", der, 0o644)
}

// writePEM writes a PEM file. It fails if the file exists, so that a key in use
// is not overwritten.
func writePEM(file, kind string, der []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errors.Wrap(err, "write PEM file")
	}
	err = pem.Encode(f, &pem.Block{Type: kind, Bytes: der})
	return errors.Wrapf(errors.CombineErrors(err, f.Close()), "write %s", file)
}

// Expiry returns the expiration time of the certificate in files.
func Expiry(files Files) (time.Time, error) {
	pair, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
	if err != nil {
		return time.Time{}, errors.Wrap(err, "read certificate")
	}
	return pair.Leaf.NotAfter, nil
}
