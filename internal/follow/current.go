package follow

import (
	"context"
	"time"
)

// noteUnconfirmed counts a failed call.
func (f *Follower) noteUnconfirmed(requestedAt time.Time) {
	f.Health.noteFailure(requestedAt)
	f.mu.Lock()
	if f.unconfirmed == 0 {
		f.failedSince = requestedAt
	}
	f.unconfirmed++
	f.mu.Unlock()
	f.checkUnavailable()
}

// checkUnavailable reports whether the store is unavailable to this box, and tells the handler.
func (f *Follower) checkUnavailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unconfirmed > 0 && f.Health.isUnavailableSince(f.confirmedAt) {
		f.unconfirmed = max(f.unconfirmed, unavailableFailures) // One of another topic has failed too.
	}
	isUnavailable := f.isUnavailable()
	if isUnavailable {
		f.Handler.Unavailable(f.failedSince)
	}
	f.signal()
	return isUnavailable
}

// isUnavailable reports whether this box cannot read the store, as far as it knows since the copy was
// last confirmed. Calls of another topic that succeed meanwhile do not confirm this one.
func (f *Follower) isUnavailable() bool { return f.unconfirmed >= unavailableFailures }

// pause waits after a failed call for d, or until another box confirms the copy.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	timer := f.Clock.NewTimer(d)
	defer timer.Stop()
	for {
		f.mu.Lock()
		isConfirmed, changed := f.unconfirmed == 0, f.stateChange()
		f.mu.Unlock()
		if isConfirmed {
			return
		}
		select {
		case <-changed:
		case <-timer.C():
			return
		case <-ctx.Done():
			return
		}
	}
}

// AwaitCurrent implements barleystep.Freshness. It makes no call itself: one is due, or under way, as
// long as it waits.
func (f *Follower) AwaitCurrent(ctx context.Context) error {
	for {
		changed, isCurrent := f.currentState()
		if isCurrent {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// currentState reports whether the copy may be acted upon, and returns a channel that is closed when
// that may have changed.
func (f *Follower) currentState() (changed <-chan struct{}, isCurrent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.age()
	if f.isUnavailable() || (age >= 0 && age < f.fraction(currentFraction)) {
		return nil, true
	}
	f.awaited = true // A box that has just started does not wait for others' copies any more.
	return f.stateChange(), false
}

// stateChange returns a channel that is closed at the next confirmation or failed call.
func (f *Follower) stateChange() <-chan struct{} {
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// signal wakes those who wait for a change of state.
func (f *Follower) signal() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}
