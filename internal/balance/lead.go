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

// Lead is the one box that places prompts, requests to services with rate-limited targets, and
// suspects for all boxes. Long prompts take many engines at once, and short ones are late where two
// of them are prefilled in one pass: boxes that decide at the same moment, unaware of each other,
// would choose the same engines.
type Lead interface {
	// Place returns the plan for a job once its engines are ready for it. It returns ErrFull if the
	// caller should retry later, ErrCannotMeetDeadline if it would be gone, and any other error if
	// the job is to be placed here.
	Place(ctx context.Context, j Job) (Plan, error)
	// PrefillDone tells the lead that the long prompt of its plan was prefilled, or never will be,
	// so that the engines are ready for the next one. It does not block.
	PrefillDone(plan uint64)
}

// ErrIsLead is returned by a Lead when this box is the lead.
var ErrIsLead = eris.New("balance: this box is the lead")

// Plan names the engines of a prompt.
type Plan struct {
	// ID is the lead's number of the plan.
	ID           uint64
	Target       barleystep.TargetID
	Helpers      []PlannedHelper
	ExpectedTTFT time.Duration
}

// PlannedHelper is an engine that prefills a part of the prompt, with the KV cache, in tokens, to
// be reserved there.
type PlannedHelper struct {
	Target   barleystep.TargetID
	KVTokens int
}

// peerPlacement is a placement that was made for another box.
type peerPlacement struct {
	placement *Placement
	// countedUntil is until when its requests and KV cache count here, and prefillUntil until when
	// its prefill does if its box reports nothing.
	countedUntil time.Time
	prefillUntil time.Time
}

const (
	// peerPlacementLife is how long the requests and the KV cache of a placement for another box
	// count here: until that box's own report arrives, which takes some gossip rounds.
	peerPlacementLife = 200 * time.Millisecond
	// shortPeerPlacementLife is the same for short prompts, of which a few a second go to an
	// engine: double counting for longer holds up long ones.
	shortPeerPlacementLife = 100 * time.Millisecond
	// prefillGrace is how long past its expected end a prefill still counts when its box reports
	// nothing: the box may be gone.
	prefillGrace = 2 * time.Second
	// leadRecency is how long a box counts as the lead after it has placed a job for a peer. Long
	// prompts arrive a few a second; without any there is nothing to account for.
	leadRecency = time.Second
)

// requestPlan has the lead place a job. It returns nothing if there is no lead or it does not
// answer: the job is then placed here.
func (b *Balancer) requestPlan(ctx context.Context, j Job) (p *Placement, err error) {
	if b.Lead == nil || (j.Cost == nil && !j.isSuspect() && !b.hasLimitedTarget(j)) {
		return nil, nil
	}
	asked := j
	asked.Avoid = slices.Concat(j.Avoid, b.declinedTargets()) // The lead may not know of them yet.
	plan, err := b.Lead.Place(ctx, asked)
	if eris.Is(err, ErrIsLead) {
		b.mu.Lock()
		b.leadUntil = b.Clock.Now().Add(leadRecency)
		b.mu.Unlock()
	}
	switch {
	case err == nil:
		if p = b.Adopt(j, plan); p == nil && IsLongPrompt(j) {
			b.Lead.PrefillDone(plan.ID) // It will not be prefilled there.
		}
		return p, nil
	case eris.Is(err, ErrFull), eris.Is(err, ErrCannotMeetDeadline), eris.Is(err, ErrSuspectRefused), eris.Is(err, ErrSuspectCleared):
		return nil, err
	case ctx.Err() != nil: // Nobody would carry out a placement made here.
		return nil, context.Cause(ctx)
	default:
		return nil, nil // The client has logged the error; the job is placed here.
	}
}

// Adopt records the placement of a plan. It returns nil if this box considers one of the needed
// targets unavailable.
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
			clear(b.workCache) // The lead chooses for this box, so nothing else clears it.
			p = b.shortPlacement(j, first, plan.ExpectedTTFT)
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
			continue // The other helpers take larger parts.
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

// PlaceForPeer places a request for another box. It waits until the given time and then returns
// ErrStillWaiting. If ctx has ended it places nothing: the box no longer asks, and nobody would
// carry the plan out.
func (b *Balancer) PlaceForPeer(ctx context.Context, j Job, until time.Time) (plan Plan, err error) {
	j.ForPeer = true
	p, w, err := b.TryPlace(ctx, j)
	if w != nil {
		p, err = b.awaitUntil(ctx, w, until)
		if eris.Is(err, ErrFull) && b.Clock.Now().Before(w.Deadline()) {
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

// HandOver turns a placement of this box into a plan that another box carries out. It counts here
// until that box reports it.
func (b *Balancer) HandOver(p *Placement) Plan {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.peerPlacements == nil {
		b.peerPlacements = make(map[uint64]*peerPlacement)
		b.lastPlanID = uint64(b.randIntN(math.MaxInt)) // Successive leads number their plans differently.
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

// PrefillDone notes that the prompt of a peer's plan was prefilled.
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
	b.planLongQueue()
}

// expirePeerPlacements releases the placements for peers that no longer count.
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

// keepPrefillOnly drops all work of a placement but its prefill.
func (p *Placement) keepPrefillOnly() {
	for _, part := range p.parts {
		part.work = Work{}
	}
}

// notifyLead tells the lead, once, that the prompt was prefilled.
func (p *Placement) notifyLead() {
	if p.plan == 0 {
		return
	}
	p.balancer.Lead.PrefillDone(p.plan)
	p.plan = 0
}
