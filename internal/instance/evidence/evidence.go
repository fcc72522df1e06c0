// Package evidence shares attempts and their outcomes among the instances that
// serve the same callers, so that all of them detect a faulty upstream as soon
// as one does. It also carries requests for tokens of client accounts and
// transfers between single instances.
//
// Each message is a single encrypted UDP datagram, sent only when there are
// records to share. Datagrams are neither acknowledged nor retransmitted: a
// lost one costs a little evidence.
package evidence

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"knapweedreel/internal/placement"
)

// Record reports the start or the end of an attempt at an upstream or, with the
// outcome Leaving, that the upstream has announced that it is leaving.
type Record struct {
	_          struct{}          `cbor:",toarray"`
	Attempt    uint64            // unique within the sender's process; with Leaving, the upstream's incarnation
	Service    string            // name
	Upstream   string            // ID
	Route      string            // name
	AgeMS      uint32            // milliseconds since the attempt started
	Outcome    placement.Outcome // Pending at the start
	ExpectedMS uint32            // response time assumed for the route until one is observed, in milliseconds
}

// Started returns the start of the attempt on the receiver's clock, for a
// record received at now.
func (r *Record) Started(now time.Time) time.Time {
	return now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
}

// Limits of the exchange.
const (
	// flushInterval is the time for which records are collected into a batch.
	// It is short compared to a request.
	flushInterval = 20 * time.Millisecond
	// queueLength is the maximum number of records waiting to be sent.
	queueLength = 1024
	// batchLength is the maximum number of records in a datagram. It keeps
	// datagrams below 1,400 bytes with names of usual length.
	batchLength = 20
	// maxDatagramBytes is the size of the receive buffer.
	maxDatagramBytes = 2048
)

// Config configures an Exchange. Fields without a default are required.
type Config struct {
	Address     string // IP:port of the UDP socket
	Incarnation uint64 // differs for each run of the process
	// ReplyTo is the address of the UDP socket for other instances, IP:port.
	// Default: Address.
	ReplyTo string
	// Peers returns the UDP addresses to send to.
	Peers func() []netip.AddrPort
	// Keys returns the current encryption and decryption keys.
	Keys func() Keys
	// Deliver receives the records of another instance. It must not block.
	Deliver func(sender uint64, records []Record)
	// DeliverQuota receives the requests for tokens and the transfers of another
	// instance. It must not block. Nil ignores them.
	DeliverQuota func(QuotaMessage)
	// DeliverLoads receives the loads of another region. It must not block. Nil
	// ignores them.
	DeliverLoads func(LoadMessage)
	Log          *zap.Logger
	Scope        tally.Scope
}

// Exchange sends and receives records.
type Exchange struct {
	cfg     Config
	queue   chan Record
	dropped tally.Counter
	sent    tally.Counter
	refused tally.Counter
	quota   quotaCounters
	conn    atomic.Pointer[net.PacketConn] // nil while Run isn't running

	mu       sync.Mutex
	windows  map[uint64]*replayWindow // by the sender's incarnation
	sequence atomic.Uint64            // of the latest datagram
}

// New returns an Exchange. It sends and receives nothing before Run.
func New(cfg Config) *Exchange {
	if cfg.ReplyTo == "" {
		cfg.ReplyTo = cfg.Address
	}
	return &Exchange{
		cfg: cfg, queue: make(chan Record, queueLength), windows: make(map[uint64]*replayWindow),
		dropped: cfg.Scope.Counter("evidence_dropped"), sent: cfg.Scope.Counter("evidence_datagrams_sent"),
		refused: cfg.Scope.Counter("evidence_datagrams_refused"),
		quota:   quotaCounters{sent: cfg.Scope.Counter("quota_datagrams_sent"), dropped: cfg.Scope.Counter("quota_datagrams_dropped")},
	}
}

// Share queues a record for the peers. If the queue is full, the record is
// dropped and counted.
func (x *Exchange) Share(r Record) {
	select {
	case x.queue <- r:
	default:
		x.dropped.Inc(1)
	}
}

