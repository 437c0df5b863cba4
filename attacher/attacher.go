// Package attacher runs a node that is attached to a platform which keeps the
// configuration and a directory of nodes, and whose upstreams report
// themselves.
//
// All state of such a node is in memory. What must last is on the platform:
// the configuration, which operators write, and an entry for each node with
// its address, which the node writes when it starts. Membership, load and
// usage travel in beacons between all nodes; a newer configuration is taken
// from the platform or from another node, whichever is faster.
//
// # Usage
//
//	fx.New(fx.Supply(settings, reporter, platform), attacher.Module).Run()
package attacher

import (
	"context"
	"net/http"
	"time"

	"quetzalhub/forwarder"
	"quetzalhub/refuser"
	"quetzalhub/steward"
	"quetzalhub/storer"
)

// Source gives the configuration, encoded as package resolver compiles it.
type Source interface {
	// Read returns the configuration, or storer.ErrMissing.
	Read(ctx context.Context) (storer.Object, error)
	// Watch waits for a change after a version. It returns
	// storer.ErrUnchanged with the version to go on from if there was none,
	// and storer.ErrMissing if the changes since that version are not known
	// any more.
	Watch(ctx context.Context, known storer.Version, wait time.Duration) (storer.Object, error)
}

// Entry is a node in the directory.
type Entry struct {
	Name string
	// Address takes the node's beacons.
	Address string
}

// Directory lists the nodes that ever started and were not taken away.
type Directory interface {
	Register(ctx context.Context, e Entry) error
	List(ctx context.Context) ([]Entry, error)
	Deregister(ctx context.Context, name string) error
}

// Notices notes what can't be read.
type Notices interface {
	Notice(event string, fields ...any)
}

// Paths gives the path of the health check of a service.
type Paths interface {
	Health(service string) (path string, ok bool)
}

// Platform is what a node is attached to.
type Platform struct {
	Source    Source
	Directory Directory
	Dialect   forwarder.Dialect
	// Belongs tells whether an answer of an upstream belongs to a request.
	Belongs func(*http.Request, *http.Response) bool
	// Status is sent with a refusal.
	Status func(refuser.Code) int
	// Prober checks the health of the upstream.
	Prober func(Paths) steward.Prober
	// Reports takes the reports of the upstream.
	Reports func(*steward.Steward, Notices) http.Handler
	// Readiness answers whether callers may come, and passes other requests on.
	Readiness func(ready func() bool, rest http.Handler) http.Handler
}
