package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"quetzalhub/certifier"
	"quetzalhub/editor"
	"quetzalhub/schema"
	"quetzalhub/storer"
	"quetzalhub/verifier"
)

const (
	// callTimeout bounds one call to the platform or a node.
	callTimeout = 3 * time.Second
	// defaultWait is the default maximum time to wait until a change is in force
	// on all hosts.
	defaultWait = 10 * time.Second
)

// Exit codes in addition to those of package subcommands.
const (
	// exitConflict means that the state was changed by another writer.
	exitConflict subcommands.ExitStatus = 3
	// exitUnknown means that the outcome of the write is unknown.
	exitUnknown subcommands.ExitStatus = 4
	// exitPartial means that the change is not known to be in force on all hosts.
	exitPartial subcommands.ExitStatus = 5
)

// options are the flags common to all commands.
type options struct {
	platform string
	node     string
	json     bool
	author   string
	wait     time.Duration

	certificate string
	key         string
	authority   string
	client      *http.Client
	scheme      string
}

// connect sets up the HTTP client for calls to nodes, with mutual TLS if there
// is a certificate.
func (o *options) connect() error {
	o.client, o.scheme = verifier.NewClient(), "http://"
	if o.certificate == "" {
		return nil
	}
	c, err := certifier.New(o.certificate, o.key, o.authority)
	if err != nil {
		return err
	}
	o.client = &http.Client{Transport: verifier.NewTransport(&http.Transport{TLSClientConfig: c.Client()})}
	o.scheme = "https://"
	return nil
}

func (o *options) editor() *editor.Editor {
	return editor.New(storer.NewHTTP(o.platform, callTimeout), "operator "+o.author)
}

// read returns the state stored on the platform.
func (o *options) read(ctx context.Context) (*schema.State, error) {
	state, _, err := o.editor().Read(ctx)
	return state, err
}

// change edits the state and waits until the edit is in force on all hosts.
func (o *options) change(ctx context.Context, description string, edit func(*schema.State) error) subcommands.ExitStatus {
	version, err := o.editor().Edit(ctx, edit)
	if err != nil {
		return fail(err)
	}
	return o.awaitRollout(ctx, description, version)
}

// fail prints an error and returns its exit code.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "quetzalctl:", err)
	switch {
	case errors.Is(err, storer.ErrConflict):
		return exitConflict
	case errors.Is(err, editor.ErrOutcomeUnknown):
		return exitUnknown
	default:
		return subcommands.ExitFailure
	}
}

// failUsage prints a usage error and returns its exit code.
func failUsage(format string, arguments ...any) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "quetzalctl: "+format+"\n", arguments...)
	return subcommands.ExitUsageError
}

// printTable prints rows as a table or, with the flag -json, the document.
func (o *options) printTable(document any, header string, rows [][]string) subcommands.ExitStatus {
	if o.json {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(document); err != nil {
			return fail(err)
		}
		return subcommands.ExitSuccess
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if err := w.Flush(); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// getJSON reads a JSON document from a node.
func (o *options) getJSON(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, o.scheme+address+path, nil)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return errors.Annotate(err, "calling node")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Annotate(json.Unmarshal(body, into), "decoding the node's answer")
}
