// Command quetzalctl is the command-line client for operators.
//
// Usage:
//
//	quetzalctl [-platform ADDRESS] [-node ADDRESS] [-json] COMMAND [flags] [arguments]
//
// "quetzalctl help" lists the commands, "quetzalctl help COMMAND" shows one
// with an example.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	o := &options{}
	flag.StringVar(&o.platform, "platform", envOr("QUETZAL_PLATFORM", "127.0.0.1:6000"), "address of the platform's object API")
	flag.StringVar(&o.node, "node", envOr("QUETZAL_NODE", "127.0.0.1:7003"), "admin address of any node")
	flag.BoolVar(&o.json, "json", false, "print JSON")
	flag.StringVar(&o.author, "author", envOr("USER", "operator"), "name recorded with changes")
	flag.DurationVar(&o.wait, "wait", defaultWait, "maximum time to wait until a change is in force on all hosts")
	flag.StringVar(&o.certificate, "certificate", os.Getenv("QUETZAL_CERTIFICATE"), "the operator's certificate; without one, nodes are called without TLS")
	flag.StringVar(&o.key, "key", os.Getenv("QUETZAL_KEY"), "private key of the certificate")
	flag.StringVar(&o.authority, "authority", os.Getenv("QUETZAL_AUTHORITY"), "certificate of the fleet's certificate authority")
	for _, name := range []string{"platform", "node", "json", "author", "wait", "certificate", "key", "authority"} {
		subcommands.ImportantFlag(name)
	}
	subcommands.Register(subcommands.HelpCommand(), "help")
	subcommands.Register(subcommands.FlagsCommand(), "help")
	subcommands.Register(&workspaceSet{options: o}, "configuration")
	subcommands.Register(&workspaceRegions{options: o}, "configuration")
	subcommands.Register(&workspaceList{options: o}, "configuration")
	subcommands.Register(&workspaceRemove{options: o}, "configuration")
	subcommands.Register(&keyGive{options: o}, "configuration")
	subcommands.Register(&keyWithdraw{options: o}, "configuration")
	subcommands.Register(&keyList{options: o}, "configuration")
	subcommands.Register(&routeSet{options: o}, "configuration")
	subcommands.Register(&routeList{options: o}, "configuration")
	subcommands.Register(&sheetPlan{options: o}, "configuration")
	subcommands.Register(&sheetApply{options: o}, "configuration")
	subcommands.Register(&domainEvacuate{options: o}, "fleet")
	subcommands.Register(&domainReturn{options: o}, "fleet")
	subcommands.Register(&hostList{options: o}, "fleet")
	subcommands.Register(&shardList{options: o}, "fleet")
	subcommands.Register(&refusalShow{options: o}, "fleet")
	subcommands.Register(&counterList{options: o}, "fleet")
	subcommands.Register(&requestTrace{options: o}, "fleet")
	flag.Parse()
	if err := o.connect(); err != nil {
		os.Exit(int(fail(err)))
	}
	os.Exit(int(subcommands.Execute(context.Background())))
}

func envOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}
