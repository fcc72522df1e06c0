package evidence

import (
	"net"
	"net/netip"

	"go.uber.org/zap"

	"knapweedreel/internal/locality"
)

// LoadMessage is the decrypted payload of a datagram about the load of a region.
type LoadMessage struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64   // of the sender
	Sequence    uint64   // increases with each datagram of the sender
	Region      string
	// Reports has the services of the region whose load is notable. All others have
	// room.
	Reports []locality.Report
}

// loadVersion is the first byte of a datagram about loads.
const loadVersion = 3

// maxLoadReports is the maximum number of reports in a datagram. With names of
// usual length it stays below 1,400 bytes.
const maxLoadReports = 40

// SendLoads sends the load of a region to instances of other regions. Like
// evidence, the datagrams are neither acknowledged nor retransmitted. Reports beyond
// maxLoadReports are dropped and counted.
func (x *Exchange) SendLoads(to []netip.AddrPort, region string, reports []locality.Report) {
	conn, key := x.conn.Load(), x.cfg.Keys().Seal
	if conn == nil || key == nil {
		return
	}
	if n := len(reports); n > maxLoadReports {
		x.dropped.Inc(int64(n - maxLoadReports))
		reports = reports[:maxLoadReports]
	}
	m := LoadMessage{Incarnation: x.cfg.Incarnation, Sequence: x.sequence.Add(1), Region: region, Reports: reports}
	datagram, err := sealAs(loadVersion, key, &m)
	if err != nil {
		x.cfg.Log.Error("loads_not_sealed", zap.Error(err))
		return
	}
	for _, address := range to {
		if _, err := (*conn).WriteTo(datagram, net.UDPAddrFromAddrPort(address)); err != nil {
			x.dropped.Inc(1)
			continue
		}
		x.sent.Inc(1)
	}
}

// handleLoads delivers a datagram about loads. It discards datagrams that cannot be
// authenticated and those received before.
func (x *Exchange) handleLoads(datagram []byte) {
	var m LoadMessage
	if err := openAs(loadVersion, x.cfg.Keys().Open, datagram, &m); err != nil || !x.isNew(m.Incarnation, m.Sequence) {
		x.refused.Inc(1)
		return
	}
	if x.cfg.DeliverLoads != nil {
		x.cfg.DeliverLoads(m)
	}
}
