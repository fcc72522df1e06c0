package guard

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

const (
	// requestTimeout bounds the time to read a request, and the time to write its
	// response.
	requestTimeout = 5 * time.Second
	idleTimeout    = 10 * time.Second
	// maxHeaderBytes bounds the size of a request header. net/http allows 4 KiB more.
	maxHeaderBytes = 16 << 10
)

// Server is an HTTP server for short requests without bodies.
type Server struct {
	Name        string // labels the metrics
	Address     string // IP:port
	Handler     http.Handler
	Connections int // maximum number of open connections
	Scope       tally.Scope
}

// Run serves until ctx is canceled.
func (s Server) Run(ctx context.Context) error {
	l, err := Listen(ctx, s.Name, s.Address, s.Connections, s.Scope)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: withoutBody(s.Handler), MaxHeaderBytes: maxHeaderBytes,
		ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, IdleTimeout: idleTimeout,
		ConnState: func(c net.Conn, state http.ConnState) {
			if conn, ok := c.(*Conn); ok && state != http.StateClosed {
				conn.SetIdle(state == http.StateIdle)
			}
		},
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	select {
	case err := <-ended:
		return errors.Wrapf(err, "serve %s", s.Address)
	case <-ctx.Done():
		_ = server.Close()
		<-ended
		return nil
	}
}

// withoutBody closes the connection after the response to a request with a body, so
// that the body isn't read.
func withoutBody(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}
