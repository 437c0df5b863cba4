package main

import (
	"context"
	"flag"
	"net"

	"github.com/charmbracelet/log"
	"github.com/google/subcommands"

	"quetzalhub/certifier"
)

// authorityCommand issues certificates for a fleet on loopback.
type authorityCommand struct {
	folder string
}

func (*authorityCommand) Name() string     { return "authority" }
func (*authorityCommand) Synopsis() string { return "issue certificates for a fleet on loopback" }
func (*authorityCommand) Usage() string {
	return "authority -folder FOLDER NODE...\n\nWrites authority.crt, NODE.crt and NODE.key, operator.crt and operator.key.\n\n"
}

func (c *authorityCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.folder, "folder", ".", "folder to write to")
}

func (c *authorityCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.issue(f.Args()); err != nil {
		log.Error("cannot issue certificates", "err", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *authorityCommand) issue(nodes []string) error {
	authority, err := certifier.NewAuthority(c.folder)
	if err != nil {
		return err
	}
	loopback := net.IPv4(127, 0, 0, 1)
	for _, name := range nodes {
		if err := authority.Issue(c.folder, name, certifier.Node, loopback); err != nil {
			return err
		}
	}
	return authority.Issue(c.folder, "operator", certifier.Operator)
}
