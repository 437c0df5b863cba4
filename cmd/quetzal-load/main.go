// Command quetzal-load generates the load described in an INI file and prints
// the results.
//
// Usage:
//
//	quetzal-load [-json] [-ledgers ADDRESSES] -scenario FILE
//
// The file has a section [load] with the keys duration, timeout, seed, useful
// (the latency beyond which an answer is late), from and to (the start and end
// of the trigger of an overload), and a section [stream.NAME] for each stream
// with the keys rate, targets, method, path, key, body (in bytes), idempotent,
// resends (the maximum number of retries), surge (the factor on the rate), from
// and to (the start and end of the surge). Targets are loopback addresses.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"quetzalhub/driver"
)

func main() {
	file := flag.String("scenario", "", "read the load from this `file`")
	ledgers := flag.String("ledgers", "", "compare with the ledgers of the stand-in upstreams at these `addresses`")
	asJSON := flag.Bool("json", false, "print JSON")
	flag.Parse()
	scenario, err := driver.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "quetzal-load:", err)
		os.Exit(1)
	}
	ctx := context.Background()
	results := driver.Run(ctx, scenario)
	if *asJSON {
		_ = json.NewEncoder(os.Stdout).Encode(results)
		return
	}
	printTable(results)
	if *ledgers != "" {
		os.Exit(audit(ctx, results, strings.Split(*ledgers, ",")))
	}
}

// audit compares the results with the ledgers of the upstreams and returns the
// exit code.
func audit(ctx context.Context, results []driver.Result, addresses []string) int {
	runs, err := driver.FetchRunCounts(ctx, addresses)
	if err != nil {
		fmt.Fprintln(os.Stderr, "quetzal-load:", err)
		return 1
	}
	a := driver.AuditResults(results, runs)
	fmt.Printf("audit: %d requests, %d answered, %d not run, %d unknown; ran twice: %d %v; called not run and ran: %d %v; answered and never ran: %d %v\n",
		a.Requests, a.Answered, a.NotRun, a.Unknown, len(a.RanTwice), a.RanTwice, len(a.FalselyNotRun), a.FalselyNotRun, len(a.NeverRan), a.NeverRan)
	if !a.Passed() {
		return 3
	}
	return 0
}

// formatPhases returns the goodput columns of a result, separated by tabs.
func formatPhases(p *driver.Phases) string {
	if p == nil {
		return "-\t-\t-\t-"
	}
	recovery := "never"
	if p.Recovered {
		recovery = p.Recovery.String()
	}
	return fmt.Sprintf("%.0f/s\t%.0f/s\t%.0f/s\t%s", p.Before, p.During, p.After, recovery)
}

func printTable(results []driver.Result) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "STREAM\tSENT\tATTEMPTS\tANSWERED\tWRONG\tP50\tP99\tP99.9\tBEFORE\tDURING\tAFTER\tRECOVERY\tFAILED")
	for _, r := range results {
		var failed []string
		for _, reason := range slices.Sorted(maps.Keys(r.Failed)) {
			failed = append(failed, fmt.Sprintf("%s: %d", reason, r.Failed[reason]))
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t%s\t%s\n",
			r.Name, r.Sent, r.Attempts, r.Answered, r.Wrong, r.P50, r.P99, r.P999, formatPhases(r.Phases), strings.Join(failed, ", "))
	}
	_ = w.Flush()
}
