// Package object implements barleystep.ObjectStore in memory, for tests and the local hall.
package object

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/mutex"
)

// Memory is an in-memory object store. Its zero value is empty and ready to use; it is safe for
// concurrent use.
type Memory struct {
	// FaultFunc, if set, is called before each operation; if it returns an error, the operation
	// is not executed and returns that error.
	FaultFunc func(op, name string) error

	mu      mutex.Mutex
	objects map[string][]byte
}

var _ barleystep.ObjectStore = (*Memory)(nil)

// Put stores a copy of data.
func (m *Memory) Put(_ context.Context, name string, data []byte) error {
	if err := m.fault("put", name); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects == nil {
		m.objects = make(map[string][]byte)
	}
	m.objects[name] = append([]byte(nil), data...)
	return nil
}

// Get returns the object, or barleystep.ErrNotFound.
func (m *Memory) Get(_ context.Context, name string) ([]byte, error) {
	if err := m.fault("get", name); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	data, ok := m.objects[name]
	if !ok {
		return nil, eris.Wrap(barleystep.ErrNotFound, name)
	}
	return data, nil
}

// Delete removes the object, if it exists.
func (m *Memory) Delete(_ context.Context, name string) error {
	if err := m.fault("delete", name); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.objects, name)
	return nil
}

func (m *Memory) fault(op, name string) error {
	if m.FaultFunc == nil {
		return nil
	}
	return m.FaultFunc(op, name)
}
