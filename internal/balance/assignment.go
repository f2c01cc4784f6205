package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/schedule"
)

const (
	// maxHelpers is the largest number of helpers for one prompt.
	maxHelpers = 16
	// minPart is the shortest prefill time of one part of a divided prompt. Smaller parts cost more
	// in extra passes than they save.
	minPart = 15 * time.Millisecond
)

// helperCounts are the numbers of helpers that are compared: the more helpers there are, the less one
// more changes.
var helperCounts = [...]int{0, 1, 2, 3, 4, 6, 8, 10, 12, 14, maxHelpers}

// assignment is a choice of engines for the prefill of a long prompt.
type assignment struct {
	first   fleet.Target
	helpers []fleet.Target
	// kvTokens is the KV cache, in tokens, that each helper of an oversized prompt reserves.
	kvTokens int
	// start is when all its engines have time for their parts, and expectedTTFT the expected time to
	// the first event.
	start        time.Duration
	expectedTTFT time.Duration
	// stallCost is the number of streams that are stalled for too long, weighted by their worth.
	stallCost float64
	// transientStallCost is the part of stallCost that shrinks with time, because engines for long
	// prompts get no new short streams.
	transientStallCost float64
	// cost is the total cost of the choice to callers.
	cost float64
	// shortEngines and longEngines are the sizes of the regions for short and for long prompts.
	shortEngines int
	longEngines  int
}

// placeAssignment returns the placement for the assignment and logs it.
func (b *Balancer) placeAssignment(j Job, g assignment) *Placement {
	b.logAssignment(j, g)
	return b.longPlacement(j, g.first, g.helpers, g.kvTokens, g.expectedTTFT)
}

// waited returns the time since the job's caller first tried.
func (b *Balancer) waited(j Job) time.Duration { return b.Clock.Now().Sub(j.firstArrival()) }

// firstArrival returns when the job's caller first tried.
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

// bestAssignment returns the assignment with the lowest cost to callers.
func (b *Balancer) bestAssignment(j Job, engines []fleet.Target) assignment {
	prefill := j.Cost.Prefill(j.PromptTokens)
	r := b.plannedRegions(j, engines)
	decoders := r.decoders
	if len(decoders) == 0 || isOversized(j) {
		decoders = engines
	}
	first := b.chooseDecoder(j, decoders)
	list := b.helperCandidates(j, first, r, prefill)
	most := min(len(list), maxHelpers, int(prefill/minPart))
	if j.NoHelpers {
		most = 0
	}
	best, least := assignment{}, math.Inf(1)
	for _, k := range helperCounts {
		if k > most {
			break
		}
		g, ok := b.evaluate(j, first, list, k)
		if ok && g.cost < least {
			best, least = g, g.cost
		}
	}
	best.shortEngines, best.longEngines = len(r.short), len(r.long())
	return best
}

// evaluate returns the assignment of the prompt to the first engine and as many helpers of the list,
// with its cost. ok is false if these lack the KV cache for an oversized prompt.
func (b *Balancer) evaluate(j Job, first fleet.Target, list []helperCandidate, count int) (g assignment, ok bool) {
	g.first = first
	chosen := list[:count]
	if isOversized(j) {
		if g.kvTokens, chosen = b.withKVCache(j, list, count); len(chosen) < count || count == 0 {
			return g, false
		}
	}
	prefill := j.Cost.Prefill(j.PromptTokens) / time.Duration(count+1)
	g.transientStallCost = b.stallCost(j, first, prefill)
	g.stallCost = g.transientStallCost
	g.helpers = make([]fleet.Target, 0, len(chosen))
	for _, c := range chosen {
		g.helpers = append(g.helpers, c.target)
		stallCost := b.stallCost(j, c.target, prefill)
		if c.risk == 0 {
			g.transientStallCost += stallCost
		}
		g.stallCost += stallCost + c.risk
	}
	parts := b.scheduledParts(j, first, g.helpers)
	g.start = schedule.Earliest(parts)
	length, lost := time.Duration(0), time.Duration(0)
	for _, p := range parts {
		length = max(length, p.Length)
		lost += g.start - p.Timeline.Free() + p.Length - prefill
	}
	g.expectedTTFT = b.slowed(g.start+length+j.Cost.Pass(), first, g.helpers)
	g.cost = g.stallCost + latenessCost(j, b.waited(j)+g.expectedTTFT) + b.lostTimePrice()*lost.Seconds()
	return g, true
}

