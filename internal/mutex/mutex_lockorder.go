//go:build lockorder

// Package mutex provides the locks of this project. They are those of package sync; with the build tag
// lockorder, they check that all goroutines take them in one order, and end the process otherwise.
package mutex

import (
	"sync"

	"github.com/sasha-s/go-deadlock"
)

func init() {
	deadlock.Opts.DeadlockTimeout = 0 // A long wait alone says nothing about the order.
}

// Mutex is a mutual exclusion lock.
type Mutex struct {
	lock  deadlock.Mutex
	order node
}

// Lock locks m.
func (m *Mutex) Lock() {
	m.order.acquire()
	m.lock.Lock()
	m.order.own()
}

// Unlock unlocks m, which another goroutine may have locked.
func (m *Mutex) Unlock() {
	m.order.release()
	m.lock.Unlock()
}

// RWMutex is a lock for many readers or one writer.
type RWMutex struct {
	lock  deadlock.RWMutex
	order node
}

// Lock locks m for writing.
func (m *RWMutex) Lock() {
	m.order.acquire()
	m.lock.Lock()
	m.order.own()
}

// Unlock unlocks m for writing.
func (m *RWMutex) Unlock() {
	m.order.release()
	m.lock.Unlock()
}

// RLock locks m for reading.
func (m *RWMutex) RLock() {
	m.order.acquire()
	m.lock.RLock()
}

// RUnlock ends the reading of the goroutine that locked m.
func (m *RWMutex) RUnlock() {
	m.order.releaseRead()
	m.lock.RUnlock()
}

// RLocker returns a locker that reads.
func (m *RWMutex) RLocker() sync.Locker { return (*reader)(m) }

// reader locks for reading.
type reader RWMutex

// Lock locks for reading.
func (r *reader) Lock() { (*RWMutex)(r).RLock() }

// Unlock ends the reading.
func (r *reader) Unlock() { (*RWMutex)(r).RUnlock() }
