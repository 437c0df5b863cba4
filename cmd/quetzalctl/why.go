package main

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/google/subcommands"

	"quetzalhub/gossiper"
	"quetzalhub/refuser"
	"quetzalhub/schema"
)

// refusalShow shows why a request was refused.
type refusalShow struct{ *options }

func (*refusalShow) Name() string           { return "why" }
func (*refusalShow) Synopsis() string       { return "show why a recent request was refused" }
func (*refusalShow) SetFlags(*flag.FlagSet) {}
func (*refusalShow) Usage() string {
	return "why REQUEST\n\nREQUEST is the value of the Quetzal-Request header of the answer.\n\n" +
		"Example: quetzalctl why NY3FC7J7W5GCR2I45DOI7UGK6N\n\n"
}

// refusalRow is a refusal recorded by a host.
type refusalRow struct {
	Host    string    `json:"host"`
	At      time.Time `json:"at"`
	Code    uint32    `json:"code"`
	To      string    `json:"to"`
	Meaning string    `json:"meaning"`
	Outcome string    `json:"outcome"`
	Comment string    `json:"comment,omitempty"`
}

func (c *refusalShow) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return failUsage("why takes one request id")
	}
	fleet, err := c.describe(ctx, c.node)
	if err != nil {
		return fail(err)
	}
	var entries []refusalRow
	for _, m := range fleet.GetMembers() {
		if gossiper.Live(m) {
			entries = append(entries, c.explain(ctx, m, f.Arg(0))...)
		}
	}
	if len(entries) == 0 {
		return fail(fmt.Errorf("no live host has a record of a refusal of request %s", f.Arg(0)))
	}
	slices.SortFunc(entries, func(a, b refusalRow) int { return a.At.Compare(b.At) })
	var rows [][]string
	for _, r := range entries {
		rows = append(rows, []string{
			r.At.Format(time.TimeOnly), r.Host, r.To, strconv.FormatUint(uint64(r.Code), 10), r.Outcome, r.Meaning + " " + r.Comment,
		})
	}
	return c.printTable(entries, "AT\tHOST\tTO\tCODE\tOUTCOME\tREASON", rows)
}

// explain reads the refusals of a request recorded by one host; none if the
// host does not answer.
func (c *refusalShow) explain(ctx context.Context, m *schema.Member, request string) []refusalRow {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := schema.NewAdminProtobufClient(c.scheme+m.GetAdmin(), c.client)
	resp, err := client.Explain(ctx, &schema.ExplainRequest{Request: request})
	if err != nil {
		return nil
	}
	var entries []refusalRow
	for _, refusal := range resp.GetRefusals() {
		meaning := refuser.Code(refusal.GetCode()).Info()
		to := "caller or upstream"
		if refusal.GetInternal() {
			to = "another host"
		}
		entries = append(entries, refusalRow{
			Host: m.GetName(), At: refusal.GetAt().AsTime(), Code: refusal.GetCode(), To: to,
			Meaning: meaning.Title, Outcome: refuser.OutcomeName(meaning.Outcome), Comment: refusal.GetNote(),
		})
	}
	return entries
}
