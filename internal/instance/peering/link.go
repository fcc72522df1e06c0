package peering

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"knapweedreel/internal/member"
	"knapweedreel/internal/wire"
)

// Error codes for closing a link.
const (
	codeStopped        quic.ApplicationErrorCode = 0 // the instance is stopping or no longer needs the link
	codeMalformed      quic.ApplicationErrorCode = 1
	codeVersion        quic.ApplicationErrorCode = 2
	codeIdentity       quic.ApplicationErrorCode = 3
	codeReplaced       quic.ApplicationErrorCode = 4 // another link to the same member is in use
	codeTooMany        quic.ApplicationErrorCode = 5
	codeReceiveTimeout quic.ApplicationErrorCode = 6
)

// ErrIdentity means that the sender of a message does not match its certificate,
// or that a dialed address belongs to another member.
var ErrIdentity = errors.New("peering: identity does not match the certificate")

// link is an authenticated connection to a member, with one stream in each
// direction.
type link struct {
	conn    *quic.Conn
	out     *quic.SendStream
	in      *wire.Reader
	info    member.Info // from the Hello
	dialed  bool        // dialed by this instance
	upSince time.Time   // when the Hello arrived

	queue       chan *wire.Message
	queuedBytes atomic.Int64
	received    atomic.Uint64 // number of messages read
}

// open exchanges Hellos on a new connection. On error the caller closes the
// connection.
func open(ctx context.Context, conn *quic.Conn, self member.Info, dialed bool) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, HelloTimeout)
	defer cancel()
	name, err := commonName(conn)
	if err != nil {
		return nil, err
	}
	out, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "open stream")
	}
	hello, err := wire.Encode(wire.Message{
		Version: wire.Version, Sender: self.ID, Incarnation: self.Incarnation, Sequence: self.Sequence, Hello: &self,
	})
	if err != nil {
		return nil, err
	}
	if _, err := out.Write(hello); err != nil {
		return nil, errors.Wrap(err, "send hello")
	}
	stream, err := conn.AcceptUniStream(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "accept stream")
	}
	if err := stream.SetReadDeadline(time.Now().Add(HelloTimeout)); err != nil {
		return nil, errors.Wrap(err, "set deadline")
	}
	l := &link{
		conn: conn, out: out, in: wire.NewReader(stream), dialed: dialed,
		queue: make(chan *wire.Message, MaxQueuedMessages),
	}
	m, err := l.in.Next()
	if err != nil {
		return nil, errors.Wrap(err, "read hello")
	}
	if m.Hello == nil {
		return nil, errors.Wrap(wire.ErrMalformed, "first message is not a hello")
	}
	if m.Sender != name {
		return nil, errors.Wrapf(ErrIdentity, "sender %q, certificate %q", m.Sender, name)
	}
	if err := stream.SetReadDeadline(time.Time{}); err != nil {
		return nil, errors.Wrap(err, "clear deadline")
	}
	l.info = *m.Hello
	l.upSince = time.Now()
	return l, nil
}

func commonName(conn *quic.Conn) (string, error) {
	certificates := conn.ConnectionState().TLS.PeerCertificates
	if len(certificates) == 0 {
		return "", errors.Wrap(ErrIdentity, "peer sent no certificate")
	}
	return certificates[0].Subject.CommonName, nil
}

// next returns the next message from the peer.
func (l *link) next() (wire.Message, error) {
	m, err := l.in.Next()
	if err != nil {
		return m, err
	}
	if m.Sender != l.info.ID || m.Incarnation != l.info.Incarnation {
		return m, errors.Wrapf(ErrIdentity, "message from %q incarnation %d on the link to %q incarnation %d", m.Sender, m.Incarnation, l.info.ID, l.info.Incarnation)
	}
	l.received.Add(1)
	return m, nil
}

// receiveChecks is the number of consecutive checks without a new message after
// which a link is closed. Checks that come due while this process is paused
// count as one, so a pause alone does not close the link.
const receiveChecks = 10

// enforceReceiveTimeout closes the link if no message arrives within timeout.
func (l *link) enforceReceiveTimeout(timeout time.Duration) {
	tick := time.NewTicker(timeout / receiveChecks)
	defer tick.Stop()
	seen, missed := l.received.Load(), 0
	for missed < receiveChecks {
		select {
		case <-tick.C:
		case <-l.conn.Context().Done():
			return
		}
		missed++
		if n := l.received.Load(); n != seen {
			seen, missed = n, 0
		}
	}
	_ = l.conn.CloseWithError(codeReceiveTimeout, "no message")
}

// enqueue queues a message, or returns false if the queue is full.
func (l *link) enqueue(m *wire.Message) bool {
	size := queuedSize(m)
	if l.queuedBytes.Add(size) > MaxQueuedBytes {
		l.queuedBytes.Add(-size)
		return false
	}
	select {
	case l.queue <- m:
		return true
	default:
		l.queuedBytes.Add(-size)
		return false
	}
}

// queuedSize estimates the memory used by a queued message. Only documents are
// large.
func queuedSize(m *wire.Message) int64 {
	const baseSize = 512
	if m.DocumentPush == nil {
		return baseSize
	}
	return int64(baseSize*(1+len(m.DocumentPush.Envelope.History)) + len(m.DocumentPush.Envelope.Text))
}

// write sends queued messages until the connection ends. A message that cannot
// be encoded because it exceeds a limit is logged and counted as dropped.
func (l *link) write(metrics *metrics, log *zap.Logger) error {
	done := l.conn.Context().Done()
	for {
		select {
		case <-done:
			return nil
		case m := <-l.queue:
			l.queuedBytes.Add(-queuedSize(m))
			frame, err := wire.Encode(*m)
			if err != nil {
				metrics.dropped.Inc(1)
				log.Error("peer_message_not_encoded", zap.String("member", l.info.ID), zap.Error(err))
				continue
			}
			if _, err := l.out.Write(frame); err != nil {
				return err
			}
			metrics.sent.Inc(1)
			metrics.sentBytes.Inc(int64(len(frame)))
		}
	}
}

// closeCode returns the error code that is sent to the peer when a link ends with
// err.
func closeCode(err error) quic.ApplicationErrorCode {
	switch {
	case errors.Is(err, wire.ErrVersion):
		return codeVersion
	case errors.Is(err, ErrIdentity):
		return codeIdentity
	case errors.Is(err, wire.ErrMalformed), errors.Is(err, wire.ErrTooLarge):
		return codeMalformed
	}
	return codeStopped
}
