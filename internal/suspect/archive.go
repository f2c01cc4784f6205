package suspect

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/strict"
)

// Archive stores in the platform's store which requests end targets: after a restart of all boxes
// they would otherwise have to learn it again, at the cost of as many targets. One box reads it
// when it becomes the lead, gossips it like its own evidence, and writes what the boxes learn. Its
// exported fields are set before Serve.
type Archive struct {
	Clock     barleystep.Clock
	Catalogue barleystep.Catalogue
	Registry  *Registry
	// IsLead reports whether this box reads and writes for all.
	IsLead func() bool
	Log    *log.Logger

	// stored holds the checksums of the evidence in the store; nil until it was read.
	stored map[Digest]uint64
}

const (
	// archiveInterval is how often the archive is synchronised: evidence that is not yet written is
	// lost if all boxes end.
	archiveInterval = 250 * time.Millisecond
	// archiveRetryDelay is the wait after a failed call.
	archiveRetryDelay = time.Second
	// archiveTimeout bounds one synchronisation.
	archiveTimeout = time.Second
)

// String returns the service's name for the supervisor's logs.
func (*Archive) String() string { return "archive of suspects" }

// Serve maintains the archive until ctx ends.
func (a *Archive) Serve(ctx context.Context) error {
	pause := archiveInterval
	for clock.Sleep(ctx, a.Clock, pause) {
		pause = archiveInterval
		if err := a.sync(ctx); err != nil {
			a.Log.Warn().Err(err).Msg(logPrefix + "The archive cannot be read or written; retrying.")
			pause = archiveRetryDelay
		}
	}
	return ctx.Err()
}

// sync reads the archive if this box has become the lead, and writes what has changed.
func (a *Archive) sync(ctx context.Context) (err error) {
	if !a.IsLead() {
		a.stored = nil
		return nil
	}
	ctx, cancel := clock.WithDeadline(ctx, a.Clock, a.Clock.Now().Add(archiveTimeout))
	defer cancel()
	if a.stored == nil {
		if err = a.read(ctx); err != nil {
			return err
		}
	}
	return a.write(ctx)
}

// read loads the stored evidence. Records that no box wrote are skipped.
func (a *Archive) read(ctx context.Context) (err error) {
	batch, err := a.Catalogue.Fetch(ctx, barleystep.TopicSuspects)
	if err != nil {
		return err
	}
	now := a.clockReading()
	stored := make(map[Digest]uint64)
	known := make(map[Digest]Evidence)
	for _, r := range batch.Records() {
		d, e, err := decodeRecord(r, now)
		if err != nil {
			a.Log.Warn().Str("record", r.Key()).Str("reason", strict.ReasonOf(err).String()).Err(err).
				Msg(logPrefix + "A record of the archive is invalid and skipped.")
			continue
		}
		known[d], stored[d] = e, e.checksum()
	}
	a.Registry.Merge(known)
	a.stored = stored
	if len(known) > 0 {
		a.Log.Info().Int("requests", len(known)).Msg(logPrefix + "The archive was read.")
	}
	return nil
}

func (a *Archive) clockReading() clockReading {
	return clockReading{now: a.Clock.Now(), day: clock.TimeOfDay(a.Clock)}
}

// write stores the evidence that the store lacks and removes what no longer counts.
func (a *Archive) write(ctx context.Context) (err error) {
	proven := a.Registry.proven()
	for d, e := range proven {
		if a.stored[d] == e.checksum() {
			continue
		}
		r, err := encodeRecord(d, e, a.clockReading())
		if err != nil {
			return err
		}
		if err = a.Catalogue.Publish(ctx, barleystep.TopicSuspects, r.Key(), r.Value()); err != nil {
			return err
		}
		a.stored[d] = e.checksum()
	}
	for d := range a.stored {
		if _, holds := proven[d]; holds {
			continue
		}
		if err = a.Catalogue.Withdraw(ctx, barleystep.TopicSuspects, d.String()); err != nil {
			return err
		}
		delete(a.stored, d)
	}
	return nil
}
