package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"quetzalhub/explainer"
)

// requestTrace shows the course of a request from collected logs.
type requestTrace struct{ *options }

func (*requestTrace) Name() string           { return "trace" }
func (*requestTrace) Synopsis() string       { return "show the course of a request from collected logs" }
func (*requestTrace) SetFlags(*flag.FlagSet) {}
func (*requestTrace) Usage() string {
	return "trace REQUEST FILE...\n\nThe files are logs of nodes; - stands for standard input. The lines of the\n" +
		"request and of its nested calls are printed in order of time, calls indented,\n" +
		"followed by the line with the cause. Nodes limit the number of lines they\n" +
		"write, so some may be missing.\n\n" +
		"Example: quetzalctl trace a74568a279628617 logs/*.log\n\n"
}

// leadingFields are the fields that are printed first or left out of the list of
// fields.
var leadingFields = map[string]bool{"level": true, "at": true, "node": true, "msg": true, "request": true, "parent": true}

func (c *requestTrace) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		return failUsage("trace takes a request id and one or more log files")
	}
	log := &explainer.Log{}
	for _, name := range f.Args()[1:] {
		if err := readLog(log, name); err != nil {
			return fail(err)
		}
	}
	trace := log.Trace(f.Arg(0))
	if len(trace) == 0 {
		return fail(fmt.Errorf("no log line for request %s; %d lines could not be parsed", f.Arg(0), log.Skipped()))
	}
	for _, line := range trace {
		fmt.Println(line.At, strings.Repeat("  ", line.Depth)+line.Request, line.Node, line.Event, formatFields(line))
	}
	if cause, ok := explainer.Cause(trace); ok {
		fmt.Println("\ncause:", cause.Event, "of", cause.Request, "at", cause.Node+":", formatFields(cause))
	}
	return subcommands.ExitSuccess
}

func readLog(log *explainer.Log, name string) error {
	if name == "-" {
		return log.Read(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return errors.Trace(err)
	}
	defer file.Close()
	return errors.Annotate(log.Read(file), name)
}

// formatFields joins the fields that are not leading fields.
func formatFields(line explainer.Line) string {
	var list []string
	for _, f := range line.Fields {
		if !leadingFields[f.Name] {
			list = append(list, fmt.Sprintf("%s=%q", f.Name, f.Value))
		}
	}
	return strings.Join(list, " ")
}
