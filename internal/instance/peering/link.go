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

// Codes with which a link is closed.
const (
	codeStopped   quic.ApplicationErrorCode = 0 // the instance stops or needs the link no more
	codeMalformed quic.ApplicationErrorCode = 1
	codeVersion   quic.ApplicationErrorCode = 2
	codeIdentity  quic.ApplicationErrorCode = 3
	codeReplaced  quic.ApplicationErrorCode = 4 // another link to the same member is kept
	codeTooMany   quic.ApplicationErrorCode = 5
	codeSilent    quic.ApplicationErrorCode = 6
)

// ErrIdentity means that a message's sender is not the name in the
// certificate, or that another member answered than the one dialed.
var ErrIdentity = errors.New("peering: identity does not match the certificate")

// link is an authenticated connection to a member, with one stream in each
// direction.
type link struct {
	conn   *quic.Conn
	out    *quic.SendStream
	in     *wire.Reader
	info   member.Info // from the Hello
	dialed bool        // opened by this instance
	up     time.Time   // when the Hello arrived

	queue       chan *wire.Message
	queuedBytes atomic.Int64
	received    atomic.Uint64 // messages read
}

// open exchanges Hellos on a new connection. The caller closes the connection
// on an error.
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
	k := &link{
		conn: conn, out: out, in: wire.NewReader(stream), dialed: dialed,
		queue: make(chan *wire.Message, SendQueue),
	}
	m, err := k.in.Next()
	if err != nil {
		return nil, errors.Wrap(err, "read hello")
	}
	if m.Hello == nil {
		return nil, errors.Wrap(wire.ErrMalformed, "first message is no hello")
	}
	if m.Sender != name {
		return nil, errors.Wrapf(ErrIdentity, "sender %q, certificate %q", m.Sender, name)
	}
	if err := stream.SetReadDeadline(time.Time{}); err != nil {
		return nil, errors.Wrap(err, "clear deadline")
	}
	k.info = *m.Hello
	k.up = time.Now()
	return k, nil
}

func commonName(conn *quic.Conn) (string, error) {
	certificates := conn.ConnectionState().TLS.PeerCertificates
	if len(certificates) == 0 {
		return "", errors.Wrap(ErrIdentity, "peer gave no certificate")
	}
	return certificates[0].Subject.CommonName, nil
}

// next returns the next message of the peer.
func (k *link) next() (wire.Message, error) {
	m, err := k.in.Next()
	if err != nil {
		return m, err
	}
	if m.Sender != k.info.ID || m.Incarnation != k.info.Incarnation {
		return m, errors.Wrapf(ErrIdentity, "message of %q boot %d on the link of %q boot %d", m.Sender, m.Incarnation, k.info.ID, k.info.Incarnation)
	}
	k.received.Add(1)
	return m, nil
}

// silenceChecks is the number of looks at a link in the time of silence after
// which it is closed. A pause of this process spans one look only.
const silenceChecks = 10

// watch closes the link when no message arrives for the given time.
func (k *link) watch(silence time.Duration) {
	tick := time.NewTicker(silence / silenceChecks)
	defer tick.Stop()
	seen, silent := k.received.Load(), 0
	for silent < silenceChecks {
		select {
		case <-tick.C:
		case <-k.conn.Context().Done():
			return
		}
		silent++
		if n := k.received.Load(); n != seen {
			seen, silent = n, 0
		}
	}
	_ = k.conn.CloseWithError(codeSilent, "no message")
}

// enqueue queues a message, or reports false when the queue is full.
func (k *link) enqueue(m *wire.Message) bool {
	size := queuedSize(m)
	if k.queuedBytes.Add(size) > SendQueueBytes {
		k.queuedBytes.Add(-size)
		return false
	}
	select {
	case k.queue <- m:
		return true
	default:
		k.queuedBytes.Add(-size)
		return false
	}
}

// queuedSize estimates the memory that a queued message keeps alive. Only
// documents are large.
func queuedSize(m *wire.Message) int64 {
	const small = 512
	if m.DocumentPush == nil {
		return small
	}
	return int64(small*(1+len(m.DocumentPush.Envelope.History)) + len(m.DocumentPush.Envelope.Text))
}

// write sends queued messages until the connection ends. A message that cannot
// be encoded, because it is over a limit, is logged and counted as dropped.
func (k *link) write(metrics *metrics, log *zap.Logger) error {
	done := k.conn.Context().Done()
	for {
		select {
		case <-done:
			return nil
		case m := <-k.queue:
			k.queuedBytes.Add(-queuedSize(m))
			frame, err := wire.Encode(*m)
			if err != nil {
				metrics.dropped.Inc(1)
				log.Error("peer_message_not_encoded", zap.String("member", k.info.ID), zap.Error(err))
				continue
			}
			if _, err := k.out.Write(frame); err != nil {
				return err
			}
			metrics.sent.Inc(1)
			metrics.sentBytes.Inc(int64(len(frame)))
		}
	}
}

// closeCode returns the code that tells the peer why its link ends.
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
