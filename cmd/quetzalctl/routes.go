package main

import (
	"context"
	"flag"
	"strings"
	"time"

	"github.com/google/subcommands"

	"quetzalhub/configurer"
	"quetzalhub/schema"
)

// routeSet creates or replaces a route.
type routeSet struct {
	*options
	methods string
	route   configurer.Route
}

func (*routeSet) Name() string     { return "route-set" }
func (*routeSet) Synopsis() string { return "create or replace a route" }
func (*routeSet) Usage() string {
	return "route-set -service NAME [-class CLASS] [-methods LIST] [-idempotent] [-open] [-timeout D] PREFIX\n\n" +
		"Example: quetzalctl route-set -service orders -class critical -methods POST /orders\n\n"
}

func (c *routeSet) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.route.Service, "service", "", "service that answers")
	f.StringVar(&c.route.Class, "class", "normal", "importance: low, normal, high or critical")
	f.StringVar(&c.methods, "methods", "", "methods matched, separated by commas; empty for all")
	f.BoolVar(&c.route.Idempotent, "idempotent", false, "running a request twice does no harm")
	f.BoolVar(&c.route.AllowAnonymous, "open", false, "no key is needed")
	f.DurationVar(&c.route.Timeout, "timeout", time.Duration(0), "time allowed for a request; 0 for the node's default")
}

func (c *routeSet) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usage("route-set takes one path prefix")
	}
	c.route.Prefix = f.Arg(0)
	if c.methods != "" {
		c.route.Methods = strings.Split(strings.ToUpper(c.methods), ",")
	}
	return c.change(ctx, "route "+f.Arg(0), func(s *schema.State) error {
		return configurer.SetRoute(s, c.route)
	})
}

// routeList lists the routes.
type routeList struct{ *options }

func (*routeList) Name() string           { return "routes" }
func (*routeList) Synopsis() string       { return "list the routes" }
func (*routeList) SetFlags(*flag.FlagSet) {}
func (*routeList) Usage() string          { return "routes\n\nExample: quetzalctl routes\n\n" }

func (c *routeList) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	state, err := c.read(ctx)
	if err != nil {
		return fail(err)
	}
	var rows [][]string
	for _, r := range state.GetConfig().GetRoutes() {
		rows = append(rows, []string{
			r.GetPrefix(), strings.Join(r.GetMethods(), ","), r.GetService(),
			configurer.ClassName(r.GetClass()), yes(r.GetIdempotent()), yes(r.GetOpen()),
		})
	}
	return c.table(state.GetConfig().GetRoutes(), "PREFIX\tMETHODS\tSERVICE\tCLASS\tIDEMPOTENT\tOPEN", rows)
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
