// Command quetzal-standin runs stand-ins for external systems, for the demo and
// for tests: the platform, upstreams, callers and a certificate authority.
//
// Usage:
//
//	quetzal-standin platform -listen 127.0.0.1:6000
//	quetzal-standin upstream -listen 127.0.0.1:9000 -local 127.0.0.1:7002 -service orders
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&platformCommand{}, "")
	subcommands.Register(&upstreamCommand{}, "")
	subcommands.Register(&authorityCommand{}, "")
	subcommands.Register(&callerCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
