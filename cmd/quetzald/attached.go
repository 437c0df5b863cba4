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
	// attachedGarbage lets the heap grow by half of what is in use before it is
	// collected; memory is dearer there than on hosts of the fleet's own.
	attachedGarbage = 50
	// attachedShare is the part of the allowed memory from which garbage is
	// collected more often.
	attachedShare = 0.6
)

// runAttached runs a node attached to a platform.
func runAttached(s *schema.Settings, path string) {
	debug.SetGCPercent(attachedGarbage)
	debug.SetMemoryLimit(int64(attachedShare * float64(s.GetBounds().GetMemory()<<20)))
	runtime.GOMAXPROCS(1)
	level := log.InfoLevel
	if l, err := log.ParseLevel(s.GetNode().GetLevel()); err == nil {
		level = l
	}
	r := reporter.New(os.Stdout, s.GetNode().GetName(), level)
	app := fx.New(
		fx.NopLogger,
		fx.Supply(s, attacher.SettingsPath(path), r, platform.Attach(s)),
		fx.StopTimeout(s.GetBounds().GetGrace().AsDuration()+time.Second),
		attacher.Module,
	)
	if err := app.Err(); err != nil {
		log.Error("node not assembled", "err", err)
		os.Exit(1)
	}
	app.Run()
}
