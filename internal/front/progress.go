package front

import (
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/mutex"
)

// Phase is the stage that a request has reached.
type Phase uint8

// The phases, in the order in which a request passes through them. A retried request returns to an
// earlier phase.
const (
	// PhaseReading means that the request body is being read.
	PhaseReading Phase = iota
	// PhaseWaiting means that the request waits for a placement.
	PhaseWaiting
	// PhaseReaching means that connections to its target and helpers are being set up.
	PhaseReaching
	// PhaseSent means that the request was sent and its target has not answered yet.
	PhaseSent
	// PhaseAnswering means that an answer is being relayed.
	PhaseAnswering
)

var phaseNames = [...]string{"reading", "waiting", "reaching", "sent", "answering"}

// String returns the phase's name for logs.
func (p Phase) String() string { return phaseNames[p] }

// progress publishes the phase of a request to other goroutines. The zero value is that of a new
// request.
type progress struct {
	mu     mutex.Mutex
	phase  Phase
	since  time.Time
	target barleystep.TargetID
}

// enter records that a phase begins.
func (p *progress) enter(phase Phase, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.phase, p.since = phase, now
}

// enterSent records that the request is being sent to the target.
func (p *progress) enterSent(target barleystep.TargetID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.phase, p.since, p.target = PhaseSent, now, target
}

// snapshot returns the phase, when it began, and the target of the last send, empty before the
// first one.
func (p *progress) snapshot() (phase Phase, since time.Time, target barleystep.TargetID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.phase, p.since, p.target
}
