package lab

import (
	"time"

	"github.com/barleystep/barleystep"
)

// RateLimit is a period in which an engine states how many requests per second it accepts from all
// boxes together.
type RateLimit struct {
	Engine    int
	PerSecond float64
	From      time.Duration
	Until     time.Duration
}

const (
	// limitWindow is the window in which the requests to an engine are counted. In it the engine
	// may get limitFactor times what its limit allows, plus limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitGrace is how long after its first statement of the limit requests to the engine start to
	// count. informedDelay is how long before a request its box must have been informed for it to
	// count as informed.
	limitGrace    = 3 * time.Second
	informedDelay = 500 * time.Millisecond
)

// LimitResult is what an engine received while it stated a limit.
type LimitResult struct {
	// Allowed is how many requests or parts of prompts it may get in a window. PeakInformed is the
	// highest number in any window from boxes that it had informed, Peak the highest from all
	// boxes.
	Allowed      float64
	PeakInformed int
	Peak         int
	// Received is the total number that it got after limitGrace, Acceptable the number that it
	// would have accepted in that time.
	Received   int
	Acceptable float64
}

// arrival is a request that reached an engine while it stated a limit. informed is set if the
// engine had informed the box.
type arrival struct {
	at       time.Duration
	informed bool
}

// statedLimit is a limit that an engine states, with the requests received meanwhile.
type statedLimit struct {
	RateLimit
	informed map[*box]time.Duration
	arrivals []arrival
	// first is when it first informed a box, or zero if it has informed none.
	first time.Duration
}

// scheduleLimits schedules the limits that engines state.
func (d *day) scheduleLimits() {
	for _, l := range d.scenario.Limits {
		n := &statedLimit{RateLimit: l, informed: make(map[*box]time.Duration)}
		d.statedLimits = append(d.statedLimits, n)
		e := d.engines[l.Engine]
		d.timeline.After(l.From, func() { e.statedLimit = n })
		d.timeline.After(l.Until, func() { e.statedLimit = nil })
	}
}

// limit returns the limit that the engine states now.
func (e *engine) limit() barleystep.RateLimit {
	if e.statedLimit == nil {
		return barleystep.RateLimit{}
	}
	return barleystep.NewRateLimit(e.statedLimit.PerSecond)
}

// count records a request of a box that reaches the engine.
func (e *engine) count(b *box) {
	n := e.statedLimit
	if n == nil {
		return
	}
	now := e.timeline.Elapsed()
	at, informed := n.informed[b]
	n.arrivals = append(n.arrivals, arrival{at: now, informed: informed && now-at >= informedDelay})
}

// count records a request of a box that reaches its engines. Each part of a prompt counts as a
// request.
func (c *choice) count(b *box) {
	c.first.count(b)
	for _, h := range c.helpers {
		h.count(b)
	}
}

// reportLimit delivers the header of an answer, with the engine's statement, to the box.
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

// result returns the counts of requests that the engine received.
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
