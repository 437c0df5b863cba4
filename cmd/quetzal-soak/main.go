// Command quetzal-soak runs a fleet under load and faults and checks the promises of
// the system. It prints one line of JSON per seed and exits with status 1 if a promise
// was broken; the logs of that run are kept.
//
// Usage:
//
//	quetzal-soak -daemon bin/quetzald -seed 1 -seeds 50 -duration 20s -nodes 6
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"quetzalhub/platform/soaker"
)

// line is the outcome of one seed.
type line struct {
	Seed    uint64 `json:"seed"`
	Planned bool   `json:"planned"`
	*soaker.Result
	Error string `json:"error,omitempty"`
}

func main() {
	daemon := flag.String("daemon", "bin/quetzald", "run this `file` as nodes")
	folder := flag.String("folder", os.TempDir(), "keep the logs of failed runs in this `folder`")
	seed := flag.Uint64("seed", 1, "first `seed`")
	seeds := flag.Uint64("seeds", 1, "`number` of seeds")
	duration := flag.Duration("duration", 20*time.Second, "`time` of faults per seed")
	nodes := flag.Int("nodes", 6, "`number` of nodes")
	planned := flag.Bool("planned", false, "inject planned work only")
	deadly := flag.Bool("deadly", false, "inject requests that crash upstreams only")
	slow := flag.Bool("slow", false, "take answers that planned work cuts under slow readers for violations")
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	failed := false
	for s := *seed; s < *seed+*seeds && ctx.Err() == nil; s++ {
		failed = !run(ctx, *folder, soaker.Options{Daemon: *daemon, Seed: s, Duration: *duration, Nodes: *nodes, PlannedOnly: *planned, DeadlyOnly: *deadly, SlowReaders: *slow}) || failed
	}
	if failed {
		os.Exit(1)
	}
}

// run runs one seed and reports whether all promises were kept.
func run(ctx context.Context, folder string, o soaker.Options) bool {
	var err error
	if o.Folder, err = os.MkdirTemp(folder, fmt.Sprintf("soak-%d-", o.Seed)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	out := line{Seed: o.Seed, Planned: o.PlannedOnly}
	out.Result, err = soaker.Run(ctx, o)
	passed := err == nil && len(out.Violations) == 0
	if err != nil {
		out.Error = err.Error()
	}
	if passed {
		err = os.RemoveAll(o.Folder)
	} else {
		data, _ := json.MarshalIndent(out, "", " ")
		err = os.WriteFile(filepath.Join(o.Folder, "result.json"), data, 0o600)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	data, err := json.Marshal(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	fmt.Println(string(data))
	return passed
}
