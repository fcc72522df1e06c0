// Command standin runs the stand-ins for the platform, for upstreams and for
// callers that tests and the demonstration use. It is not part of the product.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// subcommand is one row of the command table.
type subcommand struct {
	node *flaggy.Subcommand
	run  func(context.Context) error
}

func main() {
	table := []subcommand{
		upstreamCommand(),
	}
	p := flaggy.NewParser("standin")
	p.Description = "Stand-ins for tests and the demonstration of knapweedreel"
	p.DisableShowVersionWithVersion()
	for _, c := range table {
		p.AttachSubcommand(c.node, 1)
	}
	if err := p.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for _, c := range table {
		if c.node.Used {
			exit(c.run(ctx))
		}
	}
	p.ShowHelpAndExit("A command is needed.")
}

func exit(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}
