package keeper

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/claim"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/metric"
)

// Cleaner cancels orphaned attempts in the hall's engines. Its exported fields
// are set before Serve.
type Cleaner struct {
	Clock         barleystep.Clock
	Box           barleystep.BoxID
	Hall          barleystep.HallID
	Configuration config.Source
	Targets       Targets
	Watcher       *Watcher
	Meter         *metric.Meter
	Log           *log.Logger
	// Interval is the time between rounds; the default is 5 seconds.
	Interval time.Duration
}

const defaultCleanInterval = 5 * time.Second

// Serve runs rounds until ctx ends.
func (c *Cleaner) Serve(ctx context.Context) error {
	if c.Interval == 0 {
		c.Interval = defaultCleanInterval
	}
	return clock.Repeat(ctx, c.Clock, c.Interval, c.Round)
}

// Round checks each engine that this box owns once. It is exported for tests.
func (c *Cleaner) Round(ctx context.Context) {
	v, _ := c.Configuration.View()
	if v == nil {
		return
	}
	p := c.Watcher.State()
	engines := v.Targets(func(t config.Target) bool { return t.Hall == string(c.Hall) && t.Model != "" })
	for _, t := range engines {
		if p.owner("clean/"+t.ID) == c.Box {
			c.clean(ctx, barleystep.TargetID(t.ID), p)
		}
	}
}

func (c *Cleaner) clean(ctx context.Context, id barleystep.TargetID, p HallState) {
	e, ok := c.Targets.Engine(id, false)
	if !ok {
		return
	}
	ctx, cancel := clock.WithDeadline(ctx, c.Clock, c.Clock.Now().Add(c.timeout()))
	defer cancel()
	work, err := e.List(ctx)
	if err != nil {
		c.Meter.AttemptRetried("list_lost")
		return
	}
	for _, w := range work {
		reason := OrphanReason(w, p, c.Clock.Now())
		if reason == ReasonNone || e.Cancel(ctx, w.Attempt) != nil {
			continue
		}
		c.Meter.AttemptCancelled(string(reason))
		c.Log.Info().Str("target", string(id)).Str("attempt", w.Attempt).Str("reason", string(reason)).
			Msg(logPrefix + "Orphaned attempt cancelled.")
	}
}

func (c *Cleaner) timeout() time.Duration {
	if c.Interval == 0 {
		return defaultCleanInterval
	}
	return c.Interval
}

// Sweeper deletes expired claims from the table. Its exported fields are set
// before Serve.
type Sweeper struct {
	Clock   barleystep.Clock
	Box     barleystep.BoxID
	Table   barleystep.Table
	Objects barleystep.ObjectStore
	Watcher *Watcher
	Meter   *metric.Meter
	// Retention is how long a claim is kept after its request's deadline; the
	// default is 24 hours. It must exceed the longest delay with which a write
	// can take effect.
	Retention time.Duration
	// Interval is the time between rounds; the default is 10 seconds.
	Interval time.Duration

	cursor string // cursor is the key after which the next round continues.
}

const (
	defaultRetention     = 24 * time.Hour
	defaultSweepInterval = 10 * time.Second
	sweepBatchSize       = 1_000
)

// Serve runs rounds until ctx ends.
func (s *Sweeper) Serve(ctx context.Context) error {
	if s.Interval == 0 {
		s.Interval = defaultSweepInterval
	}
	return clock.Repeat(ctx, s.Clock, s.Interval, s.Round)
}

// Round scans one batch of rows if this box owns the sweep. It is exported for
// tests.
func (s *Sweeper) Round(ctx context.Context) {
	if s.Watcher.State().owner("sweep") != s.Box {
		return
	}
	rows, err := s.Table.Scan(ctx, claim.Prefix, s.cursor, sweepBatchSize)
	if err != nil {
		s.Meter.StoreFault("sweep", barleystep.FaultOf(err).String())
		return
	}
	s.cursor = ""
	if len(rows) == sweepBatchSize {
		s.cursor = rows[len(rows)-1].Key()
	}
	s.clear(ctx, rows)
}

// clear deletes the expired rows of a batch in one transaction. Stored answers
// are deleted first, so that none remains without a row that names it.
func (s *Sweeper) clear(ctx context.Context, rows []barleystep.Row) {
	retention := s.Retention
	if retention == 0 {
		retention = defaultRetention
	}
	var t barleystep.Txn
	for _, r := range rows {
		c, err := claim.Decode(r)
		if err != nil || !claim.Expired(c, s.Clock.Now(), retention) {
			continue
		}
		if c.Object != "" && s.Objects.Delete(ctx, c.Object) != nil {
			continue
		}
		t.Conditions = append(t.Conditions, barleystep.IfVersion(r.Key(), r.Version()))
		t.Writes = append(t.Writes, barleystep.Delete(r.Key()))
	}
	if len(t.Writes) == 0 {
		return
	}
	if err := s.Table.Commit(ctx, t); err != nil {
		s.Meter.StoreFault("sweep", barleystep.FaultOf(err).String())
	}
}
