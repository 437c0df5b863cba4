package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"
	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalhub/configurer"
	"quetzalhub/resolver"
	"quetzalhub/schema"
)

// keyGive creates a key for a workspace.
type keyGive struct{ *options }

func (*keyGive) Name() string           { return "key-give" }
func (*keyGive) Synopsis() string       { return "create a key for a workspace; its secret is shown once" }
func (*keyGive) SetFlags(*flag.FlagSet) {}
func (*keyGive) Usage() string {
	return "key-give WORKSPACE\n\nPrints only the secret on standard output.\n\nExample: KEY=$(quetzalctl key-give gloves)\n\n"
}

func (c *keyGive) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return failUsage("key-give takes one workspace")
	}
	secret := configurer.NewSecret()
	fingerprint := ""
	version, err := c.editor().Edit(ctx, func(s *schema.State) error {
		var err error
		fingerprint, err = configurer.AddKey(s, f.Arg(0), secret)
		return err
	})
	if err != nil {
		return fail(err)
	}
	fmt.Println(secret)
	hosts, inForce := c.countInForce(ctx, version)
	for deadline := time.Now().Add(c.wait); inForce < hosts && time.Now().Before(deadline); {
		time.Sleep(pollInterval)
		hosts, inForce = c.countInForce(ctx, version)
	}
	fmt.Fprintf(os.Stderr, "key %s: accepted as version %d, in force on %d of %d hosts\n", fingerprint, version, inForce, hosts)
	return subcommands.ExitSuccess
}

// keyWithdraw withdraws a key.
type keyWithdraw struct{ *options }

func (*keyWithdraw) Name() string           { return "key-withdraw" }
func (*keyWithdraw) Synopsis() string       { return "withdraw a key permanently" }
func (*keyWithdraw) SetFlags(*flag.FlagSet) {}
func (*keyWithdraw) Usage() string {
	return "key-withdraw FINGERPRINT\n\nExample: quetzalctl key-withdraw 3f2a90b1c4d5\n\n"
}

func (c *keyWithdraw) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return failUsage("key-withdraw takes one fingerprint")
	}
	return c.change(ctx, "withdrawal of key "+f.Arg(0), func(s *schema.State) error {
		return configurer.WithdrawKey(s, f.Arg(0))
	})
}

// keyList lists keys by fingerprint.
type keyList struct{ *options }

func (*keyList) Name() string           { return "keys" }
func (*keyList) Synopsis() string       { return "list the keys by fingerprint" }
func (*keyList) SetFlags(*flag.FlagSet) {}
func (*keyList) Usage() string          { return "keys\n\nExample: quetzalctl keys\n\n" }

// keyRow is a row of the list of keys.
type keyRow struct {
	Workspace   string `json:"workspace"`
	Fingerprint string `json:"fingerprint"`
	Created     string `json:"created"`
	Withdrawn   string `json:"withdrawn,omitempty"`
}

func (c *keyList) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	state, err := c.read(ctx)
	if err != nil {
		return fail(err)
	}
	var document []keyRow
	var rows [][]string
	for _, w := range state.GetConfig().GetWorkspaces() {
		for _, k := range w.GetKeys() {
			row := keyRow{w.GetName(), resolver.Fingerprint(k.GetDigest()), formatTime(k.GetCreated()), formatTime(k.GetWithdrawn())}
			document = append(document, row)
			rows = append(rows, []string{row.Workspace, row.Fingerprint, row.Created, row.Withdrawn})
		}
	}
	return c.printTable(document, "WORKSPACE\tKEY\tCREATED\tWITHDRAWN", rows)
}

func formatTime(t *timestamppb.Timestamp) string {
	if t == nil {
		return ""
	}
	return t.AsTime().Format(time.RFC3339)
}
