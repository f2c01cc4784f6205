// Package follow keeps what a box believes of the configuration and of the
// targets up to date with the platform's store, and knows how old its last
// proof of that is.
//
// One box reads the store for all: each call has its price. The others hear
// through the gossip that it has missed nothing, and get changes from it or from
// those that have them; a box that hears nothing for a while reads the store itself.
package follow

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
)

// Handler takes what a Follower reads. Its calls come one after another.
type Handler interface {
	// Reset replaces everything by a whole topic.
	Reset(records []barleystep.Record)
	// Change applies one change.
	Apply(record barleystep.Record)
	// Proved is told that what is known includes all that was acknowledged before
	// asked.
	Confirmed(requestedAt time.Time, revision barleystep.Revision)
	// Lost is told that the store cannot be read, with the time of the first
	// failure in a row.
	Unavailable(since time.Time)
}

// Peers gets updates from other boxes.
type Peers interface {
	// Changes returns what changed at the box with the address after the revision.
	Changes(ctx context.Context, addr string, topic barleystep.Topic, since barleystep.Revision) (Update, error)
}

// Follower reads one topic for ever. Its exported fields are set before Serve.
type Follower struct {
	Clock     barleystep.Clock
	Catalogue barleystep.Catalogue
	Topic     barleystep.Topic
	Handler   Handler
	Log       *log.Logger
	// Within is how soon a change must be in force once the store has taken it; the
	// default is 2 seconds. How long calls wait for a change, and how old the proof of
	// other boxes may be, are parts of it.
	MaxDelay time.Duration
	// Duty returns what this box reads for others; without it the box always reads.
	Role func() ReaderRole
	// Boxes returns how many boxes of the hall rely on the same ones; nil is one.
	HallBoxes func() int
	// Spread is this box's own place from 0 to 1 among those that would call the
	// store at the same moment.
	Jitter float64
	// Peers are other boxes that may have heard of a change; nil if there are none.
	Peers Peers

	mu       sync.Mutex
	loaded   bool
	revision barleystep.Revision
	changes  changeLog
	// proved is the time before which no change was missed.
	confirmedAt time.Time
	pulling     bool // pulling is set while a change is read from another box.
	relying     bool // relying is set while others read the store for this box.

	failingSince time.Time
	failures     int
	calls        callCounts
}

const (
	// firstPause is the wait after a first failed call; it doubles up to
	// longestPause. Calls are priced even when they are refused, and the first
	// answer after an outage should not come later than this.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
	// changePause is the wait after an answer with changes: more of them often come
	// soon after, and are then read by one call. It is little against the two seconds
	// in which a change must be in force.
	batchDelay = 100 * time.Millisecond
	// relayLook is how often a box that relies on others looks at the age of their
	// proof.
	ageCheckInterval = 100 * time.Millisecond
	// pullPause is the least time between two updates from other boxes, so that
	// changes in quick succession come together.
	minPullInterval = 150 * time.Millisecond
	// pullTimeout bounds the call to another box.
	pullTimeout = time.Second
	// defaultWithin is Within where none is set.
	defaultMaxDelay = 2 * time.Second
)

const logPrefix = "follow: "

// errBehind means that the whole topic was read as it was before what this box knows.
var errStaleSnapshot = eris.New("follow: the store answers with less than was read before")

// String names the follower in the supervisor's lines.
func (f *Follower) String() string { return "follower of " + f.Topic.String() }

// Serve reads until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.reliesOnOthers() {
			clock.Sleep(ctx, f.Clock, ageCheckInterval)
			continue
		}
		requestedAt := f.Clock.Now()
		role := f.role()
		changed, err := f.step(ctx, requestedAt, f.callWait())
		f.countCall(role, err)
		if err == nil {
			f.handleRecovery()
			if changed {
				clock.Sleep(ctx, f.Clock, batchDelay)
			}
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if eris.Is(err, barleystep.ErrHistoryLost) {
			f.invalidate()
			continue
		}
		f.handleFailure(requestedAt, err)
		clock.Sleep(ctx, f.Clock, f.retryPause())
	}
	return ctx.Err()
}

// relies reports whether this box leaves the reading to others, and logs when
// that changes. A box that starts reads at once: callers who waited for it to come back
// are refused meanwhile, which costs them a try; 300 boxes make 600 calls of it.
func (f *Follower) reliesOnOthers() bool {
	role := f.role()
	age := f.Age()
	_, known := f.position()
	relies := role != RoleReader && known && age >= 0 && age < f.maxAge(role)
	if relies != f.relying {
		f.relying = relies
		f.Log.Info().Str("topic", f.Topic.String()).Str("duty", role.String()).Bool("relies_on_others", relies).
			Dur("age", age).Msg(logPrefix + "The source of changes is another one now.")
	}
	return relies
}

