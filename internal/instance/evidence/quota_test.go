package evidence

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"knapweedreel/internal/quota"
)

// startQuota runs an exchange until the test ends. The channel receives the quota
// messages that it delivers.
func startQuota(t *testing.T, incarnation uint64, keys Keys) (*Exchange, string, <-chan QuotaMessage) {
	t.Helper()
	address := freeAddress(t)
	got := make(chan QuotaMessage, 1000)
	x := New(Config{
		Address: address, Incarnation: incarnation, Peers: func() []netip.AddrPort { return nil }, Keys: func() Keys { return keys },
		Deliver:      func(uint64, []Record) { t.Error("evidence delivered") },
		DeliverQuota: func(m QuotaMessage) { got <- m },
		Log:          zap.NewNop(), Scope: tally.NoopScope,
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
	for x.conn.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	return x, address, got
}

var ignoreArrayTag = cmpopts.IgnoreUnexported(quota.Request{}, quota.Transfer{})

// Guards against entries that are lost, changed or sent in datagrams that are too
// large, at the longest names of accounts.
func TestQuotaMessagesArriveInSmallDatagrams(t *testing.T) {
	keys := keysOf(t, NewKey())
	x, _, _ := startQuota(t, 1, keys)
	_, to, got := startQuota(t, 2, keys)
	var requests []quota.Request
	var transfers []quota.Transfer
	for i := range 100 {
		name := strings.Repeat("n", 1+2*i)
		requests = append(requests, quota.Request{Account: name, Version: 1 << 60, Number: 1<<63 + uint64(i), Tokens: 1.1})
		transfers = append(transfers, quota.Transfer{Account: name, Version: 1 << 60, Number: 1<<63 + uint64(i), Tokens: 0.3, TTLMS: 1 << 31})
	}
	x.SendQuota(netip.MustParseAddrPort(to), requests, transfers)
	var gotRequests []quota.Request
	var gotTransfers []quota.Transfer
	for len(gotRequests) < len(requests) || len(gotTransfers) < len(transfers) {
		select {
		case m := <-got:
			if m.Incarnation != 1 || m.ReplyTo != x.cfg.Address {
				t.Errorf("message from %d, reply to %q", m.Incarnation, m.ReplyTo)
			}
			datagram, err := sealAs(quotaVersion, keys.Seal, &m)
			if err != nil || len(datagram) > maxQuotaBytes {
				t.Errorf("datagram of %d bytes, error %v", len(datagram), err)
			}
			gotRequests, gotTransfers = append(gotRequests, m.Requests...), append(gotTransfers, m.Transfers...)
		case <-time.After(10 * time.Second):
			t.Fatalf("%d requests and %d transfers arrived", len(gotRequests), len(gotTransfers))
		}
	}
	if diff := cmp.Diff(requests, gotRequests, ignoreArrayTag); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(transfers, gotTransfers, ignoreArrayTag); diff != "" {
		t.Error(diff)
	}
}

// Guards against repeated datagrams, which would lend tokens twice, and against
// datagrams from outside the fleet.
func TestQuotaDatagramsAreDeliveredOnce(t *testing.T) {
	keys, foreign := keysOf(t, NewKey()), keysOf(t, NewKey())
	delivered := 0
	x := New(Config{
		Keys: func() Keys { return keys }, Deliver: func(uint64, []Record) {}, DeliverQuota: func(QuotaMessage) { delivered++ },
		Log: zap.NewNop(), Scope: tally.NoopScope,
	})
	m := QuotaMessage{Incarnation: 7, Sequence: 9, Requests: []quota.Request{{Account: "a", Tokens: 1}}}
	own, err := sealAs(quotaVersion, keys.Seal, &m)
	if err != nil {
		t.Fatal(err)
	}
	other, err := sealAs(quotaVersion, foreign.Seal, &m)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range [][]byte{other, own, own, own[:len(own)-1], {quotaVersion}} {
		x.handleDatagram(d)
	}
	if delivered != 1 {
		t.Errorf("delivered %d times, want once", delivered)
	}
	// Evidence and tokens share the numbers of a sender.
	evidence, err := seal(keys.Seal, &message{Incarnation: 7, Sequence: 9})
	if err != nil {
		t.Fatal(err)
	}
	records := 0
	x.cfg.Deliver = func(uint64, []Record) { records++ }
	if x.handleDatagram(evidence); records != 0 {
		t.Error("evidence with a number that was received before was delivered")
	}
}

// Guards against instances of an earlier release that fail on the new kind of
// datagram or take it for evidence: their open function refuses it, and a new
// instance refuses a kind that it doesn't know.
func TestUnknownKindsAreIgnored(t *testing.T) {
	keys := keysOf(t, NewKey())
	x := New(Config{
		Keys: func() Keys { return keys }, Deliver: func(uint64, []Record) { t.Error("evidence delivered") },
		DeliverQuota: func(QuotaMessage) { t.Error("quota message delivered") }, Log: zap.NewNop(), Scope: tally.NoopScope,
	})
	tokens, err := sealAs(quotaVersion, keys.Seal, &QuotaMessage{Incarnation: 1, Sequence: 1})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := open(keys.Open, tokens); err == nil {
		t.Error("a datagram about tokens was opened as evidence")
	}
	unknown, err := sealAs(quotaVersion+1, keys.Seal, &QuotaMessage{Incarnation: 1, Sequence: 2})
	if err != nil {
		t.Fatal(err)
	}
	x.handleDatagram(unknown)
}

// Guards against panics on authenticated quota datagrams with arbitrary content.
func FuzzOpenQuota(f *testing.F) {
	keys := Keys{}
	aead, err := NewAEAD(make([]byte, KeyBytes))
	if err != nil {
		f.Fatal(err)
	}
	keys.Seal, keys.Open = aead, append(keys.Open, aead)
	x := New(Config{
		Keys: func() Keys { return keys }, Deliver: func(uint64, []Record) {},
		DeliverQuota: func(m QuotaMessage) {
			if len(m.Requests) > 4*batchLength || len(m.Transfers) > 4*batchLength {
				f.Errorf("%d requests and %d transfers in a datagram", len(m.Requests), len(m.Transfers))
			}
		}, Log: zap.NewNop(), Scope: tally.NoopScope,
	})
	f.Add([]byte{quotaVersion, 1, 2})
	f.Fuzz(func(_ *testing.T, data []byte) {
		x.handleDatagram(append([]byte{quotaVersion}, data...))
		x.handleDatagram(aead.Seal([]byte{quotaVersion}, nil, data, []byte{quotaVersion}))
	})
}
