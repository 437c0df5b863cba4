package attacher

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"google.golang.org/protobuf/proto"

	"quetzalhub/loader"
	"quetzalhub/reporter"
	"quetzalhub/schema"
)

// SettingsPath locates the settings file.
type SettingsPath string

// reloader reads the settings again when it is told that they changed.
// Settings name addresses and bounds that hold for the life of a process, so
// changes are checked and noted, and are in force from the next start.
type reloader struct {
	settings *schema.Settings
	path     SettingsPath
	reporter *reporter.Reporter
}

// run waits for the signal until the context ends.
func (r *reloader) run(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.reload()
		}
	}
}

func (r *reloader) reload() {
	next, err := loader.Load(string(r.path))
	switch {
	case err != nil:
		r.reporter.Notice("settings_refused", "path", string(r.path), "err", err)
	case proto.Equal(next, r.settings):
		r.reporter.Notice("settings_reloaded", "changed", false)
	default:
		r.reporter.Notice("settings_reloaded", "changed", true, "in_force", "at the next start")
	}
}
