package version

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/mutex"
)

// Follower holds the current version of the configuration on this box. It never goes back to an
// older version, whatever a stale read or a restarted or faulty peer brings. Its exported fields
// are set before use; it is safe for concurrent use.
type Follower struct {
	Clock barleystep.Clock
	Meter *metric.Meter
	// ConfirmationTTL is how long a version counts as confirmed to be the newest; the default is
	// 4 seconds.
	ConfirmationTTL time.Duration

	mu        mutex.Mutex
	view      *config.View
	history   []Increment // history holds the latest increments, the oldest first.
	confirmed time.Time
	changed   chan struct{}
}

const (
	defaultConfirmationTTL = 4 * time.Second
	// maxHistory is the number of increments kept for peers that lag behind.
	maxHistory = 256
)

// ErrGap means that an increment does not follow directly on the current version.
var ErrGap = eris.New("version: increments do not follow on the version in force")

// View returns the current version, or nil if there is none yet, and whether it was confirmed to be
// the newest within ConfirmationTTL.
func (f *Follower) View() (v *config.View, confirmed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	within := f.ConfirmationTTL
	if within == 0 {
		within = defaultConfirmationTTL
	}
	fresh := !f.confirmed.IsZero() && f.Clock.Now().Sub(f.confirmed) <= within
	return f.view, f.view != nil && fresh
}

// Version returns the number of the current version, or zero if there is none.
func (f *Follower) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version()
}

func (f *Follower) version() int64 {
	if f.view == nil {
		return 0
	}
	return f.view.Version()
}

// Confirm records that the version was the newest at the given time. It has no effect if the version
// is not the current one.
func (f *Follower) Confirm(version int64, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version == f.version() && at.After(f.confirmed) {
		f.confirmed = at
	}
}

// ConfirmedAt returns the time of the last confirmation, or the zero time if there was none.
func (f *Follower) ConfirmedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// Apply applies increments in order and skips those up to the current version. It returns ErrGap if
// one does not follow directly on the version before it.
func (f *Follower) Apply(list []Increment) (err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, inc := range list {
		if inc.Version <= f.version() {
			continue
		}
		if inc.Version != f.version()+1 {
			return ErrGap
		}
		if err = f.advance(inc, f.document().Apply(inc.Changes)); err != nil {
			return err
		}
	}
	return nil
}

// Load replaces the configuration by a whole document if that is newer.
func (f *Follower) Load(snapshot Increment) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if snapshot.Version <= f.version() {
		return nil
	}
	f.history = nil
	return f.advance(snapshot, config.Document{}.Apply(snapshot.Changes))
}

// advance makes the document the current version after checking its digest and its contents. The
// caller holds the lock.
func (f *Follower) advance(inc Increment, d config.Document) error {
	if got := d.Digest(); got != inc.Digest {
		f.Meter.ConfigurationChanged("digest_mismatch")
		return eris.Errorf("version %d: digest is %s, expected %s", inc.Version, got, inc.Digest)
	}
	v, err := config.NewView(inc.Version, d)
	if err != nil {
		f.Meter.ConfigurationChanged("refused")
		return eris.Wrapf(err, "version %d", inc.Version)
	}
	if f.view != nil {
		f.history = append(f.history, inc)
	}
	if len(f.history) > maxHistory {
		f.history = append([]Increment(nil), f.history[len(f.history)-maxHistory:]...)
	}
	f.view = v
	f.Meter.ConfigurationChanged("in_force")
	f.notify()
	return nil
}

func (f *Follower) document() config.Document {
	if f.view == nil {
		return config.Document{}
	}
	return f.view.Document()
}

func (f *Follower) notify() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// Changed returns a channel that is closed when the current version changes.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// Await waits until the current version is at least the given one.
func (f *Follower) Await(version int64) {
	for {
		changed := f.Changed()
		if f.Version() >= version {
			return
		}
		<-changed
	}
}

// Since returns the increments after the given version, or a snapshot of the whole document if the
// history does not reach back that far.
func (f *Follower) Since(version int64) (list []Increment, snapshot bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view == nil || version >= f.version() {
		return nil, false
	}
	if len(f.history) == 0 || f.history[0].Version > version+1 {
		d := f.view.Document()
		return []Increment{{Version: f.version(), Changes: d.Entries(), Digest: d.Digest()}}, true
	}
	for i, inc := range f.history {
		if inc.Version > version {
			return f.history[i:], false
		}
	}
	return nil, false
}
