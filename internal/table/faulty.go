package table

import (
	"context"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/mutex"
)

// Failure is a way in which a call of a Faulty table fails.
type Failure uint8

// The failures of a Faulty table.
const (
	// FailureNone passes the call on.
	FailureNone Failure = iota
	// FailureUnavailable returns ErrUnavailable; the call has no effect.
	FailureUnavailable
	// FailureAnswerLost applies the commit and loses the answer.
	FailureAnswerLost
	// FailureDelayed loses the answer and has no effect yet; the commit is applied
	// when ApplyDelayed is called.
	FailureDelayed
	// FailureHang waits until the context ends; the call has no effect.
	FailureHang
	// FailureStale answers a read with the rows as of the last MarkStale.
	FailureStale
)

// Faulty wraps a table and injects failures into its calls. It is safe for
// concurrent use.
type Faulty struct {
	// Table is the wrapped table; it must be set.
	Table barleystep.Table

	mu      mutex.Mutex
	plan    func(call Call) Failure
	delayed []barleystep.Txn
	stale   map[string]barleystep.Row
}

// Call describes a call to a Faulty table.
type Call struct {
	write bool
	keys  []string
}

// Write reports whether the call is a commit.
func (c Call) Write() bool { return c.write }

// Keys returns the keys that are read or written, or the prefix of a scan.
func (c Call) Keys() []string { return c.keys }

var _ barleystep.Table = (*Faulty)(nil)

// SetPlan sets the function that selects the failure of each call; with nil no call
// fails.
func (f *Faulty) SetPlan(plan func(call Call) Failure) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan = plan
}

// MarkStale saves the current rows with the keys, for FailureStale.
func (f *Faulty) MarkStale(ctx context.Context, keys ...string) (err error) {
	rows, err := f.Table.Read(ctx, keys...)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stale = make(map[string]barleystep.Row)
	for _, r := range rows {
		f.stale[r.Key()] = r
	}
	return nil
}

// ApplyDelayed applies the delayed commits and returns how many took effect.
func (f *Faulty) ApplyDelayed(ctx context.Context) (applied int) {
	f.mu.Lock()
	delayed := f.delayed
	f.delayed = nil
	f.mu.Unlock()
	for _, t := range delayed {
		if f.Table.Commit(ctx, t) == nil {
			applied++
		}
	}
	return applied
}

// Read reads from the wrapped table, or fails as planned.
func (f *Faulty) Read(ctx context.Context, keys ...string) ([]barleystep.Row, error) {
	switch f.failure(Call{keys: keys}) {
	case FailureHang:
		<-ctx.Done()
		return nil, barleystep.ErrUnavailable
	case FailureStale:
		return f.staleRows(keys), nil
	case FailureNone:
		return f.Table.Read(ctx, keys...)
	default:
		return nil, barleystep.ErrUnavailable
	}
}

// Scan scans the wrapped table, or fails as planned.
func (f *Faulty) Scan(ctx context.Context, prefix, after string, limit int) ([]barleystep.Row, error) {
	switch f.failure(Call{keys: []string{prefix}}) {
	case FailureHang:
		<-ctx.Done()
		return nil, barleystep.ErrUnavailable
	case FailureNone, FailureStale:
		return f.Table.Scan(ctx, prefix, after, limit)
	default:
		return nil, barleystep.ErrUnavailable
	}
}

// Commit commits to the wrapped table, or fails as planned.
func (f *Faulty) Commit(ctx context.Context, t barleystep.Txn) error {
	switch f.failure(Call{write: true, keys: writtenKeys(t)}) {
	case FailureUnavailable:
		return barleystep.ErrUnavailable
	case FailureAnswerLost:
		if err := f.Table.Commit(ctx, t); err != nil {
			return err
		}
		return barleystep.ErrUnknownEffect
	case FailureDelayed:
		f.mu.Lock()
		f.delayed = append(f.delayed, t)
		f.mu.Unlock()
		return barleystep.ErrUnknownEffect
	case FailureHang:
		<-ctx.Done()
		return barleystep.ErrUnknownEffect
	default:
		return f.Table.Commit(ctx, t)
	}
}

func (f *Faulty) failure(c Call) Failure {
	f.mu.Lock()
	plan := f.plan
	f.mu.Unlock()
	if plan == nil {
		return FailureNone
	}
	return plan(c)
}

func (f *Faulty) staleRows(keys []string) []barleystep.Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := make([]barleystep.Row, len(keys))
	for i, k := range keys {
		rows[i] = barleystep.NewRow(k, nil, 0)
		if r, ok := f.stale[k]; ok {
			rows[i] = r
		}
	}
	return rows
}

func writtenKeys(t barleystep.Txn) []string {
	keys := make([]string, len(t.Writes))
	for i, w := range t.Writes {
		keys[i] = w.Key()
	}
	return keys
}
