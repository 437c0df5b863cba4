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
	// lookups is the number of reads made to find out about a lost answer.
	lookups = 10
	// lookupPause is the time between these reads.
	lookupPause = 300 * time.Millisecond
)

// ErrUnknown reports that it could not be found out whether a write was
// accepted.
var ErrUnknown = errors.New("the platform gave no answer; whether the change was accepted is not known")

// ErrNothing is returned by an edit that has nothing to change.
var ErrNothing = errors.New("nothing to change")

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
func (e *Editor) Edit(ctx context.Context, change func(*schema.State) error) (uint64, error) {
	id := rand.Text()
	for range tries {
		state, known, err := e.Read(ctx)
		if err != nil {
			return 0, errors.Trace(err)
		}
		if err := change(state); err != nil {
			return 0, err
		}
		version, err := e.write(ctx, state, known, id)
		if stderrors.Is(err, storer.ErrConflict) {
			continue
		}
		return version, err
	}
	return 0, errors.Annotatef(storer.ErrConflict, "gave up after %d tries", tries)
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
		return 0, errors.Annotate(err, "encoding state")
	}
	_, err = e.store.Write(ctx, Object, data, known)
	if err == nil {
		return state.GetVersion(), nil
	}
	if stderrors.Is(err, storer.ErrConflict) {
		return 0, err
	}
	return e.lookUp(ctx, state.GetVersion(), id)
}

// lookUp finds out whether a write with a lost answer was accepted.
func (e *Editor) lookUp(ctx context.Context, version uint64, id string) (uint64, error) {
	for range lookups {
		present, _, err := e.Read(ctx)
		if err == nil {
			for _, c := range present.GetChanges() {
				if c.GetId() == id {
					return c.GetVersion(), nil
				}
			}
			if present.GetVersion() >= version {
				// Another write took this version; ours can no longer succeed.
				return 0, storer.ErrConflict
			}
		}
		select {
		case <-ctx.Done():
			return 0, ErrUnknown
		case <-time.After(lookupPause):
		}
	}
	return 0, ErrUnknown
}
