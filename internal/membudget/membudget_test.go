package membudget

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const stall = time.Second

var start = time.Unix(1_000_000, 0)

func isGranted(r *Reservation) bool {
	select {
	case <-r.Granted():
		return true
	default:
		return false
	}
}

// Guards against a sum of reservations above the limit, and against bytes that
// don't come back on some path: returned in parts, canceled, evicted or closed.
func TestSumStaysWithinLimitAndComesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(100<<10, 4<<20).Draw(t, "limit")
		b := New(Config{Limit: limit, Stall: stall, MaxWaiting: rapid.IntRange(0, 8).Draw(t, "waiting")})
		now := start
		var holders []*Holder
		var waits []*Reservation
		pick := func() *Holder { return holders[rapid.IntRange(0, len(holders)-1).Draw(t, "holder")] }
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			use := rapid.SampledFrom([]Use{Connection, Body, Answer, Socket}).Draw(t, "use")
			n := rapid.Int64Range(0, 600<<10).Draw(t, "bytes")
			if len(holders) == 0 {
				holders = append(holders, b.Open("a", nil, now))
			}
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				holders = append(holders, b.Open(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"), nil, now))
			case 1, 2:
				pick().Reserve(use, n)
			case 3, 4:
				if r, ok := pick().ReserveOrWait(use, n); ok && r != nil {
					waits = append(waits, r)
				}
			case 5:
				pick().Return(use, n)
			case 6:
				pick().SetStage(Stage(rapid.IntRange(0, int(Writing)).Draw(t, "stage")))
			case 7:
				pick().Advance(1)
			case 8:
				for _, h := range b.Scan(now) {
					if s := h.Stage(); s == Sent {
						t.Fatal("a request at an upstream was evicted")
					}
					h.Close()
				}
				if h := b.EvictConnection(now); h != nil && rapid.Bool().Draw(t, "evict") {
					h.Close()
				}
			case 9:
				if len(waits) > 0 {
					waits[rapid.IntRange(0, len(waits)-1).Draw(t, "wait")].Cancel()
				}
				pick().ReturnAll(use)
				pick().TakeOver(pick(), use, n)
				pick().ReserveSpare(use, n)
			}
			sum := int64(0)
			for h := range b.holders {
				for _, use := range []Use{Connection, Body, Answer, Socket} {
					sum += h.Reserved(use)
				}
			}
			if used, _ := b.Used(); used != sum || used < 0 || used > limit {
				t.Fatalf("%d bytes reserved of %d, the holders have %d", used, limit, sum)
			}
		}
		for _, h := range holders {
			h.Close()
			h.Close()
			if h.Reserve(Body, 1) {
				t.Fatal("a closed holder reserved bytes")
			}
		}
		if used, waiting := b.Used(); used != 0 || waiting != 0 || len(b.callers) != 0 || len(b.holders) != 0 {
			t.Fatalf("%d bytes, %d waiting, %d callers and %d holders are left", used, waiting, len(b.callers), len(b.holders))
		}
	})
}

// Guards against callers that starve another one: a caller that asks for less
// than its equal share gets it, whatever unsent bodies others hold, and whether
// or not they make progress.
func TestCallerBelowItsShareIsServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 8 << 20
		b := New(Config{Limit: limit, Stall: stall, MaxWaiting: 64})
		now := start
		greedy := rapid.IntRange(1, 4).Draw(t, "greedy callers")
		piece := rapid.Int64Range(32<<10, 512<<10).Draw(t, "piece")
		for n := range 400 {
			h := b.Open(fmt.Sprint("greedy-", n%greedy), nil, now)
			h.SetStage(rapid.SampledFrom([]Stage{Receiving, Queued, Streaming, Writing}).Draw(t, "stage"))
			if !h.Reserve(Body, piece) {
				h.Close()
				break
			}
		}
		// Streaming and writing holders that make progress stay, hence the share of
		// the asking caller is small.
		h := b.Open("modest", nil, now)
		h.SetStage(Receiving)
		r, ok := h.ReserveOrWait(Body, SmallHolder)
		if !ok {
			t.Fatal("refused at once")
		}
		for range 20 {
			if r == nil || isGranted(r) {
				return
			}
			now = now.Add(stall / 4)
			for _, v := range b.Scan(now) {
				v.Close()
			}
		}
		t.Fatal("not served")
	})
}

