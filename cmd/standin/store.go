package main

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"knapweedreel/internal/standin/storeserver"
)

func storeCommand() command {
	address := "127.0.0.1:7400"
	sc := flaggy.NewSubcommand("store")
	sc.Description = "Serve the platform's store and instance list from memory."
	sc.String(&address, "a", "address", "IP:port to listen on")
	run := func(ctx context.Context) error { return runStore(ctx, address) }
	return command{sub: sc, run: run}
}

func runStore(ctx context.Context, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: storeserver.New()}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
