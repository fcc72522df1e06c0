package main

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"knapweedreel/internal/standin/faultproxy"
)

func proxyCommand() command {
	cfg, control := faultproxy.Config{Network: faultproxy.TCP, Listen: "127.0.0.1:0"}, "127.0.0.1:0"
	sc := flaggy.NewSubcommand("proxy")
	sc.Description = "Forward connections to a target, with faults that are set by POST /control"
	sc.String(&cfg.Network, "", "network", "tcp or udp")
	sc.String(&cfg.Listen, "", "listen", "IP:port for clients; port 0 selects a free port, which is printed")
	sc.String(&cfg.Target, "", "target", "IP:port to forward to")
	sc.String(&control, "", "control", "IP:port for /control; port 0 selects a free port, which is printed")
	return command{sub: sc, run: func(ctx context.Context) error {
		p, err := faultproxy.Start(cfg)
		if err != nil {
			return err
		}
		defer p.Close()
		fmt.Printf("proxy=%s\n", p.Address())
		return listenAndServe(ctx, control, p.Handler())
	}}
}
