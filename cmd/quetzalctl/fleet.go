package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/google/subcommands"

	"quetzalhub/gossiper"
	"quetzalhub/schema"
)

// hostList lists the hosts in the membership view of one node.
type hostList struct{ *options }

func (*hostList) Name() string           { return "hosts" }
func (*hostList) Synopsis() string       { return "list the hosts with their upstreams and versions" }
func (*hostList) SetFlags(*flag.FlagSet) {}
func (*hostList) Usage() string          { return "hosts\n\nExample: quetzalctl hosts\n\n" }

func (c *hostList) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	fleet, err := c.describe(ctx, c.node)
	if err != nil {
		return fail(err)
	}
	versions := c.fetchVersions(ctx, fleet.GetMembers())
	evacuated, err := c.evacuated(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "quetzalctl: evacuated domains are not marked:", err)
	}
	var rows [][]string
	for i, m := range fleet.GetMembers() {
		rows = append(rows, []string{
			m.GetName(), m.GetRegion(), domainLabel(m.GetDomain(), evacuated), m.GetAddress(),
			enumLabel(m.GetStatus().String()), formatEndpoints(m), strconv.FormatUint(versions[i], 10),
		})
	}
	return c.printTable(fleet, "HOST\tREGION\tDOMAIN\tADDRESS\tSTATUS\tUPSTREAMS\tVERSION", rows)
}

// evacuated returns the failure domains that are evacuated.
func (o *options) evacuated(ctx context.Context) ([]string, error) {
	state, err := o.read(ctx)
	return state.GetConfig().GetEvacuated(), err
}

func domainLabel(domain string, evacuated []string) string {
	if slices.Contains(evacuated, domain) {
		return domain + " (evacuated)"
	}
	return domain
}

func formatEndpoints(m *schema.Member) string {
	var list []string
	for _, e := range m.GetEndpoints() {
		list = append(list, e.GetService()+":"+enumLabel(e.GetPhase().String()))
	}
	return strings.Join(list, " ")
}

// enumLabel returns the last word of an enum value's name in lower case.
func enumLabel(name string) string {
	return strings.ToLower(name[strings.LastIndexByte(name, '_')+1:])
}

// shardList lists the shards with their holders and terms.
type shardList struct{ *options }

func (*shardList) Name() string           { return "shards" }
func (*shardList) Synopsis() string       { return "list the shards and the hosts that allocate their rates" }
func (*shardList) SetFlags(*flag.FlagSet) {}
func (*shardList) Usage() string          { return "shards\n\nExample: quetzalctl shards\n\n" }

func (c *shardList) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	fleet, err := c.describe(ctx, c.node)
	if err != nil {
		return fail(err)
	}
	var rows [][]string
	for _, s := range fleet.GetShards() {
		rows = append(rows, []string{
			strconv.FormatUint(uint64(s.GetIndex()), 10), s.GetHolder(), strconv.FormatUint(s.GetTerm(), 10),
		})
	}
	return c.printTable(fleet.GetShards(), "SHARD\tHOLDER\tTERM", rows)
}

// counterList sums the counters of all live hosts.
type counterList struct{ *options }

func (*counterList) Name() string           { return "counters" }
func (*counterList) Synopsis() string       { return "sum the refusals and retries of all hosts by reason" }
func (*counterList) SetFlags(*flag.FlagSet) {}
func (*counterList) Usage() string          { return "counters\n\nExample: quetzalctl counters\n\n" }

// counters are the refusals and retries of a host by reason.
type counters struct {
	Refusals map[string]int64 `json:"refusals"`
	Calls    map[string]int64 `json:"calls_refused"`
	Retries  map[string]int64 `json:"retries"`
}

func (c *counterList) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	fleet, err := c.describe(ctx, c.node)
	if err != nil {
		return fail(err)
	}
	sum := counters{map[string]int64{}, map[string]int64{}, map[string]int64{}}
	for _, m := range fleet.GetMembers() {
		if !gossiper.Live(m) {
			continue
		}
		var hostCounters counters
		if err := c.getJSON(ctx, m.GetAdmin(), "/debug/vars", &hostCounters); err != nil {
			return fail(err)
		}
		addCounts(sum.Refusals, hostCounters.Refusals)
		addCounts(sum.Calls, hostCounters.Calls)
		addCounts(sum.Retries, hostCounters.Retries)
	}
	var rows [][]string
	rows = append(rows, nonZeroRows("refused to callers", sum.Refusals)...)
	rows = append(rows, nonZeroRows("refused between hosts", sum.Calls)...)
	rows = append(rows, nonZeroRows("retries", sum.Retries)...)
	return c.printTable(sum, "COUNTER\tREASON\tCOUNT", rows)
}

func addCounts(sum, counts map[string]int64) {
	for name, n := range counts {
		sum[name] += n
	}
}

func nonZeroRows(kind string, counts map[string]int64) [][]string {
	var rows [][]string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if counts[name] != 0 {
			rows = append(rows, []string{kind, name, strconv.FormatInt(counts[name], 10)})
		}
	}
	return rows
}
