package main

import (
	"context"
	"flag"
	"net/http"
	"os/signal"
	"sync"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/google/subcommands"

	"quetzalhub/standin/platform"
)

// platformCommand runs the stand-in for the platform's object store.
type platformCommand struct {
	listen string
}

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "run the platform's object store" }
func (*platformCommand) Usage() string    { return "platform -listen ADDRESS\n\n" }

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:6000", "address to listen on")
}

func (c *platformCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return serve(c.listen, platform.New().Handler())
}

// serve runs an HTTP server until the process receives SIGINT or SIGTERM.
func serve(address string, handler http.Handler) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	server := &http.Server{Addr: address, Handler: handler}
	failed := make(chan error, 1)
	var group sync.WaitGroup
	group.Go(func() { failed <- server.ListenAndServe() })
	select {
	case err := <-failed:
		log.Error("HTTP server failed", "err", err)
		return subcommands.ExitFailure
	case <-ctx.Done():
	}
	_ = server.Close()
	return subcommands.ExitSuccess
}
