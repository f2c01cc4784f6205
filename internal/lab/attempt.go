package lab

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/timeline"
)

// simClock is the simulated clock of the balancer. Its timers never fire: the day polls for
// requests whose wait has ended.
type simClock struct{ *timeline.Timeline }

// NewTimer returns a timer that never fires.
func (simClock) NewTimer(time.Duration) barleystep.Timer { return idleTimer{} }

type idleTimer struct{}

// C returns a nil channel, which never delivers.
func (idleTimer) C() <-chan time.Time { return nil }

// Stop reports that the timer had not fired.
func (idleTimer) Stop() bool { return true }

// sendTry sends a try of the caller to its box.
func (d *day) sendTry(r *request) {
	if r.ended {
		return
	}
	r.tries++
	r.away = false
	r.sends, r.replans = 0, 0
	r.last = d.timeline.Elapsed()
	r.tryOffset = r.last - r.at
	if d.boxes[r.box].killed {
		r.box = d.pickBox() // The caller cannot connect to it.
	}
	b := d.boxes[r.box]
	if !b.up {
		d.retry(r, boxRestartTime, causeCut)
		return
	}
	r.via = b
	d.watchPatience(r, r.tries)
	d.place(b, r, nil)
}

// pickBox returns the number of a random box that has not been killed.
func (d *day) pickBox() int {
	for {
		if i := d.rng.IntN(len(d.boxes)); !d.boxes[i].killed {
			return i
		}
	}
}

// watchPatience ends the request once its caller has waited too long for the next event.
func (d *day) watchPatience(r *request, try int) {
	kind := d.scenario.Kinds[r.kind]
	patience := max(2*time.Second, 4*kind.Objective)
	if r.received > 0 {
		patience = max(patience, 8*kind.MaxPause)
	}
	now := d.timeline.Elapsed()
	due := min(r.last+patience, r.at+kind.Deadline)
	if now < due {
		d.timeline.After(due-now, func() {
			if !r.ended && r.tries == try && !r.away {
				d.watchPatience(r, try)
			}
		})
		return
	}
	d.noteWait(r)
	r.abandonTry()
	r.end(causeGone)
}

func (r *request) abandonTry() {
	if r.abandon != nil {
		r.abandon()
	}
}

func (r *request) end(c cause) {
	r.ended = true
	if c != causeNone {
		r.cause = c
	}
}

// retry makes the caller retry after the wait, but after at most a third of the time that is left.
// It ends the request if no try or no time is left.
func (d *day) retry(r *request, wait time.Duration, c cause) {
	kind := d.scenario.Kinds[r.kind]
	left := r.at + kind.Deadline - d.timeline.Elapsed()
	if r.tries >= maxTries || left <= 0 {
		r.end(c)
		return
	}
	r.abandon = nil
	r.away = true
	r.box = d.pickBox()
	r.received, r.first, r.pause, r.cause = 0, 0, 0, causeNone
	try := r.tries
	d.timeline.After(min(wait, left/3), func() {
		if r.tries == try {
			d.sendTry(r)
		}
	})
}

// boxID returns the id of the box with this number.
func boxID(number int) barleystep.BoxID { return barleystep.BoxID("b" + strconv.Itoa(number)) }

// job describes a request to the balancer.
func (d *day) job(r *request) balance.Job {
	kind := d.scenario.Kinds[r.kind]
	first := d.timeline.Now().Add(r.at - d.timeline.Elapsed())
	return balance.Job{
		Account:            strconv.Itoa(r.account),
		Box:                boxID(r.box),
		Priority:           kind.Priority,
		ColdLimit:          d.scenario.coldLimit(),
		Service:            service,
		PromptTokens:       r.prompt,
		OutputTokens:       r.events * d.scenario.Cost.Stride,
		Objective:          kind.Objective,
		Cost:               &d.scenario.Cost,
		MaxPause:           r.tightestPause,
		FirstArrival:       first,
		CallerRetry:        r.tries > 1,
		Replacement:        r.sends+r.replans > 0,
		FirstEventDeadline: first.Add(kind.Deadline),
	}
}

// place asks the policy for an engine.
func (d *day) place(b *box, r *request, avoid []barleystep.TargetID) {
	if d.policy.pick != nil {
		e := d.policy.pick(d, r, avoid)
		d.send(b, r, avoid, &choice{first: e})
		return
	}
	j := d.job(r)
	j.Avoid = avoid
	j.Hall = b.balancer.Hall
	asked := d.boxes[0] // The first box is the lead.
	p, w, err := asked.balancer.TryPlace(context.Background(), j)
	defer d.poll(asked) // An arrival may let others start.
	switch {
	case err != nil:
		d.refuse(r, err)
	case p != nil:
		d.dispatch(asked, b, r, avoid, p)
	default:
		d.wait(asked, b, r, avoid, w)
	}
}

