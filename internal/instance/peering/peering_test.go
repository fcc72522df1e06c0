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

// Guards against messages that are lost, cut or out of order on a healthy link,
// up to the largest document.
func TestMessagesArriveInOrder(t *testing.T) {
	a, b := pair(t)
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

// Guards against a lost peer that is not noticed, and against a replaced peer
// to which no new link is opened.
func TestLinkEndsAndComesBack(t *testing.T) {
	ca := newAuthority(t)
	a := start(t, "a", ca.tls(t, "a"), socket(t), 0)
	b := start(t, "b", ca.tls(t, "b"), socket(t), 0)
	a.Connect([]member.Info{b.info})
	receive(t, "link", a.up)
	b.stop()
	if id := receive(t, "end of link", a.down); id != "b" {
		t.Fatalf("link of %q ended", id)
	}
	again := start(t, "b", ca.tls(t, "b"), socket(t), 0)
	a.Connect([]member.Info{again.info})
	if info := receive(t, "new link", a.up); info.Incarnation != again.info.Incarnation {
		t.Errorf("link to boot %d, want %d", info.Incarnation, again.info.Incarnation)
	}
}

// Guards against a node that cannot run again after its socket failed, which the
// supervisor relies on.
func TestRunAgainAfterSocketFailure(t *testing.T) {
	ca := newAuthority(t)
	b := start(t, "b", ca.tls(t, "b"), socket(t), 0)
	a := start(t, "a", ca.tls(t, "a"), socket(t), 0)
	a.Connect([]member.Info{b.info})
	receive(t, "link", a.up)
	a.stop()
	receive(t, "end of link", a.down)
	a.cfg.Listen = func() (net.PacketConn, error) { return socket(t), nil }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	receive(t, "link of the second run", a.up)
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Guards against an instance that poses as another one, and against one that a
// foreign authority has certified.
func TestWrongIdentityIsRefused(t *testing.T) {
	ca := newAuthority(t)
	a := start(t, "a", ca.tls(t, "a"), socket(t), 0)
	for name, config := range map[string]*tls.Config{
		"certificate of another name": ca.tls(t, "mallory"),
		"foreign authority":           newAuthority(t).tls(t, "b"),
	} {
		b := start(t, "b", config, socket(t), 0)
		a.Connect([]member.Info{b.info})
		b.Connect([]member.Info{a.info})
		refused := a.count("peer_links_refused") + a.count("peer_dial_failures")
		await(t, name+" is refused", func() bool {
			return a.count("peer_links_refused")+a.count("peer_dial_failures") > refused
		})
		b.stop()
		if len(a.up) != 0 {
			t.Errorf("%s: a link came up", name)
		}
	}
}

// Guards against two links between two members, of which each side keeps
// another one.
func TestSimultaneousDialsKeepOneLink(t *testing.T) {
	ca := newAuthority(t)
	for round := range 5 {
		a := start(t, "a", ca.tls(t, "a"), socket(t), time.Nanosecond)
		b := start(t, "b", ca.tls(t, "b"), socket(t), time.Nanosecond)
		a.Connect([]member.Info{b.info})
		b.Connect([]member.Info{a.info})
		one := func(n *Node, id string) bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.links == 1 && len(n.peers[id].links) == 1
		}
		await(t, fmt.Sprintf("one link in round %d", round), func() bool { return one(a.Node, "b") && one(b.Node, "a") })
		a.Send("b", a.message(func(m *wire.Message) { m.Leaving = &wire.Leaving{} }))
		b.Send("a", b.message(func(m *wire.Message) { m.Leaving = &wire.Leaving{} }))
		receive(t, "message at a", a.messages)
		receive(t, "message at b", b.messages)
		a.stop()
		b.stop()
	}
}

// Guards against two ends that keep different links, and against a half-dead
// link that is kept instead of the one with which the peer replaced it.
func TestReplacesAgreesAtBothEnds(t *testing.T) {
	at := time.Unix(0, 0)
	ends := func(byA bool, boot uint64, up time.Time) (atA, atB *link) {
		return &link{info: member.Info{ID: "b", Incarnation: boot}, dialed: byA, up: up}, &link{info: member.Info{ID: "a", Incarnation: 1}, dialed: !byA, up: up}
	}
	a1, b1 := ends(true, 1, at)
	a2, b2 := ends(false, 1, at.Add(time.Second))
	// The two ends may see crossing links in either order.
	if replaces("a", a2, a1) || !replaces("a", a1, a2) || replaces("b", b2, b1) || !replaces("b", b1, b2) {
		t.Error("of two crossing links the one that a dialed is not kept at both ends")
	}
	if late, _ := ends(false, 1, at.Add(crossing+1)); !replaces("a", late, a1) {
		t.Error("a half-dead link is kept")
	}
	if old, _ := ends(true, 0, at.Add(time.Hour)); replaces("a", old, a1) {
		t.Error("a link of an earlier boot is taken into use")
	}
}

// Guards against members that stay apart when the one that should dial has no
// address of the other, as with a list that is wrong.
func TestOtherMemberDialsAfterGrace(t *testing.T) {
	ca := newAuthority(t)
	a := start(t, "a", ca.tls(t, "a"), socket(t), 10*time.Millisecond)
	b := start(t, "b", ca.tls(t, "b"), socket(t), 10*time.Millisecond)
	b.Connect([]member.Info{a.info})
	if info := receive(t, "link", a.up); info.ID != "b" {
		t.Errorf("link of %q", info.ID)
	}
}

// Guards against an end that goes on hearing a peer which hears nothing: the
// peer has to close the link before its timeout ends it unseen.
func TestSilentLinkIsClosedForBoth(t *testing.T) {
	ca := newAuthority(t)
	a := start(t, "a", ca.tls(t, "a"), socket(t), 0, func(c *Config) { c.Silence = 200 * time.Millisecond })
	b := start(t, "b", ca.tls(t, "b"), socket(t), 0)
	a.Connect([]member.Info{b.info})
	receive(t, "link", b.up)
	receive(t, "end", b.down)
}

// Guards against a one-way cut that leaves a half-dead link in use, and against
// one that is not repaired when packets pass again.
func TestOneWayCutEndsLinkForBoth(t *testing.T) {
	ca := newAuthority(t)
	var blocked atomic.Bool
	a := start(t, "a", ca.tls(t, "a"), filtered{socket(t), &blocked}, 0, func(c *Config) {
		c.Open = func() (net.PacketConn, error) { return filtered{socket(t), &blocked}, nil }
	})
	b := start(t, "b", ca.tls(t, "b"), socket(t), 0)
	a.Connect([]member.Info{b.info})
	b.Connect([]member.Info{a.info})
	receive(t, "link at a", a.up)
	receive(t, "link at b", b.up)
	blocked.Store(true)
	receive(t, "end at a", a.down)
	receive(t, "end at b", b.down)
	blocked.Store(false)
	receive(t, "link at a", a.up)
	receive(t, "link at b", b.up)
}

// Guards against a malformed peer that ends more than its own link.
func TestMalformedFrameEndsOnlyItsLink(t *testing.T) {
	ca := newAuthority(t)
	a := start(t, "a", ca.tls(t, "a"), socket(t), 0)
	good := start(t, "good", ca.tls(t, "good"), socket(t), 0)
	a.Connect([]member.Info{good.info})
	receive(t, "link", a.up)
	for name, bytes := range map[string][]byte{
		"garbage":         []byte("no frame at all"),
		"oversized frame": {1, 0xff, 0xff, 0xff, 0xff},
		"sender of another name": mustEncode(t, wire.Message{
			Version: wire.Version, Sender: "good", Incarnation: 1, Leaving: &wire.Leaving{Upstreams: []health.Key{{Service: "s", Upstream: "u"}}},
		}),
	} {
		conn, out := rawPeer(t, ca.tls(t, "evil"), a.info.PeerAddress)
		receive(t, "link of the malformed peer", a.up)
		if _, err := out.Write(bytes); err != nil {
			t.Fatal(err)
		}
		if id := receive(t, "end of link", a.down); id != "evil" {
			t.Fatalf("%s: link of %q ended", name, id)
		}
		receive(t, "close", conn.Context().Done())
	}
	good.Send("a", good.message(func(m *wire.Message) { m.Leaving = &wire.Leaving{} }))
	if m := receive(t, "message", a.messages); m.Sender != "good" {
		t.Errorf("message of %q", m.Sender)
	}
}

// Guards against a protocol version that is understood by accident.
func TestOtherProtocolVersionIsRefused(t *testing.T) {
	ca := newAuthority(t)
	a := start(t, "a", ca.tls(t, "a"), socket(t), 0)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	config := ca.tls(t, "b")
	config.NextProtos = []string{"knapweedreel/2"}
	if conn, err := quic.DialAddr(ctx, a.info.PeerAddress, config, quicConfig()); err == nil {
		_ = conn.CloseWithError(0, "")
		t.Fatal("connection with another protocol version was accepted")
	}
}

// Guards against a peer that does not read and thereby blocks the sender or
// grows its memory.
func TestSlowPeerCostsOnlyItsOwnMessages(t *testing.T) {
	a, b := pair(t)
	stalled := make(chan struct{})
	defer close(stalled)
	for range cap(b.messages) {
		b.messages <- wire.Message{}
	}
	for range 4 * SendQueue {
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

// Guards against a link that went silent and is dialed again only over the
// path that went silent, which stays so for good.
func TestSilentPathIsLeft(t *testing.T) {
	ca := newAuthority(t)
	b := start(t, "b", ca.tls(t, "b"), socket(t), 0)
	path, err := faultproxy.Start(faultproxy.Config{Network: faultproxy.UDP, Listen: "127.0.0.1:0", Target: b.info.PeerAddress})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = path.Close() })
	a := start(t, "a", ca.tls(t, "a"), socket(t), 0, func(c *Config) { c.Silence = time.Second })
	through := b.info
	through.PeerAddress = path.Address()
	a.Connect([]member.Info{through}) // only a dials, so that no other path opens the link
	receive(t, "link", a.up)
	if err := path.SetControl(faultproxy.Control{SilentExisting: true}); err != nil {
		t.Fatal(err)
	}
	receive(t, "end of the silent link", a.down)
	receive(t, "link over another path", a.up)
}
