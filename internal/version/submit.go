package version

import (
	"fmt"

	"github.com/barleystep/barleystep"
)

// Step function of a submission, free of input and output, so that a test can
// drive it through every order of events. It mirrors docs/spec/versions.pml.

// phase is where a submission stands.
type phase uint8

const (
	phaseRead    phase = iota // phaseRead waits for the head.
	phaseAccept               // phaseAccept waits for the answer of the write.
	phaseExclude              // phaseExclude waits for a write that keeps a lost one from taking effect late.
	phaseResolve              // phaseSettle waits for the rows that tell what became of a lost write.
	phaseEnded
)

// verdict is what became of a submission.
type outcome uint8

const (
	outcomeNone        outcome = iota
	outcomeAccepted            // verdictAccepted means that the version is in the table.
	outcomeConflict            // verdictConflict means that another version won.
	outcomeNotAccepted         // verdictRefused means that nothing was and nothing will be written.
	outcomeUnknown             // verdictUnknown means that the store gave no answer in time.
)

// action is what has to be done next.
type action uint8

const (
	actionNone    action = iota
	actionRead           // actionRead reads the head.
	actionAccept         // actionAccept writes head and version over the head row's version in rowVersion.
	actionExclude        // actionExclude writes the head's old content over rowVersion.
	actionResolve        // actionSettle reads the head and the row of the version that was offered.
)

// observation is an answer of the table.
type observation struct {
	fault barleystep.Fault
	// head and row are what a read found; rowVersion is the head row's version.
	head       head
	rowVersion int64
	row        Increment
}

// submission is the state of one submission.
type submission struct {
	phase      phase
	outcome    outcome
	id         string
	base       int64 // base is the version that the submission was made against.
	rowVersion int64 // rowVersion is the head row's version when it was read.
	oldHead    head  // old is the content of the head row when it was read.
	winner     int64 // winner is the version that won a conflict.
}

func newSubmission(id string, base int64) (submission, action) {
	return submission{id: id, base: base}, actionRead
}

// step takes in one answer and returns the next state and action.
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
		// A stale read, or a base that does not exist.
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

// afterExclude: once the exclusion is written, or the head has changed under
// it, the lost write can no longer take effect; the rows tell whether it did.
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

// afterSettle believes only a read that is newer than the head row on which
// the submission was based.
func (s submission) afterResolve(o observation) (submission, action) {
	switch {
	case o.fault != barleystep.FaultNone || o.rowVersion <= s.rowVersion:
		return s, actionResolve
	case o.head.Version <= s.base:
		return s.end(outcomeNotAccepted)
	case o.row.Version != s.base+1:
		// The head is newer than the row of the version before it: a stale read.
		return s, actionResolve
	case o.row.ID == s.id:
		return s.end(outcomeAccepted)
	}
	s.winner = o.head.Version
	return s.end(outcomeConflict)
}

// giveUp ends a submission that the store left open for too long. Before
// anything was written it is refused; after, nobody can tell.
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
