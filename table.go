package barleystep

import "context"

// Row is a row of the platform's table service. The service sets its version, which grows with
// each write of the key.
type Row struct {
	key     string
	value   []byte
	version int64
}

// NewRow returns a row. It is meant for implementations of Table and keeps value without
// copying it.
func NewRow(key string, value []byte, version int64) Row {
	return Row{key: key, value: value, version: version}
}

// Key returns the name of the row.
func (r Row) Key() string { return r.key }

// Value returns the content of the row. Callers must not modify it.
func (r Row) Value() []byte { return r.value }

// Version returns the version of the row; zero means that the row does not exist.
func (r Row) Version() int64 { return r.version }

// Exists reports whether the row existed when it was read.
func (r Row) Exists() bool { return r.version != 0 }

// Condition is a precondition of a transaction.
type Condition struct {
	key     string
	version int64
}

// IfAbsent returns the condition that no row with the key exists.
func IfAbsent(key string) Condition { return Condition{key: key} }

// IfVersion returns the condition that the row has exactly the given version.
func IfVersion(key string, version int64) Condition { return Condition{key: key, version: version} }

// Key returns the key that the condition applies to.
func (c Condition) Key() string { return c.key }

// Version returns the required version of the row; zero means that it must not exist.
func (c Condition) Version() int64 { return c.version }

// Write is a change made by a transaction.
type Write struct {
	key    string
	value  []byte
	remove bool
}

// Put returns the write that sets the row with the key to value.
func Put(key string, value []byte) Write { return Write{key: key, value: value} }

// Delete returns the write that removes the row with the key.
func Delete(key string) Write { return Write{key: key, remove: true} }

// Key returns the key that is written.
func (w Write) Key() string { return w.key }

// Value returns the new content, nil for a removal.
func (w Write) Value() []byte { return w.value }

// Removes reports whether the write removes the row.
func (w Write) Removes() bool { return w.remove }

// Txn is a transaction: all writes are applied atomically if all conditions hold.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// Table is the platform's transactional table service. Reads may be stale but never mix
// versions of one row. Implementations are safe for concurrent use.
type Table interface {
	// Read returns one row for each key, in the order of the keys. For a key without a row,
	// Exists is false. A failed read returns ErrUnavailable.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose keys begin with prefix and sort after the key after,
	// in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies t. It returns ErrConflict if a condition does not hold, ErrUnavailable if
	// t was not and will not be applied, and ErrUnknownEffect if t may have been or may still
	// be applied.
	Commit(ctx context.Context, t Txn) error
}

// ObjectStore is the platform's store for large values. Each object is written once, and its
// name is never reused. Implementations are safe for concurrent use.
type ObjectStore interface {
	// Put stores the object. ErrUnknownEffect means that it may have been stored.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes the object. Removing a missing object is not an error.
	Delete(ctx context.Context, name string) error
}
