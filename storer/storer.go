// Package storer is the client of the platform's object store.
//
// The store keeps small objects by name. Each write gives an object a new
// version, writes can be made conditional on the version last read, and a read
// can wait for a change. Everything else in the system depends only on the
// Store interface; HTTP implements it by conditional requests (RFC 9110) and
// "Prefer: wait" (RFC 7240).
//
// # Usage
//
//	store := storer.NewHTTP("127.0.0.1:6000", 2*time.Second)
//	object, err := store.Read(ctx, "state")
//	version, err := store.Write(ctx, "state", data, object.Version)
//	if errors.Is(err, storer.ErrConflict) { ... }
//
// After any other error than ErrConflict and ErrMissing, it is unknown whether a write
// was accepted.
package storer

import (
	"context"
	"errors"
	"time"
)

// Errors returned by stores.
var (
	// ErrConflict reports that the object no longer has the expected version.
	ErrConflict = errors.New("object has changed")
	// ErrMissing reports that the object does not exist.
	ErrMissing = errors.New("object does not exist")
	// ErrUnchanged reports that a watch ended without a change.
	ErrUnchanged = errors.New("object is unchanged")
)

// Version identifies the content of an object. The zero value means that the object
// does not exist.
type Version string

// Absent is the version of an object that does not exist.
const Absent Version = ""

// Object is a value with its version.
type Object struct {
	Data    []byte
	Version Version
}

// Store is the platform's object store.
type Store interface {
	// Read returns an object, or ErrMissing.
	Read(ctx context.Context, name string) (Object, error)
	// Watch returns the object once its version differs from the given one,
	// or ErrUnchanged after the wait.
	Watch(ctx context.Context, name string, known Version, wait time.Duration) (Object, error)
	// Write replaces the object if it still has the given version.
	Write(ctx context.Context, name string, data []byte, known Version) (Version, error)
}