// dispatch sends a placed request. The request's box adopts a placement made by the lead.
func (d *day) dispatch(asked, b *box, r *request, avoid []barleystep.TargetID, p *balance.Placement) {
	if asked != b {
		j := d.job(r)
		j.Avoid = avoid
		p = b.balancer.Adopt(j, asked.balancer.HandOver(p))
	}
	if p == nil {
		d.refuse(r, balance.ErrNoTarget)
		return
	}
	d.send(b, r, avoid, d.choiceOf(p))
}

func (d *day) refuse(r *request, err error) {
	wait := noTargetRetryDelay
	kind := d.scenario.Kinds[r.kind]
	d.noteRefused(r)
	if eris.Is(err, balance.ErrFull) {
		wait = kind.Deadline // retry shortens it to a third of the time left.
		if after, ok := refusedUntil(err); ok {
			wait = after
		}
		r.cameBack = r.cameBack || r.tries < maxTries
	}
	r.refusedEarly = r.sends == 0 && d.timeline.Elapsed()-r.at <= kind.Objective/earlyRefusalPart
	d.retry(r, wait, causeRefused)
}

// earlyRefusalPart is the divisor of the objective that gives the time within which a refusal
// leaves the caller enough time to retry.
const earlyRefusalPart = 4

// noTargetRetryDelay is when a caller may retry after no engine accepted its request.
const noTargetRetryDelay = 200 * time.Millisecond

// queuedRequest is a request that is queued at a box until a slot is free.
type queuedRequest struct {
	wait  *balance.QueuedJob
	box   *box // box is the one that received the request.
	avoid []barleystep.TargetID
}

// wait queues a request until the balancer of the box asked has a slot for it.
func (d *day) wait(asked, b *box, r *request, avoid []barleystep.TargetID, w *balance.QueuedJob) {
	asked.waits[r] = queuedRequest{w, b, avoid}
	asked.order = append(asked.order, r)
	r.abandon = func() {
		delete(asked.waits, r)
		if p, err := asked.balancer.Abandon(w); err == nil {
			p.Done(balance.Report{})
		}
	}
	d.timeline.After(w.Deadline().Sub(d.timeline.Now()), func() {
		if asked.waits[r].wait != w {
			return
		}
		delete(asked.waits, r)
		r.abandon = nil
		p, err := asked.balancer.Abandon(w)
		if err != nil {
			d.refuse(r, err)
			return
		}
		d.dispatch(asked, b, r, avoid, p)
	})
}

// poll dispatches the requests whose wait has ended.
func (d *day) poll(b *box) {
	var left []*request
	order := b.order
	b.order = nil
	for _, r := range order {
		w, ok := b.waits[r]
		if !ok {
			continue
		}
		select {
		case p := <-w.wait.Ready():
			delete(b.waits, r)
			r.abandon = nil
			if p == nil {
				d.refuse(r, w.wait.Err())
				continue
			}
			d.dispatch(b, w.box, r, w.avoid, p)
		default:
			left = append(left, r)
		}
	}
	b.order = append(left, b.order...)
	d.schedulePlanned(b)
}

// choice is the set of engines to which a request is sent.
type choice struct {
	first     *engine
	helpers   []*engine
	memory    int // memory is 0 if helpers hold the KV cache of the prompt, otherwise -1.
	placement *balance.Placement
}

func (d *day) choiceOf(p *balance.Placement) *choice {
	c := &choice{first: d.byID[p.Target.ID], placement: p, memory: -1}
	for _, h := range p.Helpers {
		c.helpers = append(c.helpers, d.byID[h.ID])
		if h.KVTokens > 0 {
			c.memory = 0
		}
	}
	return c
}

// replan places a request again whose placement does not work, without dead helpers or for lack of memory.
func (d *day) replan(b *box, r *request, avoid []barleystep.TargetID, c *choice) {
	c.placement.Done(balance.Report{})
	r.sends--
	r.replans++
	if r.replans >= maxReplans {
		d.retry(r, noTargetRetryDelay, causeRefused)
		return
	}
	d.place(b, r, avoid)
}

// deadHelpers returns the helpers that are dead before the request is sent.
func (c *choice) deadHelpers() []barleystep.TargetID {
	var deadHelpers []barleystep.TargetID
	for _, h := range c.helpers {
		if h.dead {
			deadHelpers = append(deadHelpers, h.id())
		}
	}
	return deadHelpers
}

