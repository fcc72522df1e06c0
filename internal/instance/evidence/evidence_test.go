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

// freeAddress returns a UDP address that is free now.
func freeAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

// start runs an exchange until the test ends and returns what it delivers.
func start(t *testing.T, address string, boot uint64, keys Keys, peers ...string) (*Exchange, <-chan Record) {
	t.Helper()
	got := make(chan Record, 100)
	var to []netip.AddrPort
	for _, p := range peers {
		to = append(to, netip.MustParseAddrPort(p))
	}
	x := New(Config{
		Address: address, Boot: boot, Peers: func() []netip.AddrPort { return to }, Keys: func() Keys { return keys },
		Deliver: func(_ uint64, records []Record) {
			for _, r := range records {
				got <- r
			}
		},
		Log: zap.NewNop(), Scope: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- x.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return x, got
}

// Guards against records that do not arrive, or arrive changed.
func TestRecordsReachPeers(t *testing.T) {
	keys := keysOf(t, NewKey())
	there := freeAddress(t)
	x, _ := start(t, freeAddress(t), 1, keys, there)
	_, got := start(t, there, 2, keys)
	sent := Record{Attempt: 7, Service: "s", Upstream: "u", Route: "r", AgeMS: 5, Outcome: placement.Bad, GuessMS: 600}
	// The peer may not listen yet; a datagram that is lost is not sent again.
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for done := false; !done; {
		x.Share(sent)
		select {
		case r := <-got:
			r.AgeMS = sent.AgeMS // grows while it is gathered
			if r != sent {
				t.Errorf("got %+v, want %+v", r, sent)
			}
			done = true
		case <-tick.C:
		}
	}
}

// Guards against evidence from outside the fleet, which could take any upstream
// out of use.
func TestForeignDatagramsAreRefused(t *testing.T) {
	ours, theirs := keysOf(t, NewKey()), keysOf(t, NewKey())
	there := freeAddress(t)
	_, got := start(t, there, 2, ours)
	conn, err := net.Dial("udp", there)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	foreign, err := seal(theirs.Seal, &message{Boot: 1, Sequence: 1, Records: []Record{{Upstream: "foreign"}}})
	if err != nil {
		t.Fatal(err)
	}
	own, err := seal(ours.Seal, &message{Boot: 1, Sequence: 1, Records: []Record{{Upstream: "own"}}})
	if err != nil {
		t.Fatal(err)
	}
	broken := bytes.Clone(own)
	broken[len(broken)-1] ^= 1
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		for _, d := range [][]byte{foreign, broken, {}, {version}, own} {
			if _, err := conn.Write(d); err != nil {
				t.Log(err) // nobody listens yet
			}
		}
		select {
		case r := <-got:
			if r.Upstream != "own" {
				t.Errorf("delivered %+v", r)
			}
			return
		case <-tick.C:
		}
	}
}

// Guards against a replayed datagram, and against one that is refused only
// because it was overtaken.
func TestWindowAcceptsEachSequenceOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var w window
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

// Guards against a request that waits while records cannot be sent.
func TestShareNeverBlocks(t *testing.T) {
	x := New(Config{Scope: tally.NoopScope})
	for range 2 * queueLength {
		x.Share(Record{})
	}
}

// Guards against keys of another length.
func TestNewAEADChecksTheLength(t *testing.T) {
	if _, err := NewAEAD([]byte("short")); err == nil {
		t.Error("a short key is accepted")
	}
}

// Guards against panics on arbitrary datagrams, also on sealed ones.
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
			t.Error("a datagram that was not sealed is opened")
		}
		_, _ = open(keys.Open, aead.Seal([]byte{version}, nil, data, []byte{version}))
	})
}
