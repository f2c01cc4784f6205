package table

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
)

// Batcher combines many small transactions into few large ones, because the table
// service accepts only some hundred writes a second, whatever their size.
// Transactions that share no key are committed together. One whose condition does
// not hold is removed from the batch and gets ErrConflict; the others are
// committed without it. Its exported fields are set before Serve; it is safe for
// concurrent use.
type Batcher struct {
	Table barleystep.Table
	Clock barleystep.Clock
	// Interval is the minimum time between two commits; the default is 50 ms. The
	// first commit after an idle time is not delayed.
	Interval time.Duration
	// MaxTxns limits the transactions in one commit; the default is 100.
	MaxTxns int
	// Timeout limits the time of one commit, so that one that hangs does not block
	// the next; the default is 5 seconds.
	Timeout time.Duration

	queue chan *pendingTxn
}

type pendingTxn struct {
	txn  barleystep.Txn
	done chan error
}

const (
	defaultInterval      = 50 * time.Millisecond
	defaultMaxTxns       = 100
	queueSize            = 4096
	defaultCommitTimeout = 5 * time.Second
	// maxConflictRounds is how often a batch is retried without its conflicting
	// transactions, before the others are committed one by one.
	maxConflictRounds = 3
)

var _ barleystep.Table = (*Batcher)(nil)

// NewBatcher returns a Batcher that commits to the table.
func NewBatcher(t barleystep.Table, clk barleystep.Clock) *Batcher {
	return &Batcher{Table: t, Clock: clk, queue: make(chan *pendingTxn, queueSize)}
}

// Read reads from the table.
func (g *Batcher) Read(ctx context.Context, keys ...string) ([]barleystep.Row, error) {
	return g.Table.Read(ctx, keys...)
}

// Scan scans the table.
func (g *Batcher) Scan(ctx context.Context, prefix, after string, limit int) ([]barleystep.Row, error) {
	return g.Table.Scan(ctx, prefix, after, limit)
}

// Commit commits t together with other transactions. It returns ErrUnavailable if
// the queue is full, and ErrUnknownEffect if ctx ends before the answer.
func (g *Batcher) Commit(ctx context.Context, t barleystep.Txn) error {
	w := &pendingTxn{txn: t, done: make(chan error, 1)}
	select {
	case g.queue <- w:
	default:
		return eris.Wrap(barleystep.ErrUnavailable, "table: too many transactions wait")
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return eris.Wrap(barleystep.ErrUnknownEffect, "table: the caller did not wait")
	}
}

// Serve commits until ctx ends.
func (g *Batcher) Serve(ctx context.Context) error {
	if g.Interval == 0 {
		g.Interval = defaultInterval
	}
	if g.MaxTxns == 0 {
		g.MaxTxns = defaultMaxTxns
	}
	if g.Timeout == 0 {
		g.Timeout = defaultCommitTimeout
	}
	var deferred *pendingTxn // deferred shares a key with the last batch.
	for {
		batch, next := g.collect(ctx, deferred)
		if batch == nil {
			return ctx.Err()
		}
		deferred = next
		g.commit(ctx, batch)
		if !clock.Sleep(ctx, g.Clock, g.Interval) {
			return ctx.Err()
		}
	}
}

// collect waits for one transaction and adds those that are queued, up to the first
// that shares a key with the batch; that one is returned as deferred.
func (g *Batcher) collect(ctx context.Context, first *pendingTxn) (batch []*pendingTxn, deferred *pendingTxn) {
	if first == nil {
		select {
		case first = <-g.queue:
		case <-ctx.Done():
			return nil, nil
		}
	}
	keys := make(map[string]bool)
	addKeys(keys, first.txn)
	batch = []*pendingTxn{first}
	for len(batch) < g.MaxTxns {
		select {
		case w := <-g.queue:
			if !addKeys(keys, w.txn) {
				return batch, w
			}
			batch = append(batch, w)
		default:
			return batch, nil
		}
	}
	return batch, nil
}

// addKeys adds the keys of t and returns true, unless one of them is present.
func addKeys(keys map[string]bool, t barleystep.Txn) bool {
	own := keysOf(t)
	for k := range own {
		if keys[k] {
			return false
		}
	}
	for k := range own {
		keys[k] = true
	}
	return true
}

func keysOf(t barleystep.Txn) map[string]bool {
	keys := make(map[string]bool)
	for _, c := range t.Conditions {
		keys[c.Key()] = true
	}
	for _, w := range t.Writes {
		keys[w.Key()] = true
	}
	return keys
}

// commit commits the batch and replies to each of its transactions.
func (g *Batcher) commit(ctx context.Context, batch []*pendingTxn) {
	ctx, cancel := clock.WithDeadline(ctx, g.Clock, g.Clock.Now().Add(g.Timeout))
	defer cancel()
	for range maxConflictRounds {
		if len(batch) == 0 {
			return
		}
		err := g.Table.Commit(ctx, merge(batch))
		if barleystep.FaultOf(err) != barleystep.FaultConflict {
			replyAll(batch, err)
			return
		}
		if len(batch) == 1 {
			replyAll(batch, err)
			return
		}
		batch = g.rejectOutdated(ctx, batch)
	}
	for _, w := range batch {
		w.done <- g.Table.Commit(ctx, w.txn)
	}
}

func merge(batch []*pendingTxn) (t barleystep.Txn) {
	for _, w := range batch {
		t.Conditions = append(t.Conditions, w.txn.Conditions...)
		t.Writes = append(t.Writes, w.txn.Writes...)
	}
	return t
}

func replyAll(batch []*pendingTxn, err error) {
	for _, w := range batch {
		w.done <- err
	}
}

// rejectOutdated replies ErrConflict to the transactions whose conditions do not
// hold and returns the others. If the read fails, or shows no outdated condition,
// it returns the whole batch.
func (g *Batcher) rejectOutdated(ctx context.Context, batch []*pendingTxn) []*pendingTxn {
	var keys []string
	for _, w := range batch {
		for _, c := range w.txn.Conditions {
			keys = append(keys, c.Key())
		}
	}
	rows, err := g.Table.Read(ctx, keys...)
	if err != nil {
		return batch
	}
	versions := make(map[string]int64, len(rows))
	for _, r := range rows {
		versions[r.Key()] = r.Version()
	}
	var kept []*pendingTxn
	for _, w := range batch {
		if outdated(w.txn, versions) {
			w.done <- barleystep.ErrConflict
			continue
		}
		kept = append(kept, w)
	}
	return kept
}

// outdated reports whether a row is newer than a condition requires. An older row
// does not count, as the read may be stale.
func outdated(t barleystep.Txn, versions map[string]int64) bool {
	for _, c := range t.Conditions {
		if versions[c.Key()] > c.Version() {
			return true
		}
	}
	return false
}
