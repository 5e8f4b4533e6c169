// Package objectstore is the narrow interface to the platform's object API: the
// only place where anything lasts.
//
// An object has a key, a value of at most one megabyte and a version that
// grows with each write. Writes are conditional on the version. A write may
// fail in a way that leaves its outcome unknown; the caller then reads the
// object back.
//
// # Usage
//
//	store := objectstore.NewHTTPStore(objectstore.HTTPStoreOptions{URL: "http://127.0.0.1:7000"})
//	object, err := store.Put(ctx, "configuration/head", value, version)
//	switch {
//	case errors.Is(err, objectstore.ErrConflict):
//		// Somebody else wrote first: read and decide anew.
//	case errors.Is(err, objectstore.ErrOutcomeUnknown):
//		// The write may have taken effect: read back.
//	}
//
// Implementations are safe for concurrent use.
package objectstore

import (
	"context"
	"errors"
)

// MaxValueBytes is the largest value that the platform holds.
const MaxValueBytes = 1 << 20

var (
	// ErrNotFound means that no object has the key.
	ErrNotFound = errors.New("objectstore: not found")
	// ErrConflict means that the object's version is not the one given. Nothing was written.
	ErrConflict = errors.New("objectstore: version conflict")
	// ErrUnavailable means that the platform did not take the call. Nothing was written.
	ErrUnavailable = errors.New("objectstore: unavailable")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("objectstore: outcome unknown")
)

// Object is one stored value. Its Value is not to be changed.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// Store is the platform's object API.
type Store interface {
	// Get reads an object, or returns ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's version is ifVersion. Version 0 stands
	// for an object that does not exist.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (Object, error)
	// Delete removes an object if its version is ifVersion.
	Delete(ctx context.Context, key string, ifVersion uint64) error
	// Watch waits until the object's version is greater than after, then
	// returns the object. When nothing changes for some time it returns the
	// context's error or an Object with the version after and no value.
	Watch(ctx context.Context, key string, after uint64) (Object, error)
}