// Run sends and receives records until ctx is canceled.
func (x *Exchange) Run(ctx context.Context) error {
	conn, err := net.ListenPacket("udp", x.cfg.Address)
	if err != nil {
		return errors.Wrap(err, "listen for evidence")
	}
	x.conn.Store(&conn)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		x.conn.Store(nil)
		return conn.Close()
	})
	g.Go(func() error { return x.receive(ctx, conn) })
	g.Go(func() error { x.send(ctx, conn); return nil })
	return g.Wait()
}

func (x *Exchange) send(ctx context.Context, conn net.PacketConn) {
	for {
		var batch []Record
		select {
		case <-ctx.Done():
			return
		case r := <-x.queue:
			batch = x.collectBatch(ctx, r)
		}
		x.sendBatch(conn, batch)
	}
}

// collectBatch returns first and the records queued within flushInterval after
// it, at most batchLength in total.
func (x *Exchange) collectBatch(ctx context.Context, first Record) []Record {
	batch := []Record{first}
	start := time.Now()
	t := time.NewTimer(flushInterval)
	defer t.Stop()
	for len(batch) < batchLength {
		select {
		case r := <-x.queue:
			r.AgeMS += uint32(time.Since(start).Milliseconds())
			batch = append(batch, r)
		case <-t.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

func (x *Exchange) sendBatch(conn net.PacketConn, batch []Record) {
	peers := x.cfg.Peers()
	key := x.cfg.Keys().Seal
	if len(peers) == 0 || key == nil {
		return
	}
	datagram, err := seal(key, &message{Incarnation: x.cfg.Incarnation, Sequence: x.sequence.Add(1), Records: batch})
	if err != nil {
		x.cfg.Log.Error("evidence_not_sealed", zap.Error(err))
		return
	}
	for _, p := range peers {
		// A failed write, such as one to a full send buffer, counts as a lost
		// datagram.
		if _, err := conn.WriteTo(datagram, net.UDPAddrFromAddrPort(p)); err != nil {
			x.dropped.Inc(int64(len(batch)))
			continue
		}
		x.sent.Inc(1)
	}
}

func (x *Exchange) receive(ctx context.Context, conn net.PacketConn) error {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "receive evidence")
		}
		x.handleDatagram(buf[:n])
	}
}

// handleDatagram delivers the content of a datagram. It discards datagrams that
// cannot be authenticated and those received before.
func (x *Exchange) handleDatagram(datagram []byte) {
	if len(datagram) > 0 {
		switch datagram[0] {
		case quotaVersion:
			x.handleQuota(datagram)
			return
		case loadVersion:
			x.handleLoads(datagram)
			return
		}
	}
	m, err := open(x.cfg.Keys().Open, datagram)
	if err != nil || !x.isNew(m.Incarnation, m.Sequence) {
		x.refused.Inc(1)
		return
	}
	x.cfg.Deliver(m.Incarnation, m.Records)
}

// maxSenders bounds the number of replay windows. Only senders that hold the
// fleet's key get one.
const maxSenders = 4096

// isNew reports whether a message with a sender's incarnation and sequence number
// was not received before.
func (x *Exchange) isNew(incarnation, sequence uint64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	w := x.windows[incarnation]
	if w == nil {
		if len(x.windows) >= maxSenders {
			clear(x.windows)
		}
		w = new(replayWindow)
		x.windows[incarnation] = w
	}
	return w.accept(sequence)
}

// replayWindow records which of a sender's last 64 sequence numbers were
// received.
type replayWindow struct {
	highest uint64
	seen    uint64 // bit i is set if highest - i was received
}

// accept marks a sequence number as received. It returns false for one that was
// received before or is too old for the window.
func (w *replayWindow) accept(sequence uint64) bool {
	if sequence > w.highest {
		w.seen = w.seen<<min(sequence-w.highest, 64) | 1
		w.highest = sequence
		return true
	}
	behind := w.highest - sequence
	if behind >= 64 || w.seen&(1<<behind) != 0 {
		return false
	}
	w.seen |= 1 << behind
	return true
}
