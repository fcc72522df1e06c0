package evidence

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"knapweedreel/internal/locality"
)

// Guards against loads that are applied twice, that come from outside the fleet, or
// that an instance without use for them takes for something else.
func TestLoadsAreDeliveredOnce(t *testing.T) {
	keys := keysOf(t, NewKey())
	start := func(keys Keys, deliver func(LoadMessage)) (*Exchange, string) {
		address := freeAddress(t)
		x := New(Config{
			Address: address, Incarnation: 1, Peers: func() []netip.AddrPort { return nil }, Keys: func() Keys { return keys },
			Deliver: func(uint64, []Record) { t.Error("evidence delivered") }, DeliverLoads: deliver,
			Log: zap.NewNop(), Scope: tally.NoopScope,
		})
		ctx, cancel := context.WithCancel(t.Context())
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
		return x, address
	}
	got := make(chan LoadMessage, 10)
	receiver, to := start(keys, func(m LoadMessage) { got <- m })
	sender, _ := start(keys, nil)
	stranger, _ := start(keysOf(t, NewKey()), nil)
	target := []netip.AddrPort{netip.MustParseAddrPort(to)}
	stranger.SendLoads(target, "west", nil)
	sender.SendLoads(target, "north", []locality.Report{{Service: "svc", Slots: 24, Load: 30.5}})
	m := <-got
	if m.Region != "north" || len(m.Reports) != 1 || m.Reports[0].Service != "svc" || m.Reports[0].Slots != 24 || m.Reports[0].Load != 30.5 {
		t.Errorf("%+v", m)
	}
	datagram, err := sealAs(loadVersion, keys.Seal, &m)
	if err != nil {
		t.Fatal(err)
	}
	receiver.handleDatagram(datagram)
	many := make([]locality.Report, 2*maxLoadReports)
	sender.SendLoads(target, "north", many)
	if m := <-got; len(m.Reports) != maxLoadReports {
		t.Errorf("%d reports in a datagram", len(m.Reports))
	}
}