// Age returns how long ago a change could last have been missed, negative
// without any proof.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmationAge()
}

func (f *Follower) confirmationAge() time.Duration {
	if f.confirmedAt.IsZero() {
		return -1
	}
	return f.Clock.Now().Sub(f.confirmedAt)
}

// State returns the revision of the last change, zero if nothing is known, and
// the age of the proof.
func (f *Follower) State() (changed barleystep.Revision, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changes.lastChange, f.confirmationAge()
}

// Since returns what changed after the revision; ok is false if nothing is
// known.
func (f *Follower) ChangesSince(revision barleystep.Revision) (u Update, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changes.since(revision, f.revision), f.loaded
}

// Vouch notes that a box whose last change has the given revision had missed
// none before at. It is ignored unless this box has that change.
func (f *Follower) Confirm(at time.Time, changed barleystep.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loaded && changed != 0 && changed <= f.revision {
		f.recordConfirmation(at)
	}
}

// Offer tells of a box whose last change has the given revision. If that is news
// here, it is read, from the store or from that box.
func (f *Follower) Offer(ctx context.Context, addr string, changed barleystep.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pulling || f.Peers == nil || changed == 0 || (f.loaded && changed <= f.revision) {
		return
	}
	f.pulling = true
	go func() {
		f.pull(ctx, addr)
		clock.Sleep(ctx, f.Clock, minPullInterval)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.pulling = false
	}()
}

func (f *Follower) pull(ctx context.Context, addr string) {
	ctx, cancel := clock.WithDeadline(ctx, f.Clock, f.Clock.Now().Add(pullTimeout))
	defer cancel()
	since, known := f.position()
	if !known {
		since = 0
	}
	u, err := f.Peers.Changes(ctx, addr, f.Topic, since)
	if err != nil {
		f.Log.Warn().Str("topic", f.Topic.String()).Str("addr", addr).Uint64("since", uint64(since)).Err(err).
			Msg(logPrefix + "A change could not be had from another box.")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyUpdate(u)
}

func (f *Follower) position() (revision barleystep.Revision, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision, f.loaded
}

// step makes one call to the store and applies its answer; changed reports whether
// it held changes.
func (f *Follower) step(ctx context.Context, requestedAt time.Time, wait time.Duration) (changed bool, err error) {
	since, known := f.position()
	var b barleystep.Batch
	if known {
		b, err = f.Catalogue.Watch(ctx, f.Topic, since, wait)
	} else {
		b, err = f.Catalogue.Fetch(ctx, f.Topic)
	}
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.applyUpdate(Update{Records: b.Records(), Full: !known, Revision: b.Revision()}) {
		f.recordConfirmation(requestedAt)
	} else if !f.loaded {
		return false, errStaleSnapshot
	}
	return known && len(b.Records()) > 0, nil
}

// take applies an update, unless it is older than what was read before, even if the topic is
// to be read anew: another box may tell late of a target's lifetime that is over.
func (f *Follower) applyUpdate(u Update) bool {
	if u.Revision < f.revision {
		return false
	}
	if !f.loaded && !u.Full {
		return false // The topic is to be read anew, which has not happened yet.
	}
	if u.Full {
		f.Handler.Reset(u.Records)
		f.changes.reset(u.Records, u.Revision)
	} else {
		for _, r := range u.Records {
			f.Handler.Apply(r)
		}
		f.changes.apply(u.Records, u.Revision)
	}
	f.loaded, f.revision = true, u.Revision
	return true
}

func (f *Follower) recordConfirmation(at time.Time) {
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
	f.Handler.Confirmed(at, f.revision)
}

// forget has the topic read anew.
func (f *Follower) invalidate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loaded = false
	f.Log.Warn().Str("topic", f.Topic.String()).Uint64("revision", uint64(f.revision)).
		Msg(logPrefix + "The store has dropped its history. The topic is read anew.")
}

func (f *Follower) handleFailure(requestedAt time.Time, err error) {
	f.failures++
	if f.failingSince.IsZero() {
		f.failingSince = requestedAt
		f.Log.Warn().Str("topic", f.Topic.String()).Err(err).Msg(logPrefix + "The store does not answer.")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Handler.Unavailable(f.failingSince)
}

func (f *Follower) handleRecovery() {
	if f.failingSince.IsZero() {
		return
	}
	f.Log.Info().Str("topic", f.Topic.String()).Int("failed_calls", f.failures).
		Dur("away", f.Clock.Now().Sub(f.failingSince)).Msg(logPrefix + "The store answers again.")
	f.failingSince = time.Time{}
	f.failures = 0
}
