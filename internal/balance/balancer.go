// Package balance chooses the targets of requests. On services of model engines
// it keeps long prompts, whose reading holds up the streams of an engine, away
// from short ones, and spreads the reading of a long prompt over many engines.
package balance

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/suspect"
)

// ErrNoTarget is returned when no target of the service may take a request.
var ErrNoTarget = eris.New("balance: no target")

// ErrFull is returned when a request has waited for a place so long that its
// caller would not wait for the answer, or is better told to come back later.
var ErrFull = eris.New("balance: all targets are full")

// ErrInVain is returned when the caller would be gone before the first event could come.
var ErrCannotMeetDeadline = eris.New("balance: the caller would be gone before an answer")

// ErrRefused is returned for a request under which so many targets have ended that it is sent
// to no other.
var ErrSuspectRefused = eris.New("balance: the request ends targets")

// ErrWaiting is returned when a prompt has waited for its engines for as long as the
// question was to be held. It is to be asked again.
var ErrStillWaiting = eris.New("balance: no place yet")

// Job is what the choice needs to know of a request.
type Job struct {
	// Request is the request's id, for the logs.
	RequestID    string
	Service      string
	PromptTokens int
	OutputTokens int
	Objective    time.Duration
	// Rank is the priority, 0 first.
	Priority int
	// Cost is how the service's engines spend their time; nil for plain
	// services.
	Cost *fleet.CostModel
	// Tightest is the shortest pause that any stream of the service may have.
	MaxPause time.Duration
	// Since is when the caller asked; zero is now.
	Arrival time.Time
	// First is when the caller first tried, by which its answer is late; zero is Since.
	FirstArrival time.Time
	// Returned is set if the caller has come back after a refusal, so that it has no further try.
	CallerRetry bool
	// Until is when the caller stops waiting for the first event; zero is not known.
	FirstEventDeadline time.Time
	// Avoid lists targets that have already failed the request.
	Avoid []barleystep.TargetID
	// Alone asks for no helpers: a target has refused the request with some, and has
	// not said which of them it cannot reach.
	NoHelpers bool
	// Near asks for helpers of the target's own hall only: a target could not reach one
	// in another hall, from which its own may be cut off.
	LocalHelpers bool

	// Hall is that of the box which serves the caller; empty is the balancer's own.
	Hall barleystep.HallID
	// Granted is set while the job is placed for another box.
	ForPeer bool

	// Suspect is the digest of a request that is to run alone, since targets have ended under
	// it; zero for any other. Ended is how many.
	Suspect      suspect.Digest
	EndedTargets int

	// spare is how many slots the job must leave free.
	reservedSlots int
}

// Report is what a try taught about its target.
type Report struct {
	// Unreachable is set when no connection to the target could be had.
	Unreachable bool
	// Failed is set when no whole answer came although nobody gave it up.
	Failed bool
	// Error is set when the target answered with a failure of its own.
	Error bool
	// Full is set when the target did not take the request.
	Full bool
	// Moved is set when another target has the address.
	Moved bool
	// Helper is a helper that the target could not reach, if it named one.
	UnreachableHelper barleystep.TargetID
}

// Balancer chooses targets. Its exported fields are set before use; it is safe
// for concurrent use.
type Balancer struct {
	Clock barleystep.Clock
	Hall  barleystep.HallID
	// Targets lists the targets that may get work.
	Targets func() []fleet.Target
	// LongestRest bounds the rest that a target may ask for; zero is a default.
	MaxRest time.Duration
	// Lead is asked for the engines of long prompts; nil places them here.
	Lead Lead
	// Rand is drawn from where a choice is left to chance; nil draws from the
	// runtime's. It is used under the balancer's lock only.
	Rand *rand.Rand
	// Suspects is what is known of requests under which targets have ended; it may be nil.
	Suspects *suspect.Registry
	Log      *log.Logger

	mu     sync.Mutex
	states map[barleystep.TargetID]*targetState
	// declined holds the targets that may leave or rest, so that a question to the lead does not
	// go through all states.
	declined map[barleystep.TargetID]bool
	demands  map[string]*demand
	// turns has how often long prompts of each size are given engines, by service.
	sizeStats map[string]*sizeStats
	// lightQueue and heavyQueue hold the jobs that wait for a place, limitQueue those whose
	// targets have all named a limit that is used up.
	shortQueue []*QueuedJob
	longQueue  []*QueuedJob
	limitQueue []*QueuedJob
	// role is this box's part among all boxes.
	role Role
	// trialQueue holds the suspects that wait for their trial, and trials has the last one of
	// each.
	trialQueue []*QueuedJob
	trials     map[suspect.Digest]trial
	// grants are the placements that were made for other boxes, by their numbers, of
	// which granted is the last. This box is the lead until leadUntil, as far as it
	// knows.
	peerPlacements map[uint64]*peerPlacement
	lastPlanID     uint64
	leadUntil      time.Time
	// seen keeps the sums of work during one choice.
	workCache map[barleystep.TargetID]Work
	// others is the work and demand of all other boxes, as last heard.
	peers Snapshot
}

// state is what a box knows of one lifetime of a target by itself.
type targetState struct {
	// key names the lifetime between boxes. It is that of said, the start which the target's
	// record says now, zero if it says none; born is the last start that one said.
	key         Key
	recordStart int64
	lastStart   int64
	// parts are the own tries at the target that have not ended.
	parts []*part
	// failures counts tries in a row that could not reach the target at its address.
	unreachableTries int
	// heard is when the target last sent something here.
	lastEvent time.Time
	// suspect is set while the target is left alone since it seems to be down.
	loggedDown bool
	// shunned is until when the target gets no work while others can take it.
	backoffUntil time.Time
	// errors is the recent part of answers that were failures, 0 to 1.
	errorRate float64
	// believed is what the target says of itself, as far as is known, and heardHere what it has
	// said to this box.
	statement    TimedStatement
	heardLocally TimedStatement
	// allowance is what this box may send of the target's limit.
	rateLimiter rateLimiter
	// returning is set from a rest on until the target has run something, and probe is what it
	// was sent since its end.
	afterRest bool
	probe     *part
	// absent is since when no record names the target, zero while one does.
	absentSince time.Time
}

