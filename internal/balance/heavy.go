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
	// promptPause is how long a long prompt's own stream may pause: its callers
	// grant it a few times what short streams may.
	promptPause = 350 * time.Millisecond
	// heavyHarm is what holding up the stream of a long prompt counts for,
	// where holding up a short one counts 1.
	heavyHarm = 3.0
	// lightRisk is what reading at an engine for short prompts counts for even
	// while it has none: one may be on its way.
	lightRisk = 2.0
	// pauseRoom is the part of the tightest pause that a pass may take which is known
	// in advance: short prompts that come meanwhile are read in it too.
	pauseRoom = 0.8
	// weightPower is how the worth of a prompt in time grows with its length,
	// against the usual prompt.
	weightPower = 0.75
	// usualWeight is the worth of the usual prompt, where holding up a short
	// stream counts 1.
	usualWeight = 2.0
	// easyPart is the part of the objective within which the first event is
	// surely in time: the estimates are rough.
	easyPart = 0.5
	// lateWorth is what an answer that comes late is worth, where one in time counts 1
	// more: callers have some use for it.
	lateWorth = 0.5
	// callerPatience is for how many objectives callers wait for the first event.
	callerPatience = 4
	// smallest keeps a division from being one by nothing.
	smallest = 1e-9
	// waitCost is what a second of waiting counts for by itself, so that of two
	// ways without harm the faster is taken.
	waitCost = 0.2
)

// readAhead is how much an engine may still have to read when it is given the next
// part. An engine reads the part that came last first, so that parts that overlap
// hold each other up.
const readAhead = 80 * time.Millisecond

// placeHeavy sends a long prompt to an engine that writes such prompts and
// chooses how many others help to read it, and which: those where it holds up
// the fewest streams. It returns nothing while these engines read something else:
// a prompt that waits here can still go to others, or let a shorter one pass.
func (b *Balancer) placeHeavy(j Job, engines []fleet.Target) *Placement {
	g := b.bestGroup(j, engines)
	if g.wait > readAhead || b.lull(j, g) {
		return nil
	}
	b.logGroup(j, g)
	return b.group(j, g.first, g.helpers, 0, g.expected)
}

const (
	// lullStep is how far ahead it is looked whether a prompt should wait for streams
	// to end, and streamLife how long a short stream lasts on when nothing is known
	// of it but that it runs.
	lullStep   = 250 * time.Millisecond
	streamLife = 900 * time.Millisecond
	// idleCost is what a second counts for in which the engines of a prompt wait for
	// it.
	idleCost = 1.0
)

// lull reports whether the prompt should wait until some of the streams that it
// would hold up have ended: whether that saves more than the prompt loses.
func (b *Balancer) lull(j Job, g readers) bool {
	waited := b.Clock.Now().Sub(j.Since)
	saved := g.passing * (1 - math.Exp(-lullStep.Seconds()/streamLife.Seconds()))
	lost := lateCost(j, waited+g.expected+lullStep) - lateCost(j, waited+g.expected)
	return saved > lost+idleCost*lullStep.Seconds()
}

