package follow

import (
	"time"

	"github.com/barleystep/barleystep"
)

// ReaderRole is a box's role in reading the store for other boxes.
type ReaderRole uint8

// The roles.
const (
	// RoleReader is the role of the one box that reads for all.
	RoleReader ReaderRole = iota
	// RoleStandby is the role of boxes that pass state on to others: they read as soon as the
	// confirmation that they pass on is late.
	RoleStandby
	// RolePassive is the role of all other boxes.
	RolePassive
)

// String returns the role's name in logs and metrics.
func (d ReaderRole) String() string { return [...]string{"read", "stand in", "rely"}[d] }

func (f *Follower) role() ReaderRole {
	if f.Role == nil {
		return RoleReader
	}
	return f.Role()
}

func (f *Follower) hallBoxes() int {
	if f.HallBoxes == nil {
		return 1
	}
	return max(f.HallBoxes(), 1)
}

const (
	// waitFraction is the fraction of MaxDelay that one call may wait for a change. Each answer
	// confirms only that no change was missed before the request, so a confirmation is up to
	// twice as old. With the delay of the gossip, and the time until another box replaces a
	// failed reader, its age stays below the limits here.
	waitFraction = 0.15
	// standbyFraction and passiveFraction are the confirmation ages, as fractions of MaxDelay,
	// at which boxes read the store themselves. passiveJitter spreads the passive boxes of a
	// hall, so that few of them call where the first can inform the others. passiveFraction and
	// passiveJitter together leave time for two calls, of which the first fails.
	standbyFraction = 0.6
	passiveFraction = 0.65
	passiveJitter   = 0.07
	// lateCallFraction bounds a call for changes that is made when the confirmation is already old, as
	// a fraction of MaxDelay.
	lateCallFraction = 0.075
	// currentFraction is the confirmation age, as a fraction of MaxDelay, above which the copy is not
	// acted upon. What is left is for a request that was sent by it to arrive.
	currentFraction = 0.9
	// hallCallInterval is the minimum interval between the calls that the passive boxes of a
	// hall make together while no box can read for them. The readers detect the end of an
	// outage; passive boxes only check whether the store serves them alone.
	hallCallInterval = 400 * time.Millisecond
	// minPassivePause is the minimum pause between the calls of one such box, before jitter.
	minPassivePause = 2400 * time.Millisecond
)

func (f *Follower) maxDelay() time.Duration {
	if f.MaxDelay <= 0 {
		return defaultMaxDelay
	}
	return f.MaxDelay
}

// fraction returns the fraction p of MaxDelay.
func (f *Follower) fraction(p float64) time.Duration {
	return time.Duration(p * float64(f.maxDelay()))
}

// watchOptions returns the options of a call for changes. It waits for some unless the confirmation is
// old, since other boxes wait for a new one, and is given up in time for another call to confirm the
// copy before it is too old. While the store is unavailable, or nothing has been confirmed yet, calls may
// take as long as the client allows.
func (f *Follower) watchOptions() (o barleystep.WatchOptions) {
	f.mu.Lock()
	age, hasFailed, isUnavailable := f.age(), f.unconfirmed > 0, f.isUnavailable()
	f.mu.Unlock()
	if age >= 0 && age <= f.fraction(2*waitFraction) {
		o.Wait = f.fraction(waitFraction)
	}
	if age >= 0 && !isUnavailable {
		o.Timeout = max(f.fraction(standbyFraction)-age-o.Wait, f.fraction(lateCallFraction))
	}
	o.NewConnection = hasFailed || age >= f.fraction(standbyFraction)
	return o
}

// maxAge returns the age of the confirmation at which a box in the role reads the store itself.
func (f *Follower) maxAge(role ReaderRole) time.Duration {
	if role == RoleStandby {
		return f.fraction(standbyFraction)
	}
	return f.fraction(passiveFraction + passiveJitter*f.Jitter)
}

// retryPause returns the further pause after a failed call while the store is unavailable.
func (f *Follower) retryPause() time.Duration {
	short := min(minRetryPause<<min(f.failures, 10), maxRetryPause)
	if f.role() != RolePassive {
		return short
	}
	long := max(minPassivePause, time.Duration(f.hallBoxes())*hallCallInterval)
	return time.Duration((0.5 + f.Jitter) * float64(long))
}
