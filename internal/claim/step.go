package claim

import "time"

// Phase is where a claim stands.
type Phase uint8

// The phases of a claim.
const (
	// PhaseInsert waits for the answer of the first write.
	PhaseInsert Phase = iota
	// PhaseRead waits for the row.
	PhaseRead
	// PhaseTakeOver waits for the answer of a write over a row that was not run.
	PhaseTakeOver
	// PhaseExclude waits for the answer of a write that keeps an earlier one,
	// whose answer was lost, from taking effect late.
	PhaseExclude
	// PhaseEnded has a verdict.
	PhaseDecided
)

// Verdict is how a claim was decided.
type Verdict uint8

// The verdicts of a claim.
const (
	// VerdictNone means that the claim is still open.
	VerdictNone Verdict = iota
	// VerdictSend means that this box, and no other, may send the request once.
	VerdictSend
	// VerdictDone means that the answer is stored.
	VerdictDone
	// VerdictRunning means that another holder may still be at work.
	VerdictRunning
	// VerdictFailed means that the request ran and failed earlier.
	VerdictFailed
	// VerdictUnknown means that nobody can tell whether the request ran.
	VerdictUnknown
	// VerdictReused means that the key belongs to another request.
	VerdictKeyReused
	// VerdictRefused means that the store gave no answer in time; nothing was
	// sent and nothing will be.
	VerdictStoreUnavailable
)

// Event is what the table answered to the last action.
type Event uint8

// The events of a claim.
const (
	// EventWritten means that the write took effect.
	EventWritten Event = iota
	// EventConflict means that the write's condition did not hold.
	EventConflict
	// EventUnavailable means that the call had no effect and never will.
	EventUnavailable
	// EventLost means that the write may have or may yet take effect.
	EventUnknownEffect
	// EventRow brings the row.
	EventRow
	// EventDeadline means that the request's time is up.
	EventDeadline
)

// Input is an event with what it brings.
type Input struct {
	Event Event
	// Row is the row of an EventRow.
	Row Row
	// Now is the time at which the event arrived.
	Now time.Time
}

// Action is what has to be done next.
type Action uint8

// The actions of a claim.
const (
	// ActionNone means that the claim has its verdict.
	ActionNone Action = iota
	// ActionInsert writes the held row if there is none.
	ActionInsert
	// ActionRead reads the row.
	ActionRead
	// ActionTakeOver writes the held row over the version in Base.
	ActionTakeOver
	// ActionExclude writes a not-run row over the version in Base, or where
	// there is none if Base is zero.
	ActionExclude
)

// Machine is the state of one claim. It is a value: Step returns the next one.
type Machine struct {
	Phase   Phase
	Verdict Verdict
	// Nonce and Digest are those of the claim.
	Nonce  string
	Digest string
	// Base is the version over which the open write goes, zero for none.
	BaseVersion int64
	// Open is set while a held row of this claim may yet take effect, or has.
	MayBeHeld bool
	// Foreign is set while a row of another claim is known and not yet read.
	OtherClaim bool
	// Row is the row that led to the verdict.
	Row Row
	// Grace is added to a holder's deadline before it counts as gone.
	Grace time.Duration
}

// Start returns a new claim and its first action.
func Start(nonce, digest string, grace time.Duration) (Machine, Action) {
	return Machine{Nonce: nonce, Digest: digest, Grace: grace, MayBeHeld: true}, ActionInsert
}

// Step takes in one event and returns the next state and action. It is pure.
func Step(m Machine, in Input) (Machine, Action) {
	if in.Event == EventDeadline {
		return m.timeOut()
	}
	switch m.Phase {
	case PhaseInsert, PhaseTakeOver:
		return m.afterHeldWrite(in)
	case PhaseExclude:
		return m.afterExclude(in)
	case PhaseRead:
		return m.afterRead(in)
	default:
		return m, ActionNone
	}
}

// giveUp ends a claim that the store left open for too long. Nothing was sent,
// and nothing will be; but where another claim's row is known to exist, that
// one may have run.
func (m Machine) timeOut() (Machine, Action) {
	if m.OtherClaim {
		return m.end(VerdictUnknown)
	}
	return m.end(VerdictStoreUnavailable)
}

func (m Machine) end(v Verdict) (Machine, Action) {
	m.Phase = PhaseDecided
	m.Verdict = v
	return m, ActionNone
}

func (m Machine) read() (Machine, Action) {
	m.Phase = PhaseRead
	return m, ActionRead
}

func (m Machine) exclude() (Machine, Action) {
	m.Phase = PhaseExclude
	return m, ActionExclude
}

func (m Machine) afterHeldWrite(in Input) (Machine, Action) {
	switch in.Event {
	case EventWritten:
		return m.end(VerdictSend)
	case EventConflict:
		m.MayBeHeld = false
		m.OtherClaim = true
		return m.read()
	case EventUnavailable:
		m.MayBeHeld = false
		return m.end(VerdictStoreUnavailable)
	default:
		return m.exclude()
	}
}

// afterExclude: a conflict means that the row has changed since Base, so that
// neither write can take effect any more; what the row holds is then final.
func (m Machine) afterExclude(in Input) (Machine, Action) {
	switch in.Event {
	case EventWritten:
		m.MayBeHeld = false
		return m.read()
	case EventConflict:
		return m.read()
	default:
		return m.exclude()
	}
}

func (m Machine) afterRead(in Input) (Machine, Action) {
	if in.Event != EventRow {
		return m.read()
	}
	r := in.Row
	m.Row = r
	switch {
	case r.Version() == 0:
		return m.absentRow()
	case r.Nonce == m.Nonce && r.State == StateHeld:
		return m.ownRow()
	case m.MayBeHeld && r.Version() <= m.BaseVersion:
		// The read is older than the write that excluded ours.
		return m.exclude()
	}
	m.MayBeHeld = false
	return m.otherRow(r, in.Now)
}

// mine is the row of this claim: its write took effect although the answer was
// lost. Only a claim with an open write can find it.
func (m Machine) ownRow() (Machine, Action) {
	if m.MayBeHeld {
		return m.end(VerdictSend)
	}
	return m.read()
}

// absent is a stale read, or a row that was cleared: the claim starts again.
// While an earlier write is open, it is first excluded.
func (m Machine) absentRow() (Machine, Action) {
	m.BaseVersion = 0
	if m.MayBeHeld {
		return m.exclude()
	}
	m.MayBeHeld = true
	m.Phase = PhaseInsert
	return m, ActionInsert
}

func (m Machine) otherRow(r Row, now time.Time) (Machine, Action) {
	if r.State == StateNotRun {
		m.OtherClaim = false
		m.BaseVersion = r.Version()
		m.MayBeHeld = true
		m.Phase = PhaseTakeOver
		return m, ActionTakeOver
	}
	if r.Digest != m.Digest {
		return m.end(VerdictKeyReused)
	}
	return m.end(verdictOf(r, now, m.Grace))
}

func verdictOf(r Row, now time.Time, grace time.Duration) Verdict {
	switch r.State {
	case StateDone:
		return VerdictDone
	case StateFailed:
		return VerdictFailed
	case StateHeld:
		if !now.After(r.Deadline.Add(grace)) {
			return VerdictRunning
		}
	}
	return VerdictUnknown
}
