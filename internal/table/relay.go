package table

import (
	"context"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/place"
)

// Relay forwards transactions to the one box of the hall that batches them, so
// that the rate of commits from a hall is bounded, however many boxes it has.
// Reads are not forwarded. Its exported fields are set before use.
type Relay struct {
	// Local batches the transactions on this box.
	Local      barleystep.Table
	Box        barleystep.BoxID
	Membership barleystep.Membership
	// Remote commits a transaction at another box.
	Remote func(ctx context.Context, id barleystep.BoxID, t barleystep.Txn) error
}

var _ barleystep.Table = (*Relay)(nil)

// Read reads from the table.
func (r *Relay) Read(ctx context.Context, keys ...string) ([]barleystep.Row, error) {
	return r.Local.Read(ctx, keys...)
}

// Scan scans the table.
func (r *Relay) Scan(ctx context.Context, prefix, after string, limit int) ([]barleystep.Row, error) {
	return r.Local.Scan(ctx, prefix, after, limit)
}

// Commit commits t at the hall's writer box. If that box is known to have done
// nothing with it, t is committed locally instead.
func (r *Relay) Commit(ctx context.Context, t barleystep.Txn) error {
	id := r.writerBox()
	if id == r.Box {
		return r.Local.Commit(ctx, t)
	}
	err := r.Remote(ctx, id, t)
	if barleystep.FaultOf(err) == barleystep.FaultUnavailable {
		return r.Local.Commit(ctx, t)
	}
	return err
}

func (r *Relay) writerBox() barleystep.BoxID {
	if id := place.Owner("claims", r.Membership.Alive()); id != "" {
		return id
	}
	return r.Box
}
