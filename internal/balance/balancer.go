// Package balance chooses the targets of requests. On services of model engines it keeps long
// prompts, whose prefill stalls the streams of an engine, away from short ones, and spreads the
// prefill of a long prompt over many engines.
package balance

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/mutex"
	"github.com/barleystep/barleystep/internal/schedule"
	"github.com/barleystep/barleystep/internal/suspect"
)

// ErrNoTarget is returned when no target of the service may take a request.
var ErrNoTarget = eris.New("balance: no target of the service is available")

// ErrFull is returned when a request has waited for a target until its caller would no longer wait
// for the answer, or when the caller should retry later. RefusedUntil tells when, if that is known.
var ErrFull = eris.New("balance: all targets are full")

// ErrCannotMeetDeadline is returned when the caller would give up before the first event.
var ErrCannotMeetDeadline = eris.New("balance: the caller's deadline cannot be met")

// ErrSuspectRefused is returned for a request under which so many targets have ended that it is
// sent to no other one.
var ErrSuspectRefused = eris.New("balance: the request is refused since targets have ended under it")

// ErrSuspectCleared is returned for a suspect that was cleared while it waited for its trial. It may
// be placed as any other request, unless another part of its prompt is suspected.
var ErrSuspectCleared = eris.New("balance: the request is no longer suspected of ending targets")

// ErrStillWaiting is returned when a job has waited for its engines for as long as one call to the
// lead may take. The caller should ask again.
var ErrStillWaiting = eris.New("balance: still waiting for engines")

// Job describes a request to be placed.
type Job struct {
	// RequestID is the request's id, for logs.
	RequestID    string
	Service      string
	PromptTokens int
	OutputTokens int
	Objective    time.Duration
	// Account is the client account of the caller, empty if unknown.
	Account string
	// Priority ranks jobs; 0 goes first.
	Priority int
	// Cost is the cost model of the service's engines; nil for plain services.
	Cost *fleet.CostModel
	// ColdLimit is the rate that a cold target of the service accepts from all boxes; unset if there
	// is none.
	ColdLimit barleystep.RateLimit
	// MaxPause is the shortest of the maximum pauses between events that the service's streams
	// allow.
	MaxPause time.Duration
	// Arrival is when the request arrived; zero means now.
	Arrival time.Time
	// FirstArrival is when the caller first tried; the objective counts from then. Zero means
	// Arrival.
	FirstArrival time.Time
	// CallerRetry is set if the caller has come back after a refusal, and so will not retry again.
	CallerRetry bool
	// Replacement is set if this try of the caller was placed before, on targets that did not serve
	// it.
	Replacement bool
	// FirstEventDeadline is when the caller stops waiting for the first event; zero if unknown.
	FirstEventDeadline time.Time
	// Avoid lists targets that have already failed the request.
	Avoid []barleystep.TargetID
	// NoHelpers asks for no helpers: a target has refused the request with some, without naming the
	// one it could not reach.
	NoHelpers bool
	// LocalHelpers asks for helpers in the target's own hall only: a target could not reach one in
	// another hall, from which its own may be partitioned.
	LocalHelpers bool

	// Hall is the hall of the box that serves the caller; empty means the balancer's own.
	Hall barleystep.HallID
	// Box is the box that asks; empty means the balancer's own, or an older box for which the job
	// is placed.
	Box barleystep.BoxID
	// ForPeer is set while the job is placed for another box.
	ForPeer bool

	// Suspect is the digest of a request that must run alone because targets have ended under it, or
	// of the part of its prompt under which they have; zero for any other. EndedTargets is how many
	// have.
	Suspect      suspect.Digest
	EndedTargets int

	// reservedSlots is the number of slots that the job must leave free.
	reservedSlots int
}

// Report is the outcome of a try, as far as it concerns the target.
type Report struct {
	// Unreachable is set when no connection to the target could be made.
	Unreachable bool
	// NoPath is set when this box has no way to the target, which says nothing about the target.
	NoPath bool
	// Failed is set when the answer was incomplete although nobody cancelled the request.
	Failed bool
	// Error is set when the target answered with an error of its own.
	Error bool
	// Full is set when the target refused the request.
	Full bool
	// Moved is set when another target has the address.
	Moved bool
	// UnreachableHelper is the helper that the target could not reach, if it named one.
	UnreachableHelper barleystep.TargetID
}

