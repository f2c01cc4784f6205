package balance

import "time"

// targetState is what a box knows of one incarnation of a target.
type targetState struct {
	// key identifies the incarnation between boxes. It belongs to recordStart, the start time in
	// the target's current record in Unix milliseconds, zero if it has none. lastStart is the last
	// start time that any record had.
	key         Key
	recordStart int64
	lastStart   int64
	// parts are the box's own tries at the target that have not ended.
	parts []*part
	// unreachableTries counts consecutive tries that could not reach the target at its address.
	unreachableTries int
	// lastEvent is when the target last sent something to this box.
	lastEvent time.Time
	// loggedDown is set while the target is logged as down.
	loggedDown bool
	// backoffUntil is the end of the target's backoff: until then it gets no work while others can
	// take it.
	backoffUntil time.Time
	// errorRate is the moving average of the share of answers that were failures, from 0 to 1.
	errorRate float64
	// statement is the latest known statement of the target, and heardLocally the part that it made
	// to this box.
	statement    TimedStatement
	heardLocally TimedStatement
	// rateLimiter tracks what this box may send within the target's limit.
	rateLimiter rateLimiter
	// afterRest is set from a rest until the target has answered something, and probe is the
	// request that it was sent after its end.
	afterRest bool
	probe     *part
	// absentSince is since when no record names the target; zero while one does.
	absentSince time.Time
	// coldUntil is when the target is warm, and evacuated is set while its hall is evacuated.
	coldUntil time.Time
	evacuated bool
	// speed is what this box has observed of its speed, and reported the load that it last stated.
	speed    speed
	reported reportedLoad
	// droppedUntil is until when a part of a peer that fell silent might still be prefilled: until
	// then the parts that peers report count beyond those that this box has placed.
	droppedUntil time.Time
}
