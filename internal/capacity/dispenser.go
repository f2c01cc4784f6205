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

// Dispenser hands out the capacity of one model in one hall. It is a state
// machine: every method is given the time. It is not safe for concurrent use.
type Dispenser struct {
	settings Settings
	born     time.Time
	targets  map[barleystep.TargetID]*target
	sorted   []*target
	boxes    map[barleystep.BoxID]*box
	holdings map[barleystep.AttemptID]*holding
	lanes    [laneCount]queue.Fair[*waiter]
	gangs    []*gang
	prefixes place.PrefixIndex
	pace     time.Duration // pace is the smoothed time per generated token.
	expired  time.Time     // expired is when the queues were last searched for expired requests.
}

// box is what the dispenser keeps of a reporting box.
type box struct {
	reported time.Time
	wanted   float64 // wanted is the smoothed short prompt tokens per interval.
}

// waiter is a request in a queue.
type waiter struct {
	ask    GrantRequest
	tokens int
}

// NewDispenser returns a dispenser that has just taken over its pool.
func NewDispenser(s Settings, now time.Time) *Dispenser {
	return &Dispenser{
		settings: s.withDefaults(),
		born:     now,
		targets:  make(map[barleystep.TargetID]*target),
		boxes:    make(map[barleystep.BoxID]*box),
		holdings: make(map[barleystep.AttemptID]*holding),
		pace:     firstPace,
	}
}

// settling is how long a new dispenser takes a target without a load report for
// full: the work that an earlier dispenser gave it may not be known yet.
const settling = 3 * time.Second

// SetWeighing sets the balance between short (0) and long (1) prompts.
func (d *Dispenser) SetWeighing(w float64) { d.settings.Weighing = w }

// SetTargets replaces the set of targets. What is known of those that stay is
// kept.
func (d *Dispenser) SetTargets(specs []TargetSpec) {
	keep := make(map[barleystep.TargetID]*target, len(specs))
	for _, s := range specs {
		t, ok := d.targets[s.ID]
		if !ok {
			t = newTarget(s, d.born.Add(settling))
		}
		t.spec = s
		keep[s.ID] = t
	}
	d.targets = keep
	d.sorted = d.sorted[:0]
	for _, t := range keep {
		d.sorted = append(d.sorted, t)
	}
	sort.Slice(d.sorted, func(i, j int) bool { return d.sorted[i].spec.ID < d.sorted[j].spec.ID })
	for _, g := range slices.Clone(d.gangs) {
		if slices.ContainsFunc(g.members, func(t *target) bool { return d.targets[t.spec.ID] != t }) {
			d.requeue(g)
		}
	}
}

// Load takes in a target's load report. Older reports than the last are
// ignored.
func (d *Dispenser) UpdateLoad(id barleystep.TargetID, l barleystep.Load) {
	if t, ok := d.targets[id]; ok {
		t.noteLoad(l)
	}
}

