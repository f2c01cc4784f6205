package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/barleystep/barleystep/internal/fleet"
)

const (
	// maxHelpers is the most engines that may help one prompt.
	maxHelpers = 16
	// leastPart is the smallest part that a prompt is divided into: smaller ones
	// cost more passes than they save.
	leastPart = 15 * time.Millisecond
)

// assignment is a choice of engines that read a long prompt.
type assignment struct {
	first   fleet.Target
	helpers []fleet.Target
	// memory is what each helper of a giant sets aside.
	memory int
	// wait is how long the engines still read something else, and expected when the
	// first event comes.
	wait     time.Duration
	expected time.Duration
	// harm is how many streams are held up for too long, by what they are worth.
	harm float64
	// passing is the part of harm that passes: engines for long prompts get no new
	// short streams.
	passing float64
	// cost is what all of this costs callers.
	cost float64
	// short and long are the engines that are meant for short and for long prompts.
	short int
	long  int
}

// assign returns the placement of a prompt at the engines that were chosen for it, and
// tells how they were.
func (b *Balancer) assign(j Job, g assignment) *Placement {
	b.logAssignment(j, g)
	return b.placement(j, g.first, g.helpers, g.memory, g.expected)
}

// waited returns for how long a job's caller has waited since it first tried.
func (b *Balancer) waited(j Job) time.Duration { return b.Clock.Now().Sub(j.first()) }

// first returns when the job's caller first tried.
func (j Job) first() time.Time {
	if j.FirstArrival.IsZero() {
		return j.Arrival
	}
	return j.FirstArrival
}

func (b *Balancer) logAssignment(j Job, g assignment) {
	if b.Log == nil {
		return
	}
	d := b.demand(j.Service)
	b.Log.Info().Str("request", j.RequestID).Str("target", string(g.first.ID)).Int("helpers", len(g.helpers)).
		Int("prompt", j.PromptTokens).Dur("waited", b.waited(j)).Dur("expected", g.expected).
		Float64("harm", g.harm).Int("engines_short", g.short).Int("engines_long", g.long).
		Float64("demand_short", d.Short).Float64("demand_long", d.Long).Int("waiting", len(b.heavyQueue)).
		Msg(logPrefix + "The engines of a long prompt were chosen.")
}

// bestAssignment returns the choice that costs callers the least.
func (b *Balancer) bestAssignment(j Job, engines []fleet.Target) assignment {
	read := j.Cost.Prefill(j.PromptTokens)
	r := b.divide(j, engines)
	writers := r.writers
	if len(writers) == 0 || giant(j) {
		writers = engines
	}
	first := b.roomiest(j, writers)
	others, risks := b.helpers(j, first, r, read)
	most := min(len(others), maxHelpers, int(read/leastPart))
	if j.NoHelpers {
		most = 0
	}
	best, least := assignment{}, math.Inf(1)
	for k := 0; k <= most; k++ {
		g, ok := b.evaluate(j, first, others[:k], risks)
		if ok && g.cost < least {
			best, least = g, g.cost
		}
	}
	best.short, best.long = len(r.light), len(r.heavy())
	return best
}

// evaluate returns what it costs to have the prompt read by these engines; ok is false
// if they lack the memory for a giant.
func (b *Balancer) evaluate(j Job, first fleet.Target, helpers []fleet.Target, risks []float64) (g assignment, ok bool) {
	g = assignment{first: first, helpers: helpers, wait: b.work(first.ID).Backlog}
	if giant(j) {
		if g.memory, ok = b.memoryEach(j, helpers); !ok {
			return g, false
		}
	}
	share := j.Cost.Prefill(j.PromptTokens) / time.Duration(len(helpers)+1)
	g.passing = b.harm(j, first, share)
	g.harm = g.passing
	for i, t := range helpers {
		harm := b.harm(j, t, share)
		if risks[i] == 0 {
			g.passing += harm
		}
		g.harm += harm + risks[i]
		g.wait = max(g.wait, b.work(t.ID).Backlog)
	}
	g.expected = g.wait + share + j.Cost.Pass()
	g.cost = g.harm + lateCost(j, b.waited(j)+g.expected)
	return g, true
}

