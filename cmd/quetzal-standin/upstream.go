package main

import (
	"context"
	"flag"
	"strings"
	"sync"

	"github.com/google/subcommands"

	"quetzalhub/standin/upstream"
)

// upstreamCommand runs a stand-in for an upstream.
type upstreamCommand struct {
	listen  string
	calls   string
	options upstream.Options
}

func (*upstreamCommand) Name() string     { return "upstream" }
func (*upstreamCommand) Synopsis() string { return "run an upstream beside a node" }
func (*upstreamCommand) Usage() string {
	return "upstream -listen ADDRESS -local ADDRESS -service NAME [flags]\n\n"
}

func (c *upstreamCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:9000", "address to listen on")
	f.StringVar(&c.options.LocalAddress, "local", "", "local listener of the node beside the upstream")
	f.StringVar(&c.options.Service, "service", "", "service to announce")
	f.IntVar(&c.options.Slots, "slots", 32, "requests served at once")
	f.DurationVar(&c.options.ServiceTime, "time", 0, "time for which a request holds its slot")
	f.DurationVar(&c.options.WarmUp, "cold", 0, "time after the start in which requests take three times as long")
	f.StringVar(&c.calls, "calls", "", "paths called before answering, separated by commas")
	f.BoolVar(&c.options.ReportIdle, "mislead", false, "report idle slots regardless of the load")
	f.BoolVar(&c.options.Fail, "fail", false, "answer every request with status 500")
}

func (c *upstreamCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.calls != "" {
		c.options.Calls = strings.Split(c.calls, ",")
	}
	u := upstream.New(c.options)
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { u.Announce(ctx, c.options.LocalAddress, c.listen) })
	status := serve(c.listen, u.Handler())
	cancel()
	group.Wait()
	return status
}
