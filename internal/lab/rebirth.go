package lab

import (
	"time"

	"github.com/barleystep/barleystep/internal/balance"
)

const (
	// rebirth is how long an engine is down that starts anew under its id, and newsDelay how
	// long after its start the boxes have read of it.
	rebirth   = 600 * time.Millisecond
	newsDelay = 100 * time.Millisecond
	// downSilence and leastSilence are after how long a box gives up a silent engine: one
	// that seems to be down, and any other. silenceLook is how often it looks.
	downSilence  = 500 * time.Millisecond
	leastSilence = 1500 * time.Millisecond
	silenceLook  = 100 * time.Millisecond
)

// fallSilent ends the engine without a word, and has it start anew.
func (d *day) fallSilent(e *engine) {
	lost := e.kill()
	for _, r := range lost {
		d.timeline.After(downSilence, func() { r.silent(e, downSilence) })
	}
	d.timeline.After(rebirth, func() { e.dead = false })
	d.timeline.After(rebirth+newsDelay, func() { d.tellRebirth(e, lost) })
}

// silent gives the run up if its box takes the engine to be down, or has waited for long.
func (r *run) silent(e *engine, waited time.Duration) {
	if waited >= leastSilence || r.down(e) {
		r.fails(e)()
		return
	}
	e.timeline.After(silenceLook, func() { r.silent(e, waited+silenceLook) })
}

// tellRebirth lets all boxes read of the engine's start, if it says it.
func (d *day) tellRebirth(e *engine, lost []*run) {
	if !d.load.ReportsStart {
		return
	}
	e.target.StartMS = d.timeline.Elapsed().Milliseconds()
	for _, b := range d.boxes {
		b.balancer.DetectRestarts()
		d.poll(b)
	}
	for _, r := range lost {
		r.news()
	}
}

// leave sends the request to other engines if its placement is lost.
func (a *attempt) leave() {
	if a.choice.placement == nil {
		return
	}
	select {
	case <-a.choice.placement.Lost():
		a.again(balance.Report{}, a.choice.first.id())
	default:
	}
}