// Guards against a caller's large body that waits forever behind the bodies of
// another caller, which come one after the other and keep memory full.
func TestSteadyDemandDoesNotStarveWaitingCaller(t *testing.T) {
	const limit, body = 1 << 20, 256 << 10
	b := New(Config{Limit: limit, Stall: stall, MaxWaiting: 64})
	now := start
	var held []*Holder
	for {
		h := b.Open("busy", nil, now)
		if !h.Reserve(Body, body) {
			h.Close()
			break
		}
		held = append(held, h)
	}
	modest := b.Open("modest", nil, now)
	r, ok := modest.ReserveOrWait(Body, body)
	if !ok {
		t.Fatal("refused at once")
	}
	for range 4 {
		if r == nil || isGranted(r) {
			return
		}
		held[0].Close()
		held = held[1:]
		if h := b.Open("busy", nil, now); h.Reserve(Body, body) {
			held = append(held, h)
		}
	}
	t.Error("the waiting caller was not served")
}

// Guards against the eviction of a holder that makes progress while others make
// none, and against the wrong order of callers.
func TestStalledHoldersOfLargestCallerAreEvictedFirst(t *testing.T) {
	b := New(Config{Limit: 1 << 20, Stall: stall, MaxWaiting: 8})
	open := func(caller string, n int64) *Holder {
		h := b.Open(caller, caller, start)
		h.SetStage(Receiving)
		if !h.Reserve(Body, n) {
			t.Fatalf("%s got no memory", caller)
		}
		return h
	}
	moving := open("large", 300<<10)
	stalled := open("large", 300<<10)
	open("small", 200<<10)
	b.Scan(start) // the stages so far
	asking := b.Open("new", nil, start)
	if r, ok := asking.ReserveOrWait(Body, 200<<10); !ok || r == nil {
		t.Fatal("the reservation doesn't wait")
	}
	if victims := b.Scan(start.Add(stall / 2)); len(victims) != 0 {
		t.Errorf("%d evicted before the stall limit", len(victims))
	}
	moving.Advance(1)
	victims := b.Scan(start.Add(stall))
	if len(victims) != 1 || victims[0] != stalled {
		t.Errorf("evicted %d, want the stalled holder of the largest caller", len(victims))
	}
	if again := b.Scan(start.Add(stall + stall/4)); len(again) != 0 {
		t.Errorf("%d more evicted while the first one returns its bytes", len(again))
	}
}

// Guards against a connection in use being closed for a new one while another is
// idle, and against one of a caller with few connections.
func TestIdleConnectionIsEvictedFirst(t *testing.T) {
	b := New(Config{Limit: 1 << 20, Stall: stall})
	idle := b.Open("single", nil, start)
	idle.SetStage(Idle)
	first := b.Open("many", nil, start)
	second := b.Open("many", nil, start)
	sent := b.Open("many", nil, start)
	sent.SetStage(Sent)
	b.Open("other", nil, start)
	first.Advance(1)
	b.Scan(start.Add(stall / 4))
	for i, want := range []*Holder{idle, second, first} {
		if got := b.EvictConnection(start.Add(stall / 2)); got != want {
			t.Fatalf("eviction %d chose another holder", i)
		}
		want.Close()
	}
}

// Guards against an ordinary request that waits with the large ones because the
// receive buffer of its connection was enlarged before.
func TestEnlargedBufferMakesNoRequestLarge(t *testing.T) {
	const limit = 32 << 20
	b := New(Config{Limit: limit, Stall: stall})
	h := b.Open("ordinary", nil, start)
	if !h.ReserveSpare(Window, limit/spareDivisor) {
		t.Fatal("no memory to spare")
	}
	for _, name := range []string{"x", "y"} {
		large := b.Open(name, nil, start)
		large.Reserve(Body, limit*7/16-limit/spareDivisor/2)
	}
	if !h.Reserve(Body, SmallHolder) {
		t.Error("a small body gets no memory")
	}
	if h.Reserve(Body, 1) {
		t.Error("a large one does")
	}
}

// Guards against closing connections of other callers, or requests in progress, for a
// new connection of a caller that holds all it may have.
func TestConnectionsOfOthersAreKeptForACallerAtItsLimit(t *testing.T) {
	const limit, n = 1 << 20, 16 << 10
	b := New(Config{Limit: limit, Stall: stall})
	b.Open("other", nil, start).SetStage(Idle)
	for _, n := range []int64{limit - limit/callerReserve - limit/smallCallerReserve, SmallHolder, limit/smallCallerReserve - SmallHolder} {
		large := b.Open("large", nil, start)
		large.SetStage(Sent)
		if !large.Reserve(Body, n) {
			t.Fatal("the caller's part is not available")
		}
	}
	busy := b.Open("large", nil, start)
	busy.SetStage(Queued)
	fresh := b.Open("large", nil, start)
	fresh.SetStage(Sent)
	if h := b.EvictConnectionFor(fresh, n, start); h != nil {
		t.Fatalf("a connection of %s at stage %d is closed", h.caller.name, h.Stage())
	}
	busy.SetStage(Idle)
	if h := b.EvictConnectionFor(fresh, n, start); h != busy {
		t.Error("the caller's idle connection is not closed")
	}
}
