package peering

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
	"knapweedreel/internal/member"
	"knapweedreel/internal/standin/faultproxy"
	"knapweedreel/internal/wire"
)

// Guards against messages that are lost, truncated or reordered on a healthy
// link, up to the largest document.
func TestMessagesArriveInOrder(t *testing.T) {
	a, b := startPair(t)
	text := strings.Repeat("a", 1<<20)
	for revision := uint64(1); revision <= 3; revision++ {
		a.Send("b", a.message(func(m *wire.Message) {
			m.DocumentPush = &wire.DocumentPush{Envelope: document.Envelope{Service: "entries", Revision: revision, Text: text}}
		}))
	}
	for revision := uint64(1); revision <= 3; revision++ {
		m := receive(t, "document", b.messages)
		if m.DocumentPush == nil || m.DocumentPush.Envelope.Revision != revision || len(m.DocumentPush.Envelope.Text) != len(text) {
			t.Fatalf("got message %d with %d bytes", m.Sequence, len(m.DocumentPush.Envelope.Text))
		}
	}
}

// Guards against a peer whose end is not noticed, and against a restarted peer to
// which no new link is opened.
func TestLinkToRestartedPeer(t *testing.T) {
	ca := newAuthority(t)
	a := startNode(t, "a", ca.tls(t, "a"), socket(t), 0)
	b := startNode(t, "b", ca.tls(t, "b"), socket(t), 0)
	a.SetPeers([]member.Info{b.info})
	receive(t, "link", a.up)
	b.stop()
	if id := receive(t, "end of link", a.down); id != "b" {
		t.Fatalf("link to %q ended", id)
	}
	restarted := startNode(t, "b", ca.tls(t, "b"), socket(t), 0)
	a.SetPeers([]member.Info{restarted.info})
	if info := receive(t, "new link", a.up); info.Incarnation != restarted.info.Incarnation {
		t.Errorf("link to incarnation %d, want %d", info.Incarnation, restarted.info.Incarnation)
	}
}

// Guards against a node that cannot run again after its socket failed. The
// supervisor restarts it in that case.
func TestRunAgainAfterSocketFailure(t *testing.T) {
	ca := newAuthority(t)
	b := startNode(t, "b", ca.tls(t, "b"), socket(t), 0)
	a := startNode(t, "a", ca.tls(t, "a"), socket(t), 0)
	a.SetPeers([]member.Info{b.info})
	receive(t, "link", a.up)
	a.stop()
	receive(t, "end of link", a.down)
	a.cfg.Listen = func() (net.PacketConn, error) { return socket(t), nil }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	receive(t, "link in the second run", a.up)
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Guards against an instance that impersonates another one, and against one with
// a certificate of an unknown authority.
func TestWrongIdentityIsRefused(t *testing.T) {
	ca := newAuthority(t)
	a := startNode(t, "a", ca.tls(t, "a"), socket(t), 0)
	for name, config := range map[string]*tls.Config{
		"certificate of another name": ca.tls(t, "mallory"),
		"unknown authority":           newAuthority(t).tls(t, "b"),
	} {
		b := startNode(t, "b", config, socket(t), 0)
		a.SetPeers([]member.Info{b.info})
		b.SetPeers([]member.Info{a.info})
		refused := a.count("peer_links_refused") + a.count("peer_dial_failures")
		eventually(t, name+" is refused", func() bool {
			return a.count("peer_links_refused")+a.count("peer_dial_failures") > refused
		})
		b.stop()
		if len(a.up) != 0 {
			t.Errorf("%s: a link came up", name)
		}
	}
}

// Guards against two members that dial each other at the same moment and then
// keep different links.
func TestSimultaneousDialsKeepOneLink(t *testing.T) {
	ca := newAuthority(t)
	for round := range 5 {
		a := startNode(t, "a", ca.tls(t, "a"), socket(t), time.Nanosecond)
		b := startNode(t, "b", ca.tls(t, "b"), socket(t), time.Nanosecond)
		a.SetPeers([]member.Info{b.info})
		b.SetPeers([]member.Info{a.info})
		one := func(n *Node, id string) bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.linkCount == 1 && len(n.peers[id].links) == 1
		}
		eventually(t, fmt.Sprintf("one link in round %d", round), func() bool { return one(a.Node, "b") && one(b.Node, "a") })
		a.Send("b", a.message(func(m *wire.Message) { m.Leaving = &wire.Leaving{} }))
		b.Send("a", b.message(func(m *wire.Message) { m.Leaving = &wire.Leaving{} }))
		receive(t, "message at a", a.messages)
		receive(t, "message at b", b.messages)
		a.stop()
		b.stop()
	}
}

