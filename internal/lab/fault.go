package lab

import (
	"time"

	"github.com/barleystep/barleystep"
)

// HallPeriod is a period in which the engines of a hall are in a special state.
type HallPeriod struct {
	Hall  barleystep.HallID
	From  time.Duration
	Until time.Duration
}

// Slowdown is a period in which each n-th engine, n being Every, takes Factor times the time.
type Slowdown struct {
	Every  int
	Factor float64
	From   time.Duration
	Until  time.Duration
}

// coldWindow is the window in which the requests to a cold engine are counted. It is the one in
// which a cold target counts them.
const coldWindow = time.Second

// scheduleHallPeriods schedules the evacuations and the cold starts.
func (d *day) scheduleHallPeriods() {
	for _, p := range d.scenario.Evacuations {
		d.timeline.After(p.From, func() { d.evacuate(p.Hall, true) })
		d.timeline.After(p.Until, func() { d.evacuate(p.Hall, false) })
	}
	for _, p := range d.scenario.ColdStarts {
		d.timeline.After(p.From, func() { d.coolDown(p) })
	}
}

// evacuate starts or ends the evacuation of a hall.
func (d *day) evacuate(hall barleystep.HallID, evacuated bool) {
	for _, e := range d.engines {
		if e.target.Hall == hall {
			e.target.Evacuated = evacuated
		}
	}
	d.announceTargets()
}

// coolDown makes the engines of a hall cold until the end of the period.
func (d *day) coolDown(p HallPeriod) {
	for _, e := range d.engines {
		if e.target.Hall == p.Hall {
			e.target.ColdUntil = d.timeline.Now().Add(p.Until - p.From)
		}
	}
	d.announceTargets()
}

// announceTargets makes all boxes read the changed targets.
func (d *day) announceTargets() {
	for _, b := range d.boxes {
		if b.up {
			b.balancer.DetectRestarts()
			d.poll(b)
		}
	}
}

// scheduleSlowdowns schedules the periods in which engines are slower.
func (d *day) scheduleSlowdowns() {
	for _, s := range d.scenario.Slowdowns {
		d.timeline.After(s.From, func() { d.slowDown(s, s.Factor) })
		d.timeline.After(s.Until, func() { d.slowDown(s, 1) })
	}
}

// slowDown sets by how much each n-th engine is slower.
func (d *day) slowDown(s Slowdown, factor float64) {
	for i := 0; i < len(d.engines); i += s.Every {
		d.engines[i].slowness = factor
	}
}

// coldLimit returns the rate that cold engines accept, unset if there is none.
func (l Scenario) coldLimit() barleystep.RateLimit {
	if l.ColdLimit == 0 {
		return barleystep.RateLimit{}
	}
	return barleystep.NewRateLimit(l.ColdLimit)
}

// noteTargetState counts a request that reaches an evacuated, cold or slow engine.
func (d *day) noteTargetState(e *engine) {
	now := d.timeline.Elapsed()
	if e.target.Evacuated {
		d.usage.sentToEvacuated++
	}
	if d.timeline.Now().Before(e.target.ColdUntil) {
		e.coldArrivals = append(e.coldArrivals, now)
		count := 0
		for _, at := range e.coldArrivals {
			if now-at < coldWindow {
				count++
			}
		}
		d.usage.coldPeak = max(d.usage.coldPeak, count)
	}
	d.noteSlowSend(e, now)
}

// noteSlowSend counts a request that reaches an engine while others are slower, from slowGrace on.
func (d *day) noteSlowSend(e *engine, now time.Duration) {
	for _, s := range d.scenario.Slowdowns {
		if now < s.From+slowGrace || now >= s.Until {
			continue
		}
		if e.slowness > 1 {
			d.usage.slow.SlowSends++
		} else {
			d.usage.slow.OtherSends++
		}
	}
}

// slowGrace is how long after engines have become slower the requests to them start to count: a
// long answer of before must have come.
const slowGrace = 2 * time.Second

// SlowResult is what the slower engines and the others received while there were both.
type SlowResult struct {
	SlowSends  int
	OtherSends int
	// SlowEngines and OtherEngines are the numbers of both.
	SlowEngines  int
	OtherEngines int
}

// Ratio returns how many requests a slower engine received for one of the others.
func (s SlowResult) Ratio() float64 {
	slow := float64(s.SlowSends) / float64(max(s.SlowEngines, 1))
	other := float64(s.OtherSends) / float64(max(s.OtherEngines, 1))
	return slow / max(other, 1)
}

// add adds the counts of another day with as many slower engines.
func (s *SlowResult) add(o SlowResult) {
	s.SlowSends += o.SlowSends
	s.OtherSends += o.OtherSends
	s.SlowEngines, s.OtherEngines = o.SlowEngines, o.OtherEngines
}

// slowResult returns the counts of the day.
func (d *day) slowResult() SlowResult {
	res := d.usage.slow
	for _, s := range d.scenario.Slowdowns {
		res.SlowEngines = (len(d.engines) + s.Every - 1) / s.Every
		res.OtherEngines = len(d.engines) - res.SlowEngines
	}
	return res
}