// Balancer chooses targets. Its exported fields are set before use; it is safe for concurrent use.
type Balancer struct {
	Clock barleystep.Clock
	Box   barleystep.BoxID
	Hall  barleystep.HallID
	// Targets lists the targets that may get work.
	Targets func() []fleet.Target
	// Freshness tells how recent that list and the evacuations in it are; nil means that they are
	// current.
	Freshness barleystep.Freshness
	// MaxRest bounds the rest that a target may ask for; zero means a default.
	MaxRest time.Duration
	// Lead plans the placement of prompts; nil places them here.
	Lead Lead
	// Rand is the source of random choices; nil uses the runtime's. It is used under the balancer's
	// lock only.
	Rand *rand.Rand
	// Suspects records the requests under which targets have ended; it may be nil.
	Suspects *suspect.Registry
	Log      *log.Logger
	// DispatchDelay is the time from the choice of the engines of a long prompt until these have
	// it; zero means a default.
	DispatchDelay time.Duration
	// Meter counts the callers that come back after a refusal; nil counts nothing.
	Meter *metric.Meter

	mu     mutex.Mutex
	states map[barleystep.TargetID]*targetState
	// declined holds the targets that may be leaving or resting, so that a plan request to the lead
	// does not scan all states.
	declined map[barleystep.TargetID]bool
	demands  map[string]*demand
	// sizeStats counts, by service, how often long prompts of each size are placed.
	sizeStats map[string]*sizeStats
	// shortQueue and longQueue hold the jobs that wait for a slot or for engines; limitQueue holds
	// those whose targets have all used up their rate limits.
	shortQueue []*QueuedJob
	longQueue  []*QueuedJob
	// timelines are the engines' plans for the waiting long prompts, nextStart is when the earliest
	// of these may be placed, and planned receives a value after the plan has changed.
	timelines map[barleystep.TargetID]*schedule.Timeline
	nextStart time.Time
	// regionsOfPlan holds the regions of the engines during one planning run.
	regionsOfPlan map[regionsKey]regions
	planned       chan struct{}
	limitQueue    []*QueuedJob
	// returns holds the callers that were refused and are expected back.
	returns returnTracker
	// role is this box's role among all boxes.
	role Role
	// trialQueue holds the suspects that wait for their trial, and trials the last trial of each.
	trialQueue []*QueuedJob
	trials     map[suspect.Digest]trial
	// peerPlacements are the placements made for other boxes by plan id, of which lastPlanID is the
	// latest. This box acts as the lead until leadUntil, as far as it knows.
	peerPlacements map[uint64]*peerPlacement
	lastPlanID     uint64
	leadUntil      time.Time
	// workCache holds the work totals by target during one choice.
	workCache map[barleystep.TargetID]Work
	// slow holds the targets that are much slower than others, with the factor. It is empty as long
	// as none is, so that choices cost nothing more.
	slow map[barleystep.TargetID]float64
	// shares holds the engine time granted to client accounts by service; shareWaited and
	// shareRefused count the jobs that waited behind the share of their account.
	shares       map[string]*accountShares
	shareWaited  int
	shareRefused int
	// peers is the latest sum of the work and demand of all other boxes.
	peers Snapshot
}

const (
	// minBackoff is the backoff of an unreachable target. It doubles with each further failure up
	// to maxBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// fullBackoff is the backoff of a target that refused a request because it was full.
	fullBackoff = 60 * time.Millisecond
	// movedBackoff is the backoff of a target whose address belongs to another one. Its record is
	// expected to be gone by then.
	movedBackoff = 10 * time.Second
	// errorWeight is the weight of a new answer in a target's error rate.
	errorWeight = 0.15
	// errorPenalty is the number of requests in progress that a target with an error rate of 1
	// counts for on plain services, and errorWait the wait that it counts for on engines. Both
	// leave such a target some requests, so that its recovery is noticed, and do not overload the
	// others when many targets fail.
	errorPenalty = 8
	errorWait    = 600 * time.Millisecond
)

// Place chooses a target and waits for one where all engines for short prompts are full. It returns
// ErrNoTarget, ErrFull when no target became free in time, ErrCannotMeetDeadline when the caller
// would give up before the first event, or the context's error.
func (b *Balancer) Place(ctx context.Context, j Job) (p *Placement, err error) {
	p, w, err := b.TryPlace(ctx, j)
	if p != nil || err != nil {
		return p, err
	}
	return b.await(ctx, w)
}

