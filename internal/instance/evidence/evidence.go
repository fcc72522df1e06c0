// Package evidence exchanges attempts with the other instances that serve the
// same callers, so that all of them know of a faulty upstream as soon as one
// does.
//
// Messages are single sealed datagrams, sent only when there is something to
// say. A lost one costs a little evidence; nothing waits for it.
package evidence

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"knapweedreel/internal/placement"
)

// Record tells of an attempt at an upstream, when it starts and when it ends.
type Record struct {
	_        struct{}          `cbor:",toarray"`
	Attempt  uint64            // unique at its instance
	Service  string            // name
	Upstream string            // ID
	Route    string            // name
	AgeMS    uint32            // milliseconds since its start
	Outcome  placement.Outcome // Pending when it starts
	GuessMS  uint32            // usual time of the route while no answer was seen, in milliseconds
}

// Started returns when the attempt began, as seen from an instance that
// receives the record now.
func (r *Record) Started(now time.Time) time.Time {
	return now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
}

// Limits of the exchange.
const (
	// flushInterval is the time for which records are gathered. It is small
	// against the time of a request.
	flushInterval = 20 * time.Millisecond
	// queueLength is the number of records that may wait to be sent.
	queueLength = 1024
	// batchLength is the number of records in one datagram, which keeps it below
	// 1,400 bytes for the usual names.
	batchLength = 20
	// datagramBytes is the largest datagram that is read.
	datagramBytes = 2048
)

// Config is what an Exchange needs. All fields are required.
type Config struct {
	Address string // of the UDP socket, IP:port
	Boot    uint64 // differs after each start
	// Peers returns the UDP addresses to send to.
	Peers func() []netip.AddrPort
	// Keys returns the key to seal with and those to open with.
	Keys func() Keys
	// Deliver takes the records of another instance. It must not block.
	Deliver func(sender uint64, records []Record)
	Log     *zap.Logger
	Scope   tally.Scope
}

// Exchange sends and receives records.
type Exchange struct {
	cfg     Config
	queue   chan Record
	dropped tally.Counter
	sent    tally.Counter
	refused tally.Counter

	mu       sync.Mutex
	windows  map[uint64]*window // by the sender's boot
	sequence uint64
}

// New returns an exchange. Nothing is sent or received before Run.
func New(cfg Config) *Exchange {
	return &Exchange{
		cfg: cfg, queue: make(chan Record, queueLength), windows: make(map[uint64]*window),
		dropped: cfg.Scope.Counter("evidence_dropped"), sent: cfg.Scope.Counter("evidence_datagrams_sent"),
		refused: cfg.Scope.Counter("evidence_datagrams_refused"),
	}
}

// Share queues a record for the peers. A record that does not fit is dropped
// and counted.
func (x *Exchange) Share(r Record) {
	select {
	case x.queue <- r:
	default:
		x.dropped.Inc(1)
	}
}

// Run exchanges records until ctx is cancelled.
func (x *Exchange) Run(ctx context.Context) error {
	conn, err := net.ListenPacket("udp", x.cfg.Address)
	if err != nil {
		return errors.Wrap(err, "listen for evidence")
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
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
			batch = x.gather(ctx, r)
		}
		x.sendBatch(conn, batch)
	}
}

// gather collects the records that come within the flush interval.
func (x *Exchange) gather(ctx context.Context, first Record) []Record {
	batch := []Record{first}
	began := time.Now()
	t := time.NewTimer(flushInterval)
	defer t.Stop()
	for len(batch) < batchLength {
		select {
		case r := <-x.queue:
			r.AgeMS += uint32(time.Since(began).Milliseconds())
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
	x.sequence++
	datagram, err := seal(key, &message{Boot: x.cfg.Boot, Sequence: x.sequence, Records: batch})
	if err != nil {
		x.cfg.Log.Error("evidence_not_sealed", zap.Error(err))
		return
	}
	for _, p := range peers {
		// A datagram may be lost anywhere; the send buffer is one such place.
		if _, err := conn.WriteTo(datagram, net.UDPAddrFromAddrPort(p)); err != nil {
			x.dropped.Inc(int64(len(batch)))
			continue
		}
		x.sent.Inc(1)
	}
}

func (x *Exchange) receive(ctx context.Context, conn net.PacketConn) error {
	buf := make([]byte, datagramBytes)
	for {
		n, _, err := conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "receive evidence")
		}
		x.take(buf[:n])
	}
}

// take delivers a datagram, unless it is not from the fleet or came before.
func (x *Exchange) take(datagram []byte) {
	m, err := open(x.cfg.Keys().Open, datagram)
	if err != nil || !x.fresh(m) {
		x.refused.Inc(1)
		return
	}
	x.cfg.Deliver(m.Boot, m.Records)
}

// maxSenders bounds the senders that are remembered. All of them have the
// fleet's key.
const maxSenders = 4096

func (x *Exchange) fresh(m *message) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	w := x.windows[m.Boot]
	if w == nil {
		if len(x.windows) >= maxSenders {
			clear(x.windows)
		}
		w = new(window)
		x.windows[m.Boot] = w
	}
	return w.accept(m.Sequence)
}

// window remembers the last 64 sequence numbers of a sender.
type window struct {
	highest uint64
	seen    uint64 // bit i stands for highest - i
}

// accept reports whether a sequence number is new.
func (w *window) accept(sequence uint64) bool {
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