// Guards against two ends that keep different links, and against a half-open link
// that is kept instead of the link by which the peer replaced it.
func TestReplacesAgreesAtBothEnds(t *testing.T) {
	start := time.Unix(0, 0)
	ends := func(byA bool, incarnation uint64, up time.Time) (atA, atB *link) {
		return &link{info: member.Info{ID: "b", Incarnation: incarnation}, dialed: byA, upSince: up}, &link{info: member.Info{ID: "a", Incarnation: 1}, dialed: !byA, upSince: up}
	}
	a1, b1 := ends(true, 1, start)
	a2, b2 := ends(false, 1, start.Add(time.Second))
	// The two ends may see simultaneous links in either order.
	if replaces("a", a2, a1) || !replaces("a", a1, a2) || replaces("b", b2, b1) || !replaces("b", b1, b2) {
		t.Error("of two simultaneous links the one dialed by a is not kept at both ends")
	}
	if late, _ := ends(false, 1, start.Add(simultaneousWindow+1)); !replaces("a", late, a1) {
		t.Error("a half-open link is kept")
	}
	if old, _ := ends(true, 0, start.Add(time.Hour)); replaces("a", old, a1) {
		t.Error("a link to an earlier incarnation replaces the current one")
	}
}

// Guards against members that stay disconnected because the one that should dial
// lacks the address of the other, for example with a wrong instance list.
func TestOtherMemberDialsAfterGrace(t *testing.T) {
	ca := newAuthority(t)
	a := startNode(t, "a", ca.tls(t, "a"), socket(t), 10*time.Millisecond)
	b := startNode(t, "b", ca.tls(t, "b"), socket(t), 10*time.Millisecond)
	b.SetPeers([]member.Info{a.info})
	if info := receive(t, "link", a.up); info.ID != "b" {
		t.Errorf("link to %q", info.ID)
	}
}

// Guards against a broken link that only one end notices. The end that receives
// no messages must close it before IdleTimeout, which would end it without
// notifying the other end.
func TestSilentLinkIsClosedForBoth(t *testing.T) {
	ca := newAuthority(t)
	a := startNode(t, "a", ca.tls(t, "a"), socket(t), 0, func(c *Config) { c.ReceiveTimeout = 200 * time.Millisecond })
	b := startNode(t, "b", ca.tls(t, "b"), socket(t), 0)
	a.SetPeers([]member.Info{b.info})
	receive(t, "link", b.up)
	receive(t, "end", b.down)
}

// Guards against a one-way partition that leaves a half-open link in use, and
// against a link that is not restored when the partition ends.
func TestOneWayPartitionEndsLinkForBoth(t *testing.T) {
	ca := newAuthority(t)
	var blocked atomic.Bool
	a := startNode(t, "a", ca.tls(t, "a"), filteredConn{socket(t), &blocked}, 0, func(c *Config) {
		c.ListenEphemeral = func() (net.PacketConn, error) { return filteredConn{socket(t), &blocked}, nil }
	})
	b := startNode(t, "b", ca.tls(t, "b"), socket(t), 0)
	a.SetPeers([]member.Info{b.info})
	b.SetPeers([]member.Info{a.info})
	receive(t, "link at a", a.up)
	receive(t, "link at b", b.up)
	blocked.Store(true)
	receive(t, "end at a", a.down)
	receive(t, "end at b", b.down)
	blocked.Store(false)
	receive(t, "link at a", a.up)
	receive(t, "link at b", b.up)
}

