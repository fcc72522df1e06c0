package keys

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/settings"
)

// certDir creates certificates in a temporary directory.
type certDir struct {
	t    *testing.T
	path string
}

func newCertDir(t *testing.T) certDir { return certDir{t: t, path: t.TempDir()} }

func (d certDir) files(name string) Files {
	return Files{
		CertificateFile: filepath.Join(d.path, name+".pem"),
		KeyFile:         filepath.Join(d.path, name+".key"),
	}
}

func (d certDir) authority(name string) Files {
	d.t.Helper()
	if err := CreateAuthority(d.files(name), name, time.Hour); err != nil {
		d.t.Fatal(err)
	}
	return d.files(name)
}

func (d certDir) settings(authority Files, name string, role Role, trusted string) settings.Keys {
	d.t.Helper()
	out := d.files(name)
	if err := CreateCertificate(authority, out, name, role, time.Hour); err != nil {
		d.t.Fatal(err)
	}
	return settings.Keys{CertificateFile: out.CertificateFile, KeyFile: out.KeyFile, AuthorityFile: trusted}
}

func (d certDir) load(authority Files, name string, role Role, trusted string) *Credentials {
	d.t.Helper()
	credentials, err := LoadTLS(d.settings(authority, name, role, trusted))
	if err != nil {
		d.t.Fatal(err)
	}
	return credentials
}

// handshake connects client to server over TCP. It returns the identity that the
// server received and the errors of both sides.
func handshake(t *testing.T, server, client *tls.Config) (Identity, error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	type result struct {
		id  Identity
		err error
	}
	results := make(chan result, 1)
	go func() {
		id, err := acceptOne(l)
		results <- result{id, err}
	}()
	dialer := tls.Dialer{NetDialer: &net.Dialer{Timeout: 10 * time.Second}, Config: client}
	c, clientErr := dialer.DialContext(t.Context(), "tcp", l.Addr().String())
	if clientErr == nil {
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		_, clientErr = c.Read(make([]byte, 1)) // a TLS 1.3 client receives a rejection here
		c.Close()
	}
	r := <-results
	return r.id, errors.CombineErrors(r.err, clientErr)
}

func acceptOne(l net.Listener) (Identity, error) {
	c, err := l.Accept()
	if err != nil {
		return Identity{}, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := c.Write([]byte("x")); err != nil { // includes the handshake
		return Identity{}, err
	}
	return PeerIdentity(c.(*tls.Conn).ConnectionState())
}

// Guards against accepting a certificate of an untrusted authority, one with the
// wrong role, or a peer without a certificate, and against rejecting a valid one.
func TestHandshakes(t *testing.T) {
	d := newCertDir(t)
	ca, foreignCA := d.authority("ca"), d.authority("foreign-ca")
	i1 := d.load(ca, "i1", RoleInstance, ca.CertificateFile)
	i2 := d.load(ca, "i2", RoleInstance, ca.CertificateFile)
	op := d.load(ca, "anna", RoleOperator, ca.CertificateFile)
	foreign := d.load(foreignCA, "mallory", RoleInstance, foreignCA.CertificateFile)
	foreignTrusting := *foreign
	foreignTrusting.authorities = i1.authorities
	none := i2.PeerClient()
	none.Certificates = nil
	for _, c := range []struct {
		name           string
		server, client *tls.Config
		want           string // name that the server receives, empty if rejected
	}{
		{"peer to peer", i1.PeerServer(), i2.PeerClient(), "i2"},
		{"operator as peer", i1.PeerServer(), op.PeerClient(), ""},
		{"foreign peer", i1.PeerServer(), foreignTrusting.PeerClient(), ""},
		{"no certificate", i1.PeerServer(), none, ""},
		{"foreign server", foreignTrusting.PeerServer(), i2.PeerClient(), ""},
		{"operator as admin server", op.AdminServer(), i2.AdminClient(), ""},
		{"operator to admin", i1.AdminServer(), op.AdminClient(), "anna"},
		{"instance to admin", i1.AdminServer(), i2.AdminClient(), "i2"},
	} {
		id, err := handshake(t, c.server, c.client)
		if id.Name != c.want || (err == nil) != (c.want != "") {
			t.Errorf("%s: server received %q, error %v; want %q", c.name, id.Name, err, c.want)
		}
	}
}

// Guards against a key rotation that interrupts the links: while both
// authorities are listed, certificates of both must be accepted.
func TestTwoAuthorities(t *testing.T) {
	d := newCertDir(t)
	old, next := d.authority("old"), d.authority("next")
	var both []byte
	for _, f := range []Files{old, next} {
		data, err := os.ReadFile(f.CertificateFile)
		if err != nil {
			t.Fatal(err)
		}
		both = append(both, data...)
	}
	trusted := filepath.Join(d.path, "both.pem")
	if err := os.WriteFile(trusted, both, 0o600); err != nil {
		t.Fatal(err)
	}
	i1 := d.load(old, "i1", RoleInstance, trusted)
	i2 := d.load(next, "i2", RoleInstance, trusted)
	for _, pair := range [][2]*Credentials{{i1, i2}, {i2, i1}} {
		if _, err := handshake(t, pair[0].PeerServer(), pair[1].PeerClient()); err != nil {
			t.Errorf("%s to %s: %v", pair[1].Identity().Name, pair[0].Identity().Name, err)
		}
	}
}

// Guards against an instance that starts with a certificate that no peer
// accepts, and against a key file that is overwritten or readable by others.
func TestFilesAreChecked(t *testing.T) {
	d := newCertDir(t)
	ca, other := d.authority("ca"), d.authority("other")
	files := d.settings(ca, "i1", RoleInstance, other.CertificateFile)
	if _, err := LoadTLS(files); err == nil || !strings.Contains(err.Error(), files.CertificateFile) {
		t.Errorf("certificate of an authority that is not listed: %v", err)
	}
	mixed := files
	mixed.KeyFile = other.KeyFile
	if _, err := LoadTLS(mixed); err == nil {
		t.Error("key of another certificate was accepted")
	}
	if err := CreateCertificate(ca, d.files("i1"), "i1", RoleInstance, time.Hour); err == nil {
		t.Error("existing key was replaced")
	}
	if err := CreateCertificate(ca, d.files("x"), "x", "root", time.Hour); err == nil {
		t.Error("unknown role was accepted")
	}
	info, err := os.Stat(files.KeyFile)
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("key file: %v, %v", info.Mode(), err)
	}
	expired := d.files("late")
	if err := CreateCertificate(ca, expired, "late", RoleInstance, -time.Minute); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadTLS(settings.Keys{CertificateFile: expired.CertificateFile, KeyFile: expired.KeyFile, AuthorityFile: ca.CertificateFile}); err == nil {
		t.Error("expired certificate was accepted")
	}
}
