package admin

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"knapweedreel/internal/store"
)

const (
	// maxConnections bounds operators' connections, each of which costs a TLS
	// handshake and two goroutines.
	maxConnections = 64
	// headerLimit bounds the wait for a request's header.
	headerLimit = 5 * time.Second
	// readLimit bounds the wait for a whole request. A document of 1 MB needs
	// 8 s on a line of 1 Mbit/s.
	readLimit = 15 * time.Second
	// writeLimit bounds a request from its header to the end of the answer. It
	// is above the 10 s limit of a put. Streams extend it.
	writeLimit = 30 * time.Second
	// idleLimit closes kept connections.
	idleLimit      = 30 * time.Second
	maxHeaderBytes = 16 << 10
	// stopLimit bounds the wait for answers at the end of Run; a put takes 10 s
	// at most.
	stopLimit = 11 * time.Second
)

// Config configures a Server.
type Config struct {
	// Address is the IP:port to listen on.
	Address string
	// TLS requires and verifies client certificates; see
	// keys.Credentials.AdminServer.
	TLS *tls.Config
	// Metrics serves the metrics page.
	Metrics http.Handler
	// Counter gives the calls to the platform for the status; nil for none.
	Counter *store.Counter
	// Log receives one line for each failed request. Default: none.
	Log *zap.Logger
	// Listening, if set, is called with the address once connections are
	// accepted.
	Listening func(net.Addr)
}

// Server is the operators' server.
type Server struct {
	config   Config
	control  Control
	putter   Putter
	requests RequestExplainer
	store    store.Store
	log      *zap.Logger
}

// New returns a server. The store is read for the audit trail, and for the
// history of documents.
func New(c Config, control Control, putter Putter, requests RequestExplainer, s store.Store) *Server {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = http.NotFoundHandler()
	}
	return &Server{config: c, control: control, putter: putter, requests: requests, store: s, log: c.Log}
}

// Run serves until ctx ends, then waits for answers in progress and returns
// nil. An error means that the address could not be used.
func (s *Server) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", s.config.Address)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	limited := newLimitedListener(l, maxConnections)
	l = tls.NewListener(limited, s.config.TLS)
	server := &http.Server{
		Handler:           s.handler(ctx),
		ReadHeaderTimeout: headerLimit,
		ReadTimeout:       readLimit,
		WriteTimeout:      writeLimit,
		IdleTimeout:       idleLimit,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         limited.connState,
		ErrorLog:          zap.NewStdLog(s.log),
	}
	if s.config.Listening != nil {
		s.config.Listening(l.Addr())
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "serve operators")
	case <-ctx.Done():
		return s.stop(server)
	}
}

func (s *Server) stop(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		s.log.Warn("admin_stop_cut_off_answers", zap.Error(err))
		return errors.Wrap(server.Close(), "close")
	}
	return nil
}
