package lab

import (
	"time"

	"github.com/barleystep/barleystep/internal/balance"
)

const (
	// engineRestartTime is how long an engine is down that restarts under its id,
	// restartNoticeDelay how long after that the boxes have read its new start time.
	engineRestartTime  = 600 * time.Millisecond
	restartNoticeDelay = 100 * time.Millisecond
	// downTimeout and silenceTimeout are how long a box waits for an engine that does not respond:
	// one that it believes to be down, and any other. silencePollInterval is the time between two
	// checks.
	downTimeout         = 500 * time.Millisecond
	silenceTimeout      = 1500 * time.Millisecond
	silencePollInterval = 100 * time.Millisecond
)

// crashSilently kills the engine without failing its connections, and restarts it.
func (d *day) crashSilently(e *engine) {
	lost := e.kill()
	for _, r := range lost {
		d.timeline.After(downTimeout, func() { r.checkSilence(e, downTimeout) })
	}
	d.timeline.After(engineRestartTime, func() { e.dead = false })
	d.timeline.After(engineRestartTime+restartNoticeDelay, func() { d.announceRestart(e, lost) })
}

// checkSilence fails the run if its box believes the engine to be down or has waited for
// silenceTimeout. Otherwise it checks again later.
func (r *run) checkSilence(e *engine, waited time.Duration) {
	if waited >= silenceTimeout || r.believedDown(e) {
		r.failureFunc(e)()
		return
	}
	e.timeline.After(silencePollInterval, func() { r.checkSilence(e, waited+silencePollInterval) })
}

// announceRestart makes all boxes read the engine's new start time, if engines report it.
func (d *day) announceRestart(e *engine, lost []*run) {
	if !d.scenario.ReportsStart {
		return
	}
	e.target.StartMS = d.timeline.Elapsed().Milliseconds()
	for _, b := range d.boxes {
		b.balancer.DetectRestarts()
		d.poll(b)
	}
	for _, r := range lost {
		r.engineRestarted()
	}
}

// retryIfLost sends the request to other engines if its placement is lost.
func (a *attempt) retryIfLost() {
	if a.choice.placement == nil {
		return
	}
	select {
	case <-a.choice.placement.Lost():
		a.retry(balance.Report{}, a.choice.first.id())
	default:
	}
}