// Ask queues a request. The answer comes from Tick. It returns a refusal at
// once if the request can never be served in time.
func (d *Dispenser) Enqueue(now time.Time, a GrantRequest) *barleystep.Refusal {
	if d.allAvoided(a.Demand.FailedTargets) {
		// It has been everywhere: it begins anew instead of waiting for nobody.
		a.Demand.FailedTargets = nil
	}
	w := &waiter{ask: a, tokens: a.Demand.Tokens()}
	lane, refusal := d.lane(w)
	if refusal != nil {
		return refusal
	}
	if r := d.hopeless(now, w, lane); r != nil {
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

// allAvoided reports whether the list holds all targets.
func (d *Dispenser) allAvoided(avoid []barleystep.TargetID) bool {
	return !slices.ContainsFunc(d.sorted, func(t *target) bool { return !slices.Contains(avoid, t.spec.ID) })
}

func notRun(reason barleystep.Reason, message string, after time.Duration) *barleystep.Refusal {
	return barleystep.NewRefusal(reason, barleystep.OutcomeNotRun, message).WithRetryAfter(after)
}

func flowName(a GrantRequest) string {
	return a.Demand.Class + "/" + a.Demand.Account + "/" + barleystep.BandOf(a.Demand.PromptTokens).String()
}

// classStep is how much more of a contended pool a class gets than the one
// that ranks next below it.
const classStep = 8

func flowWeight(a GrantRequest) float64 {
	w := max(a.Weight, minimumWeight)
	for range min(a.Rank, maxRank) {
		w /= classStep
	}
	return w
}

const (
	minimumWeight = 1e-3
	maxRank       = 8
)

// Withdraw takes a request out of its queue.
func (d *Dispenser) Withdraw(id barleystep.AttemptID) {
	mine := func(w *waiter) bool { return w.ask.Demand.Attempt == id }
	for i := range d.lanes {
		d.lanes[i].Remove(mine)
	}
	d.dropGangs(mine)
}

// First notes that the attempt's first token came. Ratio is the measured over
// the expected time, zero if nothing was expected.
func (d *Dispenser) FirstToken(now time.Time, id barleystep.AttemptID, ratio float64) {
	h, ok := d.holdings[id]
	if !ok || !h.reading {
		return
	}
	d.readDone(now, h)
	for _, t := range d.members(h) {
		if ratio > 0 {
			t.health.answered(ratio)
		}
	}
}

// readDone notes that a holding's prompt has been read.
func (d *Dispenser) readDone(now time.Time, h *holding) {
	for _, t := range d.members(h) {
		t.sums.read(h, -1)
	}
	h.reading = false
	h.firstAt = now
}

// Release takes a grant back.
func (d *Dispenser) Release(now time.Time, id barleystep.AttemptID, u barleystep.Usage) {
	h, ok := d.holdings[id]
	if !ok {
		return
	}
	d.learnPace(now, h, u)
	d.drop(now, h)
	if u.TargetFailed() {
		for _, t := range d.members(h) {
			t.health.failed(now)
		}
	}
}

// The time per generated token is learnt from answers that were whole.
const (
	firstPace    = 50 * time.Millisecond
	paceLearning = 0.05
)

func (d *Dispenser) learnPace(now time.Time, h *holding, u barleystep.Usage) {
	if u.Outcome != barleystep.OutcomeDone || h.reading || h.output == 0 {
		return
	}
	seen := now.Sub(h.firstAt) / time.Duration(h.output)
	d.pace += time.Duration(paceLearning * float64(seen-d.pace))
}

func (d *Dispenser) drop(now time.Time, h *holding) {
	for _, t := range d.members(h) {
		t.remove(h, now)
	}
	delete(d.holdings, h.attempt)
}

func (d *Dispenser) members(h *holding) []*target {
	list := make([]*target, 0, len(h.targets))
	for _, id := range h.targets {
		if t, ok := d.targets[id]; ok {
			list = append(list, t)
		}
	}
	return list
}

// Tick decides all that can be decided now.
func (d *Dispenser) Schedule(now time.Time) []Grant {
	grants := d.expire(now)
	grants = append(grants, d.tickGangs(now)...)
	grants = append(grants, d.tickLane(now, laneLong)...)
	return append(grants, d.tickLane(now, laneShort)...)
}

func (d *Dispenser) tickLane(now time.Time, l lane) []Grant {
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

func (d *Dispenser) grant(now time.Time, w *waiter, on []*target, l lane) Grant {
	ids := make([]barleystep.TargetID, len(on))
	for i, t := range on {
		ids[i] = t.spec.ID
	}
	dem := w.ask.Demand
	h := &holding{
		attempt: dem.Attempt,
		box:     w.ask.Box,
		account: dem.Account,
		targets: ids,
		prompt:  dem.PromptTokens,
		output:  dem.MaxOutputTokens,
		since:   now,
		reading: true,
		long:    l != laneShort,
	}
	d.keep(h)
	d.prefixes.Record(dem.PrefixHashes, ids[0])
	return Grant{
		Attempt:  dem.Attempt,
		Box:      w.ask.Box,
		Targets:  ids,
		Priority: Priority(d.settings.Weighing, w.ask.Rank, dem.PromptTokens),
	}
}

func (d *Dispenser) keep(h *holding) {
	d.holdings[h.attempt] = h
	for _, t := range d.members(h) {
		t.add(h)
	}
}

// Priority orders work inside an engine, lower first. Shorter prompts go first
// unless long ones are weighed as much; then the class does.
func Priority(weighing float64, rank, prompt int) int {
	const step = 16
	band := int(barleystep.BandOf(prompt))
	if weighing < 0.5 {
		return band*step + rank
	}
	return rank*step + band
}

// expireEvery is the time between searches for expired requests: each caller
// also keeps its own deadline.
const expireEvery = time.Second

func (d *Dispenser) expire(now time.Time) []Grant {
	if now.Sub(d.expired) < expireEvery {
		return nil
	}
	d.expired = now
	var grants []Grant
	late := func(w *waiter) bool { return !now.Before(w.ask.Demand.Deadline) }
	for _, g := range slices.Clone(d.gangs) {
		if late(g.waiter) {
			d.requeue(g)
		}
	}
	for i := range d.lanes {
		for _, w := range d.lanes[i].Remove(late) {
			r := notRun(barleystep.ReasonDeadline, "The time limit was reached in the queue.", d.drainTime(lane(i)))
			grants = append(grants, Grant{Attempt: w.ask.Demand.Attempt, Box: w.ask.Box, Refusal: r})
		}
	}
	return grants
}

// String describes the dispenser for logs.
func (d *Dispenser) String() string {
	return fmt.Sprintf("targets=%d grants=%d short=%d long=%d giant=%d", len(d.targets), len(d.holdings),
		d.lanes[laneShort].Len(), d.lanes[laneLong].Len(), d.lanes[laneGiant].Len())
}
