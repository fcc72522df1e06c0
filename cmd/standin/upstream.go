package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"knapweedreel/internal/standin/upstream"
)

func upstreamCommand() command {
	address, cfg := "127.0.0.1:0", upstream.Config{ID: "upstream", Service: "service", Slots: 6}
	workMS, coldStartMS := 5, 0
	sc := flaggy.NewSubcommand("upstream")
	sc.Description = "Run an upstream, with faults that are set by POST /.standin/control"
	sc.String(&address, "", "address", "IP:port to listen on; port 0 selects a free port, which is printed")
	sc.String(&cfg.ID, "", "id", "ID of the upstream")
	sc.String(&cfg.Service, "", "service", "Service of the upstream")
	sc.Int(&cfg.Slots, "", "slots", "Requests that are run at a time; as many may be queued")
	sc.Int(&workMS, "", "work-ms", "Time to run a request, in milliseconds")
	sc.Int(&coldStartMS, "", "cold-start-ms", "Time after the start during which requests take longer, in milliseconds")
	return command{sub: sc, run: func(ctx context.Context) error {
		cfg.Work = time.Duration(workMS) * time.Millisecond
		cfg.ColdStart = time.Duration(coldStartMS) * time.Millisecond
		return listenAndServe(ctx, address, upstream.New(cfg).Handler())
	}}
}

// listenAndServe prints the address that it listens on as "address=IP:port" and
// serves until ctx ends.
func listenAndServe(ctx context.Context, address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	fmt.Printf("address=%s\n", l.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 30 * time.Second}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
