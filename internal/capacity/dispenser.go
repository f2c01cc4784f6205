package capacity

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/place"
	"github.com/barleystep/barleystep/internal/queue"
)

// Dispenser schedules the requests for one model on the targets of one hall. It is a state machine:
// every method is given the time. It is not safe for concurrent use.
type Dispenser struct {
	settings      Settings
	startedAt     time.Time
	targets       map[barleystep.TargetID]*target
	sortedTargets []*target
	boxes         map[barleystep.BoxID]*boxState
	grants        map[barleystep.AttemptID]*activeGrant
	lanes         [laneCount]queue.Fair[*waiter]
	reservations  []*reservation
	prefixes      place.PrefixIndex
	decodeTime    time.Duration // decodeTime is the smoothed time per generated token.
	lastExpiry    time.Time     // lastExpiry is when the queues were last searched for expired requests.
}

// boxState is what the dispenser keeps about a box that reports to it.
type boxState struct {
	lastReport      time.Time
	requestedTokens float64 // requestedTokens is the smoothed number of short prompts' tokens per report.
}

// waiter is a request in a queue.
type waiter struct {
	req    GrantRequest
	tokens int
}

// NewDispenser returns a dispenser that takes over its pool now.
func NewDispenser(s Settings, now time.Time) *Dispenser {
	return &Dispenser{
		settings:   s.withDefaults(),
		startedAt:  now,
		targets:    make(map[barleystep.TargetID]*target),
		boxes:      make(map[barleystep.BoxID]*boxState),
		grants:     make(map[barleystep.AttemptID]*activeGrant),
		decodeTime: initialDecodeTime,
	}
}

// settlePeriod is how long a new dispenser treats a target without a load report as full, since work
// granted by an earlier dispenser may not be known yet.
const settlePeriod = 3 * time.Second

// SetWeighing sets the balance between short (0) and long (1) prompts; see Settings.Weighing.
func (d *Dispenser) SetWeighing(w float64) { d.settings.Weighing = w }

// SetTargets replaces the set of targets. Targets in both sets keep their state.
func (d *Dispenser) SetTargets(specs []TargetSpec) {
	keep := make(map[barleystep.TargetID]*target, len(specs))
	for _, s := range specs {
		t, ok := d.targets[s.ID]
		if !ok {
			t = newTarget(s, d.startedAt.Add(settlePeriod))
		}
		t.spec = s
		keep[s.ID] = t
	}
	d.targets = keep
	d.sortedTargets = d.sortedTargets[:0]
	for _, t := range keep {
		d.sortedTargets = append(d.sortedTargets, t)
	}
	sort.Slice(d.sortedTargets, func(i, j int) bool { return d.sortedTargets[i].spec.ID < d.sortedTargets[j].spec.ID })
	for _, g := range slices.Clone(d.reservations) {
		if slices.ContainsFunc(g.members, func(t *target) bool { return d.targets[t.spec.ID] != t }) {
			d.requeue(g)
		}
	}
}

// UpdateLoad applies a target's load report, unless it is older than the last.
func (d *Dispenser) UpdateLoad(id barleystep.TargetID, l barleystep.Load) {
	if t, ok := d.targets[id]; ok {
		t.noteLoad(l)
	}
}

// Enqueue queues a request, which Schedule answers. It returns a refusal at once if the queue is full
// or the request can never be served in time.
func (d *Dispenser) Enqueue(now time.Time, a GrantRequest) *barleystep.Refusal {
	if d.allFailed(a.Demand.FailedTargets) {
		// All targets have failed for this request: it may try them again, as no other will come.
		a.Demand.FailedTargets = nil
	}
	w := &waiter{req: a, tokens: a.Demand.Tokens()}
	lane, refusal := d.lane(w)
	if refusal != nil {
		return refusal
	}
	if r := d.checkDeadline(now, w, lane); r != nil {
		return r
	}
	q := &d.lanes[lane]
	if q.Len() >= d.settings.QueueLimit {
		return notRun(barleystep.ReasonQueueFull, "Too many requests wait.", d.drainTime(lane))
	}
	q.Push(flowName(a), flowWeight(a), queue.Entry[*waiter]{
		Item:  w,
		Since: a.Demand.AdmittedAt,
		Cost:  float64(w.tokens),
	})
	return nil
}

// allFailed reports whether the list contains all targets.
func (d *Dispenser) allFailed(failed []barleystep.TargetID) bool {
	return !slices.ContainsFunc(d.sortedTargets, func(t *target) bool { return !slices.Contains(failed, t.spec.ID) })
}

func notRun(reason barleystep.Reason, message string, after time.Duration) *barleystep.Refusal {
	return barleystep.NewRefusal(reason, barleystep.OutcomeNotRun, message).WithRetryAfter(after)
}

func flowName(a GrantRequest) string {
	return a.Demand.Class + "/" + a.Demand.Account + "/" + barleystep.BandOf(a.Demand.PromptTokens).String()
}

// classStep is the ratio between the weights of a class and of the one that ranks next below it,
// in a contended pool.
const classStep = 8

func flowWeight(a GrantRequest) float64 {
	w := max(a.Weight, minWeight)
	for range min(a.Rank, maxRank) {
		w /= classStep
	}
	return w
}

const (
	minWeight = 1e-3
	maxRank   = 8
)

// Withdraw removes a request from its queue and cancels its reservation.
func (d *Dispenser) Withdraw(id barleystep.AttemptID) {
	isSame := func(w *waiter) bool { return w.req.Demand.Attempt == id }
	for i := range d.lanes {
		d.lanes[i].Remove(isSame)
	}
	d.dropReservations(isSame)
}

