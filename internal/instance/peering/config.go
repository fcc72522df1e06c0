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

// Timeouts and limits of links.
const (
	IdleTimeout  = 3 * time.Second // a link that receives no packets for this time ends
	KeepAlive    = time.Second
	HelloTimeout = 3 * time.Second // for the handshake, and again for the peer's Hello
	// DialGrace is how long the member with the larger ID waits for the other
	// member to dial before it dials itself. This is needed where connections
	// can be opened in one direction only.
	DialGrace  = 3 * time.Second
	MinBackoff = 100 * time.Millisecond
	MaxBackoff = 5 * time.Second
	// MaxLinks limits the links of an instance. A shard has at most 64 members
	// on average, but hashing distributes members unevenly.
	MaxLinks = 512
	// MaxQueuedMessages and MaxQueuedBytes limit the messages queued for a peer.
	// The bytes are enough for four documents of the largest size.
	MaxQueuedMessages = 1024
	MaxQueuedBytes    = 4 * wire.MaxDocumentFrameBytes
)

// protocol is the name for TLS application protocol negotiation (ALPN). Each
// protocol version has its own name, so the handshake rejects other versions.
const protocol = "knapweedreel/1"

// Config configures a Node. All fields except DialGrace are required.
type Config struct {
	// ID is the name of this instance and the common name of its certificate.
	ID string
	// Self returns the information about this instance to send in a Hello.
	Self func() member.Info
	// Listen opens the UDP socket shared by all links. Run calls it when it
	// starts.
	Listen func() (net.PacketConn, error)
	// ListenEphemeral opens a UDP socket on a free port, to redial one link
	// after a failure.
	ListenEphemeral func() (net.PacketConn, error)
	// ServerTLS and ClientTLS make both sides authenticate by certificates.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// DialGrace overrides the constant DialGrace if it is not 0.
	DialGrace time.Duration
	// ReceiveTimeout is the time without a received message after which a link is
	// closed. Heartbeats keep links open. It must be below IdleTimeout: if
	// packets still reach the peer, closing a link notifies it at once, whereas
	// a link that reaches IdleTimeout ends without notice.
	ReceiveTimeout time.Duration
	// Jitter returns a random number in [0, 1). It must be safe for concurrent
	// use.
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

// quicConfig limits what a peer can make this process buffer: it allows one
// stream in each direction, with receive windows for a document frame.
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
