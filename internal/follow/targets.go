package follow

import (
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/mutex"
)

// Targets is the set of targets that this box uses. Its exported fields are set before use; it
// is safe for concurrent use.
type Targets struct {
	Clock  barleystep.Clock
	Decode func(r barleystep.Record) (fleet.Target, error)
	Log    *log.Logger
	// OnChange is called after each change of the list, in order; it may be nil. It must not
	// call methods of the set other than List.
	OnChange func()

	mu      mutex.Mutex
	targets map[string]fleet.Target
	// graceUntil holds the targets whose record disappeared while the store was unavailable,
	// and until when they are still used.
	graceUntil map[string]time.Time
	// invalid holds the records that are not valid targets.
	invalid refusals
	// unavailableSince is when the store was found unavailable, zero while it is available. returnedAt
	// is the time of the request that confirmed its last return.
	unavailableSince time.Time
	returnedAt       time.Time
	// evacuated holds the halls whose targets get no further requests.
	evacuated map[barleystep.HallID]bool
	loaded    bool
	list      atomic.Pointer[[]fleet.Target]
}

// removalGrace is how long after the store's return a target is kept whose record may have expired
// during the outage. Live targets write their record again within about two seconds; work sent later
// than that to a target that left would break the promise to it.
const removalGrace = 1800 * time.Millisecond

// List returns the targets that may get work, in no particular order. The slice must not be
// modified.
func (t *Targets) List() []fleet.Target {
	if p := t.list.Load(); p != nil {
		return *p
	}
	return nil
}

// Loaded reports whether the targets have been read at least once.
func (t *Targets) Loaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loaded
}

// RefusalCounts returns how many invalid records were read since the start, by reason; a record
// that is read again counts again.
func (t *Targets) RefusalCounts() []RefusalCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.invalid.list()
}

// InvalidRecords returns how many records are currently invalid.
func (t *Targets) InvalidRecords() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.invalid.current)
}

// Reset implements Handler.
func (t *Targets) Reset(records []barleystep.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make(map[string]bool, len(records))
	for _, r := range records {
		seen[r.Key()] = true
		t.put(r)
	}
	for key := range t.invalid.current {
		if !seen[key] {
			t.invalid.drop(key)
		}
	}
	t.Log.Info().Int("targets", len(records)-len(t.invalid.current)).Int("refused", len(t.invalid.current)).
		Msg(logPrefix + "Read all targets.")
	for key := range t.targets {
		if !seen[key] {
			t.remove(key)
		}
	}
	t.loaded = true
	t.publish()
}

// Apply implements Handler.
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
	silent := t.invalid.drop(r.Key())
	if t.targets == nil {
		t.targets = make(map[string]fleet.Target)
		t.graceUntil = make(map[string]time.Time)
	}
	if target.ColdFor > 0 {
		// The record may be older than this box knows, which only makes the time too long.
		target.ColdUntil = t.Clock.Now().Add(target.ColdFor)
	}
	old, had := t.targets[r.Key()]
	t.targets[r.Key()] = target
	delete(t.graceUntil, r.Key())
	if !t.loaded || silent {
		return // The first read logs one line for all targets. A refusal without a line needs none for its end.
	}
	if !had || isNotable(old, target) {
		t.Log.Info().Str("target", r.Key()).Str("service", target.Service).Str("addr", target.Addr).
			Bool("draining", target.Draining).Dur("cold", target.ColdFor).Int64("born", target.StartMS).Msg(logPrefix + "A target is announced.")
	}
}

// isNotable reports whether a change of a target's record gets a log line.
func isNotable(old, target fleet.Target) bool {
	turned := (old.ColdFor > 0) != (target.ColdFor > 0)
	return turned || old.Draining != target.Draining || old.Addr != target.Addr || target.Restarted(old.StartMS)
}

// reject removes a target whose record was overwritten with an invalid value. Work that it
// already has continues; no valid record states any longer whether and where it runs.
func (t *Targets) reject(key string, err error) {
	_, used := t.targets[key]
	delete(t.targets, key)
	delete(t.graceUntil, key)
	if line := t.invalid.add(key, err, t.Clock.Now(), t.Log); line != nil {
		line.Str("target", key).Bool("was_used", used).Msg(logPrefix + "A record is not a valid target.")
	}
}

// remove removes a target, at once or, if its record may have expired during a store outage, when the
// grace period is over.
func (t *Targets) remove(key string) {
	t.invalid.drop(key)
	if _, had := t.targets[key]; !had {
		return
	}
	now := t.Clock.Now()
	until := t.graceEnd(now)
	if !now.Before(until) || t.targets[key].Draining {
		delete(t.targets, key)
		delete(t.graceUntil, key)
		t.Log.Info().Str("target", key).Msg(logPrefix + "A target was removed.")
		return
	}
	if _, noted := t.graceUntil[key]; !noted {
		t.graceUntil[key] = until
		t.Log.Info().Str("target", key).Dur("grace", until.Sub(now)).
			Msg(logPrefix + "A target's record is missing after a store outage; the target is kept for the grace period.")
	}
}

// graceEnd returns until when a target is kept whose record is found missing now. While the store's
// return has not been confirmed, it cannot have been earlier than now.
func (t *Targets) graceEnd(now time.Time) time.Time {
	if !t.unavailableSince.IsZero() {
		return now.Add(removalGrace)
	}
	return t.returnedAt.Add(removalGrace)
}

// Expire removes the targets whose grace period is over. It is called periodically.
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
		t.Log.Info().Str("target", key).Msg(logPrefix + "A target's record did not return within the grace period; the target was removed.")
	}
	if changed {
		t.publish()
	}
}

// SetEvacuated sets the halls whose targets get no further requests. The map must not be modified
// afterwards.
func (t *Targets) SetEvacuated(halls map[barleystep.HallID]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuated = halls
	t.publish()
}

func (t *Targets) publish() {
	list := make([]fleet.Target, 0, len(t.targets))
	for _, target := range t.targets {
		target.Evacuated = t.evacuated[target.Hall]
		list = append(list, target)
	}
	t.list.Store(&list)
	if t.OnChange != nil {
		t.OnChange()
	}
}

// Confirmed implements Handler. A confirmation from before the outage, which another box may
// have sent, does not mean that the store is available again.
func (t *Targets) Confirmed(requestedAt time.Time, _ barleystep.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unavailableSince.IsZero() || requestedAt.Before(t.unavailableSince) {
		return
	}
	t.unavailableSince, t.returnedAt = time.Time{}, requestedAt
	latest := requestedAt.Add(removalGrace)
	for key, until := range t.graceUntil {
		if latest.Before(until) {
			t.graceUntil[key] = latest
		}
	}
}

// Unavailable implements Handler.
func (t *Targets) Unavailable(since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unavailableSince = since
}
