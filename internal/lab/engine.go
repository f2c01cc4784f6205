package lab

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/timeline"
)

// engine simulates one model engine by the published cost model. It runs forward passes over all
// its work. A pass with decoding streams has Stride token steps, each of which may prefill a chunk
// of prompts. A pass without them has a single step.
type engine struct {
	target   fleet.Target
	cost     *fleet.CostModel
	timeline *timeline.Timeline
	// slowness multiplies the duration of each pass.
	slowness    float64
	dead        bool
	incarnation int // incarnation counts the deaths of the engine.
	// coldArrivals are the times at which requests arrived while the engine was cold.
	coldArrivals []time.Duration
	// statedLimit is set while the engine states a rate limit.
	statedLimit *statedLimit

	// parts are prefilled before prompts, the latest part first. The first engine's own part of a
	// prompt is among the prompts.
	parts      []*prefill
	prompts    []*prefill
	decoding   []*run
	waiting    []*run
	usedTokens int
	busy       bool
}

// prefill is what an engine has to prefill of a prompt: all of it, or a part.
type prefill struct {
	run       *run
	remaining int
	// whole is set for a prompt that one engine prefills alone.
	whole bool
	// perToken is the time for a token of a part. Each part bears its share of the attention pairs
	// of the whole prompt.
	perToken time.Duration
}

// run is one attempt of a request on an engine and its helpers.
type run struct {
	request *request
	box     *box // box is the one that sent it.
	first   *engine
	helpers []*engine
	// pendingParts counts the parts still to be prefilled.
	pendingParts int
	tokens       int // tokens is the KV cache that the run takes on its first engine.
	emitted      int // emitted counts the emitted events.
	events       int // events is the number of events to emit.
	running      bool
	over         bool
	// event and failed tell the box of an event and of the failure of the run, helperFailed that a
	// helper is dead, and engineRestarted that one of the engines has reported a restart.
	event           func(p pass)
	failed          func()
	helperFailed    func()
	engineRestarted func()
	// believedDown reports whether the box believes that an engine is down.
	believedDown func(e *engine) bool
}

// pass describes one forward pass, to find out why streams paused.
type pass struct {
	took time.Duration
	// parts, long and short are the times that it spent on prefill of parts, of long prompts and of
	// short ones.
	parts time.Duration
	long  time.Duration
	short time.Duration
}

// start queues a run until a slot and KV cache are free.
func (e *engine) start(r *run) {
	if e.dead {
		e.timeline.After(dialTimeout, r.failed)
		return
	}
	e.waiting = append(e.waiting, r)
	e.wake()
}

// dialTimeout is how long a box takes to learn that an engine is dead: the engine does not accept
// the connection.
const dialTimeout = 250 * time.Millisecond

// help accepts a part of a prompt.
func (e *engine) help(r *run, tokens int, perToken time.Duration) {
	if e.dead {
		e.timeline.After(dialTimeout, r.helperFailed)
		return
	}
	e.parts = append(e.parts, &prefill{run: r, remaining: tokens, perToken: perToken})
	e.wake()
}

// wake starts a pass if there is work.
func (e *engine) wake() {
	if e.busy || e.dead {
		return
	}
	e.admit()
	if len(e.decoding)+len(e.parts)+len(e.prompts) == 0 {
		return
	}
	e.busy = true
	p, end := e.plan()
	current := e.incarnation
	e.timeline.After(p.took, func() {
		if e.incarnation != current {
			return
		}
		e.busy = false
		end(p)
		e.wake()
	})
}

// admit starts queued runs in order of arrival while slots and KV cache are free. A run that fits
// may overtake one that does not.
func (e *engine) admit() {
	var left []*run
	for _, r := range e.waiting {
		if e.running() >= e.cost.Slots || e.usedTokens+r.tokens > e.cost.KVTokens {
			left = append(left, r)
			continue
		}
		e.usedTokens += r.tokens
		r.running = true
		e.startPrefill(r)
	}
	e.waiting = left
}

// running returns the number of runs that hold a slot.
func (e *engine) running() int {
	return len(e.decoding) + len(e.prompts)
}

// startPrefill starts the prefill of the run's prompt, on the run's helpers too if it has any.
func (e *engine) startPrefill(r *run) {
	prompt := r.request.prompt
	if len(r.helpers) == 0 {
		r.pendingParts = 1
		e.prompts = append(e.prompts, &prefill{run: r, remaining: prompt, whole: true})
		return
	}
	count := len(r.helpers) + 1
	r.pendingParts = count
	perToken := e.cost.Prefill(prompt) / time.Duration(max(prompt, 1))
	share := (prompt + count - 1) / count
	e.prompts = append(e.prompts, &prefill{run: r, remaining: share, perToken: perToken})
	for _, h := range r.helpers {
		h.help(r, share, perToken)
	}
}

