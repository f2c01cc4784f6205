// Package follow keeps a box's copy of the configuration and of the targets up to date with the
// platform's store, and tracks the age of its last confirmation that it has missed no change.
//
// One box reads the store for all, because each call costs money. The other boxes learn through
// the gossip that it has missed nothing, and fetch changes from it or from other boxes that
// have them. A box that gets no confirmation for a while reads the store itself.
package follow

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/mutex"
)

// Handler receives what a Follower reads. Its methods are called one at a time.
type Handler interface {
	// Reset replaces all records by those of a whole topic.
	Reset(records []barleystep.Record)
	// Apply applies one change.
	Apply(record barleystep.Record)
	// Confirmed reports that the handler's state includes all changes that were acknowledged
	// before requestedAt.
	Confirmed(requestedAt time.Time, revision barleystep.Revision)
	// Unavailable reports that the store cannot be read: calls have failed, more than one in a row, since
	// the last confirmation. since is the time of the topic's first one.
	Unavailable(since time.Time)
}

// Peers fetches updates from other boxes.
type Peers interface {
	// Changes fetches the changes after the revision since from the box at addr.
	Changes(ctx context.Context, addr string, topic barleystep.Topic, since barleystep.Revision) (Update, error)
}

// Follower keeps one topic up to date. Its exported fields are set before Serve.
type Follower struct {
	Clock     barleystep.Clock
	Catalogue barleystep.Catalogue
	Topic     barleystep.Topic
	Handler   Handler
	Log       *log.Logger
	// MaxDelay is how soon a change must be in force after the store has acknowledged it; the
	// default is 2 seconds. The waits of calls and the limits on the age of confirmations are
	// fractions of it.
	MaxDelay time.Duration
	// Role returns this box's role; if nil, the box always reads.
	Role func() ReaderRole
	// HallBoxes returns the number of boxes of the hall that rely on the same readers; nil
	// means one.
	HallBoxes func() int
	// Jitter is this box's offset from 0 to 1 among the boxes that would call the store at the
	// same time.
	Jitter float64
	// Health tracks the calls of all followers of the box to the store; nil tracks those of this one.
	Health *StoreHealth
	// Peers fetches changes from other boxes; nil if there are none.
	Peers Peers
	// AwaitsPeers is set if this box, when it starts, leaves the first read to other boxes for a
	// while, unless Await is called.
	AwaitsPeers bool

	mu        mutex.Mutex
	loaded    bool
	revision  barleystep.Revision
	changeLog changeLog
	// confirmedAt is the time before which no change was missed.
	confirmedAt time.Time
	pulling     bool // pulling is set while a change is fetched from another box.
	relying     bool // relying is set while other boxes read the store for this one.
	offered     bool // offered is set once another box has offered changes.
	awaited     bool // awaited is set once callers wait for this box.

	// unconfirmed is how many calls have failed since the copy was last confirmed, and failedSince when
	// the first of them was made. changed is closed at the next confirmation or failed call.
	unconfirmed int
	failedSince time.Time
	changed     chan struct{}

	// failures is how many of this follower's own calls have failed in a row, and failingSince when the
	// first of them was made.
	failures     int
	failingSince time.Time
	calls        callCounts
}

const (
	// minRetryPause is the pause after a first failed call; it doubles up to maxRetryPause.
	// Refused calls cost money too, and the first answer after an outage must not come later
	// than maxRetryPause.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
	// batchDelay is the pause after an answer with changes: more changes often follow shortly
	// and are then read by one call. It is small compared with the two seconds in which a
	// change must be in force.
	batchDelay = 100 * time.Millisecond
	// ageCheckInterval is how often a box that relies on others checks the age of their
	// confirmation.
	ageCheckInterval = 100 * time.Millisecond
	// minPullInterval is the minimum interval between two updates from other boxes, so that
	// changes in quick succession are fetched together.
	minPullInterval = 150 * time.Millisecond
	// pullTimeout bounds the call to another box.
	pullTimeout = time.Second
	// startWait, times Jitter, is how long a box that starts waits for an offer of other boxes. Once
	// it has one, it waits up to offeredStartWait for their copy of the topic: the boxes of a hall
	// that start together get it from their collector, some after the others.
	startWait        = 3 * time.Second
	offeredStartWait = 6 * time.Second
	// startPollInterval is how often a box that starts checks whether the wait is over.
	startPollInterval = 20 * time.Millisecond
	// defaultMaxDelay is MaxDelay if none is set.
	defaultMaxDelay = 2 * time.Second
)

