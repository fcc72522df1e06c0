package relay

import (
	"bufio"
	"context"
	"crypto/rand"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/catalog"
	"knapweedreel/internal/instance/evidence"
)

// Subscription receives the changes of a relay's log. It is not safe for
// concurrent use.
type Subscription struct {
	Address string // of the relay

	conn     net.Conn
	reader   *bufio.Reader
	keys     func() evidence.Keys
	nonce    [16]byte
	sequence uint64
	format   version
}

// connectTimeout bounds the time for connecting within a failure domain, and for
// sending the hello.
const connectTimeout = 200 * time.Millisecond

// Subscribe subscribes to the relay at the given address (IP:port) for changes
// after a position. The caller must close the subscription.
func Subscribe(ctx context.Context, address string, keys func() evidence.Keys, after catalog.Position) (*Subscription, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to relay")
	}
	s := &Subscription{Address: address, conn: conn, reader: bufio.NewReader(conn), keys: keys, format: versionFor(after)}
	_, _ = rand.Read(s.nonce[:]) // never fails
	if err := conn.SetWriteDeadline(time.Now().Add(connectTimeout)); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "set deadline")
	}
	var h any = &hello{Nonce: s.nonce, After: after.Revision}
	if s.format == withEras {
		h = &eraHello{Nonce: s.nonce, Era: uint64(after.Era), After: after.Revision}
	}
	if err := writeFrame(conn, keys().Seal, s.format, h); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

// Next returns the next batch, or an error if none arrives before the deadline.
// After an error the subscription must not be used again.
func (s *Subscription) Next(ctx context.Context, deadline time.Time) (Batch, error) {
	defer context.AfterFunc(ctx, func() { _ = s.conn.Close() })()
	if err := s.conn.SetReadDeadline(deadline); err != nil {
		return Batch{}, errors.Wrap(err, "set deadline")
	}
	u, err := s.readUpdate()
	if err != nil {
		return Batch{}, err
	}
	if s.sequence++; u.Nonce != s.nonce || u.Sequence != s.sequence {
		return Batch{}, errNotAuthentic
	}
	age := time.Duration(min(u.AgeMS, uint64(maxReportedAge.Milliseconds()))) * time.Millisecond
	return Batch{Gap: u.Gap, Changes: u.Changes, Index: catalog.Position{Era: catalog.Era(u.Era), Revision: u.Index}, AsOf: time.Now().Add(-age)}, nil
}

// readUpdate reads an update in the format of the subscription.
func (s *Subscription) readUpdate() (eraUpdate, error) {
	if s.format == withEras {
		var u eraUpdate
		err := readFrame(s.reader, s.keys(), maxFrameBytes, withEras, &u)
		return u, err
	}
	var u update
	err := readFrame(s.reader, s.keys(), maxFrameBytes, withoutEras, &u)
	return eraUpdate{Nonce: u.Nonce, Sequence: u.Sequence, Gap: u.Gap, Index: u.Index, AgeMS: u.AgeMS, Changes: u.Changes}, err
}

// maxReportedAge caps the age that a relay reports.
const maxReportedAge = time.Hour

// Close closes the subscription.
func (s *Subscription) Close() { _ = s.conn.Close() }
