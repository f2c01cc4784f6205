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

func (f *Follower) duty() ReaderRole {
	if f.Role == nil {
		return RoleReader
	}
	return f.Role()
}

func (f *Follower) boxes() int {
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
	waitPart = 0.15
	// standInPart and relyPart are the parts of Within at which boxes read themselves
	// since the others' proof is that old; relySpread parts those of one hall, so that
	// few do where the first can tell the others. Their sum leaves some time to read.
	standInPart = 0.6
	relyPart    = 0.7
	relySpread  = 0.15
	// relyGap is the least time between the calls that the boxes of a hall make
	// together while nobody can read for them: an outage is to be noticed to be over
	// by those that read for others, and the rest only looks whether it alone is
	// served.
	relyGap = 400 * time.Millisecond
	// relyPause is the least pause of one such box.
	relyPause = 2400 * time.Millisecond
)

func (f *Follower) within() time.Duration {
	if f.MaxDelay <= 0 {
		return defaultWithin
	}
	return f.MaxDelay
}

// part returns a part of Within.
func (f *Follower) part(p float64) time.Duration {
	return time.Duration(p * float64(f.within()))
}

// wait returns how long a call may wait for a change: not at all where the proof is
// old, since others wait for it.
func (f *Follower) wait() time.Duration {
	if age := f.Age(); age < 0 || age > f.part(2*waitPart) {
		return 0
	}
	return f.part(waitPart)
}

// limit returns how old the others' proof may be before this box reads itself.
func (f *Follower) limit(d ReaderRole) time.Duration {
	if d == RoleStandby {
		return f.part(standInPart)
	}
	return f.part(relyPart + relySpread*f.Jitter)
}

// pause returns the wait after a failed call.
func (f *Follower) pause() time.Duration {
	short := min(firstPause<<min(f.failures, 10), longestPause)
	if f.duty() != RolePassive {
		return short
	}
	long := max(relyPause, time.Duration(f.boxes())*relyGap)
	return time.Duration((0.5 + f.Jitter) * float64(long))
}
