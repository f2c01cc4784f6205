package balance

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// Lead is the one box that places the prompts of all, the requests to services with targets
// that have named a limit, and suspects. Long ones take many engines at
// once; short ones are late where two of them are read in one pass. Boxes that decide
// at the same moment, each without knowing of the other, would take the same engines.
type Lead interface {
	// Place returns the plan for a prompt, once its engines are ready for it. It
	// returns ErrFull if the prompt should come back later, ErrInVain if its caller would
	// be gone, and any other error if it is to be placed here.
	Place(ctx context.Context, j Job) (Plan, error)
	// Read tells the lead that its plan's long prompt was read, or never will be, so
	// that the engines are ready for the next one. It does not wait.
	PrefillDone(plan uint64)
}

// ErrHere is returned by a lead that is this box.
var ErrIsLead = eris.New("balance: this box decides itself")

// Plan names the engines of a long prompt.
type Plan struct {
	// Number is the lead's number of the plan.
	ID           uint64
	Target       barleystep.TargetID
	Helpers      []PlannedHelper
	ExpectedTTFT time.Duration
}

// PlannedHelper is an engine that is to read a part of the prompt, with the
// memory, in tokens, to be set aside there.
type PlannedHelper struct {
	Target   barleystep.TargetID
	KVTokens int
}

// grant is a placement that was made for another box.
type peerPlacement struct {
	placement *Placement
	// counted is until when its requests and memory count here, and until when its
	// reading counts if its box says nothing.
	countedUntil time.Time
	prefillUntil time.Time
}

const (
	// grantLife is how long the requests and the memory of a placement for another
	// box count here: until that box has told of them, which takes some ticks of the
	// gossip.
	peerPlacementLife = 200 * time.Millisecond
	// lightGrantLife is the same for short prompts, of which a few a second go to an
	// engine: what counts twice for longer holds up long ones.
	shortPeerPlacementLife = 100 * time.Millisecond
	// readLate is how long after its time a prompt counts as unread of which its box
	// has said nothing: the box may be gone.
	prefillGrace = 2 * time.Second
	// leadMemory is for how long a box counts as the lead that has placed a long prompt
	// as such: they come a few a second, and none of them leaves nothing to know.
	leadRecency = time.Second
)

// askLead has a prompt placed by the lead. It returns nothing if there is no
// lead, or none that answers: the prompt is then placed here.
func (b *Balancer) requestPlan(ctx context.Context, j Job) (p *Placement, err error) {
	if b.Lead == nil || (j.Cost == nil && !j.isSuspect() && !b.hasLimitedTarget(j.Service)) {
		return nil, nil
	}
	asked := j
	asked.Avoid = slices.Concat(j.Avoid, b.declinedTargets()) // The lead may not have heard of them.
	plan, err := b.Lead.Place(ctx, asked)
	if eris.Is(err, ErrIsLead) {
		b.mu.Lock()
		b.leadUntil = b.Clock.Now().Add(leadRecency)
		b.mu.Unlock()
	}
	switch {
	case err == nil:
		if p = b.Adopt(j, plan); p == nil && IsLongPrompt(j) {
			b.Lead.PrefillDone(plan.ID) // Nobody will read it there.
		}
		return p, nil
	case eris.Is(err, ErrFull), eris.Is(err, ErrCannotMeetDeadline), eris.Is(err, ErrSuspectRefused):
		return nil, err
	case ctx.Err() != nil: // Nobody would carry out what is placed here.
		return nil, context.Cause(ctx)
	default:
		return nil, nil // The client has logged why; the prompt is placed here.
	}
}

