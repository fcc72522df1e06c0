package evidence

import (
	"net"
	"net/netip"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"knapweedreel/internal/quota"
)

// QuotaMessage is the decrypted payload of a datagram about tokens of accounts.
type QuotaMessage struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64   // of the sender
	Sequence    uint64   // increases with each datagram of the sender
	// ReplyTo is the UDP address of the sender, IP:port. The source address of the
	// datagram may be that of a translating host.
	ReplyTo   string
	Requests  []quota.Request
	Transfers []quota.Transfer
}

// quotaVersion is the first byte of a datagram about tokens.
const quotaVersion = 2

// Sizes of a datagram about tokens.
const (
	// maxQuotaEntries is the maximum number of requests and transfers in a datagram.
	// It is below the limit for decoding.
	maxQuotaEntries = 40
	// maxQuotaBytes is the maximum size of a datagram, so that it is not fragmented.
	maxQuotaBytes = 1400
	// quotaOverheadBytes is the size of a datagram without entries: first byte,
	// nonce, tag, sequence numbers, address and array headers.
	quotaOverheadBytes = 1 + 12 + 16 + 2*9 + 48 + 8
	// quotaEntryBytes is the maximum size of an entry without its account's name:
	// an array header, a string header and three numbers of 9 bytes and one of 5.
	quotaEntryBytes = 1 + 3 + 3*9 + 5
)

// quotaCounters counts the datagrams about tokens.
type quotaCounters struct{ sent, dropped tally.Counter }

// SendQuota sends requests for tokens and transfers to an instance, in as many
// datagrams as needed. Like evidence, they are neither acknowledged nor
// retransmitted, and dropped while there is no key or socket.
func (x *Exchange) SendQuota(to netip.AddrPort, requests []quota.Request, transfers []quota.Transfer) {
	for len(requests) > 0 || len(transfers) > 0 {
		m := QuotaMessage{Incarnation: x.cfg.Incarnation, ReplyTo: x.cfg.ReplyTo}
		room := maxQuotaBytes - quotaOverheadBytes
		n := 0
		for n < len(requests) && n < maxQuotaEntries && room >= quotaEntryBytes+len(requests[n].Account) {
			room -= quotaEntryBytes + len(requests[n].Account)
			n++
		}
		m.Requests, requests = requests[:n], requests[n:]
		k := 0
		for k < len(transfers) && n+k < maxQuotaEntries && room >= quotaEntryBytes+len(transfers[k].Account) {
			room -= quotaEntryBytes + len(transfers[k].Account)
			k++
		}
		m.Transfers, transfers = transfers[:k], transfers[k:]
		if n+k == 0 {
			// The name of the account does not fit into a datagram.
			x.quota.dropped.Inc(1)
			return
		}
		x.sendQuota(to, &m)
	}
}

func (x *Exchange) sendQuota(to netip.AddrPort, m *QuotaMessage) {
	conn, key := x.conn.Load(), x.cfg.Keys().Seal
	if conn == nil || key == nil {
		x.quota.dropped.Inc(1)
		return
	}
	m.Sequence = x.sequence.Add(1)
	datagram, err := sealAs(quotaVersion, key, m)
	if err != nil {
		x.cfg.Log.Error("quota_not_sealed", zap.Error(err))
		return
	}
	if _, err := (*conn).WriteTo(datagram, net.UDPAddrFromAddrPort(to)); err != nil {
		x.quota.dropped.Inc(1)
		return
	}
	x.quota.sent.Inc(1)
}

// handleQuota delivers the content of a datagram about tokens. It discards
// datagrams that cannot be authenticated and those received before: they would
// lend tokens twice.
func (x *Exchange) handleQuota(datagram []byte) {
	var m QuotaMessage
	if err := openAs(quotaVersion, x.cfg.Keys().Open, datagram, &m); err != nil || !x.isNew(m.Incarnation, m.Sequence) {
		x.refused.Inc(1)
		return
	}
	if x.cfg.DeliverQuota != nil {
		x.cfg.DeliverQuota(m)
	}
}