const logPrefix = "follow: "

// errStaleSnapshot means that the store returned the whole topic at a revision older than one
// read before.
var errStaleSnapshot = eris.New("follow: the store returned a revision older than one read before")

// String returns the follower's name in the supervisor's log lines.
func (f *Follower) String() string { return "follower of " + f.Topic.String() }

// Serve follows the topic until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	f.ensureHealth()
	f.awaitPeers(ctx)
	for ctx.Err() == nil {
		if wait := f.reliesOnOthers(); wait > 0 {
			clock.Sleep(ctx, f.Clock, min(wait, ageCheckInterval))
			continue
		}
		requestedAt := f.Clock.Now()
		role := f.role()
		changed, err := f.step(ctx, requestedAt)
		f.countCall(role, err)
		if err == nil {
			f.Health.noteSuccess()
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
			f.Health.noteSuccess()
			f.invalidate()
			continue
		}
		f.handleFailure(requestedAt, err)
		// A first failure is followed by another call at once, whatever the role: the box may be the only
		// one that can confirm its copy.
		f.pause(ctx, minRetryPause)
		if f.checkUnavailable() {
			f.pause(ctx, f.retryPause())
		}
	}
	return ctx.Err()
}

func (f *Follower) ensureHealth() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Health == nil {
		f.Health = &StoreHealth{}
	}
}

// awaitPeers waits after the start until another box has passed on its copy of the topic and
// confirmed it, or this box has to read the store: for its callers, for other boxes, or because
// nobody has passed on a copy in time.
func (f *Follower) awaitPeers(ctx context.Context) {
	started := f.Clock.Now()
	for f.mayAwaitPeers(f.Clock.Now().Sub(started)) {
		if !clock.Sleep(ctx, f.Clock, startPollInterval) {
			return
		}
	}
}

func (f *Follower) mayAwaitPeers(waited time.Duration) bool {
	if !f.AwaitsPeers || f.Peers == nil || f.role() != RolePassive {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := time.Duration(f.Jitter * float64(startWait))
	if f.offered {
		limit = offeredStartWait
	}
	if f.awaited || (f.loaded && f.age() >= 0) {
		return false
	}
	return waited < limit
}

// Await reports that callers wait for this box, so that it reads the store at once if it has just
// started.
func (f *Follower) Await() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.awaited = true
}

// reliesOnOthers returns for how much longer this box leaves the reading to other boxes, and logs when
// that changes.
func (f *Follower) reliesOnOthers() (left time.Duration) {
	role := f.role()
	age := f.Age()
	_, loaded := f.position()
	reliesOnOthers := role != RoleReader && loaded && age >= 0 && age < f.maxAge(role)
	if reliesOnOthers {
		left = f.maxAge(role) - age
	}
	if reliesOnOthers != f.relying {
		f.relying = reliesOnOthers
		f.Log.Info().Str("topic", f.Topic.String()).Str("duty", role.String()).Bool("relies_on_others", reliesOnOthers).
			Dur("age", age).Msg(logPrefix + "The source of changes has switched.")
	}
	return left
}

// Age returns the age of the last confirmation that no change was missed, negative without one.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age()
}

func (f *Follower) age() time.Duration {
	if f.confirmedAt.IsZero() {
		return -1
	}
	return f.Clock.Now().Sub(f.confirmedAt)
}

// State returns the revision of the last change, zero if nothing has been read, and the age of
// the confirmation.
func (f *Follower) State() (lastChange barleystep.Revision, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changeLog.lastChange, f.age()
}

