// Package objectstore provides access to the platform's object API, the only
// persistent storage of the router.
//
// An object has a key, a value of at most 1 MiB and a version that increases with
// each write. Writes are conditional on the version. A write may fail with an
// unknown outcome. The caller then reads the object again.
//
// # Usage
//
//	store := objectstore.NewHTTPStore(objectstore.HTTPStoreOptions{URL: "http://127.0.0.1:7000"})
//	object, err := store.Put(ctx, "configuration/head", value, version)
//	switch {
//	case errors.Is(err, objectstore.ErrConflict):
//		// The object was written by another node: read it and retry.
//	case errors.Is(err, objectstore.ErrOutcomeUnknown):
//		// The write may have taken effect: read the object to find out.
//	}
//
// Implementations are safe for concurrent use.
package objectstore

import (
	"context"
	"errors"
)

// MaxValueBytes is the maximum size of a value in the object API.
const MaxValueBytes = 1 << 20

var (
	// ErrNotFound means that no object with the key exists.
	ErrNotFound = errors.New("objectstore: not found")
	// ErrConflict means that the object's version is not the expected one.
	// Nothing was written.
	ErrConflict = errors.New("objectstore: version conflict")
	// ErrUnavailable means that the object API could not be reached, rejected the
	// call, or returned no usable response to a read. Nothing was written.
	ErrUnavailable = errors.New("objectstore: unavailable")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("objectstore: outcome unknown")
)

// Object is a stored value. Value must not be modified.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// Store is the platform's object API.
type Store interface {
	// Get reads an object. It returns ErrNotFound if there is none.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's version is ifVersion, and returns
	// ErrConflict otherwise. Version 0 means that the object must not exist. Put
	// returns the object with its new version.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (Object, error)
	// Delete removes an object if its version is ifVersion, and returns
	// ErrConflict otherwise.
	Delete(ctx context.Context, key string, ifVersion uint64) error
	// Watch waits until the object's version is greater than after, then returns
	// the object. If it does not change within the store's limit, Watch returns
	// the context's error or an Object with the version after and no value.
	Watch(ctx context.Context, key string, after uint64) (Object, error)
}
