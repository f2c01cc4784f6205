package lab

import (
	"time"

	"github.com/barleystep/barleystep"
)

// Limit is a time in which an engine names how many requests a second it takes from all
// boxes.
type RateLimit struct {
	Engine    int
	PerSecond float64
	From      time.Duration
	Until     time.Duration
}

const (
	// limitWindow is the time in which the requests to an engine are counted, and
	// limitFactor and limitSlack are what it may get in it: so many times what its limit
	// allows, and so many requests besides.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitContact is after how long from the first naming on it counts, and limitTold how
	// long before it a box must have been told whose requests do.
	limitGrace    = 3 * time.Second
	informedDelay = 500 * time.Millisecond
)

// LimitResult is what an engine got while it named a limit.
type LimitResult struct {
	// Allowed is how many requests, or parts of prompts, it may get in the window, Told the most that it got in
	// one from boxes that it had told, and Most the most from any box.
	Allowed      float64
	PeakInformed int
	Peak         int
	// Sent is how many it got in all from when it counts on, and Takes how many it would
	// have taken.
	Received   int
	Acceptable float64
}

// arrival is a request that reached an engine while it named a limit.
type arrival struct {
	at       time.Duration
	informed bool
}

// naming is a limit that an engine names, and what it has got meanwhile.
type statedLimit struct {
	RateLimit
	informed map[*box]time.Duration
	arrivals []arrival
	// first is when it first told a box, zero if it has told none.
	first time.Duration
}

// limits plans the limits of the engines.
func (d *day) scheduleLimits() {
	for _, l := range d.load.Limits {
		n := &statedLimit{RateLimit: l, informed: make(map[*box]time.Duration)}
		d.statedLimits = append(d.statedLimits, n)
		e := d.engines[l.Engine]
		d.timeline.After(l.From, func() { e.statedLimit = n })
		d.timeline.After(l.Until, func() { e.statedLimit = nil })
	}
}

// limit returns what the engine names now.
func (e *engine) limit() barleystep.RateLimit {
	if e.statedLimit == nil {
		return barleystep.RateLimit{}
	}
	return barleystep.NewRateLimit(e.statedLimit.PerSecond)
}

// count notes a request of a box that reaches the engine.
func (e *engine) count(b *box) {
	n := e.statedLimit
	if n == nil {
		return
	}
	now := e.timeline.Elapsed()
	at, informed := n.informed[b]
	n.arrivals = append(n.arrivals, arrival{at: now, informed: informed && now-at >= informedDelay})
}

// count notes a request of a box that reaches its engines. A part of a prompt counts as one.
func (c *choice) count(b *box) {
	c.first.count(b)
	for _, h := range c.helpers {
		h.count(b)
	}
}

// tell has a box read the head of an answer.
func (a *attempt) reportLimit() {
	e := a.choice.first
	if n := e.statedLimit; n != nil {
		if _, informed := n.informed[a.box]; !informed {
			n.informed[a.box] = e.timeline.Elapsed()
			n.first = orDefault(n.first, n.informed[a.box])
		}
	}
	if a.choice.placement != nil {
		a.choice.placement.NoteStatement(a.choice.placement.Target.ID, barleystep.Statement{Limit: e.limit()}, a.sent)
	}
}

// result counts what the engine got.
func (n *statedLimit) result() LimitResult {
	r := LimitResult{Allowed: limitFactor*n.PerSecond*limitWindow.Seconds() + limitSlack}
	if n.first == 0 {
		return r
	}
	from := n.first + limitGrace
	r.Acceptable = n.PerSecond * (n.Until - from).Seconds()
	for i, last := range n.arrivals {
		if last.at < from {
			continue
		}
		r.Received++
		all, informed := 0, 0
		for _, a := range n.arrivals[:i+1] {
			if a.at < from || last.at-a.at >= limitWindow {
				continue
			}
			all++
			if a.informed {
				informed++
			}
		}
		r.Peak, r.PeakInformed = max(r.Peak, all), max(r.PeakInformed, informed)
	}
	r.Acceptable = max(r.Acceptable, 0)
	return r
}