// Guards against a peer that ends other links by sending malformed frames.
func TestMalformedFrameEndsOnlyItsLink(t *testing.T) {
	ca := newAuthority(t)
	a := startNode(t, "a", ca.tls(t, "a"), socket(t), 0)
	good := startNode(t, "good", ca.tls(t, "good"), socket(t), 0)
	a.SetPeers([]member.Info{good.info})
	receive(t, "link", a.up)
	for name, bytes := range map[string][]byte{
		"garbage":         []byte("no frame at all"),
		"oversized frame": {1, 0xff, 0xff, 0xff, 0xff},
		"sender of another name": mustEncode(t, wire.Message{
			Version: wire.Version, Sender: "good", Incarnation: 1, Leaving: &wire.Leaving{Upstreams: []health.Key{{Service: "s", Upstream: "u"}}},
		}),
	} {
		conn, out := rawPeer(t, ca.tls(t, "evil"), a.info.PeerAddress)
		receive(t, "link of the peer with malformed frames", a.up)
		if _, err := out.Write(bytes); err != nil {
			t.Fatal(err)
		}
		if id := receive(t, "end of link", a.down); id != "evil" {
			t.Fatalf("%s: link to %q ended", name, id)
		}
		receive(t, "close", conn.Context().Done())
	}
	good.Send("a", good.message(func(m *wire.Message) { m.Leaving = &wire.Leaving{} }))
	if m := receive(t, "message", a.messages); m.Sender != "good" {
		t.Errorf("message from %q", m.Sender)
	}
}

// Guards against accepting a connection with another protocol version.
func TestOtherProtocolVersionIsRefused(t *testing.T) {
	ca := newAuthority(t)
	a := startNode(t, "a", ca.tls(t, "a"), socket(t), 0)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	config := ca.tls(t, "b")
	config.NextProtos = []string{"knapweedreel/2"}
	if conn, err := quic.DialAddr(ctx, a.info.PeerAddress, config, quicConfig()); err == nil {
		_ = conn.CloseWithError(0, "")
		t.Fatal("connection with another protocol version was accepted")
	}
}

// Guards against a peer that does not read and so blocks the sender or makes its
// memory grow.
func TestSlowPeerLosesOnlyItsOwnMessages(t *testing.T) {
	a, b := startPair(t)
	stalled := make(chan struct{})
	defer close(stalled)
	for range cap(b.messages) {
		b.messages <- wire.Message{}
	}
	for range 4 * MaxQueuedMessages {
		a.Send("b", a.message(func(m *wire.Message) {
			m.DocumentPush = &wire.DocumentPush{Envelope: document.Envelope{Service: "s", Revision: 1, Text: string(make([]byte, 64<<10))}}
		}))
	}
	if a.dropped() == 0 {
		t.Error("no message was dropped")
	}
	for range cap(b.messages) {
		<-b.messages
	}
}

// Guards against redialing a broken link only from the same port while the
// network drops all packets of that port for good.
func TestRedialsFromAnotherPort(t *testing.T) {
	ca := newAuthority(t)
	b := startNode(t, "b", ca.tls(t, "b"), socket(t), 0)
	proxy, err := faultproxy.Start(faultproxy.Config{Network: faultproxy.UDP, Listen: "127.0.0.1:0", Target: b.info.PeerAddress})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = proxy.Close() })
	a := startNode(t, "a", ca.tls(t, "a"), socket(t), 0, func(c *Config) { c.ReceiveTimeout = time.Second })
	viaProxy := b.info
	viaProxy.PeerAddress = proxy.Address()
	a.SetPeers([]member.Info{viaProxy}) // only a dials, so that the link cannot come up over another path
	receive(t, "link", a.up)
	if err := proxy.SetControl(faultproxy.Control{SilentExisting: true}); err != nil {
		t.Fatal(err)
	}
	receive(t, "end of the broken link", a.down)
	receive(t, "link over another path", a.up)
}
