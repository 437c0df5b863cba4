// Package editor changes the state on the platform by conditional writes.
//
// # Usage
//
//	e := editor.New(store, "operator maria")
//	version, err := e.Edit(ctx, func(s *schema.State) error { ... })
//
// An edit is retried on the current state if another write was accepted first, so it
// must derive its change from the state that it is given. If the response to a
// write is lost, the editor reads the state and looks for the ID of the write to find
// out whether it was accepted.
package editor

import (
	"context"
	"crypto/rand"
	stderrors "errors"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"quetzalhub/schema"
	"quetzalhub/storer"
)

// Object is the name of the state on the platform.
const Object = "state"

const (
	// maxAttempts is the number of attempts to write an edit.
	maxAttempts = 20
	// maxChanges is the number of recent writes whose IDs the state keeps.
	maxChanges = 64
	// retryDelay is the time between a write without a response and the next attempt,
	// which looks for the ID of that write first.
	retryDelay = 200 * time.Millisecond
)

// ErrOutcomeUnknown reports that the response to a write was lost and that reading
// the state did not show whether the write was accepted.
var ErrOutcomeUnknown = errors.New("no response from the platform; it is unknown whether the change was accepted")

// ErrNoChange is returned by a change function that has nothing to change.
var ErrNoChange = errors.New("nothing to change")

// Editor changes the state on the platform.
type Editor struct {
	store  storer.Store
	author string
}

// New returns an editor that records the author with each of its writes.
func New(s storer.Store, author string) *Editor {
	return &Editor{store: s, author: author}
}

// Read returns the current state and the version of its object on the platform. The
// state is empty if the object does not exist.
func (e *Editor) Read(ctx context.Context) (*schema.State, storer.Version, error) {
	object, err := e.store.Read(ctx, Object)
	if stderrors.Is(err, storer.ErrMissing) {
		return &schema.State{}, storer.Absent, nil
	}
	if err != nil {
		return nil, storer.Absent, errors.Trace(err)
	}
	state := &schema.State{}
	if err := proto.Unmarshal(object.Data, state); err != nil {
		return nil, storer.Absent, errors.Annotate(err, "decoding state")
	}
	return state, object.Version, nil
}

// Edit applies a change to the state and returns the version of the changed state.
//
// If the response to a write is lost, the next attempt reads the state and looks for
// the ID of the write. If the ID is missing, the change is written again under the
// same ID. Each write is conditional on the version read before it, so that at most one
// of them is accepted. If the state no longer keeps the ID of the write that was accepted
// as the version in question, Edit returns ErrOutcomeUnknown.
func (e *Editor) Edit(ctx context.Context, change func(*schema.State) error) (uint64, error) {
	p := &pending{id: rand.Text()}
	for range maxAttempts {
		version, err := e.try(ctx, change, p)
		var changeErr *changeError
		switch {
		case err == nil:
			return version, nil
		case stderrors.As(err, &changeErr):
			return 0, changeErr.cause
		case stderrors.Is(err, storer.ErrConflict):
			continue
		case stderrors.Is(err, ErrOutcomeUnknown):
			return 0, ErrOutcomeUnknown
		case p.lost == 0:
			return 0, errors.Trace(err)
		}
		if !waitRetry(ctx) {
			break
		}
	}
	if p.lost > 0 {
		return 0, ErrOutcomeUnknown
	}
	return 0, errors.Annotatef(storer.ErrConflict, "gave up after %d attempts", maxAttempts)
}

// Restore writes a state over an object that has lost it: the platform came back from a
// copy that is older than the state, with the given version. The state gets a version
// above its own, which Restore returns, so that nodes that hold it take the written one,
// too. Restore returns storer.ErrConflict if the object has another version.
func (e *Editor) Restore(ctx context.Context, state *schema.State, known storer.Version) (uint64, error) {
	return e.write(ctx, proto.CloneOf(state), known, rand.Text())
}

// errNoResponse reports a write whose outcome is unknown.
var errNoResponse = errors.New("no response to a write")

// changeError wraps an error that a retry cannot mend: one of the change function or of
// the encoding.
type changeError struct{ cause error }

// Error returns the cause.
func (c *changeError) Error() string { return c.cause.Error() }

// pending is an edit in progress.
type pending struct {
	id string
	// lost is the version that the first write without a response would have made, or
	// zero if no write's outcome is unknown.
	lost uint64
}

// resolve looks for the writes of the edit in a state. It returns the version of the one
// that was accepted, or zero if none was.
func (p *pending) resolve(state *schema.State) (uint64, error) {
	changes := state.GetChanges()
	for _, c := range changes {
		if c.GetId() == p.id {
			return c.GetVersion(), nil
		}
	}
	if p.lost == 0 || state.GetVersion() < p.lost {
		return 0, nil
	}
	if len(changes) == 0 || changes[0].GetVersion() > p.lost {
		return 0, ErrOutcomeUnknown
	}
	p.lost = 0
	return 0, nil
}

// try reads, changes and writes the state once. If the state already contains a write of
// the edit, it returns the version of that write.
func (e *Editor) try(ctx context.Context, change func(*schema.State) error, p *pending) (uint64, error) {
	state, known, err := e.Read(ctx)
	if err != nil {
		return 0, err
	}
	if version, err := p.resolve(state); version > 0 || err != nil {
		return version, err
	}
	if err := change(state); err != nil {
		return 0, &changeError{err}
	}
	version, err := e.write(ctx, state, known, p.id)
	if stderrors.Is(err, errNoResponse) && p.lost == 0 {
		p.lost = state.GetVersion()
	}
	return version, err
}

// waitRetry blocks until the next attempt; it returns false if the context ends before.
func waitRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryDelay):
		return true
	}
}

// write adds the change with its ID and author to the state and writes it once.
func (e *Editor) write(ctx context.Context, state *schema.State, known storer.Version, id string) (uint64, error) {
	state.Version++
	state.Changes = append(state.Changes, &schema.Change{Id: id, Version: state.Version, Author: e.author})
	if excess := len(state.Changes) - maxChanges; excess > 0 {
		state.Changes = state.Changes[excess:]
	}
	data, err := proto.Marshal(state)
	if err != nil {
		return 0, &changeError{errors.Annotate(err, "encoding state")}
	}
	_, err = e.store.Write(ctx, Object, data, known)
	switch {
	case err == nil:
		return state.GetVersion(), nil
	case stderrors.Is(err, storer.ErrConflict):
		return 0, storer.ErrConflict
	default:
		return 0, errNoResponse
	}
}
