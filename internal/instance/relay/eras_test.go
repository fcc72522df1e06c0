package relay

import (
	"net"
	"testing"
	"time"

	"knapweedreel/internal/catalog"
	"knapweedreel/internal/instance/evidence"
)

// Guards against changes of one era that continue those of another: the revisions of
// a later era may be lower or higher than those of the subscriber.
func TestRelayAndSubscriberAreOfTheSameEra(t *testing.T) {
	at := func(era catalog.Era, n uint64) catalog.Position { return catalog.Position{Era: era, Revision: n} }
	keys, l := newKeys(t), NewLog()
	l.Reset(at(2, 10), time.Now())
	l.Extend([]Change{change(11)}, at(2, 11), time.Now())
	address := startServer(t, l, keys)
	for _, after := range []catalog.Position{at(1, 5), at(1, 10), at(1, 11), at(1, 20), at(3, 10), at(3, 20), at(0, 10)} {
		if b := next(t, subscribe(t, address, keys, after)); !b.Gap || len(b.Changes) != 0 || after.Era > 0 && b.Index != at(2, 11) {
			t.Errorf("after %v: %+v", after, b)
		}
	}
	s := subscribe(t, address, keys, at(2, 10))
	if b := next(t, s); b.Gap || b.Index != at(2, 11) || len(b.Changes) != 1 {
		t.Errorf("in the same era: %+v", b)
	}
	l.Extend([]Change{change(12)}, at(3, 12), time.Now())
	if b := next(t, s); !b.Gap || b.Index != at(3, 12) || len(b.Changes) != 0 {
		t.Errorf("after the return of the store: %+v", b)
	}
}

// Guards against frames that an instance of the version before eras cannot read in a
// fleet whose store doesn't report its era, and against ones that it misunderstands in
// any other. The frames are those of that version.
func TestFramesOfTheVersionBeforeEras(t *testing.T) {
	keys, l := newKeys(t), NewLog()
	address := startServer(t, l, keys)
	l.Reset(revision(10), time.Now())
	l.Extend([]Change{change(11)}, revision(11), time.Now())
	if u := exchangeFormer(t, address, keys, 10); u.Gap || u.Index != 11 || len(u.Changes) != 1 {
		t.Errorf("era 0: %+v", u)
	}
	l.Reset(catalog.Position{Era: 1, Revision: 10}, time.Now())
	if u := exchangeFormer(t, address, keys, 10); !u.Gap || len(u.Changes) != 0 {
		t.Errorf("era 1: %+v", u)
	}

	// A relay of that version cannot open a hello with an era, and closes.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	for _, after := range []catalog.Position{revision(10), {Era: 1, Revision: 10}} {
		refused := make(chan bool, 1)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			var h hello
			refused <- readFrame(conn, keys, maxHelloBytes, withoutEras, &h) != nil
		}()
		s := subscribe(t, listener.Addr().String(), keys, after)
		if got := <-refused; got != (after.Era > 0) {
			t.Errorf("after %v: refused %t", after, got)
		}
		if b, err := s.Next(t.Context(), time.Now().Add(waitTimeout)); err == nil {
			t.Errorf("after %v: batch %+v", after, b)
		}
	}
}

// exchangeFormer subscribes as an instance of the version before eras, and returns
// the first update.
func exchangeFormer(t *testing.T, address string, keys evidence.Keys, after uint64) update {
	t.Helper()
	subscribe(t, address, keys, revision(after)) // waits until the server listens
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	if err := writeFrame(conn, keys.Seal, "relay/1", &hello{Nonce: [16]byte{1}, After: after}); err != nil {
		t.Fatal(err)
	}
	var u update
	if err := readFrame(conn, keys, maxFrameBytes, "relay/1", &u); err != nil {
		t.Fatal(err)
	}
	return u
}
