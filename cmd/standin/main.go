// Command standin runs stand-ins for the platform, for upstreams and for callers,
// for use in tests and the demonstration. It is not part of the product.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// command is a subcommand of standin.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context) error
}

func main() {
	commands := []command{
		callerCommand(),
		portsCommand(),
		proxyCommand(),
		storeCommand(),
		upstreamCommand(),
	}
	parser := flaggy.NewParser("standin")
	parser.Description = "Stand-ins for the platform, for upstreams and for callers."
	for _, c := range commands {
		parser.AttachSubcommand(c.sub, 1)
	}
	if err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if !c.sub.Used {
			continue
		}
		if err := c.run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	parser.ShowHelpAndExit("no subcommand given")
}
