// Command knapweedreel runs an instance of the proxy fleet and provides the
// commands for its operators.
package main

import (
	"os"

	"knapweedreel/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