const (
	// firstShun is how long a target is left alone that could not be reached; it
	// doubles with each further failure up to longestShun.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// fullShun is how long a target is left alone that had no room.
	fullBackoff = 60 * time.Millisecond
	// movedShun is how long a target is left alone whose address belongs to
	// another one: its record will be gone by then.
	movedBackoff = 10 * time.Second
	// errorWeight is the weight of a new answer in a target's part of failures.
	errorWeight = 0.15
	// errorPenalty is how many requests in progress a target that always fails
	// counts for, when plain services are compared, and errorWait how long a wait
	// when engines are. Both leave such a target some requests, so that its
	// recovery is noticed, and do not crowd the others when many targets fail.
	errorPenalty = 8
	errorWait    = 600 * time.Millisecond
)

// Place chooses a target. Where all engines for short prompts are full it waits
// for a place. It returns ErrNoTarget, ErrFull when there was none, ErrInVain when the
// caller would not wait for the answer, or the context's error.
func (b *Balancer) Place(ctx context.Context, j Job) (p *Placement, err error) {
	p, w, err := b.TryPlace(ctx, j)
	if p != nil || err != nil {
		return p, err
	}
	return b.await(ctx, w)
}

// Ask is Place for callers that do not want to be held up: where the job has to
// wait for a place it returns the wait.
func (b *Balancer) TryPlace(ctx context.Context, j Job) (p *Placement, w *QueuedJob, err error) {
	first := j.Arrival.IsZero()
	if first {
		j.Arrival = b.Clock.Now()
	}
	if j.Hall == "" {
		j.Hall = b.Hall
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
		b.noteAsked(j)
	}
	p, h, err := b.placeNew(j)
	if p != nil || err != nil {
		return p, nil, err
	}
	return b.enqueue(j, h)
}

// tryNew is try for a job that has just come: a long prompt takes its turn among those that wait.
func (b *Balancer) placeNew(j Job) (p *Placement, h holdReason, err error) {
	candidates, h, err := b.usableTargets(j)
	switch {
	case h != holdNone || err != nil:
		return nil, h, err
	case IsLongPrompt(j) && !j.isSuspect() && b.hasWaiterBefore(j):
		return nil, holdBehind, nil
	}
	return b.chooseTarget(j, candidates)
}

// try chooses a target; it returns no placement, and why, if the job has to wait.
func (b *Balancer) placeNow(j Job) (p *Placement, h holdReason, err error) {
	candidates, h, err := b.usableTargets(j)
	if h != holdNone || err != nil {
		return nil, h, err
	}
	return b.chooseTarget(j, candidates)
}

// usable returns the targets that may take the job now.
func (b *Balancer) usableTargets(j Job) (candidates []fleet.Target, h holdReason, err error) {
	clear(b.workCache)
	candidates = b.candidates(j)
	if len(candidates) == 0 {
		return nil, holdNone, ErrNoTarget
	}
	if isOversized(j) && !fitsEngines(j, len(candidates)) {
		return nil, holdMemory, ErrFull // Waiting here would not help.
	}
	candidates = b.accepting(j, candidates)
	if len(candidates) == 0 {
		return nil, holdLimit, nil
	}
	return candidates, holdNone, nil
}

// choose chooses among the targets that may take the job.
func (b *Balancer) chooseTarget(j Job, candidates []fleet.Target) (p *Placement, h holdReason, err error) {
	switch {
	case j.isSuspect():
		p, h, err = b.placeSuspect(j, candidates)
	case j.Cost == nil:
		p = b.placePlain(j, candidates)
	case isOversized(j):
		p, h = b.placeOversized(j, candidates)
	case IsLongPrompt(j):
		p, h = b.placeLong(j, candidates)
	default:
		p, h = b.placeShort(j, candidates), holdSlots
	}
	if p == nil {
		return nil, h, err
	}
	b.chargeLimits(p)
	b.notePlaced(j)
	b.record(p)
	if !j.ForPeer {
		p.probe()
	}
	return p, holdNone, nil
}

// book enters a placement in the books of its targets.
func (b *Balancer) record(p *Placement) {
	p.balancer, p.sent, p.lost = b, b.Clock.Now(), make(chan struct{})
	for _, part := range p.parts {
		s := b.targetState(part.target)
		part.placement, part.state = p, s
		b.schedulePrefill(s, part)
		s.parts = append(s.parts, part)
	}
}

// strike takes a placement out of the books of its targets.
func (b *Balancer) release(p *Placement) {
	for _, own := range p.parts {
		b.releasePart(own)
	}
	p.notifyLead()
}

// strikePart takes a part out of the books of the lifetime that it was placed on.
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

// placePlain takes the target with the fewest requests in progress, one of the
// caller's hall where there is little between them.
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
		s.unreachableTries++ // The others are told: each of them would be refused once.
	case r.Unreachable:
		s.backoffUntil = now.Add(min(minBackoff<<min(s.unreachableTries, 8), maxBackoff))
		s.unreachableTries++
	case r.Full:
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

// Forget drops what is known of targets that are gone. It is called now and
// then.
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
		}
	}
	b.pruneTrials()
}
