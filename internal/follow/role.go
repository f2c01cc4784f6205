package follow

import "time"

// Duty is what a box reads of the store for others.
type ReaderRole uint8

// The duties.
const (
	// DutyRead is that of the one box that reads for all.
	RoleReader ReaderRole = iota
	// DutyStandIn is that of boxes which tell others what they hear: they read as
	// soon as the proof that they pass on is late.
	RoleStandby
	// DutyRely is that of all others.
	RolePassive
)

// String returns the duty's name for logs.
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
	// waitPart is the part of Within that one call may wait for a change. Each
	// answer proves that none was missed until it was asked for, so that the proof is
	// up to twice as old; with the time that gossip takes, and the time until another
	// box reads in place of one that was lost, it stays below the limits here.
	waitFraction = 0.15
	// standInPart and relyPart are the parts of Within at which boxes read themselves
	// since the others' proof is that old; relySpread parts those of one hall, so that
	// few do where the first can tell the others. Their sum leaves some time to read.
	standbyFraction = 0.6
	passiveFraction = 0.7
	passiveJitter   = 0.15
	// relyGap is the least time between the calls that the boxes of a hall make
	// together while nobody can read for them: an outage is to be noticed to be over
	// by those that read for others, and the rest only looks whether it alone is
	// served.
	hallCallInterval = 400 * time.Millisecond
	// relyPause is the least pause of one such box.
	minPassivePause = 2400 * time.Millisecond
)

func (f *Follower) maxDelay() time.Duration {
	if f.MaxDelay <= 0 {
		return defaultMaxDelay
	}
	return f.MaxDelay
}

// part returns a part of Within.
func (f *Follower) fraction(p float64) time.Duration {
	return time.Duration(p * float64(f.maxDelay()))
}

// wait returns how long a call may wait for a change: not at all where the proof is
// old, since others wait for it.
func (f *Follower) callWait() time.Duration {
	if age := f.Age(); age < 0 || age > f.fraction(2*waitFraction) {
		return 0
	}
	return f.fraction(waitFraction)
}

// limit returns how old the others' proof may be before this box reads itself.
func (f *Follower) maxAge(role ReaderRole) time.Duration {
	if role == RoleStandby {
		return f.fraction(standbyFraction)
	}
	return f.fraction(passiveFraction + passiveJitter*f.Jitter)
}

// pause returns the wait after a failed call.
func (f *Follower) retryPause() time.Duration {
	short := min(minRetryPause<<min(f.failures, 10), maxRetryPause)
	if f.role() != RolePassive {
		return short
	}
	long := max(minPassivePause, time.Duration(f.hallBoxes())*hallCallInterval)
	return time.Duration((0.5 + f.Jitter) * float64(long))
}
