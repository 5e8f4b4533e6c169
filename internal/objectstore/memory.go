package objectstore

import (
	"context"
	"fmt"
	"sync"
)

// Memory is an in-memory Store for examples and tests. It is safe for concurrent
// use.
type Memory struct {
	mu      sync.Mutex
	objects map[string]Object
	version uint64
	// changed is closed and replaced after every write.
	changed chan struct{}
}

// NewMemory returns an empty Memory.
func NewMemory() *Memory {
	return &Memory{objects: make(map[string]Object), changed: make(chan struct{})}
}

// Get implements Store.
func (m *Memory) Get(_ context.Context, key string) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	object, found := m.objects[key]
	if !found {
		return Object{}, fmt.Errorf("objectstore: get %s: %w", key, ErrNotFound)
	}
	return object, nil
}

// Put implements Store.
func (m *Memory) Put(_ context.Context, key string, value []byte, ifVersion uint64) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, fmt.Errorf("objectstore: put %s: value of %d bytes is over %d", key, len(value), MaxValueBytes)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[key].Version != ifVersion {
		return Object{}, fmt.Errorf("objectstore: put %s: %w", key, ErrConflict)
	}
	m.version++
	object := Object{Key: key, Version: m.version, Value: append([]byte(nil), value...)}
	m.objects[key] = object
	m.notifyWatchers()
	return object, nil
}

// Delete implements Store.
func (m *Memory) Delete(_ context.Context, key string, ifVersion uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[key].Version != ifVersion {
		return fmt.Errorf("objectstore: delete %s: %w", key, ErrConflict)
	}
	delete(m.objects, key)
	m.notifyWatchers()
	return nil
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, key string, after uint64) (Object, error) {
	for {
		m.mu.Lock()
		object, changed := m.objects[key], m.changed
		m.mu.Unlock()
		if object.Version > after {
			return object, nil
		}
		select {
		case <-ctx.Done():
			return Object{}, ctx.Err()
		case <-changed:
		}
	}
}

// notifyWatchers wakes all watchers. The caller must hold mu.
func (m *Memory) notifyWatchers() {
	close(m.changed)
	m.changed = make(chan struct{})
}
