package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"

	"github.com/google/subcommands"

	"quetzalhub/parser"
	"quetzalhub/planner"
	"quetzalhub/schema"
)

// sheetPlan shows the changes that a planners' sheet would make.
type sheetPlan struct{ *options }

func (*sheetPlan) Name() string           { return "plan" }
func (*sheetPlan) Synopsis() string       { return "show what the planners' sheet would change" }
func (*sheetPlan) SetFlags(*flag.FlagSet) {}
func (*sheetPlan) Usage() string {
	return "plan FILE\n\nExample: quetzalctl plan monday.csv\n\n"
}

func (c *sheetPlan) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return failUsage("plan takes one file")
	}
	rows, err := readSheet(f.Arg(0))
	if err != nil {
		return fail(err)
	}
	state, err := c.read(ctx)
	if err != nil {
		return fail(err)
	}
	plan := planner.Compare(state, rows)
	var lines [][]string
	for _, d := range plan.Differences {
		lines = append(lines, []string{
			string(d.Kind), d.Workspace, formatNumber(d.OldRate), formatNumber(d.OldBurst), formatNumber(d.NewRate), formatNumber(d.NewBurst), strconv.Itoa(d.Row),
		})
	}
	status := c.printTable(plan, "CHANGE\tWORKSPACE\tRATE\tBURST\tNEW RATE\tNEW BURST\tROW", lines)
	if !c.json {
		fmt.Printf("to apply: quetzalctl apply -plan %d -removals %d %s\n", plan.Config, plan.Removals(), f.Arg(0))
	}
	return status
}

func readSheet(path string) ([]parser.Row, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parser.Parse(data)
}

// sheetApply applies a planners' sheet if the conditions given by the flags
// hold.
type sheetApply struct {
	*options
	conditions planner.Conditions
}

func (*sheetApply) Name() string     { return "apply" }
func (*sheetApply) Synopsis() string { return "apply the planners' sheet atomically" }
func (*sheetApply) Usage() string {
	return "apply -plan VERSION [-removals N] FILE\n\nExample: quetzalctl apply -plan 12 -removals 0 monday.csv\n\n"
}

func (c *sheetApply) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.conditions.Config, "plan", 0, "version of the configuration shown by plan")
	f.IntVar(&c.conditions.Removals, "removals", 0, "number of workspaces that the sheet is expected to remove")
}

func (c *sheetApply) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return failUsage("apply takes one file")
	}
	rows, err := readSheet(f.Arg(0))
	if err != nil {
		return fail(err)
	}
	return c.change(ctx, "sheet "+f.Arg(0), func(s *schema.State) error {
		return planner.Apply(s, rows, c.conditions)
	})
}
