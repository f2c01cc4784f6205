package lab

import (
	"time"

	"github.com/barleystep/barleystep/internal/balance"
)

const (
	// rebirth is how long an engine is down that starts anew under its id, and newsDelay how
	// long after its start the boxes have read of it.
	engineRestartTime  = 600 * time.Millisecond
	restartNoticeDelay = 100 * time.Millisecond
	// downSilence and leastSilence are after how long a box gives up a silent engine: one
	// that seems to be down, and any other. silenceLook is how often it looks.
	downTimeout         = 500 * time.Millisecond
	silenceTimeout      = 1500 * time.Millisecond
	silencePollInterval = 100 * time.Millisecond
)

// fallSilent ends the engine without a word, and has it start anew.
func (d *day) crashSilently(e *engine) {
	lost := e.kill()
	for _, r := range lost {
		d.timeline.After(downTimeout, func() { r.checkSilence(e, downTimeout) })
	}
	d.timeline.After(engineRestartTime, func() { e.dead = false })
	d.timeline.After(engineRestartTime+restartNoticeDelay, func() { d.announceRestart(e, lost) })
}

// silent gives the run up if its box takes the engine to be down, or has waited for long.
func (r *run) checkSilence(e *engine, waited time.Duration) {
	if waited >= silenceTimeout || r.believedDown(e) {
		r.failureFunc(e)()
		return
	}
	e.timeline.After(silencePollInterval, func() { r.checkSilence(e, waited+silencePollInterval) })
}

// tellRebirth lets all boxes read of the engine's start, if it says it.
func (d *day) announceRestart(e *engine, lost []*run) {
	if !d.load.ReportsStart {
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

// leave sends the request to other engines if its placement is lost.
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
