package claim

import "time"

// Phase is the state of the protocol of a claim.
type Phase uint8

// The phases of a claim.
const (
	// PhaseInsert waits for the answer of the first write.
	PhaseInsert Phase = iota
	// PhaseRead waits for the row.
	PhaseRead
	// PhaseTakeOver waits for the answer of a write over a row that was not run.
	PhaseTakeOver
	// PhaseExclude waits for the answer of a write that prevents an earlier
	// write, whose answer was lost, from taking effect late.
	PhaseExclude
	// PhaseDecided means that the claim has a verdict.
	PhaseDecided
)

// Verdict is the result of a claim.
type Verdict uint8

// The verdicts of a claim.
const (
	// VerdictNone means that the claim is not decided yet.
	VerdictNone Verdict = iota
	// VerdictSend means that this box, and no other, may send the request once.
	VerdictSend
	// VerdictDone means that the answer is stored.
	VerdictDone
	// VerdictRunning means that another holder may still execute the request.
	VerdictRunning
	// VerdictFailed means that the request ran and failed earlier.
	VerdictFailed
	// VerdictUnknown means that it can't be determined whether the request ran.
	VerdictUnknown
	// VerdictKeyReused means that the key belongs to another request.
	VerdictKeyReused
	// VerdictStoreUnavailable means that the store was unavailable or gave no
	// answer in time; nothing was sent and nothing will be.
	VerdictStoreUnavailable
)

// Event is the outcome of the last action.
type Event uint8

// The events of a claim.
const (
	// EventWritten means that the write took effect.
	EventWritten Event = iota
	// EventConflict means that the write's condition did not hold.
	EventConflict
	// EventUnavailable means that the call has no effect, now or later.
	EventUnavailable
	// EventUnknownEffect means that the write may have taken effect or may still
	// do so.
	EventUnknownEffect
	// EventRow means that the row was read.
	EventRow
	// EventDeadline means that the time for the claim has expired.
	EventDeadline
)

// Input is an event with its data.
type Input struct {
	Event Event
	// Row is the row of an EventRow.
	Row Row
	// Now is the time at which the row of an EventRow was read.
	Now time.Time
}

// Action is the next action of a claim.
type Action uint8

// The actions of a claim.
const (
	// ActionNone means that the claim has its verdict.
	ActionNone Action = iota
	// ActionInsert writes the held row if there is none.
	ActionInsert
	// ActionRead reads the row.
	ActionRead
	// ActionTakeOver writes the held row over the version in BaseVersion.
	ActionTakeOver
	// ActionExclude writes a not-run row over the version in BaseVersion, or
	// inserts it if BaseVersion is zero.
	ActionExclude
)

// Machine is the state of one claim. It is a value: Step returns the next one.
type Machine struct {
	Phase   Phase
	Verdict Verdict
	// Nonce and Digest are those of the claim.
	Nonce  string
	Digest string
	// BaseVersion is the version of the row that the pending write replaces; zero
	// means that there must be no row.
	BaseVersion int64
	// MayBeHeld is set while a held row of this claim has taken effect or may
	// still do so.
	MayBeHeld bool
	// OtherClaim is set while a row of another claim is known to exist and has not
	// been read as not run.
	OtherClaim bool
	// Row is the row that led to the verdict.
	Row Row
	// Grace is added to a holder's deadline before the holder is taken to have
	// ended.
	Grace time.Duration
}

// Start returns a new claim and its first action.
func Start(nonce, digest string, grace time.Duration) (Machine, Action) {
	return Machine{Nonce: nonce, Digest: digest, Grace: grace, MayBeHeld: true}, ActionInsert
}

// Step processes one event and returns the next state and action. It is pure.
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

// timeOut ends a claim for which the store did not answer in time. The claim
// never sends its request. If another claim's row is known to exist, though, that
// claim may have sent it, so the verdict is VerdictUnknown.
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

// afterExclude handles the answer of an excluding write. A conflict means that
// the row has changed since BaseVersion, so that neither write can take effect any
// more, and the next current read settles whether the held row did.
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
		// The read is stale: it is older than the write that excluded this claim's.
		return m.exclude()
	}
	m.MayBeHeld = false
	return m.otherRow(r, in.Now)
}

// ownRow handles a held row of this claim: its write took effect although the
// answer was lost. If MayBeHeld is not set, the read is stale and is repeated.
func (m Machine) ownRow() (Machine, Action) {
	if m.MayBeHeld {
		return m.end(VerdictSend)
	}
	return m.read()
}

// absentRow handles a stale read or a deleted row: the claim starts again. If an
// earlier write may still take effect, it is excluded first.
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
