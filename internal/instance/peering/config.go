package peering

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"knapweedreel/internal/member"
	"knapweedreel/internal/wire"
)

// Times and sizes of links.
const (
	IdleTimeout  = 3 * time.Second // a link without packets ends
	KeepAlive    = time.Second
	HelloTimeout = 3 * time.Second // from the connection to the peer's Hello
	// DialGrace is the time after which also the member with the larger ID
	// dials. Where packets of new connections pass in one direction only, the
	// member with the smaller ID cannot open the link.
	DialGrace  = 3 * time.Second
	MinBackoff = 100 * time.Millisecond
	MaxBackoff = 5 * time.Second
	// MaxLinks bounds the links of an instance. A shard has at most 64 members
	// on average, and hashing spreads that number.
	MaxLinks = 512
	// SendQueue and SendQueueBytes bound the messages that wait for one peer.
	// The bytes hold four documents of the largest size.
	SendQueue      = 1024
	SendQueueBytes = 4 * wire.MaxDocumentFrameBytes
)

// protocol is the name for the TLS application protocol negotiation. Another
// protocol version has another name, so that it is refused in the handshake.
const protocol = "knapweedreel/1"

// Config is what a Node needs. All fields but DialGrace are required.
type Config struct {
	// ID is this instance's name, the common name of its certificate.
	ID string
	// Self returns what this instance says of itself in a Hello.
	Self func() member.Info
	// Listen opens the UDP socket for all links. It is called at every start
	// of Run.
	Listen func() (net.PacketConn, error)
	// Open opens a UDP socket on a free port for one link that is dialed again.
	Open func() (net.PacketConn, error)
	// ServerTLS and ClientTLS authenticate both sides by certificates.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// DialGrace replaces the constant when it is not 0.
	DialGrace time.Duration
	// Silence is the time without a message after which a link is closed. It
	// must be below IdleTimeout: a closed link is seen by the other end at once,
	// also when that end still receives, and a timeout is not. Heartbeats keep
	// links open.
	Silence time.Duration
	// Jitter returns a random factor from [0, 1). It is called from several
	// goroutines.
	Jitter func() float64
	Log    *zap.Logger
	Scope  tally.Scope
}

func (c *Config) dialGrace() time.Duration {
	if c.DialGrace > 0 {
		return c.DialGrace
	}
	return DialGrace
}

// quicConfig bounds what a peer can make this process hold: one stream in each
// direction, and receive windows for one document frame.
func quicConfig() *quic.Config {
	const window = 2 * wire.MaxDocumentFrameBytes
	return &quic.Config{
		HandshakeIdleTimeout:           HelloTimeout,
		MaxIdleTimeout:                 IdleTimeout,
		KeepAlivePeriod:                KeepAlive,
		InitialStreamReceiveWindow:     wire.MaxControlFrameBytes,
		MaxStreamReceiveWindow:         window,
		InitialConnectionReceiveWindow: wire.MaxControlFrameBytes,
		MaxConnectionReceiveWindow:     window,
		MaxIncomingStreams:             -1,
		MaxIncomingUniStreams:          1,
	}
}

func withProtocol(c *tls.Config) *tls.Config {
	c = c.Clone()
	c.NextProtos = []string{protocol}
	c.MinVersion = tls.VersionTLS13
	return c
}

type metrics struct {
	dropped   tally.Counter
	sent      tally.Counter
	sentBytes tally.Counter
	received  tally.Counter
	refused   tally.Counter
	dials     tally.Counter
	failures  tally.Counter
	links     tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		dropped:   s.Counter("peer_messages_dropped"),
		sent:      s.Counter("peer_messages_sent"),
		sentBytes: s.Counter("peer_bytes_sent"),
		received:  s.Counter("peer_messages_received"),
		refused:   s.Counter("peer_links_refused"),
		dials:     s.Counter("peer_dials"),
		failures:  s.Counter("peer_dial_failures"),
		links:     s.Gauge("peer_links"),
	}
}
