package relay

import (
	"bufio"
	"context"
	"crypto/rand"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/instance/evidence"
)

// Subscription receives a relay's log. It is not safe for concurrent use.
type Subscription struct {
	Address string // of the relay

	conn     net.Conn
	reader   *bufio.Reader
	keys     func() evidence.Keys
	nonce    [16]byte
	sequence uint64
}

// connectLimit bounds the time for a connection within a failure domain.
const connectLimit = 200 * time.Millisecond

// Subscribe asks the relay at an address, IP:port, for the changes after an
// index. The caller closes the subscription.
func Subscribe(ctx context.Context, address string, keys func() evidence.Keys, after uint64) (*Subscription, error) {
	dialer := net.Dialer{Timeout: connectLimit}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to relay")
	}
	s := &Subscription{Address: address, conn: conn, reader: bufio.NewReader(conn), keys: keys}
	_, _ = rand.Read(s.nonce[:]) // never fails
	if err := conn.SetWriteDeadline(time.Now().Add(connectLimit)); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "set deadline")
	}
	if err := writeFrame(conn, keys().Seal, &hello{Nonce: s.nonce, After: after}); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

// Next returns the next batch, or an error when none comes until the given
// time. After an error the subscription is of no more use.
func (s *Subscription) Next(ctx context.Context, until time.Time) (Batch, error) {
	defer context.AfterFunc(ctx, func() { _ = s.conn.Close() })()
	if err := s.conn.SetReadDeadline(until); err != nil {
		return Batch{}, errors.Wrap(err, "set deadline")
	}
	var u update
	if err := readFrame(s.reader, s.keys(), maxFrame, &u); err != nil {
		return Batch{}, err
	}
	if s.sequence++; u.Nonce != s.nonce || u.Sequence != s.sequence {
		return Batch{}, errForeign
	}
	age := time.Duration(min(u.AgeMS, uint64(maxAge.Milliseconds()))) * time.Millisecond
	return Batch{Gap: u.Gap, Changes: u.Changes, Index: u.Index, AsOf: time.Now().Add(-age)}, nil
}

// maxAge bounds the ages that are told apart.
const maxAge = time.Hour

// Close ends the subscription.
func (s *Subscription) Close() { _ = s.conn.Close() }
