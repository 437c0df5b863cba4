// Package attacher runs a node in attached mode: a platform stores the
// configuration and a directory of nodes, and upstreams report their own state.
//
// Such a node keeps all its state in memory. Persistent data is on the
// platform: the configuration, which operators write, and a directory entry
// with the address of each node, which the node writes when it starts. Nodes
// exchange membership, load and usage in beacons. A newer configuration is
// loaded from the platform or from another node, whichever delivers it first.
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
	"quetzalhub/storer"
	"quetzalhub/supervisor"
)

// Freshness states how old the data of a read may be.
type Freshness int

const (
	// Latest asks for the latest data.
	Latest Freshness = iota
	// Recent accepts data that are up to maxStaleness old, which costs the platform
	// less.
	Recent
)

// maxStaleness is the age that recent data may have.
const maxStaleness = 3 * time.Second

// Source provides the configuration, encoded as package resolver compiles it.
type Source interface {
	// Read returns the configuration, or storer.ErrMissing.
	Read(ctx context.Context, f Freshness) (storer.Object, error)
	// Watch waits for a change after a version. Without a change it returns
	// storer.ErrUnchanged and the version to continue from. It returns
	// storer.ErrMissing if the changes since that version are no longer
	// available.
	Watch(ctx context.Context, known storer.Version, wait time.Duration, f Freshness) (storer.Object, error)
}

// Entry is the directory entry of a node.
type Entry struct {
	Name string
	// Address is where the node receives beacons.
	Address string
	// Left is the instance of the upstream beside the node that left last, if any.
	Left Departure
	// Stated is what the upstream beside the node has stated last, if anything.
	Stated supervisor.Statement
}

// Departure is an instance of an upstream that has announced that it leaves. Born is its
// start time in milliseconds since the Unix epoch, or zero if unknown.
type Departure struct {
	ID   string
	Born int64
}

// Directory lists the nodes that have registered and not deregistered.
type Directory interface {
	// Register writes an entry unless there is one with its address.
	Register(ctx context.Context, e Entry) error
	// Update writes an entry in any case.
	Update(ctx context.Context, e Entry) error
	// Entry returns the latest entry of a node, or storer.ErrMissing.
	Entry(ctx context.Context, name string) (Entry, error)
	// List returns the entries of all nodes and the number of those that are unreadable.
	List(ctx context.Context, f Freshness) (entries []Entry, unreadable int, err error)
	// Sample returns the latest entries of some nodes, the same for all callers. complete
	// is true if these are all nodes.
	Sample(ctx context.Context) (entries []Entry, complete bool, err error)
	Deregister(ctx context.Context, name string) error
	// Restored receives the era of the platform's data each time the platform has come
	// back from an older copy, which may lack entries that it had acknowledged.
	Restored() <-chan uint64
}

// Archive keeps the records of held requests beyond a restart of all nodes.
type Archive interface {
	Save(ctx context.Context, name string, record []byte) error
	// Load returns records that may be up to maxStaleness old.
	Load(ctx context.Context) (map[string][]byte, error)
	Remove(ctx context.Context, name string) error
}

// CostArchive keeps the record of the costs of requests beyond a restart of all nodes.
type CostArchive interface {
	SaveCosts(ctx context.Context, record []byte) error
	// LoadCosts returns a record that may be up to maxStaleness old, and none if there is
	// none.
	LoadCosts(ctx context.Context) ([]byte, error)
}

// EventLogger logs events, such as reports that can't be read.
type EventLogger interface {
	Notice(event string, fields ...any)
}

// DepartureKeeper keeps departures beyond the end of all nodes.
type DepartureKeeper interface {
	// Keep returns once a departure is kept, or can't be kept soon.
	Keep(ctx context.Context, d Departure)
}

// HealthPaths returns the health check path of a service.
type HealthPaths interface {
	Health(service string) (path string, ok bool)
}

// Platform holds the platform-specific parts of an attached node.
type Platform struct {
	Source    Source
	Directory Directory
	Archive   Archive
	Costs     CostArchive
	// Evacuations may be nil if failure domains are not evacuated.
	Evacuations Evacuations
	Dialect     forwarder.Dialect
	// IsResponseTo reports whether a response of the upstream matches a request.
	IsResponseTo func(*http.Request, *http.Response) bool
	// RefusalStatus returns the HTTP status of a refusal.
	RefusalStatus func(refuser.Code) int
	// NewProber returns the health check of the upstream.
	NewProber func(HealthPaths) supervisor.Prober
	// NewReportHandler returns the handler for reports of the upstream.
	NewReportHandler func(*supervisor.Supervisor, DepartureKeeper, EventLogger) http.Handler
	// NewReadinessHandler returns a handler that answers readiness checks and
	// passes other requests to rest.
	NewReadinessHandler func(ready func() bool, rest http.Handler) http.Handler
}
