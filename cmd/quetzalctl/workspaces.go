package main

import (
	"context"
	"flag"
	"strconv"
	"strings"

	"github.com/google/subcommands"

	"quetzalhub/configurer"
	"quetzalhub/schema"
)

// workspaceSet creates or changes a workspace.
type workspaceSet struct {
	*options
	rate  float64
	burst float64
}

func (*workspaceSet) Name() string     { return "workspace-set" }
func (*workspaceSet) Synopsis() string { return "create a workspace or change its rate and burst" }
func (*workspaceSet) Usage() string {
	return "workspace-set -rate N -burst N NAME\n\nExample: quetzalctl workspace-set -rate 200 -burst 400 gloves\n\n"
}

func (c *workspaceSet) SetFlags(f *flag.FlagSet) {
	f.Float64Var(&c.rate, "rate", 0, "rate limit of the whole fleet in requests per second")
	f.Float64Var(&c.burst, "burst", 1, "burst size of the whole fleet in requests")
}

func (c *workspaceSet) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return failUsage("workspace-set takes one name")
	}
	return c.change(ctx, "workspace "+f.Arg(0), func(s *schema.State) error {
		return configurer.SetWorkspace(s, f.Arg(0), c.rate, c.burst)
	})
}

// workspaceRegions binds a workspace to regions.
type workspaceRegions struct{ *options }

func (*workspaceRegions) Name() string { return "workspace-regions" }
func (*workspaceRegions) Synopsis() string {
	return "set the regions in which requests of a workspace may run"
}
func (*workspaceRegions) SetFlags(*flag.FlagSet) {}
func (*workspaceRegions) Usage() string {
	return "workspace-regions NAME [REGION...]\n\nNo region allows all.\n\nExample: quetzalctl workspace-regions gloves south north\n\n"
}

func (c *workspaceRegions) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 1 {
		return failUsage("workspace-regions takes a name and the regions")
	}
	return c.change(ctx, "workspace "+f.Arg(0), func(s *schema.State) error {
		return configurer.SetRegions(s, f.Arg(0), f.Args()[1:])
	})
}

// workspaceRemove removes a workspace.
type workspaceRemove struct{ *options }

func (*workspaceRemove) Name() string           { return "workspace-remove" }
func (*workspaceRemove) Synopsis() string       { return "remove a workspace with all its keys" }
func (*workspaceRemove) SetFlags(*flag.FlagSet) {}
func (*workspaceRemove) Usage() string {
	return "workspace-remove NAME\n\nExample: quetzalctl workspace-remove gloves\n\n"
}

func (c *workspaceRemove) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return failUsage("workspace-remove takes one name")
	}
	return c.change(ctx, "workspace "+f.Arg(0), func(s *schema.State) error {
		return configurer.RemoveWorkspace(s, f.Arg(0))
	})
}

// workspaceList lists the workspaces.
type workspaceList struct{ *options }

func (*workspaceList) Name() string           { return "workspaces" }
func (*workspaceList) Synopsis() string       { return "list the workspaces" }
func (*workspaceList) SetFlags(*flag.FlagSet) {}
func (*workspaceList) Usage() string {
	return "workspaces\n\nExample: quetzalctl -json workspaces\n\n"
}

func (c *workspaceList) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	state, err := c.read(ctx)
	if err != nil {
		return fail(err)
	}
	var rows [][]string
	for _, w := range state.GetConfig().GetWorkspaces() {
		rows = append(rows, []string{w.GetName(), formatNumber(w.GetRate()), formatNumber(w.GetBurst()), strconv.Itoa(len(w.GetKeys())), strings.Join(w.GetRegions(), ",")})
	}
	return c.printTable(state.GetConfig().GetWorkspaces(), "WORKSPACE\tRATE\tBURST\tKEYS\tREGIONS", rows)
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