// plan determines the work of the next pass and returns what is to be done at its end.
func (e *engine) plan() (p pass, end func(p pass)) {
	steps := 1
	decoding := slices.Clone(e.decoding)
	if len(decoding) > 0 {
		steps = e.cost.Stride
	}
	p.took = time.Duration(steps) * e.stepTime()
	budget := steps * e.cost.PrefillChunk
	var done []*prefill
	prefillNext := func(r *prefill) {
		tokens := min(budget, r.remaining)
		if tokens == 0 && r.remaining > 0 {
			return
		}
		budget -= tokens
		p.addTime(r, e.cost, r.take(tokens, e.cost))
		if r.remaining == 0 {
			done = append(done, r)
		}
	}
	for i := len(e.parts) - 1; i >= 0; i-- {
		prefillNext(e.parts[i])
	}
	for _, r := range e.prompts {
		prefillNext(r)
	}
	p.took = time.Duration(float64(p.took+p.parts+p.long+p.short) * e.slowness)
	return p, func(p pass) { e.end(p, decoding, done) }
}

func (e *engine) stepTime() time.Duration {
	d := e.cost.Step
	for _, w := range e.decoding {
		context := float64(w.request.prompt) / perThousand
		d += e.cost.PerStream + time.Duration(context*float64(e.cost.PerContext))
	}
	return d
}

const perThousand = 1000

// take prefills tokens and returns how long that takes.
func (r *prefill) take(tokens int, cost *fleet.CostModel) time.Duration {
	before := r.remaining
	r.remaining -= tokens
	if !r.whole {
		return time.Duration(tokens) * r.perToken
	}
	prompt := r.run.request.prompt
	return cost.Prefill(prompt-r.remaining) - cost.Prefill(prompt-before)
}

// addTime adds the prefill time of r to the sum of its class. A long prompt is one whose prefill
// takes more than half of the tightest pause limit.
func (p *pass) addTime(r *prefill, cost *fleet.CostModel, took time.Duration) {
	switch {
	case !r.whole:
		p.parts += took
	case cost.Prefill(r.run.request.prompt) > r.run.request.tightestPause/2:
		p.long += took
	default:
		p.short += took
	}
}

func (e *engine) end(p pass, decoding []*run, done []*prefill) {
	for _, w := range decoding {
		if w.over {
			continue
		}
		w.emitted++
		w.event(p)
		if w.emitted >= w.events && !w.over {
			w.stop()
		}
	}
	for _, r := range done {
		e.drop(r)
		r.run.pendingParts--
		if r.run.pendingParts == 0 && !r.run.over {
			r.run.first.decoding = append(r.run.first.decoding, r.run)
			r.run.first.wake()
		}
	}
}

func (e *engine) drop(r *prefill) {
	same := func(o *prefill) bool { return o == r }
	e.parts = slices.DeleteFunc(e.parts, same)
	e.prompts = slices.DeleteFunc(e.prompts, same)
}

// stop removes a run from its engines, whatever its state.
func (r *run) stop() {
	if r.over {
		return
	}
	r.over = true
	if r.running {
		r.first.usedTokens -= r.tokens
	}
	for _, e := range append([]*engine{r.first}, r.helpers...) {
		e.forget(r)
	}
}

func (e *engine) forget(r *run) {
	same := func(o *run) bool { return o == r }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.decoding = slices.DeleteFunc(e.decoding, same)
	mine := func(o *prefill) bool { return o.run == r }
	e.parts = slices.DeleteFunc(e.parts, mine)
	e.prompts = slices.DeleteFunc(e.prompts, mine)
}

// crash kills the engine. The runs that depend on it fail after dialTimeout.
func (e *engine) crash() {
	for _, r := range e.kill() {
		e.timeline.After(dialTimeout, r.failureFunc(e))
	}
}

// failureFunc returns the function that tells the run's box that the engine is dead.
func (r *run) failureFunc(e *engine) func() {
	if r.first == e {
		return r.failed
	}
	return r.helperFailed
}

// kill kills the engine and returns the runs that depended on it.
func (e *engine) kill() (lost []*run) {
	e.dead, e.busy = true, false
	e.incarnation++
	runs := append(slices.Clone(e.waiting), e.decoding...)
	for _, r := range slices.Concat(e.parts, e.prompts) {
		runs = append(runs, r.run)
	}
	for _, r := range runs {
		if r.over {
			continue
		}
		r.stop()
		lost = append(lost, r)
	}
	e.usedTokens = 0
	return lost
}

// id returns the engine's id.
func (e *engine) id() barleystep.TargetID { return e.target.ID }
