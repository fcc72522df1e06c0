package evidence

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"knapweedreel/internal/placement"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func keysOf(t *testing.T, key []byte) Keys {
	t.Helper()
	aead, err := NewAEAD(key)
	if err != nil {
		t.Fatal(err)
	}
	k := Keys{Seal: aead}
	k.Open = append(k.Open, aead)
	return k
}

// freeAddress returns a UDP address that is currently unused.
func freeAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

// startExchange runs an exchange until the test ends. The channel receives the
// records that it delivers.
func startExchange(t *testing.T, address string, incarnation uint64, keys Keys, peers ...string) (*Exchange, <-chan Record) {
	t.Helper()
	got := make(chan Record, 100)
	var to []netip.AddrPort
	for _, p := range peers {
		to = append(to, netip.MustParseAddrPort(p))
	}
	x := New(Config{
		Address: address, Incarnation: incarnation, Peers: func() []netip.AddrPort { return to }, Keys: func() Keys { return keys },
		Deliver: func(_ uint64, records []Record) {
			for _, r := range records {
				got <- r
			}
		},
		Log: zap.NewNop(), Scope: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- x.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return x, got
}

// Guards against records that are not delivered, or are modified on the way.
func TestRecordsReachPeers(t *testing.T) {
	keys := keysOf(t, NewKey())
	peerAddress := freeAddress(t)
	x, _ := startExchange(t, freeAddress(t), 1, keys, peerAddress)
	_, got := startExchange(t, peerAddress, 2, keys)
	sent := Record{Attempt: 7, Service: "s", Upstream: "u", Route: "r", AgeMS: 5, Outcome: placement.Failed, ExpectedMS: 600}
	// Share repeatedly: the peer may not be listening yet, and lost datagrams are
	// not retransmitted.
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for received := false; !received; {
		x.Share(sent)
		select {
		case r := <-got:
			r.AgeMS = sent.AgeMS // increases while the record is queued
			if r != sent {
				t.Errorf("got %+v, want %+v", r, sent)
			}
			received = true
		case <-tick.C:
		}
	}
}

// Guards against evidence from outside the fleet, with which an attacker could
// take any upstream out of service.
func TestUnauthenticatedDatagramsAreRefused(t *testing.T) {
	ours, theirs := keysOf(t, NewKey()), keysOf(t, NewKey())
	peerAddress := freeAddress(t)
	_, got := startExchange(t, peerAddress, 2, ours)
	conn, err := net.Dial("udp", peerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	foreign, err := seal(theirs.Seal, &message{Incarnation: 1, Sequence: 1, Records: []Record{{Upstream: "foreign"}}})
	if err != nil {
		t.Fatal(err)
	}
	own, err := seal(ours.Seal, &message{Incarnation: 1, Sequence: 1, Records: []Record{{Upstream: "own"}}})
	if err != nil {
		t.Fatal(err)
	}
	corrupted := bytes.Clone(own)
	corrupted[len(corrupted)-1] ^= 1
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		for _, d := range [][]byte{foreign, corrupted, {}, {version}, own} {
			if _, err := conn.Write(d); err != nil {
				t.Log(err) // the peer is not listening yet
			}
		}
		select {
		case r := <-got:
			if r.Upstream != "own" {
				t.Errorf("delivered unauthenticated record %+v", r)
			}
			return
		case <-tick.C:
		}
	}
}

// Guards against replayed datagrams, and against rejecting datagrams that
// arrive out of order.
func TestWindowAcceptsEachSequenceOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var w replayWindow
		seen := map[uint64]bool{}
		highest := uint64(0)
		for _, s := range rapid.SliceOf(rapid.Uint64Range(1, 200)).Draw(rt, "sequences") {
			ok := w.accept(s)
			tooOld := s+64 <= highest
			if want := !seen[s] && !tooOld; ok != want {
				rt.Fatalf("sequence %d: accepted %t, want %t", s, ok, want)
			}
			seen[s] = true
			highest = max(highest, s)
		}
	})
}

// Guards against requests that block while records cannot be sent.
func TestShareNeverBlocks(t *testing.T) {
	x := New(Config{Scope: tally.NoopScope})
	for range 2 * queueLength {
		x.Share(Record{})
	}
}

// Guards against keys of the wrong length.
func TestNewAEADChecksTheLength(t *testing.T) {
	if _, err := NewAEAD([]byte("short")); err == nil {
		t.Error("short key accepted")
	}
}

// Guards against panics on arbitrary datagrams and on authenticated datagrams
// with arbitrary content.
func FuzzOpen(f *testing.F) {
	aead, err := NewAEAD(make([]byte, KeyBytes))
	if err != nil {
		f.Fatal(err)
	}
	keys := Keys{Seal: aead}
	keys.Open = append(keys.Open, aead)
	f.Add([]byte{version, 1, 2})
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := open(keys.Open, data); err == nil {
			t.Error("unauthenticated datagram accepted")
		}
		_, _ = open(keys.Open, aead.Seal([]byte{version}, nil, data, []byte{version}))
	})
}