// readers is a way to read a long prompt.
type readers struct {
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

// logGroup tells how the engines of a long prompt were chosen.
func (b *Balancer) logGroup(j Job, g readers) {
	if b.Log == nil {
		return
	}
	d := b.demand(j.Service)
	b.Log.Info().Str("request", j.Request).Str("target", string(g.first.ID)).Int("helpers", len(g.helpers)).
		Int("prompt", j.Prompt).Dur("waited", b.Clock.Now().Sub(j.Since)).Dur("expected", g.expected).
		Float64("harm", g.harm).Int("engines_short", g.short).Int("engines_long", g.long).
		Float64("demand_short", d.Light).Float64("demand_long", d.Heavy).Int("waiting", len(b.heavyQueue)).
		Msg(logPrefix + "The engines of a long prompt were chosen.")
}

// bestGroup returns the way to read the prompt that costs callers the least.
func (b *Balancer) bestGroup(j Job, engines []fleet.Target) readers {
	read := j.Cost.Read(j.Prompt)
	r := b.divide(j, engines)
	writers := r.writers
	if len(writers) == 0 || giant(j) {
		writers = engines
	}
	first := b.roomiest(j, writers)
	others, risks := b.helpers(j, first, r, read)
	most := min(len(others), maxHelpers, int(read/leastPart))
	if j.Alone {
		most = 0
	}
	best, least := readers{}, math.Inf(1)
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
func (b *Balancer) evaluate(j Job, first fleet.Target, helpers []fleet.Target, risks []float64) (g readers, ok bool) {
	g = readers{first: first, helpers: helpers, wait: b.work(first.ID).Backlog}
	if giant(j) {
		if g.memory, ok = b.memoryEach(j, helpers); !ok {
			return g, false
		}
	}
	share := j.Cost.Read(j.Prompt) / time.Duration(len(helpers)+1)
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
	waited := b.Clock.Now().Sub(j.Since)
	g.cost = g.harm + lateCost(j, waited+g.expected)
	return g, true
}

// group returns the placement of a prompt at an engine with helpers that each read
// an equal part. Each helper sets so much memory aside; without any, the first
// engine holds all of it.
func (b *Balancer) group(j Job, first fleet.Target, helpers []fleet.Target, memory int, expected time.Duration) *Placement {
	read := j.Cost.Read(j.Prompt)
	share := read / time.Duration(len(helpers)+1)
	p := &Placement{Target: first, expected: expected}
	own := Work{Heavy: 1, Unread: 1}
	if memory == 0 {
		own.Memory = j.Prompt + j.Output
	}
	p.parts = append(p.parts, &part{target: first.ID, work: own, share: share, pass: j.Cost.Pass()})
	for _, t := range helpers {
		p.Helpers = append(p.Helpers, Helper{ID: t.ID, Addr: t.Addr, Memory: memory})
		p.parts = append(p.parts, &part{target: t.ID, work: Work{Memory: memory}, share: share, pass: j.Cost.Pass()})
	}
	return p
}

// memoryPart is the part of an engine's memory that one prompt may take. A prompt
// that needs more has its memory set aside at its helpers.
const memoryPart = 0.9

// giant reports whether the prompt is longer than an engine's memory.
func giant(j Job) bool {
	return float64(j.Prompt+j.Output) > memoryPart*float64(j.Cost.Memory)
}

// placeGiant places a prompt that is longer than an engine's memory: its memory is
// spread over its helpers. It returns nothing if these have other things to read, or
// if their streams are worth more than the prompt: many of them would be held up for
// long.
func (b *Balancer) placeGiant(j Job, engines []fleet.Target) *Placement {
	g := b.bestGroup(j, engines)
	gain := worthOf(j)*(1+lateWorth) - lateLoss(j, g.expected)
	if g.memory == 0 || g.wait > readAhead || g.harm > gain {
		return nil
	}
	b.note(j, j.Cost.Read(j.Prompt), true)
	b.logGroup(j, g)
	return b.group(j, g.first, g.helpers, g.memory, g.expected)
}

// memoryEach returns the memory that each of the helpers of a giant sets aside; ok is
// false if one of them has less free.
func (b *Balancer) memoryEach(j Job, helpers []fleet.Target) (tokens int, ok bool) {
	if len(helpers) == 0 {
		return 0, false
	}
	each := (j.Prompt+j.Output)/len(helpers) + 1
	for _, t := range helpers {
		if float64(b.work(t.ID).Memory+each) > memoryPart*float64(j.Cost.Memory) {
			return 0, false
		}
	}
	return each, true
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
			if t.ID != first.ID && b.helps(t) {
				list = append(list, candidate{t, b.partCost(j, t, usual) + risk, risk})
			}
		}
	}
	add(r.readers, 0)
	add(r.light, lightRisk)
	if giant(j) {
		add(r.writers, 0) // Its memory may need all engines.
	}
	b.shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	slices.SortStableFunc(list, func(x, y candidate) int { return cmp.Compare(x.cost, y.cost) })
	for _, c := range list {
		targets = append(targets, c.target)
		risks = append(risks, c.risk)
	}
	return targets, risks
}

// partCost is what it counts for that the engine reads a part: the streams that it
// holds up, and the lateness of the prompt.
func (b *Balancer) partCost(j Job, t fleet.Target, share time.Duration) float64 {
	return b.harm(j, t, share) + lateCost(j, b.work(t.ID).Backlog+share+j.Cost.Pass())
}

// helps reports whether an engine may be given a part of a prompt: not while it
// has a long prompt of its own to read. It reads parts first, so that its own prompt
// would wait for as long as new parts come.
func (b *Balancer) helps(t fleet.Target) bool { return b.work(t.ID).Unread == 0 }

// harm is how many streams of the engine would be held up for longer than they
// may pause if it reads a part, weighted by what they are worth.
func (b *Balancer) harm(j Job, t fleet.Target, share time.Duration) float64 {
	w := b.work(t.ID)
	pass := w.Backlog + share + j.Cost.Pass()
	harm := 0.0
	if float64(pass) > pauseRoom*float64(j.Tightest) {
		harm += float64(w.Light)
	}
	if pass > promptPause {
		harm += heavyHarm * float64(w.Heavy)
	}
	return harm
}

// lateCost is what it counts for that the first event comes after so long.
func lateCost(j Job, first time.Duration) float64 {
	return lateLoss(j, first) + waitCost*first.Seconds()
}

// lateLoss is the worth that is lost: that of being in time by the objective, and what
// is left of it when the caller gives up.
func lateLoss(j Job, first time.Duration) float64 {
	objective := j.Objective.Seconds()
	late := ramp(first.Seconds(), easyPart*objective, objective)
	gone := ramp(first.Seconds(), objective, callerPatience*objective)
	return worthOf(j) * (late + lateWorth*gone)
}

// worthOf is what a prompt in time counts for.
func worthOf(j Job) float64 {
	return usualWeight * math.Pow(float64(j.Prompt)/max(float64(j.Cost.UsualPrompt), 1), weightPower)
}

// ramp returns how far x is on its way between two values, 0 to 1.
func ramp(x, from, to float64) float64 {
	return min(max((x-from)/max(to-from, smallest), 0), 1)
}

// roomiest returns the engine of the pool with memory for the prompt that has
// the least to do, or, if it fits none, the one with the most memory free.
func (b *Balancer) roomiest(j Job, pool []fleet.Target) fleet.Target {
	need := j.Prompt + j.Output
	best, least := -1, math.Inf(1)
	for i, t := range pool {
		w := b.work(t.ID)
		score := w.Backlog.Seconds() + b.errorWait(t).Seconds() + float64(w.Heavy)*writerCost.Seconds() + float64(w.Light)*lightHarm.Seconds() + b.chance()/perMilli
		if lack := need - (j.Cost.Memory - w.Memory); lack > 0 {
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
