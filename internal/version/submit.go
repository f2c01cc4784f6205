package version

import (
	"fmt"

	"github.com/barleystep/barleystep"
)

// The step function of a submission does no input or output, so that a test can drive it through any
// order of events. It matches the model in docs/spec/versions.pml.

// phase is the state of a submission's protocol.
type phase uint8

const (
	phaseRead    phase = iota // phaseRead waits for a read of the head row.
	phaseAccept               // phaseAccept waits for the result of the write of the new version.
	phaseExclude              // phaseExclude waits for a write that makes a lost one fail.
	phaseResolve              // phaseResolve waits for a read that shows the write's effect.
	phaseEnded
)

// outcome is the result of a submission.
type outcome uint8

const (
	outcomeNone        outcome = iota
	outcomeAccepted            // outcomeAccepted means that the version is in the table.
	outcomeConflict            // outcomeConflict means that another version was accepted first.
	outcomeNotAccepted         // outcomeNotAccepted means that nothing was written and nothing will be.
	outcomeUnknown             // outcomeUnknown means that the store did not answer in time.
)

// action is the next operation on the table.
type action uint8

const (
	actionNone    action = iota
	actionRead           // actionRead reads the head row.
	actionAccept         // actionAccept writes head and version if the head row has rowVersion.
	actionExclude        // actionExclude rewrites the old head if the head row has rowVersion.
	actionResolve        // actionResolve reads the head row and the row of the submitted version.
)

// observation is the result of an operation on the table.
type observation struct {
	fault barleystep.Fault
	// head and row are the contents of a read; rowVersion is the version of the head row.
	head       head
	rowVersion int64
	row        Increment
}

// submission is the state of one submission.
type submission struct {
	phase      phase
	outcome    outcome
	id         string
	base       int64 // base is the version that the submission changes.
	rowVersion int64 // rowVersion is the head row's version when it was read.
	oldHead    head  // oldHead is the content of the head row when it was read.
	winner     int64 // winner is the version that won a conflict.
}

func newSubmission(id string, base int64) (submission, action) {
	return submission{id: id, base: base}, actionRead
}

// step processes the result of an action and returns the next state and action.
func (s submission) step(o observation) (submission, action) {
	switch s.phase {
	case phaseRead:
		return s.afterRead(o)
	case phaseAccept:
		return s.afterAccept(o)
	case phaseExclude:
		return s.afterExclude(o)
	case phaseResolve:
		return s.afterResolve(o)
	default:
		return s, actionNone
	}
}

func (s submission) end(v outcome) (submission, action) {
	s.phase = phaseEnded
	s.outcome = v
	return s, actionNone
}

func (s submission) afterRead(o observation) (submission, action) {
	switch {
	case o.fault != barleystep.FaultNone:
		return s.end(outcomeNotAccepted)
	case o.head.Version > s.base && o.row.ID == s.id:
		return s.end(outcomeAccepted)
	case o.head.Version > s.base:
		s.winner = o.head.Version
		return s.end(outcomeConflict)
	case o.head.Version < s.base:
		// The read is stale, or the base does not exist.
		return s, actionRead
	}
	s.rowVersion = o.rowVersion
	s.oldHead = o.head
	s.phase = phaseAccept
	return s, actionAccept
}

func (s submission) afterAccept(o observation) (submission, action) {
	switch o.fault {
	case barleystep.FaultNone:
		return s.end(outcomeAccepted)
	case barleystep.FaultConflict:
		return s.resolve()
	case barleystep.FaultUnavailable:
		return s.end(outcomeNotAccepted)
	default:
		return s.exclude()
	}
}

func (s submission) exclude() (submission, action) {
	s.phase = phaseExclude
	return s, actionExclude
}

func (s submission) resolve() (submission, action) {
	s.phase = phaseResolve
	return s, actionResolve
}

// afterExclude handles the result of actionExclude. Once the head row is rewritten, or was found
// changed, a lost write can no longer take effect late; in the latter case the rows show whether it
// took effect.
func (s submission) afterExclude(o observation) (submission, action) {
	switch o.fault {
	case barleystep.FaultNone:
		return s.end(outcomeNotAccepted)
	case barleystep.FaultConflict:
		return s.resolve()
	default:
		return s.exclude()
	}
}

// afterResolve handles the result of actionResolve. It uses only a read that is newer than the head
// row on which the submission was based.
func (s submission) afterResolve(o observation) (submission, action) {
	switch {
	case o.fault != barleystep.FaultNone || o.rowVersion <= s.rowVersion:
		return s, actionResolve
	case o.head.Version <= s.base:
		return s.end(outcomeNotAccepted)
	case o.row.Version != s.base+1:
		// The head has advanced but the row of the submitted version is missing: the read is stale.
		return s, actionResolve
	case o.row.ID == s.id:
		return s.end(outcomeAccepted)
	}
	s.winner = o.head.Version
	return s.end(outcomeConflict)
}

// timeOut ends a submission that the store did not answer in time. Before the first write it is not
// accepted; after that, its outcome is unknown.
func (s submission) timeOut() submission {
	v := outcomeUnknown
	if s.phase == phaseRead {
		v = outcomeNotAccepted
	}
	s, _ = s.end(v)
	return s
}

// String describes the submission for logs.
func (s submission) String() string { return fmt.Sprintf("id=%s base=%d", s.id, s.base) }
