package relay

import (
	"bufio"
	"bytes"
	"context"
	"crypto/cipher"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"knapweedreel/internal/catalog"
	"knapweedreel/internal/instance/evidence"
)

// waitTimeout is generous: tests wait for events and reach it only if they fail.
const waitTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newKeys(t *testing.T) evidence.Keys {
	t.Helper()
	aead, err := evidence.NewAEAD(evidence.NewKey())
	if err != nil {
		t.Fatal(err)
	}
	return evidence.Keys{Seal: aead, Open: []cipher.AEAD{aead}}
}

func staticKeys(k evidence.Keys) func() evidence.Keys { return func() evidence.Keys { return k } }

// startServer runs a server of the log until the test ends and returns its
// address.
func startServer(t *testing.T, l *Log, keys evidence.Keys) string {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	_ = free.Close()
	s := &Server{Address: address, MaxConnections: 512, ChangeLog: l, Keys: staticKeys(keys), Logger: zap.NewNop(), Scope: tally.NoopScope}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return address
}

// subscribe retries until the server accepts connections.
func subscribe(t *testing.T, address string, keys evidence.Keys, after catalog.Position) *Subscription {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		s, err := Subscribe(t.Context(), address, staticKeys(keys), after)
		if err == nil {
			t.Cleanup(s.Close)
			return s
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}

func next(t *testing.T, s *Subscription) Batch {
	t.Helper()
	b, err := s.Next(t.Context(), time.Now().Add(waitTimeout))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// revision returns a position in era 0.
func revision(n uint64) catalog.Position { return catalog.Position{Revision: n} }

func change(revision uint64) Change { return Change{Revision: revision, Raw: []byte{byte(revision)}} }

// Guards against changes that a subscriber misses, receives twice or receives out
// of order, for changes from before and after it subscribed.
func TestSubscriberReceivesLaterChanges(t *testing.T) {
	keys, l := newKeys(t), NewLog()
	l.Reset(revision(10), time.Now())
	l.Extend([]Change{change(11), change(12)}, revision(12), time.Now())
	s := subscribe(t, startServer(t, l, keys), keys, revision(11))
	b := next(t, s)
	if b.Gap || b.Index != revision(12) || len(b.Changes) != 1 || b.Changes[0].Revision != 12 || time.Since(b.AsOf) > waitTimeout {
		t.Errorf("first batch %+v", b)
	}
	l.Extend([]Change{change(12), change(15), change(15)}, revision(20), time.Now())
	if b = next(t, s); b.Gap || b.Index != revision(20) || len(b.Changes) != 2 || b.Changes[0].Revision != 15 {
		t.Errorf("second batch %+v", b)
	}
	l.Extend(nil, revision(20), time.Now())
	if b = next(t, s); b.Gap || b.Index != revision(20) || len(b.Changes) != 0 {
		t.Errorf("batch without changes %+v", b)
	}
}

// Guards against a subscriber that misses changes without noticing because the
// relay has dropped them or never had them.
func TestSubscriberIsNotifiedOfGap(t *testing.T) {
	keys, l := newKeys(t), NewLog()
	l.Reset(revision(10), time.Now())
	address := startServer(t, l, keys)
	if b := next(t, subscribe(t, address, keys, revision(9))); !b.Gap {
		t.Errorf("before the start of the log: %+v", b)
	}
	s := subscribe(t, address, keys, revision(10))
	if b := next(t, s); b.Gap {
		t.Errorf("at the start of the log: %+v", b)
	}
	l.Reset(revision(30), time.Now())
	if b := next(t, s); !b.Gap {
		t.Errorf("after a reset of the log: %+v", b)
	}
}

// Guards against a relay that does not report the age of its changes: if it could
// not reach the store, its subscribers would stay outdated.
func TestAgeIsPassedOn(t *testing.T) {
	keys, l := newKeys(t), NewLog()
	l.Reset(revision(10), time.Now().Add(-time.Minute))
	address := startServer(t, l, keys)
	if b := next(t, subscribe(t, address, keys, revision(10))); time.Since(b.AsOf) < time.Minute {
		t.Errorf("age %v", time.Since(b.AsOf))
	}
	l.Reset(revision(10), time.Time{})
	if b := next(t, subscribe(t, address, keys, revision(10))); time.Since(b.AsOf) < time.Minute {
		t.Errorf("age %v although the age of the log is unknown", time.Since(b.AsOf))
	}
}

// Guards against frames that are exchanged with instances of another fleet.
func TestUnknownKeysAreRefused(t *testing.T) {
	l := NewLog()
	l.Reset(revision(10), time.Now())
	ours := newKeys(t)
	s := subscribe(t, startServer(t, l, ours), newKeys(t), revision(10))
	if b, err := s.Next(t.Context(), time.Now().Add(waitTimeout)); err == nil {
		t.Errorf("a relay responds to a subscriber with an unknown key: %+v", b)
	}
	if _, err := Subscribe(t.Context(), startServer(t, l, ours), func() evidence.Keys { return evidence.Keys{} }, revision(10)); err == nil {
		t.Error("an instance without a key can subscribe")
	}
}

// Guards against accepting a recorded frame of another subscription.
func TestReplayedFramesAreRefused(t *testing.T) {
	keys := newKeys(t)
	subscriberConn, relayConn := net.Pipe()
	defer func() { _ = relayConn.Close() }()
	s := &Subscription{conn: subscriberConn, reader: bufio.NewReader(subscriberConn), keys: staticKeys(keys), nonce: [16]byte{1}, format: withoutEras}
	defer s.Close()
	go func() { _ = writeFrame(relayConn, keys.Seal, withoutEras, &update{Nonce: [16]byte{2}, Sequence: 1}) }()
	if _, err := s.Next(t.Context(), time.Now().Add(waitTimeout)); !errors.Is(err, errNotAuthentic) {
		t.Errorf("error %v", err)
	}
}

// Guards against a relay that sends nothing and blocks its subscriber for longer
// than the given deadline.
func TestSilentRelayTimesOut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	s := subscribe(t, listener.Addr().String(), newKeys(t), revision(1))
	if _, err := s.Next(t.Context(), time.Now().Add(10*time.Millisecond)); !isTimeout(err) {
		t.Errorf("error %v", err)
	}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// Guards against a log that grows without bound, or that reports no gap after it
// has dropped changes.
func TestLogIsBoundedAndReportsGaps(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := NewLog()
		l.Reset(revision(1), time.Now())
		newest := uint64(1)
		var all []Change
		for range rapid.IntRange(1, 30).Draw(rt, "batches") {
			var batch []Change
			for range rapid.IntRange(0, 60).Draw(rt, "changes") {
				newest += uint64(rapid.IntRange(0, 2).Draw(rt, "step"))
				if newest == 1 {
					newest++
				}
				batch = append(batch, Change{Revision: newest, Raw: make([]byte, rapid.SampledFrom([]int{10, maxLogBytes / 100, maxLogBytes / 2}).Draw(rt, "bytes"))})
			}
			// The store never splits a revision between two responses.
			all = append(all, batch...)
			l.Extend(batch, revision(newest), time.Now())
			newest++
		}
		if len(l.changes) > maxLogChanges || l.bytes > maxLogBytes {
			rt.Fatalf("%d changes, %d bytes", len(l.changes), l.bytes)
		}
		after := rapid.Uint64Range(1, newest).Draw(rt, "after")
		b, _ := l.after(revision(after))
		if b.Gap {
			return
		}
		want := 0
		for _, c := range all {
			if c.Revision > after {
				want++
			}
		}
		if len(b.Changes) != want {
			rt.Fatalf("%d changes after %d, want %d", len(b.Changes), after, want)
		}
	})
}

// Guards against panics on arbitrary frames, before and after decryption.
func FuzzReadFrame(f *testing.F) {
	aead, err := evidence.NewAEAD(make([]byte, evidence.KeyBytes))
	if err != nil {
		f.Fatal(err)
	}
	keys := evidence.Keys{Seal: aead, Open: []cipher.AEAD{aead}}
	f.Add([]byte{0, 0, 0, 3, 1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		var u update
		if readFrame(bytes.NewReader(data), keys, maxFrameBytes, withoutEras, &u) == nil {
			t.Error("a frame that is not sealed with the key is accepted")
		}
		_ = decMode.Unmarshal(data, &u)
	})
}