// longPlacement returns the placement of a long prompt at an engine and helpers, each of which
// prefills an equal part. Each helper reserves kvTokens of KV cache; with zero, the first engine
// holds the whole prompt.
func (b *Balancer) longPlacement(j Job, first fleet.Target, helpers []fleet.Target, kvTokens int, expectedTTFT time.Duration) *Placement {
	total := j.Cost.Prefill(j.PromptTokens)
	prefill := total / time.Duration(len(helpers)+1)
	p := &Placement{Target: first, expectedTTFT: expectedTTFT}
	own := Work{Long: 1, PendingPrefills: 1}
	if kvTokens == 0 {
		own.KVTokens = j.PromptTokens + j.OutputTokens
	} else {
		p.kvTokens, p.cost = j.PromptTokens+j.OutputTokens, j.Cost
	}
	p.parts = append(p.parts, &part{target: first.ID, work: own, prefill: prefill, pass: j.Cost.Pass()})
	for _, t := range helpers {
		p.Helpers = append(p.Helpers, Helper{ID: t.ID, Addr: t.Addr, Hall: t.Hall, KVTokens: kvTokens})
		p.parts = append(p.parts, &part{target: t.ID, work: Work{KVTokens: kvTokens}, prefill: prefill, pass: j.Cost.Pass()})
	}
	return p
}

// helperCandidate is an engine that may prefill a part of a prompt.
type helperCandidate struct {
	target fleet.Target
	// cost is the cost of a part of usual size there, and risk the part of it that stands for
	// prompts that may still arrive.
	cost float64
	risk float64
}

// helperCandidates returns the engines that may help, in ascending order of their cost.
func (b *Balancer) helperCandidates(j Job, first fleet.Target, r regions, prefill time.Duration) []helperCandidate {
	usual := prefill / (maxHelpers / 2)
	var list []helperCandidate
	add := func(pool []fleet.Target, risk float64) {
		for _, t := range pool {
			far := j.LocalHelpers && t.Hall != first.Hall
			if t.ID != first.ID && !far && b.canHelp(t) {
				list = append(list, helperCandidate{t, b.partCost(j, t, usual) + risk, risk})
			}
		}
	}
	add(r.prefillers, 0)
	add(r.short, shortRegionRisk)
	if isOversized(j) {
		add(r.decoders, 0) // The KV cache of all engines may be needed.
	}
	available := slices.DeleteFunc(slices.Clone(list), func(c helperCandidate) bool { return b.inHelperBackoff(c.target) })
	if !isOversized(j) || fitsEngines(j, len(available)+1) {
		list = available
	}
	b.shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	slices.SortStableFunc(list, func(x, y helperCandidate) int { return cmp.Compare(x.cost, y.cost) })
	return list
}

// canHelp reports whether an engine may be given a part of a prompt. An engine prefills parts
// first, so a long prompt of its own would wait for as long as new parts arrive.
func (b *Balancer) canHelp(t fleet.Target) bool { return b.totalWork(t.ID).PendingPrefills == 0 }

// chooseDecoder returns the least loaded engine of the pool with KV cache for the prompt, or, if
// none has enough, the one with the most free.
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
	// longStreamCost and shortStreamCost are what a long and a short stream in progress count for,
	// in prefill time, when an engine for a long prompt is chosen.
	longStreamCost  = 100 * time.Millisecond
	shortStreamCost = 40 * time.Millisecond
	// noRoomScore is added to the score of an engine that lacks KV cache for the prompt.
	noRoomScore = 1e6
	perMilli    = 1000
)
