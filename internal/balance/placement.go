package balance

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// Helper is an engine that reads a part of a prompt.
type Helper struct {
	ID   barleystep.TargetID
	Addr string
	Hall barleystep.HallID
	// Memory is the memory, in tokens, to be set aside there for the prompt; zero
	// if the engine that writes holds all of it.
	KVTokens int
}

// Placement is the choice for one try. Done or Return must be called once.
type Placement struct {
	Target fleet.Target
	// Helpers are engines that read parts of the prompt.
	Helpers []Helper

	balancer  *Balancer
	parts     []*part
	prefilled bool
	// plan is the lead's number of the placement while the lead is to be told that the
	// prompt was read; zero if it was placed here.
	plan         uint64
	expectedTTFT time.Duration
	// sent is when the placement was made, and heard when its target last sent something
	// of it.
	sent      time.Time
	lastEvent time.Time
	// lost is closed when a target that the try needs has started anew.
	lost chan struct{}
}

// Expected returns after how long the first event is expected, zero if nothing
// is known of it.
func (p *Placement) ExpectedTTFT() time.Duration { return p.expectedTTFT }

// part is what a try costs one target.
type part struct {
	target    barleystep.TargetID
	placement *Placement
	// at is the lifetime of the target that the part was placed on; over is set once that
	// has ended.
	state        *targetState
	hasRestarted bool
	work         Work
	// share is how long the target reads its part of a long prompt, zero once that is
	// done, and until is when it is expected to be done. A pass with a writer takes so
	// long there.
	prefill    time.Duration
	prefillEnd time.Time
	pass       time.Duration
	// led is set where the lead has placed it, which keeps its own books.
	byLead bool
}

// First tells that the first event came: the prompt has been read.
func (p *Placement) NoteFirstEvent() {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	p.noteEvent()
	p.notePrefilled()
}

// Heard tells that the target sent something.
func (p *Placement) NoteEvent() {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	p.noteEvent()
}

func (p *Placement) noteEvent() {
	p.lastEvent = p.balancer.Clock.Now()
	p.parts[0].state.lastEvent, p.parts[0].state.afterRest = p.lastEvent, false
}

// Gone tells that a target of the placement has refused a connection.
func (p *Placement) NoteUnreachable(id barleystep.TargetID) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noteReport(id, Report{Unreachable: true})
}

// LeaveOut takes helpers off the placement, so that the others read more. It reports false,
// and leaves the placement as it is, if the prompt's memory is spread over its helpers: it
// has to be placed anew.
func (p *Placement) DropHelpers(silent []barleystep.TargetID) bool {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.Helpers[0].KVTokens > 0 {
		return false
	}
	before := len(p.parts)
	p.parts = slices.DeleteFunc(p.parts, func(own *part) bool {
		out := slices.Contains(silent, own.target)
		if out {
			b.releasePart(own)
		}
		return out
	})
	p.Helpers = slices.DeleteFunc(p.Helpers, func(h Helper) bool { return slices.Contains(silent, h.ID) })
	for _, own := range p.parts {
		more := own.prefill*time.Duration(before)/time.Duration(len(p.parts)) - own.prefill
		own.prefill += more
		own.prefillEnd = own.prefillEnd.Add(more)
	}
	return true
}

func (p *Placement) notePrefilled() {
	if p.prefilled {
		return
	}
	p.prefilled = true
	for _, part := range p.parts {
		part.work.Backlog, part.work.PendingPrefills = 0, 0
		part.prefill = 0
	}
	p.notifyLead()
}

// Return gives a placement back that was not used: it says nothing of its target. It is
// called in place of Done.
func (p *Placement) Cancel() {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(p)
	b.serveQueues(false)
}

// Done takes the try off its targets and learns from it.
func (p *Placement) Done(r Report) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(p)
	if !p.hasRestarted(p.Target.ID) {
		b.noteReport(p.Target.ID, r)
	}
	if r.UnreachableHelper != "" && !p.hasRestarted(r.UnreachableHelper) {
		b.noteReport(r.UnreachableHelper, Report{Unreachable: true})
		b.backOffHelper(r.UnreachableHelper)
	}
	b.serveQueues(false)
}
