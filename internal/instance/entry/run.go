package entry

import (
	"context"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"knapweedreel/internal/health"
	"knapweedreel/internal/routing"
	"knapweedreel/internal/sockbuf"
)

// tidyInterval is the time between removals of unused state and connections.
const tidyInterval = time.Second

// cancelTimeout is how long Run waits for canceled requests to end.
const cancelTimeout = 2 * time.Second

// Run serves callers until ctx is canceled. It then closes the listener and all
// connections, which cancels the requests in flight, waits for these to end and
// returns nil. After Drain it only waits for ctx.
func (s *Server) Run(ctx context.Context) error {
	l, err := s.listen(ctx)
	if err != nil {
		return err
	}
	server := s.newHTTPServer()
	s.mu.Lock()
	s.http = server
	s.mu.Unlock()
	served := make(chan error, 1)
	go func() {
		served <- server.Serve(newListener(l, s.cfg.Limits.CallerConnections, s.budget, s.headerLimits, s.memoryMetrics))
	}()
	var background sync.WaitGroup
	backgroundCtx, stopBackground := context.WithCancel(ctx)
	background.Go(func() { s.tidy(backgroundCtx) })
	background.Go(func() { s.watchMemory(backgroundCtx) })
	if s.quota != nil {
		background.Go(func() { s.quota.run(backgroundCtx) })
	}
	defer func() {
		stopBackground()
		background.Wait()
		s.pools.Close()
	}()
	select {
	case <-ctx.Done():
	case err = <-served:
		if errors.Is(err, http.ErrServerClosed) {
			<-ctx.Done()
			_ = server.Close()
			return nil
		}
		_ = server.Close()
		return errors.Wrap(err, "serve callers")
	}
	_ = server.Close()
	<-served
	s.callers.awaitQuiet(context.Background(), cancelTimeout, 0)
	return nil
}

func (s *Server) listen(ctx context.Context) (net.Listener, error) {
	if s.cfg.Listener != nil {
		return s.cfg.Listener, nil
	}
	l, err := sockbuf.ListenConfig(callerReceiveBuffer).Listen(ctx, "tcp", s.cfg.Address)
	return l, errors.Wrap(err, "listen for callers")
}

func (s *Server) newHTTPServer() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:           s,
		Protocols:         protocols,
		ReadHeaderTimeout: milliseconds(s.cfg.Times.HeaderMS),
		IdleTimeout:       max(milliseconds(s.cfg.Times.HeaderMS), maxIdleTimeout),
		MaxHeaderBytes:    s.cfg.Limits.HeaderBytes,
		ErrorLog:          log.New(serverLog{s.log}, "", 0),
		ConnContext:       withCallerConn,
		ConnState:         s.callers.connState,
	}
}

// headerLimits returns the limits of the configuration for request headers.
func (s *Server) headerLimits() headerLimits {
	snap := s.control.Snapshot()
	return headerLimits{bytes: snap.CallerHeaderBytes, timeout: snap.CallerHeaderTimeout}
}

// maxIdleTimeout bounds the idle time of callers' connections. The settings or
// the configuration set a lower limit, which tidy enforces.
const maxIdleTimeout = 10 * time.Minute

// serverLog is an io.Writer that logs the errors of the HTTP server.
type serverLog struct{ log *zap.Logger }

func (l serverLog) Write(p []byte) (int, error) {
	l.log.Warn("http_server", zap.String("message", strings.TrimSpace(string(p))))
	return len(p), nil
}

// server returns the HTTP server, nil before Run.
func (s *Server) server() *http.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.http
}

// tidy periodically closes idle connections and drops the state of services and
// upstreams that are no longer in the documents.
func (s *Server) tidy(ctx context.Context) {
	t := time.NewTicker(tidyInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			s.tidyOnce(s.control.Snapshot(), now)
		}
	}
}

func (s *Server) tidyOnce(snap *routing.Snapshot, now time.Time) {
	idle := snap.CallerIdle
	if idle == 0 {
		idle = milliseconds(s.cfg.Times.HeaderMS)
	}
	s.callers.closeIdle(now.Add(-idle))
	known := make(map[health.Key]time.Duration)
	for _, svc := range snap.Services {
		if svc.Document == nil {
			continue
		}
		for i := range svc.Upstreams {
			known[health.Key{Service: svc.Name, Upstream: svc.Upstreams[i].ID}] = idleTimeout(svc.Document)
		}
	}
	s.pools.Prune(known)
	s.mu.Lock()
	services := make([]*serviceState, 0, len(s.services))
	for _, st := range s.services {
		services = append(services, st)
	}
	s.mu.Unlock()
	for _, st := range services {
		st.prune(snap.Services[st.name], now)
		st.updateGauges(snap)
	}
}