// FirstToken records an attempt's first token. Ratio is the measured over the expected time to it,
// or zero without an expectation.
func (d *Dispenser) FirstToken(now time.Time, id barleystep.AttemptID, ratio float64) {
	h, ok := d.grants[id]
	if !ok || !h.prefilling {
		return
	}
	d.prefillDone(now, h)
	for _, t := range d.targetsOf(h) {
		if ratio > 0 {
			t.health.noteAnswer(ratio)
		}
	}
}

// prefillDone records that a grant's prompt has been prefilled.
func (d *Dispenser) prefillDone(now time.Time, h *activeGrant) {
	for _, t := range d.targetsOf(h) {
		t.totals.addPrefill(h, -1)
	}
	h.prefilling = false
	h.firstTokenAt = now
}

// Release ends a grant and records how the attempt went.
func (d *Dispenser) Release(now time.Time, id barleystep.AttemptID, u barleystep.Usage) {
	h, ok := d.grants[id]
	if !ok {
		return
	}
	d.learnDecodeTime(now, h, u)
	d.removeGrant(now, h)
	if u.TargetFailed() {
		for _, t := range d.targetsOf(h) {
			t.health.noteFailure(now)
		}
	}
}

// The decode time per token is estimated from complete answers only.
const (
	initialDecodeTime   = 50 * time.Millisecond
	decodeTimeSmoothing = 0.05
)

func (d *Dispenser) learnDecodeTime(now time.Time, h *activeGrant, u barleystep.Usage) {
	if u.Outcome != barleystep.OutcomeDone || h.prefilling || h.outputTokens == 0 {
		return
	}
	measured := now.Sub(h.firstTokenAt) / time.Duration(h.outputTokens)
	d.decodeTime += time.Duration(decodeTimeSmoothing * float64(measured-d.decodeTime))
}

func (d *Dispenser) removeGrant(now time.Time, h *activeGrant) {
	for _, t := range d.targetsOf(h) {
		t.remove(h, now)
	}
	delete(d.grants, h.attempt)
}

func (d *Dispenser) targetsOf(h *activeGrant) []*target {
	list := make([]*target, 0, len(h.targets))
	for _, id := range h.targets {
		if t, ok := d.targets[id]; ok {
			list = append(list, t)
		}
	}
	return list
}

// Schedule returns all grants and refusals that can be decided now.
func (d *Dispenser) Schedule(now time.Time) []Grant {
	grants := d.expire(now)
	grants = append(grants, d.scheduleReservations(now)...)
	grants = append(grants, d.scheduleLane(now, laneLong)...)
	return append(grants, d.scheduleLane(now, laneShort)...)
}

func (d *Dispenser) scheduleLane(now time.Time, l lane) []Grant {
	var grants []Grant
	q := &d.lanes[l]
	for q.Len() > 0 {
		var chosen *target
		w, ok := q.Take(func(w *waiter) bool {
			chosen = d.choose(now, w, l)
			return chosen != nil
		})
		if !ok {
			break
		}
		grants = append(grants, d.grant(now, w, []*target{chosen}, l))
	}
	return grants
}

func (d *Dispenser) grant(now time.Time, w *waiter, chosen []*target, l lane) Grant {
	ids := make([]barleystep.TargetID, len(chosen))
	for i, t := range chosen {
		ids[i] = t.spec.ID
	}
	demand := w.req.Demand
	h := &activeGrant{
		attempt:      demand.Attempt,
		box:          w.req.Box,
		account:      demand.Account,
		targets:      ids,
		promptTokens: demand.PromptTokens,
		outputTokens: demand.MaxOutputTokens,
		grantedAt:    now,
		prefilling:   true,
		isLong:       l != laneShort,
	}
	d.addGrant(h)
	d.prefixes.Record(demand.PrefixHashes, ids[0])
	return Grant{
		Attempt:  demand.Attempt,
		Box:      w.req.Box,
		Targets:  ids,
		Priority: Priority(d.settings.Weighing, w.req.Rank, demand.PromptTokens),
	}
}

func (d *Dispenser) addGrant(h *activeGrant) {
	d.grants[h.attempt] = h
	for _, t := range d.targetsOf(h) {
		t.add(h)
	}
}

// Priority returns the order of a prompt inside an engine, lower first. The length decides first and
// then the rank of the class; with a weighing of 0.5 or more, the rank decides first.
func Priority(weighing float64, rank, prompt int) int {
	const step = 16
	band := int(barleystep.BandOf(prompt))
	if weighing < 0.5 {
		return band*step + rank
	}
	return rank*step + band
}

// expiryInterval is the time between searches for expired requests. It can be long, as each caller
// enforces its own deadline too.
const expiryInterval = time.Second

func (d *Dispenser) expire(now time.Time) []Grant {
	if now.Sub(d.lastExpiry) < expiryInterval {
		return nil
	}
	d.lastExpiry = now
	var grants []Grant
	isLate := func(w *waiter) bool { return !now.Before(w.req.Demand.Deadline) }
	for _, g := range slices.Clone(d.reservations) {
		if isLate(g.waiter) {
			d.requeue(g)
		}
	}
	for i := range d.lanes {
		for _, w := range d.lanes[i].Remove(isLate) {
			r := notRun(barleystep.ReasonDeadline, "The time limit was reached in the queue.", d.drainTime(lane(i)))
			grants = append(grants, Grant{Attempt: w.req.Demand.Attempt, Box: w.req.Box, Refusal: r})
		}
	}
	return grants
}

// String returns the counts of targets, grants and queued requests, for logs.
func (d *Dispenser) String() string {
	return fmt.Sprintf("targets=%d grants=%d short=%d long=%d giant=%d", len(d.targets), len(d.grants),
		d.lanes[laneShort].Len(), d.lanes[laneLong].Len(), d.lanes[laneLarge].Len())
}
