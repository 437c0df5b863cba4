package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/subcommands"

	"quetzalhub/verifier"
)

// callerCommand sends requests as a caller of the fleet.
type callerCommand struct {
	key         string
	method      string
	count       int
	concurrency int
	pause       time.Duration
	client      *http.Client
}

func (*callerCommand) Name() string     { return "caller" }
func (*callerCommand) Synopsis() string { return "send requests and show the answers" }
func (*callerCommand) Usage() string {
	return "caller [-key KEY] [-count N] [-width N] [-pause D] URL...\n\n" +
		"Sends one request and shows its answer, or sends many round-robin to the URLs and counts the statuses.\n\n"
}

func (c *callerCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.key, "key", "", "API key to send")
	f.StringVar(&c.method, "method", http.MethodGet, "HTTP method")
	f.IntVar(&c.count, "count", 1, "requests to send")
	f.IntVar(&c.concurrency, "width", 1, "maximum number of concurrent requests")
	f.DurationVar(&c.pause, "pause", 0, "pause between requests")
}

func (c *callerCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return subcommands.ExitUsageError
	}
	c.client = verifier.NewClient()
	if c.count == 1 {
		return c.printAnswer(ctx, f.Arg(0))
	}
	statuses := c.sendAll(ctx, f.Args())
	for _, status := range slices.Sorted(maps.Keys(statuses)) {
		fmt.Printf("status %d: %d requests\n", status, statuses[status])
	}
	return subcommands.ExitSuccess
}

func (c *callerCommand) send(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, c.method, url, nil)
	if err != nil {
		return nil, err
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	return c.client.Do(req)
}

// printAnswer sends one request and prints the answer with its headers.
func (c *callerCommand) printAnswer(ctx context.Context, url string) subcommands.ExitStatus {
	resp, err := c.send(ctx, url)
	if err != nil {
		log.Error("request failed", "err", err)
		return subcommands.ExitFailure
	}
	defer resp.Body.Close()
	fmt.Println(resp.Proto, resp.Status)
	_ = resp.Header.Write(os.Stdout)
	fmt.Println()
	_, _ = io.Copy(os.Stdout, resp.Body)
	return subcommands.ExitSuccess
}

// sendAll sends all requests and counts the statuses; status 0
// counts requests without an answer.
func (c *callerCommand) sendAll(ctx context.Context, urls []string) map[int]int {
	statuses := map[int]int{}
	slots := make(chan struct{}, max(c.concurrency, 1))
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range c.count {
		slots <- struct{}{}
		time.Sleep(c.pause)
		group.Go(func() {
			defer func() { <-slots }()
			status := 0
			if resp, err := c.send(ctx, urls[i%len(urls)]); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				status = resp.StatusCode
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	group.Wait()
	return statuses
}
