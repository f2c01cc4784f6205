package suspect

import "time"

// Standing is how a request may run.
type Status uint8

// The standings. What ended a target is not known at first: all that it had are suspects, and
// targets end by themselves too.
const (
	// Free requests run as any other.
	Allowed Status = iota
	// Alone means that the request runs on a target on which nothing else is lost with it,
	// and on one at a time over all boxes.
	Isolated
	// Refused requests are sent to no target.
	Refused
)

const (
	// refusedFrom is how many targets have ended under a request that is refused, one of them
	// while it ran alone: targets that end by themselves, many at the same time, have requests
	// in common that many callers repeat.
	refusedEnds = 3
	// aloneFrom is how many targets have ended, none of which had sent anything for it yet,
	// under a request that runs alone. One that had not begun its answer does so from the
	// first one on.
	isolatedEnds = 2
	// certainFrom is how many targets have ended under a request that ends targets beyond
	// doubt, and certainLone how many of them while it ran alone.
	certainEnds     = 2 * refusedEnds
	certainRanAlone = 3
	// Memory is for how long a request is refused after a target has last ended under it.
	// Then one attempt shows, alone, whether it still does harm.
	RefusalPeriod = time.Minute
	// CertainMemory is the same of one that ends targets beyond doubt. Were it tried each
	// minute, a request that keeps coming would end all targets in their turn.
	CertainRefusalPeriod = time.Hour
	// mostKnown bounds the requests of which something is known: those that four targets have
	// at the same time, with some twenty requests each. Those of which least is known, and the
	// oldest of these, are forgotten first.
	maxRequests = 80
	// clearTold is for how long the others are told that a request was cleared, or an answer
	// to it begun. What is told by
	// way of others looks younger each time, and must not clear what came later.
	successGossipTime = 5 * time.Second
	// mostTold bounds those of which a box tells the others at a time, in some 2 kB; those
	// that changed last go first.
	maxGossiped = 32
	// newFor is for how long what was learnt is told as often as boxes tell each other
	// anything, and tellAllEvery how often all else is.
	recentPeriod       = 5 * time.Second
	fullUpdateInterval = time.Second
)

var statusNames = [...]string{"free", "alone", "refused"}

// String returns the standing's name for logs.
func (s Status) String() string { return statusNames[s] }
