package version

import (
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/place"
)

// Upstream is a peer that streams its versions.
type Upstream interface {
	// Follow passes the updates after the given version to sink until the stream ends.
	Follow(ctx context.Context, version int64, sink func(Update) error) error
}

// Update is one message of a peer's stream.
type Update struct {
	Increments []Increment
	// Snapshot is set when Increments holds one whole document.
	Snapshot bool
	// Version is the peer's current version. Age is the time since the table service confirmed it,
	// negative if it never did.
	Version int64
	Age     time.Duration
}

// Reader keeps a Follower up to date. A few boxes of a hall read the table; the others follow one of
// them and read the table themselves only while that fails. Its exported fields are set before
// Serve.
type Reader struct {
	Clock      barleystep.Clock
	Box        barleystep.BoxID
	Store      *Store
	Follower   *Follower
	Membership barleystep.Membership
	// Upstream returns the stream of a peer's versions, or false if the peer's address is unknown.
	Upstream func(barleystep.BoxID) (u Upstream, ok bool)
	Meter    *metric.Meter
	Log      *log.Logger
	// ReadInterval is the time between reads of the head row; the default is 1 second.
	ReadInterval time.Duration
	// Readers is the number of boxes of the hall that read the table; the default is 2.
	Readers int
}

const (
	defaultReadInterval = time.Second
	defaultReaders      = 2
	// staleAfter is how long a box goes without a confirmation from a peer before it reads the table
	// itself.
	staleAfter = 2500 * time.Millisecond
	logPrefix  = "version: "
)

// Serve keeps the follower up to date until ctx ends.
func (r *Reader) Serve(ctx context.Context) error {
	if r.ReadInterval == 0 {
		r.ReadInterval = defaultReadInterval
	}
	if r.Readers == 0 {
		r.Readers = defaultReaders
	}
	attempt := 0
	f := &Subscriber{Clock: r.Clock, Follower: r.Follower, Meter: r.Meter, RetryInterval: r.ReadInterval, Upstream: func() (Upstream, bool) {
		attempt++
		return r.nextUpstream(attempt)
	}}
	go func() { _ = f.Serve(ctx) }() // Serve returns when ctx ends.
	for {
		if r.shouldRead() {
			r.poll(ctx)
		}
		if !clock.Sleep(ctx, r.Clock, r.ReadInterval) {
			return ctx.Err()
		}
	}
}

// readers returns the boxes of the hall that read the table, chosen by rendezvous hashing from those
// alive.
func (r *Reader) readers() []barleystep.BoxID {
	left := r.Membership.Alive()
	var chosen []barleystep.BoxID
	for len(chosen) < r.Readers && len(left) > 0 {
		best := place.Owner("configuration", left)
		chosen = append(chosen, best)
		left = without(left, best)
	}
	return chosen
}

func without(list []barleystep.BoxID, id barleystep.BoxID) []barleystep.BoxID {
	return slices.DeleteFunc(slices.Clone(list), func(other barleystep.BoxID) bool { return other == id })
}

// shouldRead reports whether this box reads the table itself: it is one of the readers, or its
// version was not confirmed within staleAfter.
func (r *Reader) shouldRead() bool {
	if slices.Contains(r.readers(), r.Box) {
		return true
	}
	return r.Clock.Now().Sub(r.Follower.ConfirmedAt()) > staleAfter
}

// poll reads the head row once and applies newer versions. A head older than the current version is
// a stale read and ignored.
func (r *Reader) poll(ctx context.Context) {
	readAt := r.Clock.Now()
	version, err := r.Store.Head(ctx)
	if err != nil {
		return
	}
	if version < r.Follower.Version() {
		r.Meter.ConfigurationChanged("older_head_ignored")
		return
	}
	if err := r.catchUp(ctx, version); err != nil {
		r.Log.Warn().Err(err).Int64("version", version).Msg(logPrefix + "A version of the configuration could not be read.")
		return
	}
	r.Follower.Confirm(version, readAt)
}

// catchUp applies the versions up to the given one, from the latest snapshot if more than readBatch
// are missing.
func (r *Reader) catchUp(ctx context.Context, version int64) error {
	if version-r.Follower.Version() > readBatch {
		if err := r.loadSnapshot(ctx); err != nil {
			return err
		}
	}
	for r.Follower.Version() < version {
		list, err := r.Store.Increments(ctx, r.Follower.Version()+1, version)
		if err != nil {
			return err
		}
		if len(list) == 0 {
			return eris.Wrap(ErrGap, "a version is missing")
		}
		if err := r.Follower.Apply(list); err != nil {
			return err
		}
	}
	return nil
}

func (r *Reader) loadSnapshot(ctx context.Context) error {
	inc, err := r.Store.Snapshot(ctx)
	if err != nil || inc.Version == 0 {
		return err
	}
	return r.Follower.Load(inc)
}

// nextUpstream returns the peer to follow, in turn: one of the other readers, or any peer while this
// box has no version.
func (r *Reader) nextUpstream(attempt int) (u Upstream, ok bool) {
	candidates := without(r.readers(), r.Box)
	if r.Follower.Version() == 0 {
		candidates = without(r.Membership.Alive(), r.Box)
	}
	if len(candidates) == 0 {
		return nil, false
	}
	return r.Upstream(candidates[attempt%len(candidates)])
}
