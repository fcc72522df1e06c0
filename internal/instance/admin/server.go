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
	// maxConnections bounds the open connections. Each costs a TLS handshake and
	// two goroutines.
	maxConnections = 64
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 5 * time.Second
	// readTimeout bounds the time to read a complete request. A document of 1 MB
	// takes 8 s at 1 Mbit/s.
	readTimeout = 15 * time.Second
	// writeTimeout bounds the time from the end of the request header to the end
	// of the response. It exceeds the 10 s timeout of a put. Trace streams
	// extend it.
	writeTimeout = 30 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 16 << 10
	// shutdownTimeout bounds the wait for responses in progress at the end of
	// Run. A put takes at most 10 s.
	shutdownTimeout = 11 * time.Second
)

// Config configures a Server.
type Config struct {
	// Address is the IP:port to listen on.
	Address string
	// TLS must require and verify client certificates; see
	// keys.Credentials.AdminServer.
	TLS *tls.Config
	// Metrics serves the metrics endpoint. Default: not found.
	Metrics http.Handler
	// Counter has the counts of platform calls for the status; nil for none.
	Counter *store.Counter
	// Log receives one line for each failed request. Default: no log.
	Log *zap.Logger
	// Listening, if set, is called with the listen address once the server
	// accepts connections.
	Listening func(net.Addr)
}

// Server is the admin server.
type Server struct {
	config   Config
	control  Control
	putter   Putter
	requests RequestExplainer
	store    store.Store
	log      *zap.Logger
}

// New returns a Server. It reads the audit trail from the store.
func New(c Config, control Control, putter Putter, requests RequestExplainer, s store.Store) *Server {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = http.NotFoundHandler()
	}
	return &Server{config: c, control: control, putter: putter, requests: requests, store: s, log: c.Log}
}

// Run serves until ctx ends, then waits for responses in progress and returns nil.
// It returns an error if it cannot listen or serve.
func (s *Server) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", s.config.Address)
	if err != nil {
		return errors.Wrap(err, "listen on admin address")
	}
	limited := newLimitedListener(l, maxConnections)
	l = tls.NewListener(limited, s.config.TLS)
	server := &http.Server{
		Handler:           s.handler(ctx),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
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
		return errors.Wrap(err, "serve admin API")
	case <-ctx.Done():
		return s.shutDown(server)
	}
}

func (s *Server) shutDown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		s.log.Warn("admin_stop_cut_off_answers", zap.Error(err))
		return errors.Wrap(server.Close(), "close")
	}
	return nil
}
