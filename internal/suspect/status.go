package suspect

import "time"

// Status is how a request may run.
type Status uint8

// The statuses. At first it is not known which request has ended a target: all that the target had
// are suspects, and targets also end for other reasons.
const (
	// Allowed requests run as any other.
	Allowed Status = iota
	// Isolated requests run on a target where nothing else is lost with them, one at a time over
	// all boxes.
	Isolated
	// Refused requests are sent to no target.
	Refused
)

const (
	// refusedEnds is how many targets must have ended under a request for it to be refused, one of
	// them while it ran alone. Many targets may end at the same time for other reasons while they
	// share a request that many callers repeat.
	refusedEnds = 3
	// isolatedEnds is how many targets must have ended under a request for it to run alone if they
	// had begun to answer it. A request whose answer had not begun runs alone from the first end
	// on.
	isolatedEnds = 2
	// certainEnds is how many targets must have ended under a request for it to be certain that it
	// ends targets, and certainRanAlone how many of these while it ran alone.
	certainEnds     = 2 * refusedEnds
	certainRanAlone = 3
	// RefusalPeriod is how long a request is refused after the latest end of a target under it.
	// Then one attempt, alone, shows whether it still does harm.
	RefusalPeriod = time.Minute
	// CertainRefusalPeriod is the same for a request that certainly ends targets. Tried once a
	// minute, a request that keeps coming would end all targets in turn.
	CertainRefusalPeriod = time.Hour
	// maxSubjects bounds the requests and parts with evidence: those that four targets have at the
	// same time, with some twenty requests each. Those with the fewest ends are dropped first, among
	// these those of the account that has the most, and then the oldest.
	maxSubjects = 80
	// successGossipTime is how long a success, or the start of an answer, is gossiped. What is
	// relayed by peers looks more recent each time, and must not clear later ends.
	successGossipTime = 5 * time.Second
	// maxGossiped bounds the requests in one gossip message, in some 2 kB; those updated last go
	// first.
	maxGossiped = 32
	// recentPeriod is how long new evidence is part of every gossip message, and fullUpdateInterval
	// how often all other evidence is.
	recentPeriod       = 5 * time.Second
	fullUpdateInterval = time.Second
)

var statusNames = [...]string{"free", "alone", "refused"}

// String returns the status's name for logs.
func (s Status) String() string { return statusNames[s] }
