// Package editor changes the state on the platform by conditional writes.
//
// # Usage
//
//	e := editor.New(store, "operator maria")
//	version, err := e.Edit(ctx, func(s *schema.State) error { ... })
//
// An edit is tried again on the present state if another write came first, so
// it must derive its change from the state that it is given. If the answer to
// a write is lost, the editor reads the state back and looks for the
// identifier of the write; it never guesses.
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
	// tries is the number of writes attempted for an edit.
	tries = 20
	// changesKept is the number of writes that can be looked up.
	changesKept = 64
	// lostPause is the time before a write with a lost answer is looked up.
	lostPause = 200 * time.Millisecond
)

// ErrOutcomeUnknown reports that it could not be found out whether a write was
// accepted.
var ErrOutcomeUnknown = errors.New("the platform gave no answer; whether the change was accepted is not known")

// ErrNoChange is returned by an edit that has nothing to change.
var ErrNoChange = errors.New("nothing to change")

// Editor changes the state.
type Editor struct {
	store  storer.Store
	author string
}

// New returns an editor that signs its writes with the author.
func New(s storer.Store, author string) *Editor {
	return &Editor{store: s, author: author}
}

// Read returns the present state and its version on the platform. The state is
// empty if there is none.
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

// Edit applies a change to the state and returns the version that holds it.
//
// A write whose answer was lost is followed by a look for its identifier. If
// it is not there, the same change is written again on the same condition: at
// most one of the two can be accepted.
func (e *Editor) Edit(ctx context.Context, change func(*schema.State) error) (uint64, error) {
	id := rand.Text()
	lost := false
	for range tries {
		version, err := e.try(ctx, change, id)
		var refused *changeError
		switch {
		case err == nil:
			return version, nil
		case stderrors.As(err, &refused):
			return 0, refused.cause
		case stderrors.Is(err, storer.ErrConflict):
			continue
		case stderrors.Is(err, errLost):
			lost = true
		case !lost:
			return 0, errors.Trace(err)
		}
		if !pause(ctx) {
			break
		}
	}
	if lost {
		return 0, ErrOutcomeUnknown
	}
	return 0, errors.Annotatef(storer.ErrConflict, "gave up after %d tries", tries)
}

// errLost reports a write whose answer did not come.
var errLost = errors.New("the answer to a write was lost")

// changeError is the error of the change itself.
type changeError struct{ cause error }

// Error returns the cause.
func (c *changeError) Error() string { return c.cause.Error() }

// try reads, changes and writes the state once.
func (e *Editor) try(ctx context.Context, change func(*schema.State) error, id string) (uint64, error) {
	state, known, err := e.Read(ctx)
	if err != nil {
		return 0, err
	}
	for _, c := range state.GetChanges() {
		if c.GetId() == id {
			return c.GetVersion(), nil
		}
	}
	if err := change(state); err != nil {
		return 0, &changeError{err}
	}
	return e.write(ctx, state, known, id)
}

func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(lostPause):
		return true
	}
}

// write signs and writes a state once.
func (e *Editor) write(ctx context.Context, state *schema.State, known storer.Version, id string) (uint64, error) {
	state.Version++
	state.Changes = append(state.Changes, &schema.Change{Id: id, Version: state.Version, Author: e.author})
	if over := len(state.Changes) - changesKept; over > 0 {
		state.Changes = state.Changes[over:]
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
		return 0, errLost
	}
}
