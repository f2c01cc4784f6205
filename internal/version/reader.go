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

// Upstream brings versions from a peer.
type Upstream interface {
	// Follow passes on what the peer sends until the stream ends.
	Follow(ctx context.Context, version int64, sink func(Update) error) error
}

// Update is one message of a peer.
type Update struct {
	Increments []Increment
	// Snapshot is set when Increments holds one whole document.
	Snapshot bool
	// Version is the newest that the peer has, and Age is how long ago the table
	// service confirmed it.
	Version int64
	Age     time.Duration
}

// Reader keeps a Follower up to date. Few boxes of a hall read the table; the
// others follow one of them, and read the table themselves only while that
// fails. Its exported fields are set before Serve.
type Reader struct {
	Clock      barleystep.Clock
	Box        barleystep.BoxID
	Store      *Store
	Follower   *Follower
	Membership barleystep.Membership
	// Peer returns the way to a peer's versions.
	Upstream func(barleystep.BoxID) (u Upstream, ok bool)
	Meter    *metric.Meter
	Log      *log.Logger
	// Every is the time between reads of the head; the default is 1 second.
	ReadInterval time.Duration
	// Readers is how many boxes of the hall read the table; the default is 2.
	Readers int
}

const (
	defaultReadInterval = time.Second
	defaultReaders      = 2
	// staleAfter is how long a follower goes without confirmation before it
	// reads the table itself.
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
	go func() { _ = f.Serve(ctx) }() // It ends with ctx.
	for {
		if r.shouldRead() {
			r.poll(ctx)
		}
		if !clock.Sleep(ctx, r.Clock, r.ReadInterval) {
			return ctx.Err()
		}
	}
}

// readers returns the boxes of the hall that read the table.
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

// mustRead reports whether this box reads the table itself.
func (r *Reader) shouldRead() bool {
	if slices.Contains(r.readers(), r.Box) {
		return true
	}
	return r.Clock.Now().Sub(r.Follower.ConfirmedAt()) > staleAfter
}

// read looks at the head once and brings what is newer into force.
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
		r.Log.Warn().Err(err).Int64("version", version).Msg(logPrefix + "A version could not be read.")
		return
	}
	r.Follower.Confirm(version, readAt)
}

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
