package lab

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep/internal/balance"
)

const (
	// silenceDelay is how long after its last heartbeat gossip reports a box as silent.
	silenceDelay = 500 * time.Millisecond
	// minHeldEngines is the least number of engines with parts of a box that is killed, and
	// killPollInterval the time between two checks for such a box.
	minHeldEngines   = 8
	killPollInterval = 10 * time.Millisecond
)

// KillResult is what became of the engines on which a killed box had parts of long prompts.
type KillResult struct {
	At time.Duration
	// Held is the number of these engines.
	Held int
	// First and Median are how long after the kill the first of them, and half of them, were given
	// the next long prompt, or the rest of the day if they were not.
	First  time.Duration
	Median time.Duration
}

// kill is a kill of a box and the engines on which it had parts that were not prefilled.
type kill struct {
	at   time.Duration
	held []*engine
	next map[*engine]time.Duration
}

// scheduleKills schedules the kills of boxes.
func (d *day) scheduleKills() {
	for _, at := range d.scenario.BoxKills {
		if at >= d.scenario.Length {
			continue
		}
		d.timeline.After(at, d.killBox)
	}
}

// killBox kills the box with the most engines that prefill for it. It tries again later while there
// is none with minHeldEngines. The lead is never killed.
func (d *day) killBox() {
	var victim *box
	var held []*engine
	for _, b := range d.boxes[1:] {
		if h := d.heldEngines(b); b.up && len(h) > len(held) {
			victim, held = b, h
		}
	}
	if len(held) < minHeldEngines {
		if d.timeline.Elapsed() < d.scenario.Length {
			d.timeline.After(killPollInterval, d.killBox)
		}
		return
	}
	d.kills = append(d.kills, &kill{at: d.timeline.Elapsed(), held: held, next: make(map[*engine]time.Duration)})
	victim.up, victim.killed = false, true
	d.cutOff(victim)
	d.timeline.After(silenceDelay, func() { d.noteSilent(victim) })
}

// heldEngines returns the engines that have yet to prefill parts for the box.
func (d *day) heldEngines(b *box) (held []*engine) {
	for _, e := range d.engines {
		holds := func(p *prefill) bool { return !p.whole && p.run.box == b }
		if slices.ContainsFunc(e.parts, holds) || slices.ContainsFunc(e.prompts, holds) {
			held = append(held, e)
		}
	}
	return held
}

// cutOff ends the requests of a killed box: engines notice the closed connections, and the lead that
// nobody waits any more. Nothing is reported to the lead. Callers come back to other boxes.
func (d *day) cutOff(b *box) {
	for _, r := range d.allRequests {
		if r.ended || r.abandon == nil || r.via != b {
			continue
		}
		if r.run != nil && !r.run.over {
			r.run.stop()
		} else {
			r.abandonTry() // It waits at the lead.
		}
		r.run = nil
		d.retry(r, 0, causeCut)
	}
}

// noteSilent makes the boxes know that a box is silent: gossip no longer includes its work.
func (d *day) noteSilent(silent *box) {
	silent.silent = true
	reachable := 0
	for _, b := range d.boxes {
		if !b.silent {
			reachable++
		}
	}
	number := slices.Index(d.boxes, silent)
	for i, b := range d.boxes {
		if b.up {
			b.balancer.SetRole(balance.Role{IsLead: i == 0, Boxes: len(d.boxes), Reachable: reachable})
			b.balancer.DropPeer(boxID(number))
			d.poll(b)
		}
	}
}

// noteHeld notes that a long prompt has reached its engines.
func (d *day) noteHeld(r *request, c *choice) {
	if !d.isLong(r) {
		return
	}
	for _, k := range d.kills {
		if d.timeline.Elapsed()-networkDelay <= k.at {
			continue // It was placed before the kill.
		}
		for _, e := range append([]*engine{c.first}, c.helpers...) {
			if _, known := k.next[e]; !known {
				k.next[e] = d.timeline.Elapsed() - k.at
			}
		}
	}
}

// result returns when the engines of the killed box were given long prompts again.
func (k *kill) result(end time.Duration) KillResult {
	var times []time.Duration
	for _, e := range k.held {
		at, known := k.next[e]
		if !known {
			at = end - k.at
		}
		times = append(times, at)
	}
	slices.Sort(times)
	return KillResult{At: k.at, Held: len(times), First: times[0], Median: times[len(times)/2]}
}
