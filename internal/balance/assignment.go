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
	minPart = 15 * time.Millisecond
)

// assignment is a choice of engines that read a long prompt.
type assignment struct {
	first   fleet.Target
	helpers []fleet.Target
	// memory is what each helper of a giant sets aside.
	kvTokens int
	// wait is how long the engines still read something else, and expected when the
	// first event comes.
	wait         time.Duration
	expectedTTFT time.Duration
	// harm is how many streams are held up for too long, by what they are worth.
	stallCost float64
	// passing is the part of harm that passes: engines for long prompts get no new
	// short streams.
	transientStallCost float64
	// cost is what all of this costs callers.
	cost float64
	// short and long are the engines that are meant for short and for long prompts.
	shortEngines int
	longEngines  int
}

// assign returns the placement of a prompt at the engines that were chosen for it, and
// tells how they were.
func (b *Balancer) placeAssignment(j Job, g assignment) *Placement {
	b.logAssignment(j, g)
	return b.longPlacement(j, g.first, g.helpers, g.kvTokens, g.expectedTTFT)
}

// waited returns for how long a job's caller has waited since it first tried.
func (b *Balancer) waited(j Job) time.Duration { return b.Clock.Now().Sub(j.firstArrival()) }

// first returns when the job's caller first tried.
func (j Job) firstArrival() time.Time {
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
		Int("prompt", j.PromptTokens).Dur("waited", b.waited(j)).Dur("expected", g.expectedTTFT).
		Float64("harm", g.stallCost).Int("engines_short", g.shortEngines).Int("engines_long", g.longEngines).
		Float64("demand_short", d.Short).Float64("demand_long", d.Long).Int("waiting", len(b.longQueue)).
		Msg(logPrefix + "The engines of a long prompt were chosen.")
}

// bestAssignment returns the choice that costs callers the least.
func (b *Balancer) bestAssignment(j Job, engines []fleet.Target) assignment {
	prefill := j.Cost.Prefill(j.PromptTokens)
	r := b.divideRegions(j, engines)
	decoders := r.decoders
	if len(decoders) == 0 || isOversized(j) {
		decoders = engines
	}
	first := b.chooseDecoder(j, decoders)
	others, risks := b.helperCandidates(j, first, r, prefill)
	most := min(len(others), maxHelpers, int(prefill/minPart))
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
	best.shortEngines, best.longEngines = len(r.short), len(r.long())
	return best
}

// evaluate returns what it costs to have the prompt read by these engines; ok is false
// if they lack the memory for a giant.
func (b *Balancer) evaluate(j Job, first fleet.Target, helpers []fleet.Target, risks []float64) (g assignment, ok bool) {
	g = assignment{first: first, helpers: helpers, wait: b.totalWork(first.ID).Backlog}
	if isOversized(j) {
		if g.kvTokens, ok = b.kvTokensPerHelper(j, helpers); !ok {
			return g, false
		}
	}
	prefill := j.Cost.Prefill(j.PromptTokens) / time.Duration(len(helpers)+1)
	g.transientStallCost = b.stallCost(j, first, prefill)
	g.stallCost = g.transientStallCost
	for i, t := range helpers {
		stallCost := b.stallCost(j, t, prefill)
		if risks[i] == 0 {
			g.transientStallCost += stallCost
		}
		g.stallCost += stallCost + risks[i]
		g.wait = max(g.wait, b.totalWork(t.ID).Backlog)
	}
	g.expectedTTFT = g.wait + prefill + j.Cost.Pass()
	g.cost = g.stallCost + latenessCost(j, b.waited(j)+g.expectedTTFT)
	return g, true
}

// placement returns the placement of a prompt at an engine with helpers that each read
// an equal part. Each helper sets so much memory aside; without any, the first
// engine holds all of it.
func (b *Balancer) longPlacement(j Job, first fleet.Target, helpers []fleet.Target, kvTokens int, expectedTTFT time.Duration) *Placement {
	total := j.Cost.Prefill(j.PromptTokens)
	prefill := total / time.Duration(len(helpers)+1)
	p := &Placement{Target: first, expectedTTFT: expectedTTFT}
	own := Work{Long: 1, PendingPrefills: 1}
	if kvTokens == 0 {
		own.KVTokens = j.PromptTokens + j.OutputTokens
	}
	p.parts = append(p.parts, &part{target: first.ID, work: own, prefill: prefill, pass: j.Cost.Pass()})
	for _, t := range helpers {
		p.Helpers = append(p.Helpers, Helper{ID: t.ID, Addr: t.Addr, Hall: t.Hall, KVTokens: kvTokens})
		p.parts = append(p.parts, &part{target: t.ID, work: Work{KVTokens: kvTokens}, prefill: prefill, pass: j.Cost.Pass()})
	}
	return p
}

// helpers returns the engines that may help, best first: those where a part of
// usual size costs the least; and what each one risks besides.
func (b *Balancer) helperCandidates(j Job, first fleet.Target, r regions, prefill time.Duration) (targets []fleet.Target, risks []float64) {
	usual := prefill / (maxHelpers / 2)
	type candidate struct {
		target fleet.Target
		cost   float64
		risk   float64
	}
	var list []candidate
	add := func(pool []fleet.Target, risk float64) {
		for _, t := range pool {
			far := j.LocalHelpers && t.Hall != first.Hall
			if t.ID != first.ID && !far && b.canHelp(t) {
				list = append(list, candidate{t, b.partCost(j, t, usual) + risk, risk})
			}
		}
	}
	add(r.prefillers, 0)
	add(r.short, shortRegionRisk)
	if isOversized(j) {
		add(r.decoders, 0) // Its memory may need all engines.
	}
	available := slices.DeleteFunc(slices.Clone(list), func(c candidate) bool { return b.inHelperBackoff(c.target) })
	if !isOversized(j) || fitsEngines(j, len(available)+1) {
		list = available
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
func (b *Balancer) canHelp(t fleet.Target) bool { return b.totalWork(t.ID).PendingPrefills == 0 }

// roomiest returns the engine of the pool with memory for the prompt that has
// the least to do, or, if it fits none, the one with the most memory free.
func (b *Balancer) chooseDecoder(j Job, pool []fleet.Target) fleet.Target {
	need := j.PromptTokens + j.OutputTokens
	best, least := -1, math.Inf(1)
	for i, t := range pool {
		w := b.totalWork(t.ID)
		score := w.Backlog.Seconds() + b.errorWait(t).Seconds() + float64(w.Long)*longStreamCost.Seconds() + float64(w.Short)*shortStreamCost.Seconds() + b.randFloat()/perMilli
		if lack := need - (j.Cost.KVTokens - w.KVTokens); lack > 0 {
			score += noRoomScore + float64(lack)
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
	longStreamCost  = 100 * time.Millisecond
	shortStreamCost = 40 * time.Millisecond
	// noRoom is the score from which on an engine lacks memory.
	noRoomScore = 1e6
	perMilli    = 1000
)
