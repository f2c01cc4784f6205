package follow

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// Targets is the set of targets that a box goes by. Its exported fields are set
// before use; it is safe for concurrent use.
type Targets struct {
	Clock  barleystep.Clock
	Decode func(r barleystep.Record) (fleet.Target, error)
	Log    *log.Logger
	// Changed is called after each change of the list, in their order; it may be nil. It
	// must not call the set, but for List.
	OnChange func()

	mu      sync.Mutex
	targets map[string]fleet.Target
	// lapsed holds targets whose record went while the store was away, and
	// until when they are still used.
	graceUntil map[string]time.Time
	// refused holds the records that name no target.
	refusals refusals
	// lostAt is when the store was found away, zero if it is there, and backAt when
	// it came back.
	unavailableSince time.Time
	availableSince   time.Time
	loaded           bool
	list             atomic.Pointer[[]fleet.Target]
}

const (
	// lapseGrace is how long a target whose record lapsed while the store was
	// away is kept after the store's return. Targets that live write their
	// record anew within about two seconds; work sent later than that to a
	// target that left would break the promise to it.
	removalGrace = 1800 * time.Millisecond
	// returnWindow is how long after the store's return a vanished record may
	// be a lapse: targets that miss three heartbeats of 1.2 s are dropped.
	recoveryWindow = 4 * time.Second
)

// List returns the targets that may get work, in no order. The slice must not
// be changed.
func (t *Targets) List() []fleet.Target {
	if p := t.list.Load(); p != nil {
		return *p
	}
	return nil
}

// Known reports whether the targets were read at least once.
func (t *Targets) Loaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loaded
}

// Refused returns how many records named no target since the start, by reason; a record
// that is read again counts again.
func (t *Targets) RefusalCounts() []RefusalCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusals.byReason()
}

// Foreign returns how many records name no target now.
func (t *Targets) InvalidRecords() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.refusals.current)
}

// Reset is part of Handler.
func (t *Targets) Reset(records []barleystep.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make(map[string]bool, len(records))
	for _, r := range records {
		seen[r.Key()] = true
		t.put(r)
	}
	for key := range t.refusals.current {
		if !seen[key] {
			t.refusals.drop(key)
		}
	}
	t.Log.Info().Int("targets", len(records)-len(t.refusals.current)).Int("refused", len(t.refusals.current)).
		Msg(logPrefix + "All targets were read.")
	for key := range t.targets {
		if !seen[key] {
			t.remove(key)
		}
	}
	t.loaded = true
	t.publish()
}

// Change is part of Handler.
func (t *Targets) Apply(r barleystep.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Removed() {
		t.remove(r.Key())
	} else {
		t.put(r)
	}
	t.publish()
}

func (t *Targets) put(r barleystep.Record) {
	target, err := t.Decode(r)
	if err != nil {
		t.reject(r.Key(), err)
		return
	}
	silent := t.refusals.drop(r.Key())
	if t.targets == nil {
		t.targets = make(map[string]fleet.Target)
		t.graceUntil = make(map[string]time.Time)
	}
	old, had := t.targets[r.Key()]
	t.targets[r.Key()] = target
	delete(t.graceUntil, r.Key())
	if !t.loaded || silent {
		return // The first reading has one line for all; what had no line needs none now.
	}
	if !had || old.Draining != target.Draining || old.Addr != target.Addr || target.Restarted(old.StartMS) {
		t.Log.Info().Str("target", r.Key()).Str("service", target.Service).Str("addr", target.Addr).
			Bool("draining", target.Draining).Int64("born", target.StartMS).Msg(logPrefix + "A target is announced.")
	}
}

// refuse drops a target whose record another writer has replaced. Work that it has goes
// on; whether it lives, and where, nobody says any longer.
func (t *Targets) reject(key string, err error) {
	_, used := t.targets[key]
	delete(t.targets, key)
	delete(t.graceUntil, key)
	if line := t.refusals.add(key, err, t.Clock.Now(), t.Log); line != nil {
		line.Str("target", key).Bool("was_used", used).Msg(logPrefix + "A record names no target.")
	}
}

// gone drops a target, at once or, if its record may merely have lapsed, after
// a grace.
func (t *Targets) remove(key string) {
	t.refusals.drop(key)
	if _, had := t.targets[key]; !had {
		return
	}
	now := t.Clock.Now()
	recent := !t.unavailableSince.IsZero() || (!t.availableSince.IsZero() && now.Sub(t.availableSince) < recoveryWindow)
	if !recent || t.targets[key].Draining {
		delete(t.targets, key)
		t.Log.Info().Str("target", key).Msg(logPrefix + "A target is gone.")
		return
	}
	if _, noted := t.graceUntil[key]; !noted {
		t.graceUntil[key] = now.Add(removalGrace)
		t.Log.Info().Str("target", key).Dur("grace", removalGrace).
			Msg(logPrefix + "A target's record is missing after an outage of the store. It is kept for the grace.")
	}
}

// Expire drops the targets whose grace is over. It is called now and then.
func (t *Targets) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	changed := false
	for key, until := range t.graceUntil {
		if now.Before(until) {
			continue
		}
		delete(t.graceUntil, key)
		delete(t.targets, key)
		changed = true
		t.Log.Info().Str("target", key).Msg(logPrefix + "A target's record did not come back. The target is gone.")
	}
	if changed {
		t.publish()
	}
}

func (t *Targets) publish() {
	list := make([]fleet.Target, 0, len(t.targets))
	for _, target := range t.targets {
		list = append(list, target)
	}
	t.list.Store(&list)
	if t.OnChange != nil {
		t.OnChange()
	}
}

// Proved is part of Handler. A proof from before the loss, which another box may
// have told, does not mean that the store is back.
func (t *Targets) Confirmed(requestedAt time.Time, _ barleystep.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.unavailableSince.IsZero() && !requestedAt.Before(t.unavailableSince) {
		t.unavailableSince = time.Time{}
		t.availableSince = t.Clock.Now()
	}
}

// Lost is part of Handler.
func (t *Targets) Unavailable(since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unavailableSince = since
}
