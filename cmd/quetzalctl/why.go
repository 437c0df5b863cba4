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

// refusalShow tells why a request was refused.
type refusalShow struct{ *options }

func (*refusalShow) Name() string           { return "why" }
func (*refusalShow) Synopsis() string       { return "tell why a request was refused lately" }
func (*refusalShow) SetFlags(*flag.FlagSet) {}
func (*refusalShow) Usage() string {
	return "why REQUEST\n\nThe request is named by the Quetzal-Request header of its answer.\n\n" +
		"Example: quetzalctl why NY3FC7J7W5GCR2I45DOI7UGK6N\n\n"
}

// reason is a refusal at a host.
type reason struct {
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
		return usage("why takes one request")
	}
	fleet, err := c.describe(ctx, c.node)
	if err != nil {
		return fail(err)
	}
	var reasons []reason
	for _, m := range fleet.GetMembers() {
		if gossiper.Live(m) {
			reasons = append(reasons, c.explain(ctx, m, f.Arg(0))...)
		}
	}
	if len(reasons) == 0 {
		return fail(fmt.Errorf("no host remembers a refusal of %s", f.Arg(0)))
	}
	slices.SortFunc(reasons, func(a, b reason) int { return a.At.Compare(b.At) })
	var rows [][]string
	for _, r := range reasons {
		rows = append(rows, []string{
			r.At.Format(time.TimeOnly), r.Host, r.To, strconv.FormatUint(uint64(r.Code), 10), r.Outcome, r.Meaning + " " + r.Comment,
		})
	}
	return c.table(reasons, "AT\tHOST\tTO\tCODE\tOUTCOME\tREASON", rows)
}

// explain asks one host; one that does not answer remembers nothing.
func (c *refusalShow) explain(ctx context.Context, m *schema.Member, request string) []reason {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := schema.NewAdminProtobufClient(c.scheme+m.GetAdmin(), c.client)
	resp, err := client.Explain(ctx, &schema.ExplainRequest{Request: request})
	if err != nil {
		return nil
	}
	var reasons []reason
	for _, refusal := range resp.GetRefusals() {
		meaning := refuser.Code(refusal.GetCode()).Info()
		to := "caller or upstream"
		if refusal.GetInternal() {
			to = "another host"
		}
		reasons = append(reasons, reason{
			Host: m.GetName(), At: refusal.GetAt().AsTime(), Code: refusal.GetCode(), To: to,
			Meaning: meaning.Title, Outcome: refuser.OutcomeName(meaning.Outcome), Comment: refusal.GetNote(),
		})
	}
	return reasons
}
