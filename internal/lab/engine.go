package lab

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/timeline"
)

// engine is one model engine by the published cost model: it works in passes over
// all that it has. A pass in which somebody writes has Stride token steps, each of
// which may read a chunk of prompts; one without writers has a single step.
type engine struct {
	target   fleet.Target
	cost     *fleet.CostModel
	timeline *timeline.Timeline
	// slowness multiplies the time of each pass.
	slowness    float64
	dead        bool
	incarnation int // lives counts the deaths.
	// naming is set while it names how much it takes.
	statedLimit *statedLimit

	// parts are read before prompts, the one that came last first. The first engine's
	// own part of a prompt is among the prompts.
	parts    []*prefill
	prompts  []*prefill
	decoding []*run
	waiting  []*run
	memory   int
	busy     bool
}

// reading is what an engine has to read of a prompt: all of it, or a part.
type prefill struct {
	run       *run
	remaining int
	// whole is set for a prompt that is read by one engine.
	whole bool
	// perToken is the time for a token of a part: every part bears its share of
	// the pairs of the whole prompt.
	perToken time.Duration
}

// run is one attempt of a request at an engine and its helpers.
type run struct {
	request *request
	first   *engine
	helpers []*engine
	// unread counts the parts that are still being read.
	pendingParts int
	tokens       int // tokens is the memory that the run takes at its first engine.
	emitted      int // written counts the events that were written.
	events       int // events is how many it has to write.
	running      bool
	over         bool
	// event and failed tell the box what becomes of the run, unhelped that a helper
	// is dead, and news that there is word of a restart.
	event           func(p pass)
	failed          func()
	helperFailed    func()
	engineRestarted func()
	// down reports whether the box takes an engine to be down.
	believedDown func(e *engine) bool
}

// pass says what an engine did in one pass, to tell why streams paused.
type pass struct {
	took time.Duration
	// parts, long and short are the time that reading parts, long prompts and short
	// ones took of it.
	parts time.Duration
	long  time.Duration
	short time.Duration
}

// start takes a run on, or lets it wait for a slot or for memory.
func (e *engine) start(r *run) {
	if e.dead {
		e.timeline.After(dialTimeout, r.failed)
		return
	}
	e.waiting = append(e.waiting, r)
	e.wake()
}

// deadStall is after how long a box learns that an engine is dead: its connection
// is not taken.
const dialTimeout = 250 * time.Millisecond

// help takes on a part of a prompt.
func (e *engine) help(r *run, tokens int, perToken time.Duration) {
	if e.dead {
		e.timeline.After(dialTimeout, r.helperFailed)
		return
	}
	e.parts = append(e.parts, &prefill{run: r, remaining: tokens, perToken: perToken})
	e.wake()
}

// wake begins a pass if there is something to do.
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

// admit takes on what waits, in the order in which it came, while there are slots
// and memory. What fits passes what does not.
func (e *engine) admit() {
	var left []*run
	for _, r := range e.waiting {
		if e.running() >= e.cost.Slots || e.memory+r.tokens > e.cost.KVTokens {
			left = append(left, r)
			continue
		}
		e.memory += r.tokens
		r.running = true
		e.startPrefill(r)
	}
	e.waiting = left
}

// running counts the runs that hold a slot.
func (e *engine) running() int {
	return len(e.decoding) + len(e.prompts)
}

// read begins to read the run's prompt, with the run's helpers if it has any.
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

// plan decides what the next pass does, and returns what is to be done at its end.
func (e *engine) plan() (p pass, end func(p pass)) {
	steps := 1
	decoding := slices.Clone(e.decoding)
	if len(decoding) > 0 {
		steps = e.cost.Stride
	}
	p.took = time.Duration(steps) * e.stepTime()
	budget := steps * e.cost.PrefillChunk
	var done []*prefill
	read := func(r *prefill) {
		tokens := min(budget, r.remaining)
		if tokens == 0 && r.remaining > 0 {
			return
		}
		budget -= tokens
		p.note(r, e.cost, r.take(tokens, e.cost))
		if r.remaining == 0 {
			done = append(done, r)
		}
	}
	for i := len(e.parts) - 1; i >= 0; i-- {
		read(e.parts[i])
	}
	for _, r := range e.prompts {
		read(r)
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

// take reads tokens and returns how long that takes.
func (r *prefill) take(tokens int, cost *fleet.CostModel) time.Duration {
	before := r.remaining
	r.remaining -= tokens
	if !r.whole {
		return time.Duration(tokens) * r.perToken
	}
	prompt := r.run.request.prompt
	return cost.Prefill(prompt-r.remaining) - cost.Prefill(prompt-before)
}

func (p *pass) note(r *prefill, cost *fleet.CostModel, took time.Duration) {
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

// stop ends a run wherever it stands, and its parts.
func (r *run) stop() {
	if r.over {
		return
	}
	r.over = true
	if r.running {
		r.first.memory -= r.tokens
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

// die ends the engine; what depends on it fails after a stall.
func (e *engine) crash() {
	for _, r := range e.kill() {
		e.timeline.After(dialTimeout, r.failureFunc(e))
	}
}

// fails returns what tells the run's box that an engine of it is dead.
func (r *run) failureFunc(e *engine) func() {
	if r.first == e {
		return r.failed
	}
	return r.helperFailed
}

// kill ends the engine and returns the runs that depend on it.
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
	e.memory = 0
	return lost
}

// id returns the engine's name.
func (e *engine) id() barleystep.TargetID { return e.target.ID }
