package balance

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// Helper is an engine that prefills a part of a prompt.
type Helper struct {
	ID   barleystep.TargetID
	Addr string
	Hall barleystep.HallID
	// KVTokens is the KV cache, in tokens, to be reserved there for the prompt; zero if the
	// decoding engine holds all of it.
	KVTokens int
}

// Placement is the choice for one try. Done or Cancel must be called once.
type Placement struct {
	Target fleet.Target
	// Helpers are engines that prefill parts of the prompt.
	Helpers []Helper

	balancer *Balancer
	// box is the box that asked for the placement, empty if unknown.
	box       barleystep.BoxID
	parts     []*part
	prefilled bool
	// charged is the engine time that the account was charged for the placement at the service.
	charged time.Duration
	service string
	account string
	// kvTokens is the KV cache, in tokens, that the helpers reserve together, and cost the cost model of
	// their engines; both are unset if the first engine holds the prompt.
	kvTokens int
	cost     *fleet.CostModel
	// plan is the lead's plan id while the lead must still be told that the prompt was prefilled;
	// zero if it was placed here.
	plan         uint64
	expectedTTFT time.Duration
	// modelTTFT is the time to the first event that the cost model predicts for a short prompt,
	// whatever the speed of its engine; zero if the request tells nothing of it.
	modelTTFT time.Duration
	// sent is when the placement was made, and lastEvent when its target last sent something.
	sent      time.Time
	lastEvent time.Time
	// lost is closed when a target that the try needs has restarted.
	lost chan struct{}
}

// ListAge returns the age of the list of targets, zero if it is always current.
func (p *Placement) ListAge() time.Duration {
	if p.balancer.Freshness == nil {
		return 0
	}
	return p.balancer.Freshness.Age()
}

// ExpectedTTFT returns the expected time to the first event, zero if unknown.
func (p *Placement) ExpectedTTFT() time.Duration { return p.expectedTTFT }

// Slowness returns the factor by which the target is slower than others, 1 unless it counts as slow.
func (p *Placement) Slowness() float64 {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.slowness(p.Target.ID)
}

// part is the work of a try at one target.
type part struct {
	target    barleystep.TargetID
	placement *Placement
	// state is the incarnation that the part was placed on; hasRestarted is set once that is over.
	state        *targetState
	hasRestarted bool
	work         Work
	// prefill is how long the target prefills its part of a long prompt, zero once that is done;
	// prefillEnd is its expected end. pass is the duration of a pass with a decoding stream there.
	prefill    time.Duration
	prefillEnd time.Time
	pass       time.Duration
	// byLead is set if the lead placed the part and accounts for it.
	byLead bool
}

// NoteFirstEvent notes that the first event arrived, so the prompt has been prefilled.
func (p *Placement) NoteFirstEvent() {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	p.noteEvent()
	p.noteSpeed()
	p.notePrefilled()
}

// NoteEvent notes that the target sent something.
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

// NoteUnreachable notes that a target of the placement has refused a connection.
func (p *Placement) NoteUnreachable(id barleystep.TargetID) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noteReport(id, Report{Unreachable: true})
}

// DropHelpers takes helpers off the placement, so that the others prefill more, and hold more of a prompt
// whose KV cache is spread over them. It reports false and changes nothing if they lack the KV cache for
// that: the prompt has to be placed again.
func (p *Placement) DropHelpers(silent []barleystep.TargetID) bool {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	isSilent := func(id barleystep.TargetID) bool { return slices.Contains(silent, id) }
	remaining := slices.DeleteFunc(slices.Clone(p.Helpers), func(h Helper) bool { return isSilent(h.ID) })
	if !p.spreadKVCache(remaining) {
		return false
	}
	p.Helpers = remaining
	before := len(p.parts)
	p.parts = slices.DeleteFunc(p.parts, func(own *part) bool {
		out := isSilent(own.target)
		if out {
			b.releasePart(own)
		}
		return out
	})
	for _, own := range p.parts {
		more := own.prefill*time.Duration(before)/time.Duration(len(p.parts)) - own.prefill
		own.prefill += more
		own.prefillEnd = own.prefillEnd.Add(more)
	}
	return true
}

// spreadKVCache spreads the KV cache of the prompt evenly over the helpers, in the placement's parts too. It
// reports false and changes nothing if they lack it.
func (p *Placement) spreadKVCache(helpers []Helper) bool {
	if p.kvTokens == 0 {
		return true
	}
	if len(helpers) == 0 {
		return false
	}
	tokens := partKVTokens(p.kvTokens, len(helpers))
	clear(p.balancer.workCache)
	for _, h := range helpers {
		if !hasKVCache(p.balancer.totalWork(h.ID).KVTokens-h.KVTokens, tokens, p.cost) {
			return false
		}
	}
	for i := range helpers {
		helpers[i].KVTokens = tokens
	}
	for _, own := range p.parts {
		if own.work.KVTokens > 0 {
			own.work.KVTokens = tokens
		}
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

// Cancel releases a placement that was not used, without learning about its target. It is called
// instead of Done.
func (p *Placement) Cancel() {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refundShare(p)
	b.release(p)
	b.serveQueues(false)
}

// Done releases the try from its targets and learns from its outcome.
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