// dead returns a dead helper, or the first engine if no helper is dead.
func (c *choice) dead() barleystep.TargetID {
	for _, h := range c.helpers {
		if h.dead {
			return h.id()
		}
	}
	return c.first.id()
}

// attempt is one sending of a request to engines, with what is needed to handle its outcome.
type attempt struct {
	day     *day
	box     *box
	request *request
	avoid   []barleystep.TargetID
	choice  *choice
	run     *run
	sent    time.Time
}

// send sends the request to its engines.
func (d *day) send(b *box, r *request, avoid []barleystep.TargetID, c *choice) {
	r.sends++
	r.otherHall = c.first.target.Hall != b.balancer.Hall
	tokens := r.prompt + r.events*d.scenario.Cost.Stride
	if c.memory == 0 {
		tokens = 0
	}
	if deadHelpers := c.deadHelpers(); len(deadHelpers) > 0 {
		for _, id := range deadHelpers {
			c.placement.NoteUnreachable(id)
		}
		if !c.placement.DropHelpers(deadHelpers) {
			d.replan(b, r, append(slices.Clone(avoid), deadHelpers...), c)
			return
		}
		c.helpers = slices.DeleteFunc(c.helpers, func(e *engine) bool { return e.dead })
	}
	a := &attempt{day: d, box: b, request: r, avoid: avoid, choice: c, sent: d.timeline.Now()}
	a.run = &run{
		request: r, box: b, first: c.first, helpers: c.helpers, tokens: tokens, events: r.events - r.received, event: a.event,
		failed:       func() { a.retry(balance.Report{Unreachable: true}, c.first.id()) },
		helperFailed: func() { a.retry(balance.Report{}, c.dead()) },
	}
	a.run.engineRestarted = a.retryIfLost
	a.run.believedDown = func(e *engine) bool { return b.balancer.IsDown(e.id()) }
	r.run = a.run
	r.abandon = func() { a.end(balance.Report{}) }
	took, reserved := d.reserveMemory(c)
	d.timeline.After(took+networkDelay, func() {
		switch {
		case r.run != a.run || r.ended || a.run.over:
		case !reserved:
			a.withdraw()
		default:
			c.count(b)
			d.noteSent(r, c)
			c.first.start(a.run)
		}
	})
}

// withdraw places a request again for which helpers did not reserve memory.
func (a *attempt) withdraw() {
	a.request.abandon = nil
	a.run.stop()
	a.day.replan(a.box, a.request, a.avoid, a.choice)
}

// event delivers an event to the caller. The last one ends the request.
func (a *attempt) event(p pass) {
	r := a.request
	if a.run.emitted == 1 {
		a.reportLimit()
	}
	a.day.event(r, a.day.scenario.Kinds[r.kind], p)
	if a.choice.placement != nil {
		a.choice.placement.NoteFirstEvent()
	}
	if a.run.emitted == 1 {
		a.day.poll(a.box)
	}
	if r.received >= r.events {
		r.end(causeNone)
		r.abandon = nil
		a.end(balance.Report{})
	}
}

// end removes the attempt from its engines and reports the outcome to the balancer.
func (a *attempt) end(report balance.Report) {
	a.run.stop()
	if a.choice.placement != nil {
		a.choice.placement.Done(report)
		a.day.poll(a.box)
	}
}

// retry sends the request to other engines after a failure, or returns it to its caller after
// maxSends.
func (a *attempt) retry(report balance.Report, avoid barleystep.TargetID) {
	r := a.request
	if r.run != a.run || r.ended {
		return
	}
	r.abandon = nil
	a.end(report)
	if r.sends >= maxSends {
		a.day.retry(r, 0, causeGone)
		return
	}
	r.moved = r.received > 0
	a.day.place(a.box, r, append(slices.Clone(a.avoid), avoid))
}

// event records an event that the caller received.
func (d *day) event(r *request, kind Kind, p pass) {
	now := d.timeline.Elapsed()
	if r.received == 0 {
		r.first = now - r.at
		if r.first > kind.Objective {
			r.cause = causeFirst
		}
	} else if pause := now - r.last; pause > r.pause {
		r.pause = pause
		if pause > kind.MaxPause && r.cause == causeNone {
			r.cause = causeOf(r, p)
		}
	}
	r.received++
	r.last = now
}

func causeOf(r *request, p pass) cause {
	switch {
	case r.moved:
		return causeMoved
	case p.parts >= p.long && p.parts >= p.short:
		return causePart
	case p.long >= p.short:
		return causeLong
	default:
		return causeShort
	}
}
