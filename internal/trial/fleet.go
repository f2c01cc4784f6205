package trial

import (
	"fmt"
	"sort"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/timeline"
)

const (
	boxes   = 3
	engines = 8
	// hop is the way of a message within a hall.
	hopDelay = 300 * time.Microsecond
	// stall is after how long without a token a box gives an attempt up, beyond
	// the reading time.
	stallTimeout = 20 * time.Second
	// retryPause is the wait before a failed request is tried again.
	retryDelay   = 20 * time.Millisecond
	loadInterval = time.Second
)

// dispatcher decides where and when requests run.
type dispatcher interface {
	// submit takes a request that has arrived or comes back.
	submit(r *request)
	// first and ended tell what became of an attempt. Full is false.
	firstToken(a *attempt)
	ended(a *attempt, ok bool)
	// load brings a load report.
	loadReport(id barleystep.TargetID, l barleystep.Load)
	// boxDied tells that a box is gone; its requests were already dropped.
	boxCrashed(box int)
}

// fleet is the engines of a run and the attempts at them.
type fleet struct {
	sim         *timeline.Timeline
	speed       EngineSpeed
	engines     []*simEngine
	byID        map[barleystep.TargetID]*simEngine
	reportDelay time.Duration // lag is how late load reports come.
	dispatch    dispatcher
	lastSerial  uint64
	live        map[*attempt]bool
}

// attempt is one try of a request at one engine, or at several together.
type attempt struct {
	id        barleystep.AttemptID
	request   *request
	targets   []barleystep.TargetID
	jobs      []*job
	toPrefill int // unread counts the parts that are still being read.
	started   bool
	finished  bool
}

func newFleet(s *timeline.Timeline, speed EngineSpeed) *fleet {
	f := &fleet{sim: s, speed: speed, byID: make(map[barleystep.TargetID]*simEngine), reportDelay: loadInterval / 2, live: make(map[*attempt]bool)}
	for i := range engines {
		e := &simEngine{id: barleystep.TargetID(fmt.Sprintf("e%02d", i)), speed: speed, sim: s}
		f.engines = append(f.engines, e)
		f.byID[e.id] = e
	}
	s.Every(loadInterval, f.report)
	return f
}

func (f *fleet) report() {
	for _, e := range f.engines {
		if e.dead {
			continue
		}
		l := e.loadReport()
		id := e.id
		f.sim.After(f.reportDelay, func() {
			l.At = f.sim.Now()
			f.dispatch.loadReport(id, l)
		})
	}
}

// nextID returns an attempt id.
func (f *fleet) nextID(box int) barleystep.AttemptID {
	f.lastSerial++
	return barleystep.NewAttemptID(barleystep.BoxID(fmt.Sprintf("b%d", box)), 1, f.lastSerial)
}

// send starts an attempt at the targets. Together they read and hold a part of
// the prompt each; the first of them generates.
func (f *fleet) send(r *request, id barleystep.AttemptID, targets []barleystep.TargetID, priority int) {
	a := &attempt{id: id, request: r, targets: targets, toPrefill: len(targets)}
	r.tries++
	f.live[a] = true
	n := len(targets)
	for range targets {
		j := &job{
			request:      r,
			attempt:      id,
			priority:     priority,
			conversation: r.conversation,
			toPrefill:    (r.prompt + n - 1) / n,
			kvTokens:     (r.prompt + r.output + n - 1) / n,
			// Every part is held as long as the whole generates.
			toDecode: r.output,
			onFailed: func(time.Duration) { f.fail(a) },
		}
		j.onFirstToken = func(time.Duration) { f.partPrefilled(a) }
		j.onDone = func(time.Duration) { f.partDone(a) }
		a.jobs = append(a.jobs, j)
	}
	f.sim.After(hopDelay, func() {
		for i, t := range targets {
			f.byID[t].add(a.jobs[i])
		}
	})
	f.startStallTimer(a)
}

// watch gives up an attempt that has got no token for too long, as an entry box
// does.
func (f *fleet) startStallTimer(a *attempt) {
	const slack = 8
	prefillTime := time.Duration(float64(a.request.prompt) / f.speed.PrefillRate * slack * float64(time.Second))
	f.sim.After(stallTimeout+prefillTime, func() {
		if !a.finished && !a.started {
			f.fail(a)
		}
	})
}

func (f *fleet) partPrefilled(a *attempt) {
	a.toPrefill--
	if a.toPrefill > 0 || a.finished {
		return
	}
	a.started = true
	if a.request.firstToken == 0 {
		a.request.firstToken = f.sim.Elapsed()
	}
	f.sim.After(hopDelay, func() {
		if !a.finished {
			f.dispatch.firstToken(a)
		}
	})
}

// partDone ends the attempt when its first part has generated all.
func (f *fleet) partDone(a *attempt) {
	if a.finished || a.toPrefill > 0 {
		return
	}
	a.finished = true
	delete(f.live, a)
	f.releaseParts(a)
	a.request.ended = true
	f.sim.After(hopDelay, func() { f.dispatch.ended(a, true) })
}

// drop frees what the attempt holds anywhere.
func (f *fleet) releaseParts(a *attempt) {
	for i, t := range a.targets {
		f.byID[t].cancel(a.jobs[i])
	}
}

// fail ends an attempt without an answer; the request is tried elsewhere unless
// the caller has seen a part of the answer.
func (f *fleet) fail(a *attempt) {
	if a.finished {
		return
	}
	a.finished = true
	delete(f.live, a)
	f.releaseParts(a)
	for _, t := range a.targets {
		f.byID[t].startStep()
	}
	f.dispatch.ended(a, false)
	r := a.request
	if a.started {
		r.ended = true
		return
	}
	r.failedTargets = append(r.failedTargets, a.targets[0])
	f.sim.After(retryDelay, func() { f.dispatch.submit(r) })
}

// killBox drops the requests of a box that has died. Its clean-up frees the
// engines a few seconds later.
func (f *fleet) killBox(box int) {
	for _, a := range f.attempts() {
		if a.request.box != box {
			continue
		}
		a.finished = true
		a.request.refused = true
		delete(f.live, a)
		f.sim.After(cleanupDelay, func() { f.releaseParts(a) })
	}
}

// attempts returns the live attempts in the order of their ids.
func (f *fleet) attempts() []*attempt {
	list := make([]*attempt, 0, len(f.live))
	for a := range f.live {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id.Number() < list[j].id.Number() })
	return list
}

const cleanupDelay = 5 * time.Second
