package main

import (
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"quetzalhub/attacher"
	"quetzalhub/platform"
	"quetzalhub/reporter"
	"quetzalhub/schema"
)

const (
	// attachedGCPercent is the GC percentage of attached nodes: the heap grows by
	// half of the live heap between collections. Memory is scarcer on the
	// platform than on the fleet's own hosts.
	attachedGCPercent = 50
	// attachedMemoryRatio is the soft memory limit of the runtime as a fraction of
	// the memory bound in the settings; near it, garbage is collected more often.
	attachedMemoryRatio = 0.6
)

// runAttached runs a node attached to a platform.
func runAttached(s *schema.Settings, source attacher.SettingsSource) {
	debug.SetGCPercent(attachedGCPercent)
	debug.SetMemoryLimit(int64(attachedMemoryRatio * float64(s.GetBounds().GetMemory()<<20)))
	runtime.GOMAXPROCS(1)
	level := log.InfoLevel
	if l, err := log.ParseLevel(s.GetNode().GetLevel()); err == nil {
		level = l
	}
	r := reporter.New(os.Stdout, s.GetNode().GetName(), level)
	app := fx.New(
		fx.NopLogger,
		fx.Supply(s, source, r, platform.Attach(s)),
		fx.StopTimeout(s.GetBounds().GetGrace().AsDuration()+time.Second),
		attacher.Module,
	)
	serve(app, log.Default())
}
