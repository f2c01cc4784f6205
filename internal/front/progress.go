package front

import (
	"sync"
	"time"

	"github.com/barleystep/barleystep"
)

// Phase is how far a request has come.
type Phase uint8

// The phases, in the order in which a request passes through them. A request that is tried
// again is in an earlier one once more.
const (
	// PhaseReading means that the request is being taken in.
	PhaseReading Phase = iota
	// PhaseWaiting means that it waits for a place at a target.
	PhaseWaiting
	// PhaseReaching means that its target and helpers are being reached.
	PhaseReaching
	// PhaseSent means that it was sent, and that its target has not answered.
	PhaseSent
	// PhaseAnswering means that an answer is being passed on.
	PhaseAnswering
)

var phaseNames = [...]string{"reading", "waiting", "reaching", "sent", "answering"}

// String returns the phase's name for logs.
func (p Phase) String() string { return phaseNames[p] }

// progress tells other goroutines how far a request has come. The zero value is that of a
// request which has just begun.
type progress struct {
	mu     sync.Mutex
	phase  Phase
	since  time.Time
	target barleystep.TargetID
}

// enter notes that a phase begins.
func (p *progress) enter(phase Phase, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.phase, p.since = phase, now
}

// sendTo notes the target to which the request is sent now.
func (p *progress) enterSent(target barleystep.TargetID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.phase, p.since, p.target = PhaseSent, now, target
}

// look returns the phase, since when it lasts, and the target to which the request was
// sent last, empty before the first one.
func (p *progress) snapshot() (phase Phase, since time.Time, target barleystep.TargetID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.phase, p.since, p.target
}