// ChangesSince returns the changes after the revision; ok is false if the topic has not been
// read.
func (f *Follower) ChangesSince(revision barleystep.Revision) (u Update, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changeLog.since(revision, f.revision), f.loaded
}

// Confirm records that a box whose last change has the revision changed had missed none before
// at. It is ignored unless this box has that change.
func (f *Follower) Confirm(at time.Time, changed barleystep.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loaded && changed != 0 && changed <= f.revision {
		f.recordConfirmation(at)
	}
}

// Offer reports that the box at addr has read changes up to the revision changed. If this box
// has not, it fetches them from that box.
func (f *Follower) Offer(ctx context.Context, addr string, changed barleystep.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offered = f.offered || changed != 0
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
	since, loaded := f.position()
	if !loaded {
		since = 0
	}
	u, err := f.Peers.Changes(ctx, addr, f.Topic, since)
	if err != nil {
		f.Log.Warn().Str("topic", f.Topic.String()).Str("addr", addr).Uint64("since", uint64(since)).Err(err).
			Msg(logPrefix + "Cannot fetch changes from another box.")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyUpdate(u)
}

func (f *Follower) position() (revision barleystep.Revision, loaded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision, f.loaded
}

// step makes one call to the store and applies its answer; changed reports whether the answer
// held changes.
func (f *Follower) step(ctx context.Context, requestedAt time.Time) (changed bool, err error) {
	since, loaded := f.position()
	var b barleystep.Batch
	if loaded {
		b, err = f.Catalogue.Watch(ctx, f.Topic, since, f.watchOptions())
	} else {
		b, err = f.Catalogue.Fetch(ctx, f.Topic)
	}
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.applyUpdate(Update{Records: b.Records(), Full: !loaded, Revision: b.Revision()}) {
		f.recordConfirmation(requestedAt)
	} else if !f.loaded {
		return false, errStaleSnapshot
	}
	return loaded && len(b.Records()) > 0, nil
}

// applyUpdate applies an update and reports whether it did. It ignores an update older than
// what was read before, even after invalidate: another box may send a delayed record of a
// target's earlier incarnation.
func (f *Follower) applyUpdate(u Update) bool {
	if u.Revision < f.revision {
		return false
	}
	if !f.loaded && !u.Full {
		return false // The topic has to be read again first.
	}
	if u.Full {
		f.Handler.Reset(u.Records)
		f.changeLog.reset(u.Records, f.revision, u.Revision)
	} else {
		for _, r := range u.Records {
			f.Handler.Apply(r)
		}
		f.changeLog.apply(u.Records, u.Revision)
	}
	f.loaded, f.revision = true, u.Revision
	return true
}

func (f *Follower) recordConfirmation(at time.Time) {
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
	if !f.confirmedAt.Before(f.failedSince) {
		f.unconfirmed = 0
	}
	f.signal()
	f.Handler.Confirmed(at, f.revision)
}

// invalidate causes the whole topic to be read again.
func (f *Follower) invalidate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loaded = false
	f.Log.Warn().Str("topic", f.Topic.String()).Uint64("revision", uint64(f.revision)).
		Msg(logPrefix + "The store has dropped its history; reading the whole topic again.")
}

func (f *Follower) handleFailure(requestedAt time.Time, err error) {
	f.failures++
	if f.failingSince.IsZero() {
		f.failingSince = requestedAt
		f.Log.Warn().Str("topic", f.Topic.String()).Err(err).Msg(logPrefix + "Cannot read the store.")
	}
	f.noteUnconfirmed(requestedAt)
}

func (f *Follower) handleRecovery() {
	if f.failingSince.IsZero() {
		return
	}
	f.Log.Info().Str("topic", f.Topic.String()).Int("failed_calls", f.failures).
		Dur("away", f.Clock.Now().Sub(f.failingSince)).Msg(logPrefix + "The store can be read again.")
	f.failingSince = time.Time{}
	f.failures = 0
}
