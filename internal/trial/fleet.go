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
	// hopDelay is the delay of a message within a hall.
	hopDelay = 300 * time.Microsecond
	// stallTimeout is how long a box waits for the first token, beyond the time for
	// the prefill, before it gives up the attempt.
	stallTimeout = 20 * time.Second
	// retryDelay is the delay before a failed request is retried.
	retryDelay   = 20 * time.Millisecond
	loadInterval = time.Second
)

// dispatcher decides when and at which engines requests run.
type dispatcher interface {
	// submit accepts a new request or one to be retried.
	submit(r *request)
	// firstToken and ended report the progress of an attempt; ok is false for a
	// failed one.
	firstToken(a *attempt)
	ended(a *attempt, ok bool)
	// loadReport receives an engine's load report.
	loadReport(id barleystep.TargetID, l barleystep.Load)
	// boxCrashed reports that a box has crashed; its requests are already dropped.
	boxCrashed(box int)
}

// fleet holds the engines of a run and the attempts in progress.
type fleet struct {
	sim         *timeline.Timeline
	speed       EngineSpeed
	engines     []*simEngine
	byID        map[barleystep.TargetID]*simEngine
	reportDelay time.Duration // reportDelay is the delay of load reports.
	dispatch    dispatcher
	lastSerial  uint64
	inProgress  map[*attempt]bool
}

// attempt is one try of a request, at one engine or at several together.
type attempt struct {
	id        barleystep.AttemptID
	request   *request
	targets   []barleystep.TargetID
	jobs      []*job
	toPrefill int // toPrefill counts the parts whose prefill has not finished.
	started   bool
	finished  bool
}

func newFleet(s *timeline.Timeline, speed EngineSpeed) *fleet {
	f := &fleet{sim: s, speed: speed, byID: make(map[barleystep.TargetID]*simEngine), reportDelay: loadInterval / 2, inProgress: make(map[*attempt]bool)}
	for i := range engines {
		e := &simEngine{id: barleystep.TargetID(fmt.Sprintf("e%02d", i)), speed: speed, sim: s}
		f.engines = append(f.engines, e)
		f.byID[e.id] = e
	}
	s.Every(loadInterval, f.report)
	return f
}

// report sends the load reports of all engines that have not crashed.
func (f *fleet) report() {
	for _, e := range f.engines {
		if e.crashed {
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

// nextID returns a new attempt id of the box.
func (f *fleet) nextID(box int) barleystep.AttemptID {
	f.lastSerial++
	return barleystep.NewAttemptID(barleystep.BoxID(fmt.Sprintf("b%d", box)), 1, f.lastSerial)
}

// send starts an attempt at the targets. Each of several targets prefills and
// keeps an equal part of the prompt.
func (f *fleet) send(r *request, id barleystep.AttemptID, targets []barleystep.TargetID, priority int) {
	a := &attempt{id: id, request: r, targets: targets, toPrefill: len(targets)}
	r.tries++
	f.inProgress[a] = true
	n := len(targets)
	for range targets {
		j := &job{
			request:      r,
			attempt:      id,
			priority:     priority,
			conversation: r.conversation,
			toPrefill:    (r.prompt + n - 1) / n,
			kvTokens:     (r.prompt + r.output + n - 1) / n,
			// Each part occupies its KV cache until the whole output is generated.
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

// startStallTimer fails the attempt if its first token does not come in time, as an
// entry box does. The limit is stallTimeout plus slack times the nominal prefill time.
func (f *fleet) startStallTimer(a *attempt) {
	const slack = 8
	prefillTime := time.Duration(float64(a.request.prompt) / f.speed.PrefillRate * slack * float64(time.Second))
	f.sim.After(stallTimeout+prefillTime, func() {
		if !a.finished && !a.started {
			f.fail(a)
		}
	})
}

// partPrefilled records that one part of the prompt has been prefilled; the last
// part yields the first token.
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

// partDone ends the attempt when the first of its parts has finished decoding.
func (f *fleet) partDone(a *attempt) {
	if a.finished || a.toPrefill > 0 {
		return
	}
	a.finished = true
	delete(f.inProgress, a)
	f.releaseParts(a)
	a.request.ended = true
	f.sim.After(hopDelay, func() { f.dispatch.ended(a, true) })
}

// releaseParts cancels the attempt's jobs at all of its engines.
func (f *fleet) releaseParts(a *attempt) {
	for i, t := range a.targets {
		f.byID[t].cancel(a.jobs[i])
	}
}

// fail ends an attempt without a complete answer. The request is retried at another
// engine unless the caller has already received a part of the answer.
func (f *fleet) fail(a *attempt) {
	if a.finished {
		return
	}
	a.finished = true
	delete(f.inProgress, a)
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

// crashBox drops the requests of a crashed box. The clean-up frees the engines
// after cleanupDelay.
func (f *fleet) crashBox(box int) {
	for _, a := range f.attempts() {
		if a.request.box != box {
			continue
		}
		a.finished = true
		a.request.refused = true
		delete(f.inProgress, a)
		f.sim.After(cleanupDelay, func() { f.releaseParts(a) })
	}
}

// attempts returns the attempts in progress, ordered by id.
func (f *fleet) attempts() []*attempt {
	list := make([]*attempt, 0, len(f.inProgress))
	for a := range f.inProgress {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id.Number() < list[j].id.Number() })
	return list
}

const cleanupDelay = 5 * time.Second
