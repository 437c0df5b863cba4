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
	regions string
	route   configurer.Route
}

func (*routeSet) Name() string     { return "route-set" }
func (*routeSet) Synopsis() string { return "create or replace a route" }
func (*routeSet) Usage() string {
	return "route-set -service NAME [-class CLASS] [-methods LIST] [-idempotent] [-open] [-timeout D] [-regions LIST] PREFIX\n\n" +
		"Example: quetzalctl route-set -service orders -class critical -methods POST /orders\n\n"
}

func (c *routeSet) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.route.Service, "service", "", "service that handles the requests")
	f.StringVar(&c.route.Class, "class", "normal", "priority class: low, normal, high or critical")
	f.StringVar(&c.methods, "methods", "", "comma-separated list of methods matched; empty for all")
	f.BoolVar(&c.route.Idempotent, "idempotent", false, "requests may safely run more than once")
	f.BoolVar(&c.route.AllowAnonymous, "open", false, "requests need no API key")
	f.DurationVar(&c.route.Timeout, "timeout", time.Duration(0), "timeout of a request; 0 for the node's default")
	f.StringVar(&c.regions, "regions", "", "comma-separated list of regions in which requests may run; empty for all")
}

func (c *routeSet) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return failUsage("route-set takes one path prefix")
	}
	c.route.Prefix = f.Arg(0)
	if c.methods != "" {
		c.route.Methods = strings.Split(strings.ToUpper(c.methods), ",")
	}
	c.route.Regions = splitList(c.regions)
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
			configurer.ClassName(r.GetClass()), yesNo(r.GetIdempotent()), yesNo(r.GetOpen()),
			strings.Join(r.GetRegions(), ","),
		})
	}
	return c.printTable(state.GetConfig().GetRoutes(), "PREFIX\tMETHODS\tSERVICE\tCLASS\tIDEMPOTENT\tOPEN\tREGIONS", rows)
}

// splitList returns the elements of a comma-separated list, none for an empty one.
func splitList(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
