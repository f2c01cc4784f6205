// Package table implements barleystep.Table: Memory for tests and the local
// hall, Batcher and Relay to combine commits, and Faulty to inject failures into
// another table.
package table

import (
	"context"
	"sort"
	"strings"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/mutex"
)

// Memory keeps all rows in memory. Its zero value is an empty table; it is safe
// for concurrent use.
type Memory struct {
	mu      mutex.Mutex
	rows    map[string]barleystep.Row
	version int64
	reads   int64
	commits int64
}

var _ barleystep.Table = (*Memory)(nil)

// Read returns the current rows.
func (m *Memory) Read(_ context.Context, keys ...string) ([]barleystep.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	rows := make([]barleystep.Row, len(keys))
	for i, k := range keys {
		rows[i] = m.row(k)
	}
	return rows, nil
}

// Scan returns the current rows whose keys begin with prefix and follow after, in
// the order of their keys and at most limit.
func (m *Memory) Scan(_ context.Context, prefix, after string, limit int) ([]barleystep.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	var keys []string
	for k := range m.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	if len(keys) > limit {
		keys = keys[:limit]
	}
	rows := make([]barleystep.Row, len(keys))
	for i, k := range keys {
		rows[i] = m.rows[k]
	}
	return rows, nil
}

// Commit applies t, or returns ErrConflict if one of its conditions does not hold.
func (m *Memory) Commit(_ context.Context, t barleystep.Txn) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commits++
	for _, c := range t.Conditions {
		if m.row(c.Key()).Version() != c.Version() {
			return barleystep.ErrConflict
		}
	}
	for _, w := range t.Writes {
		m.write(w)
	}
	return nil
}

// Operations returns how many reads and commits the table has served.
func (m *Memory) Operations() (reads, commits int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads, m.commits
}

func (m *Memory) row(key string) barleystep.Row {
	if r, ok := m.rows[key]; ok {
		return r
	}
	return barleystep.NewRow(key, nil, 0)
}

func (m *Memory) write(w barleystep.Write) {
	if w.Removes() {
		delete(m.rows, w.Key())
		return
	}
	if m.rows == nil {
		m.rows = make(map[string]barleystep.Row)
	}
	m.version++
	m.rows[w.Key()] = barleystep.NewRow(w.Key(), w.Value(), m.version)
}
