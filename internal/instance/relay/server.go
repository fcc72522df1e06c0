package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"knapweedreel/internal/guard"
	"knapweedreel/internal/instance/evidence"
)

// Limits of a server.
const (
	// helloTimeout bounds the time until a subscriber has sent its hello.
	helloTimeout = time.Second
	// maxHelloBytes bounds the size of a hello.
	maxHelloBytes = 256
	// writeTimeout bounds the time for writing a frame. A subscriber that does not
	// read is disconnected, and falls back to the store.
	writeTimeout = time.Second
)

// Server sends the changes of a log to subscribers. All fields are required.
type Server struct {
	Address        string // TCP, IP:port
	MaxConnections int
	ChangeLog      *Log
	Keys           func() evidence.Keys
	Logger         *zap.Logger
	Scope          tally.Scope
}

// Run serves until ctx is canceled.
func (s *Server) Run(ctx context.Context) error {
	listener, err := guard.Listen(ctx, "peers", s.Address, s.MaxConnections, s.Scope)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			cancel()
			return errors.Wrap(err, "accept subscriber")
		}
		wg.Go(func() {
			if err := s.serve(ctx, conn); err != nil && ctx.Err() == nil {
				s.Logger.Debug("relay_subscriber_ended", zap.Stringer("remote", conn.RemoteAddr()), zap.Error(err))
			}
		})
	}
}

// frame returns an update of the given version.
func (b *Batch) frame(f version, nonce [16]byte, sequence uint64) any {
	age := uint64(time.Since(b.AsOf).Milliseconds())
	if f == withoutEras {
		return &update{Nonce: nonce, Sequence: sequence, Gap: b.Gap, Index: b.Index.Revision, Changes: b.Changes, AgeMS: age}
	}
	return &eraUpdate{
		Nonce: nonce, Sequence: sequence, Gap: b.Gap, Era: uint64(b.Index.Era), Index: b.Index.Revision, Changes: b.Changes, AgeMS: age,
	}
}

// serve sends the log to one subscriber until the connection fails, the log lacks
// changes that the subscriber needs, or ctx is canceled.
func (s *Server) serve(ctx context.Context, conn net.Conn) error {
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	nonce, after, err := readHello(conn, s.Keys())
	if err != nil {
		return err
	}
	if c, ok := conn.(*guard.Conn); ok {
		c.Keep()
	}
	format := versionFor(after)
	s.Scope.Counter("relay_subscribers").Inc(1)
	for sequence := uint64(1); ; sequence++ {
		b, updated := s.ChangeLog.after(after)
		if err := conn.SetDeadline(time.Now().Add(writeTimeout)); err != nil {
			return errors.Wrap(err, "set deadline")
		}
		if err := writeFrame(conn, s.Keys().Seal, format, b.frame(format, nonce, sequence)); err != nil || b.Gap {
			return err
		}
		after = b.Index
		select {
		case <-updated:
		case <-ctx.Done():
			return nil
		}
	}
}
