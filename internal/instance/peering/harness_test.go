package peering

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"knapweedreel/internal/member"
	"knapweedreel/internal/wire"
)

// waitTimeout is the generous timeout for any event that a test waits for.
const waitTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// authority signs certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &authority{cert, key, pool}
}

// tls returns the TLS configuration of an instance with a certificate for name.
func (a *authority) tls(t *testing.T, name string) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, DNSNames: []string{"peer"},
		NotAfter:    time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      a.pool, ClientCAs: a.pool, ClientAuth: tls.RequireAndVerifyClientCert, ServerName: "peer",
	}
}

// endpoint is a node that records the calls of its handler.
type endpoint struct {
	*Node
	info     member.Info
	up       chan member.Info
	down     chan string
	messages chan wire.Message
	stop     func()
	scope    tally.TestScope
}

func (e *endpoint) LinkUp(info member.Info)          { e.up <- info }
func (e *endpoint) LinkDown(id string)               { e.down <- id }
func (e *endpoint) Message(_ string, m wire.Message) { e.messages <- m }
func (e *endpoint) dropped() int64                   { return e.count("peer_messages_dropped") }
func (e *endpoint) count(name string) int64          { return e.scope.Snapshot().Counters()[name+"+"].Value() }
func (e *endpoint) message(set func(*wire.Message)) wire.Message {
	m := wire.Message{Version: wire.Version, Sender: e.info.ID, Incarnation: e.info.Incarnation, Sequence: 1}
	set(&m)
	return m
}

func socket(t *testing.T) net.PacketConn {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// startNode runs a node on the socket conn.
func startNode(t *testing.T, id string, config *tls.Config, conn net.PacketConn, dialGrace time.Duration, change ...func(*Config)) *endpoint {
	t.Helper()
	e := &endpoint{
		info: member.Info{ID: id, Incarnation: uint64(time.Now().UnixNano()), PeerAddress: conn.LocalAddr().String(), State: member.Active},
		up:   make(chan member.Info, 64), down: make(chan string, 64), messages: make(chan wire.Message, 4096),
		scope: tally.NewTestScope("", nil),
	}
	cfg := Config{
		ID: id, Self: func() member.Info { return e.info },
		Listen:          func() (net.PacketConn, error) { return conn, nil },
		ListenEphemeral: func() (net.PacketConn, error) { return socket(t), nil },
		ServerTLS:       config, ClientTLS: config, DialGrace: dialGrace,
		ReceiveTimeout: waitTimeout, // tests send no heartbeats
		Jitter:         func() float64 { return 0.5 }, Log: zap.NewNop(), Scope: e.scope,
	}
	for _, f := range change {
		f(&cfg)
	}
	e.Node = New(cfg, e)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	e.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("%s: %v", id, err)
		}
	})
	t.Cleanup(e.stop)
	return e
}

func receive[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(waitTimeout):
		t.Fatalf("no %s within %v", what, waitTimeout)
		panic("unreachable")
	}
}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	deadline := time.After(waitTimeout)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !cond() {
		select {
		case <-tick.C:
		case <-deadline:
			t.Fatalf("not within %v: %s", waitTimeout, what)
		}
	}
}

func startPair(t *testing.T) (a, b *endpoint) {
	ca := newAuthority(t)
	a = startNode(t, "a", ca.tls(t, "a"), socket(t), 0)
	b = startNode(t, "b", ca.tls(t, "b"), socket(t), 0)
	a.SetPeers([]member.Info{b.info})
	b.SetPeers([]member.Info{a.info})
	receive(t, "link at a", a.up)
	receive(t, "link at b", b.up)
	return a, b
}

// rawPeer dials address as member "evil" without a Node and sends the Hello.
func rawPeer(t *testing.T, config *tls.Config, address string) (*quic.Conn, *quic.SendStream) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	conn, err := quic.DialAddr(ctx, address, withProtocol(config), quicConfig())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.CloseWithError(0, "") })
	out, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		t.Fatal(err)
	}
	info := member.Info{ID: "evil", Incarnation: 1, State: member.Active}
	hello := mustEncode(t, wire.Message{Version: wire.Version, Sender: "evil", Incarnation: 1, Hello: &info})
	if _, err := out.Write(hello); err != nil {
		t.Fatal(err)
	}
	return conn, out
}

func mustEncode(t *testing.T, m wire.Message) []byte {
	t.Helper()
	b, err := wire.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// filteredConn drops incoming packets while blocked is true, like a one-way
// partition.
type filteredConn struct {
	net.PacketConn
	blocked *atomic.Bool
}

func (f filteredConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		n, from, err := f.PacketConn.ReadFrom(b)
		if err != nil || !f.blocked.Load() {
			return n, from, err
		}
	}
}
