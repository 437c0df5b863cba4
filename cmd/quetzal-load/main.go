// Command quetzal-load sends the load described in an INI file and prints what
// came back.
//
// Usage:
//
//	quetzal-load [-json] -scenario FILE
//
// The file has a section [load] with the keys duration, timeout and seed, and a
// section [stream.NAME] for each stream with the keys rate, targets, method,
// path, key, body, resends, surge, from and to. Targets are loopback addresses.
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
	asJSON := flag.Bool("json", false, "print JSON")
	flag.Parse()
	scenario, err := driver.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "quetzal-load:", err)
		os.Exit(1)
	}
	results := driver.Run(context.Background(), scenario)
	if *asJSON {
		_ = json.NewEncoder(os.Stdout).Encode(results)
		return
	}
	print(results)
}

func print(results []driver.Result) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "STREAM\tSENT\tATTEMPTS\tANSWERED\tWRONG\tP50\tP99\tP99.9\tFAILED")
	for _, r := range results {
		var failed []string
		for _, reason := range slices.Sorted(maps.Keys(r.Failed)) {
			failed = append(failed, fmt.Sprintf("%s: %d", reason, r.Failed[reason]))
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t%s\n",
			r.Name, r.Sent, r.Attempts, r.Answered, r.Wrong, r.P50, r.P99, r.P999, strings.Join(failed, ", "))
	}
	_ = w.Flush()
}
