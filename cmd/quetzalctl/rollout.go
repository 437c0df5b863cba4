package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/google/subcommands"

	"quetzalhub/gossiper"
	"quetzalhub/schema"
)

const (
	// maxConcurrentCalls is the maximum number of concurrent calls to nodes.
	maxConcurrentCalls = 32
	// pollInterval is the time between two polls of the nodes.
	pollInterval = 200 * time.Millisecond
)

// Rollout reports on how many hosts a version is in force.
type Rollout struct {
	Change  string `json:"change"`
	Version uint64 `json:"version"`
	Hosts   int    `json:"hosts"`
	InForce int    `json:"in_force"`
	// Took is the time from the accepted write until the last poll of the hosts.
	Took string `json:"took"`
}

// describe reads a node's view of the fleet.
func (o *options) describe(ctx context.Context, address string) (*schema.DescribeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return schema.NewAdminProtobufClient(o.scheme+address, o.client).Describe(ctx, &schema.DescribeRequest{})
}

// awaitRollout waits until a version is in force on all live hosts or the flag
// -wait has expired.
func (o *options) awaitRollout(ctx context.Context, description string, version uint64) subcommands.ExitStatus {
	rollout := Rollout{Change: description, Version: version}
	started := time.Now()
	deadline := started.Add(o.wait)
	for {
		rollout.Hosts, rollout.InForce = o.countInForce(ctx, version)
		done := rollout.Hosts > 0 && rollout.InForce == rollout.Hosts
		if done || time.Now().After(deadline) {
			break
		}
		time.Sleep(pollInterval)
	}
	rollout.Took = time.Since(started).Round(time.Millisecond).String()
	return o.printRollout(rollout)
}

func (o *options) printRollout(rollout Rollout) subcommands.ExitStatus {
	text := fmt.Sprintf("%s: accepted as version %d, in force on %d of %d hosts", rollout.Change, rollout.Version, rollout.InForce, rollout.Hosts)
	if o.json {
		o.printTable(rollout, "", nil)
	} else {
		fmt.Println(text)
	}
	if rollout.Hosts == 0 {
		fmt.Fprintf(os.Stderr, "quetzalctl: no answer from node %s; cannot tell on how many hosts the change is in force\n", o.node)
		return exitPartial
	}
	if rollout.InForce < rollout.Hosts {
		fmt.Fprintln(os.Stderr, "quetzalctl: change is not yet in force on all hosts")
		return exitPartial
	}
	return subcommands.ExitSuccess
}

// countInForce returns the number of live hosts and how many of them
// have the version or a later one in force.
func (o *options) countInForce(ctx context.Context, version uint64) (hosts, inForce int) {
	fleet, err := o.describe(ctx, o.node)
	if err != nil {
		return 0, 0
	}
	var live []*schema.Member
	for _, m := range fleet.GetMembers() {
		if gossiper.Live(m) {
			live = append(live, m)
		}
	}
	versions := o.fetchVersions(ctx, live)
	for _, v := range versions {
		if v >= version {
			inForce++
		}
	}
	return len(live), inForce
}

// fetchVersions returns the versions in force on the given hosts; zero for
// hosts that do not answer.
func (o *options) fetchVersions(ctx context.Context, hosts []*schema.Member) []uint64 {
	versions := make([]uint64, len(hosts))
	slots := make(chan struct{}, maxConcurrentCalls)
	var group sync.WaitGroup
	for i, m := range hosts {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			if d, err := o.describe(ctx, m.GetAdmin()); err == nil {
				versions[i] = d.GetVersion()
			}
		})
	}
	group.Wait()
	return versions
}
