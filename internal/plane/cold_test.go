//go:build !race

package plane_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
)

const (
	// coldTargets turn cold at the same moment, as a hall's do that has been evacuated, and accept
	// coldPerSecond each. Callers ask for twice that.
	coldTargets   = 30
	coldPerSecond = 4
	coldDemand    = 2 * coldTargets * coldPerSecond
	coldStart     = 5 * time.Second
	coldEnd       = 11 * time.Second
)

// TestColdHall checks that targets which all turn cold under load get, in any second, at most one and
// a half times what they accept and five requests from all boxes together, those that have just
// started included, and that they get most of what they accept.
func TestColdHall(t *testing.T) {
	in := func(halls, boxes int, events ...event) scenario {
		return scenario{halls: halls, boxes: boxes, duration: coldEnd + time.Second, events: events}
	}
	cases := map[string]struct {
		scenario    scenario
		utilization float64
	}{
		"nine boxes":                {in(3, 9), 0.8},
		"a hundred boxes":           {in(5, 100), 0.8},
		"three hundred boxes":       {in(5, 300), 0.8},
		"the lead is killed":        {in(5, 100, event{7 * time.Second, killCollector("")}), 0.6},
		"a hall is cut off":         {in(3, 9, event{coldStart, cutHall("hall-2")}), 0.6},
		"all are killed, and start": {in(5, 100, event{7 * time.Second, killAll}), 0.4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPool(traffic{
				count: coldTargets, perSecond: coldDemand, limit: func(int, time.Duration) barleystep.RateLimit { return barleystep.RateLimit{} },
				coldRate: barleystep.NewRateLimit(coldPerSecond), coldFrom: coldStart, coldUntil: coldEnd,
			})
			tc.scenario.load, tc.scenario.measureFrom = p, tc.scenario.duration
			simulate(t, tc.scenario)
			most, used := p.countCold()
			t.Logf("at most %d in a second, used %.2f", most, used)
			quicktest.Check(t, float64(most) <= 1.5*coldPerSecond+5, quicktest.IsTrue, quicktest.Commentf("%d in a second", most))
			quicktest.Check(t, used >= tc.utilization, quicktest.IsTrue, quicktest.Commentf("used %.2f", used))
		})
	}
}

// countCold returns the largest number of requests that a target got in a second of its cold phase,
// and the ratio of all requests in that phase to what the targets accept.
func (p *pool) countCold() (most int, used float64) {
	const travel = 10 * time.Millisecond // Requests sent before the phase arrive within it.
	all := 0
	for _, list := range p.arrivals {
		var recent []time.Duration
		for _, a := range list {
			if a.at < coldStart+travel || a.at >= coldEnd {
				continue
			}
			all++
			recent = append(recent, a.at)
			for a.at-recent[0] >= time.Second {
				recent = recent[1:]
			}
			most = max(most, len(recent))
		}
	}
	return most, float64(all) / (coldTargets * coldPerSecond * (coldEnd - coldStart).Seconds())
}