// TryPlace is Place without blocking: where the job has to wait, it returns the queued job.
func (b *Balancer) TryPlace(ctx context.Context, j Job) (p *Placement, w *QueuedJob, err error) {
	first := j.Arrival.IsZero()
	if first {
		j.Arrival = b.Clock.Now()
	}
	if j.Hall == "" {
		j.Hall = b.Hall
	}
	if j.Box == "" && !j.ForPeer {
		j.Box = b.Box
	}
	if b.cannotMeetDeadline(j) {
		return nil, nil, ErrCannotMeetDeadline
	}
	if b.isRefused(j) {
		return nil, nil, ErrSuspectRefused
	}
	if p, err = b.requestPlan(ctx, j); p != nil || err != nil {
		return p, nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if first {
		b.noteLongDemand(j)
		b.noteReplaced(j)
		b.noteReturned(j)
	}
	return b.placeArrived(j)
}

// placeArrived places a job that has just arrived, or queues it.
func (b *Balancer) placeArrived(j Job) (p *Placement, w *QueuedJob, err error) {
	if IsLongPrompt(j) && !j.isSuspect() {
		return b.placeLong(j)
	}
	p, h, err := b.placeNow(j)
	if p != nil || err != nil {
		return p, nil, err
	}
	return b.enqueue(j, h)
}

// placeNow chooses a target. If the job has to wait, it returns no placement and the reason.
func (b *Balancer) placeNow(j Job) (p *Placement, h holdReason, err error) {
	candidates, h, err := b.usableTargets(j)
	if h != holdNone || err != nil {
		return nil, h, err
	}
	return b.chooseTarget(j, candidates)
}

// usableTargets returns the targets that may take the job now.
func (b *Balancer) usableTargets(j Job) (candidates []fleet.Target, h holdReason, err error) {
	clear(b.workCache)
	candidates = b.candidates(j)
	if len(candidates) == 0 {
		return nil, holdNone, ErrNoTarget
	}
	if isOversized(j) && !fitsEngines(j, len(candidates)) {
		return nil, holdMemory, ErrFull // Waiting would not help.
	}
	candidates = b.accepting(j, candidates)
	if len(candidates) == 0 {
		return nil, holdLimit, nil
	}
	return candidates, holdNone, nil
}

// chooseTarget chooses among the targets that may take the job.
func (b *Balancer) chooseTarget(j Job, candidates []fleet.Target) (p *Placement, h holdReason, err error) {
	switch {
	case j.isSuspect():
		p, h, err = b.placeSuspect(j, candidates)
	case j.Cost == nil:
		p = b.placePlain(j, candidates)
	case IsLongPrompt(j):
		p, h = b.placeLongNow(j, candidates)
	default:
		p, h = b.placeShort(j, candidates), holdSlots
	}
	if p == nil {
		return nil, h, err
	}
	return b.placed(j, p), holdNone, nil
}

// placed counts a placement that was chosen and returns it.
func (b *Balancer) placed(j Job, p *Placement) *Placement {
	b.chargeLimits(j, p)
	b.notePlaced(j)
	b.noteReturnEnded(j, true)
	b.chargeShare(j, p)
	p.box = j.Box
	b.record(p)
	if !j.ForPeer {
		p.probe()
	}
	return p
}

// record adds a placement to the work of its targets.
func (b *Balancer) record(p *Placement) {
	p.balancer, p.sent, p.lost = b, b.Clock.Now(), make(chan struct{})
	for _, part := range p.parts {
		s := b.targetState(part.target)
		part.placement, part.state = p, s
		b.schedulePrefill(s, part)
		s.parts = append(s.parts, part)
	}
}

// release removes a placement from the work of its targets.
func (b *Balancer) release(p *Placement) {
	for _, own := range p.parts {
		b.releasePart(own)
	}
	p.notifyLead()
}

// releasePart removes a part from the work of the incarnation that it was placed on.
func (b *Balancer) releasePart(p *part) {
	p.state.parts = slices.DeleteFunc(p.state.parts, func(o *part) bool { return o == p })
	if p.state.probe == p {
		p.state.probe = nil
	}
}

func (b *Balancer) targetState(id barleystep.TargetID) *targetState {
	if b.states == nil {
		b.states = make(map[barleystep.TargetID]*targetState)
	}
	s, ok := b.states[id]
	if !ok {
		s = &targetState{key: KeyOf(string(id))}
		b.states[id] = s
		b.applyPeerStatement(id, s)
	}
	return s
}

// placePlain takes the target with the fewest requests in progress and prefers the caller's hall if
// the difference is small.
func (b *Balancer) placePlain(j Job, candidates []fleet.Target) *Placement {
	best, least := 0, 0.0
	for i, t := range candidates {
		w := b.totalWork(t.ID)
		score := float64(w.Short) + errorPenalty*b.targetState(t.ID).errorRate + b.randFloat()
		if t.Hall != j.Hall {
			score++
		}
		if i == 0 || score < least {
			best, least = i, score
		}
	}
	return plainPlacement(candidates[best])
}

// plainPlacement returns the placement of a request to a plain service at a target.
func plainPlacement(t fleet.Target) *Placement {
	return &Placement{Target: t, parts: []*part{{target: t.ID, work: Work{Short: 1}}}}
}

func (b *Balancer) noteReport(id barleystep.TargetID, r Report) {
	s := b.targetState(id)
	now := b.Clock.Now()
	switch {
	case r.Moved:
		s.backoffUntil = now.Add(movedBackoff)
		s.unreachableTries++ // Reported to peers: each of them would be refused once.
	case r.Unreachable:
		s.backoffUntil = now.Add(min(minBackoff<<min(s.unreachableTries, 8), maxBackoff))
		s.unreachableTries++
	case r.Full, r.NoPath:
		s.backoffUntil = now.Add(fullBackoff)
	default:
		s.unreachableTries = 0
		if !r.Failed {
			s.lastEvent, s.afterRest = now, false
		}
	}
	bad := 0.0
	if r.Unreachable || r.Failed || r.Error {
		bad = 1
	}
	s.errorRate += errorWeight * (bad - s.errorRate)
}

// Prune drops the state of targets that are gone. It is called periodically.
func (b *Balancer) Prune() {
	present := make(map[barleystep.TargetID]bool)
	for _, t := range b.Targets() {
		present[t.ID] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	for id, s := range b.states {
		s.notePresence(present[id], now)
		if !present[id] && len(s.parts) == 0 && !s.isRetained(now) {
			delete(b.states, id)
			b.forgetSpeed(id)
		}
	}
	b.pruneTrials()
	b.pruneShares()
}
