// Command quetzald runs a node as a sidecar of an upstream or, with -attach,
// attached to a platform.
//
// Usage:
//
//	quetzald -settings /etc/quetzald.ini
//	quetzald -attach -settings /etc/quetzald.ini
//	quetzald -check /etc/quetzald.ini
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"quetzalhub/attacher"
	"quetzalhub/loader"
	"quetzalhub/schema"
	"quetzalhub/server"
)

const (
	// gcPercent lets the heap grow to nine times the live heap between
	// collections, since a collection delays requests by milliseconds.
	gcPercent = 800
	// memoryLimitBytes is the soft memory limit of the runtime; near it, garbage
	// is collected more often, so that the process stays below 128 MB.
	memoryLimitBytes = 100 << 20
)

// stopMargin is the time allowed for a stop in addition to the drain time.
const stopMargin = 10 * time.Second

func main() {
	settings := flag.String("settings", "", "run with the settings in this `file`")
	attach := flag.Bool("attach", false, "attach to a platform that keeps the configuration")
	overrides := stringList(strings.Fields(os.Getenv(overridesVariable)))
	flag.Var(&overrides, "set", "use `section.key=value` in place of the settings file; may be repeated, and stand in "+overridesVariable)
	check := flag.String("check", "", "check the settings in this `file` and exit")
	flag.Parse()
	if *check != "" {
		load(*check, overrides)
		return
	}
	if *settings == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	// A write to a closed standard output or error ends a process by default.
	signal.Ignore(syscall.SIGPIPE)
	if *attach {
		// The platform may send the signal, which ends a process by default, before the node
		// handles it.
		signal.Ignore(syscall.SIGHUP)
		runAttached(load(*settings, overrides), attacher.SettingsSource{Path: *settings, Overrides: overrides})
		return
	}
	run(load(*settings, overrides))
}

// overridesVariable is the environment variable with settings as the flag -set takes them,
// separated by spaces.
const overridesVariable = "QUETZALD_SET"

// stringList is the value of a flag that may be repeated.
type stringList []string

// String returns the values as the flag package prints them.
func (l *stringList) String() string { return strings.Join(*l, " ") }

// Set appends a value.
func (l *stringList) Set(value string) error {
	*l = append(*l, value)
	return nil
}

// load reads the settings; if they are not valid, it prints all errors and
// exits.
func load(path string, overrides []string) *schema.Settings {
	s, err := loader.Load(path, overrides...)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	return s
}

func run(s *schema.Settings) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	logger := log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true, Prefix: s.GetNode().GetName()})
	if level, err := log.ParseLevel(s.GetNode().GetLevel()); err == nil {
		logger.SetLevel(level)
	}
	app := fx.New(
		fx.NopLogger,
		fx.Supply(s, logger),
		fx.StopTimeout(s.GetNode().GetDrain().AsDuration()+stopMargin),
		server.Module,
	)
	serve(app, logger)
}

// serve runs an application until it is asked to stop. It logs errors itself, since the
// logger of fx is off.
func serve(app *fx.App, logger *log.Logger) {
	if err := app.Err(); err != nil {
		logger.Fatal("cannot construct node", "err", err)
	}
	// Wait handles the signals, which end a process by default. A signal that arrives during
	// the start, when callers are served already, is kept and leads to a stop after it.
	stopped := app.Wait()
	start, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(start); err != nil {
		logger.Fatal("cannot start node", "err", err)
	}
	<-stopped
	stop, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stop); err != nil {
		logger.Fatal("node did not stop cleanly", "err", err)
	}
}
