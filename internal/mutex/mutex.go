//go:build !lockorder

// Package mutex provides the locks of this project. They are those of package sync; with the build tag
// lockorder, they check that all goroutines take them in one order, and end the process otherwise.
package mutex

import "sync"

// Mutex is a mutual exclusion lock.
type Mutex = sync.Mutex

// RWMutex is a lock for many readers or one writer.
type RWMutex = sync.RWMutex
