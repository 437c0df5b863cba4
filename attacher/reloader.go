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

// SettingsSource is the path of the settings file, and what replaces values of it.
type SettingsSource struct {
	Path      string
	Overrides []string
}

// reloader reads the settings file again on SIGHUP. Settings hold addresses and
// bounds that are fixed for the life of the process, so a change is only
// validated and logged; it takes effect at the next start. If it names another upstream,
// that may already be there.
type reloader struct {
	settings *schema.Settings
	source   SettingsSource
	reporter *reporter.Reporter
	upstream upstreamVerifier
}

// upstreamVerifier finds out which instance stands at the address of the upstream.
type upstreamVerifier interface {
	Verify()
}

// run handles SIGHUP until the context ends.
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
	next, err := loader.Load(r.source.Path, r.source.Overrides...)
	switch {
	case err != nil:
		r.reporter.Notice("settings_refused", "path", r.source.Path, "err", err)
	case proto.Equal(next, r.settings):
		r.reporter.Notice("settings_reloaded", "changed", false)
	default:
		if !proto.Equal(next.GetUpstream(), r.settings.GetUpstream()) {
			r.upstream.Verify()
		}
		r.reporter.Notice("settings_reloaded", "changed", true, "in_force", "at the next start")
	}
}