// placement returns the placement of a prompt at an engine with helpers that each read
// an equal part. Each helper sets so much memory aside; without any, the first
// engine holds all of it.
func (b *Balancer) placement(j Job, first fleet.Target, helpers []fleet.Target, memory int, expected time.Duration) *Placement {
	read := j.Cost.Prefill(j.PromptTokens)
	share := read / time.Duration(len(helpers)+1)
	p := &Placement{Target: first, expected: expected}
	own := Work{Long: 1, PendingPrefills: 1}
	if memory == 0 {
		own.KVTokens = j.PromptTokens + j.OutputTokens
	}
	p.parts = append(p.parts, &part{target: first.ID, work: own, share: share, pass: j.Cost.Pass()})
	for _, t := range helpers {
		p.Helpers = append(p.Helpers, Helper{ID: t.ID, Addr: t.Addr, Hall: t.Hall, KVTokens: memory})
		p.parts = append(p.parts, &part{target: t.ID, work: Work{KVTokens: memory}, share: share, pass: j.Cost.Pass()})
	}
	return p
}

// helpers returns the engines that may help, best first: those where a part of
// usual size costs the least; and what each one risks besides.
func (b *Balancer) helpers(j Job, first fleet.Target, r regions, read time.Duration) (targets []fleet.Target, risks []float64) {
	usual := read / (maxHelpers / 2)
	type candidate struct {
		target fleet.Target
		cost   float64
		risk   float64
	}
	var list []candidate
	add := func(pool []fleet.Target, risk float64) {
		for _, t := range pool {
			far := j.LocalHelpers && t.Hall != first.Hall
			if t.ID != first.ID && !far && b.helps(t) {
				list = append(list, candidate{t, b.partCost(j, t, usual) + risk, risk})
			}
		}
	}
	add(r.readers, 0)
	add(r.light, lightRisk)
	if giant(j) {
		add(r.writers, 0) // Its memory may need all engines.
	}
	sound := slices.DeleteFunc(slices.Clone(list), func(c candidate) bool { return b.blamed(c.target) })
	if !giant(j) || fits(j, len(sound)+1) {
		list = sound
	}
	b.shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	slices.SortStableFunc(list, func(x, y candidate) int { return cmp.Compare(x.cost, y.cost) })
	for _, c := range list {
		targets = append(targets, c.target)
		risks = append(risks, c.risk)
	}
	return targets, risks
}

// helps reports whether an engine may be given a part of a prompt: not while it
// has a long prompt of its own to read. It reads parts first, so that its own prompt
// would wait for as long as new parts come.
func (b *Balancer) helps(t fleet.Target) bool { return b.work(t.ID).PendingPrefills == 0 }

// roomiest returns the engine of the pool with memory for the prompt that has
// the least to do, or, if it fits none, the one with the most memory free.
func (b *Balancer) roomiest(j Job, pool []fleet.Target) fleet.Target {
	need := j.PromptTokens + j.OutputTokens
	best, least := -1, math.Inf(1)
	for i, t := range pool {
		w := b.work(t.ID)
		score := w.Backlog.Seconds() + b.errorWait(t).Seconds() + float64(w.Long)*writerCost.Seconds() + float64(w.Short)*lightHarm.Seconds() + b.chance()/perMilli
		if lack := need - (j.Cost.KVTokens - w.KVTokens); lack > 0 {
			score += noRoom + float64(lack)
		}
		if score < least {
			best, least = i, score
		}
	}
	return pool[best]
}

const (
	// writerCost and lightHarm are what a long and a short stream in progress
	// count for, in reading time, when an engine for a long prompt is chosen.
	writerCost = 100 * time.Millisecond
	lightHarm  = 40 * time.Millisecond
	// noRoom is the score from which on an engine lacks memory.
	noRoom   = 1e6
	perMilli = 1000
)
