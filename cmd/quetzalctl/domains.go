package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"quetzalhub/configurer"
	"quetzalhub/schema"
)

// domainEvacuate asks that the upstreams of a failure domain receive no requests.
type domainEvacuate struct{ *options }

func (*domainEvacuate) Name() string { return "evacuate" }
func (*domainEvacuate) Synopsis() string {
	return "send no requests to the upstreams of a failure domain"
}
func (*domainEvacuate) SetFlags(*flag.FlagSet) {}
func (*domainEvacuate) Usage() string {
	return "evacuate DOMAIN\n\nIts load moves in some seconds; hosts then refuse calls to their upstreams.\n\nExample: quetzalctl evacuate hall\n\n"
}

func (c *domainEvacuate) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return failUsage("evacuate takes one failure domain")
	}
	return c.change(ctx, "evacuation of "+f.Arg(0), func(s *schema.State) error { return configurer.Evacuate(s, f.Arg(0)) })
}

// domainReturn takes back a failure domain.
type domainReturn struct{ *options }

func (*domainReturn) Name() string           { return "return" }
func (*domainReturn) Synopsis() string       { return "send requests to an evacuated failure domain again" }
func (*domainReturn) SetFlags(*flag.FlagSet) {}
func (*domainReturn) Usage() string {
	return "return DOMAIN\n\nExample: quetzalctl return hall\n\n"
}

func (c *domainReturn) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return failUsage("return takes one failure domain")
	}
	return c.change(ctx, "return of "+f.Arg(0), func(s *schema.State) error { return configurer.Return(s, f.Arg(0)) })
}