// Adopt enters a plan in the books, or returns nothing if this box believes that
// one of its targets takes no work.
func (b *Balancer) Adopt(j Job, plan Plan) *Placement {
	b.mu.Lock()
	defer b.mu.Unlock()
	byID := make(map[barleystep.TargetID]fleet.Target)
	for _, t := range b.candidates(j) {
		byID[t.ID] = t
	}
	first, ok := byID[plan.Target]
	if !ok {
		return nil
	}
	if !IsLongPrompt(j) {
		p := plainPlacement(first)
		if j.Cost != nil {
			p = shortPlacement(j, first, plan.ExpectedTTFT)
		}
		b.record(p)
		p.probe()
		return p
	}
	var helpers []fleet.Target
	memory := 0
	for _, h := range plan.Helpers {
		t, ok := byID[h.Target]
		if !ok && h.KVTokens > 0 {
			return nil
		}
		if !ok {
			continue // The others read more.
		}
		helpers = append(helpers, t)
		memory = h.KVTokens
	}
	p := b.longPlacement(j, first, helpers, memory, plan.ExpectedTTFT)
	p.plan = plan.ID
	for _, part := range p.parts {
		part.byLead = true
	}
	b.record(p)
	p.probe()
	return p
}

// Grant places a request for another box. It waits until the given time and
// then returns ErrWaiting. Where ctx has ended, it places nothing: the box asks no longer,
// and nobody would carry it out.
func (b *Balancer) PlaceForPeer(ctx context.Context, j Job, until time.Time) (plan Plan, err error) {
	j.ForPeer = true
	p, w, err := b.TryPlace(ctx, j)
	if w != nil {
		p, err = b.awaitUntil(ctx, w, until)
		if err != nil && b.Clock.Now().Before(w.Deadline()) {
			err = ErrStillWaiting
		}
	}
	switch {
	case err != nil:
		return Plan{}, err
	case ctx.Err() != nil:
		p.Cancel()
		return Plan{}, context.Cause(ctx)
	}
	return b.HandOver(p), nil
}

// HandOver makes a placement of this box one that another box carries out. It stays
// in the books here until that box tells of it.
func (b *Balancer) HandOver(p *Placement) Plan {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.peerPlacements == nil {
		b.peerPlacements = make(map[uint64]*peerPlacement)
		b.lastPlanID = uint64(b.randIntN(math.MaxInt)) // Leads that follow each other count apart.
	}
	now := b.Clock.Now()
	b.leadUntil = now.Add(leadRecency)
	b.lastPlanID++
	g := &peerPlacement{placement: p, countedUntil: now.Add(peerPlacementLife), prefillUntil: now.Add(p.expectedTTFT + prefillGrace)}
	if p.isShort() {
		g.countedUntil = now.Add(shortPeerPlacementLife)
	}
	b.peerPlacements[b.lastPlanID] = g
	plan := Plan{ID: b.lastPlanID, Target: p.Target.ID, ExpectedTTFT: p.expectedTTFT}
	for _, h := range p.Helpers {
		plan.Helpers = append(plan.Helpers, PlannedHelper{Target: h.ID, KVTokens: h.KVTokens})
	}
	return plan
}

// EndRead notes that the prompt of a grant was read.
func (b *Balancer) PrefillDone(number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g, ok := b.peerPlacements[number]
	if !ok {
		return
	}
	g.placement.notePrefilled()
	b.expirePeerPlacements()
	clear(b.workCache)
	b.serveQueue(&b.longQueue, len(b.longQueue))
}

// endGrants strikes the grants that count no longer.
func (b *Balancer) expirePeerPlacements() {
	now := b.Clock.Now()
	for number, g := range b.peerPlacements {
		counts := now.Before(g.countedUntil)
		if !counts {
			g.placement.keepPrefillOnly()
		}
		if !counts && (g.placement.prefilled || g.placement.isShort() || !now.Before(g.prefillUntil)) {
			b.release(g.placement)
			delete(b.peerPlacements, number)
		}
	}
}

// uncount leaves only the reading of a placement in the books.
func (p *Placement) keepPrefillOnly() {
	for _, part := range p.parts {
		part.work = Work{}
	}
}

// tellLead tells the lead that the prompt was read, once.
func (p *Placement) notifyLead() {
	if p.plan == 0 {
		return
	}
	p.balancer.Lead.PrefillDone(p.plan)
	p.plan = 0
}
