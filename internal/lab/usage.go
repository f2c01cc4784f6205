package lab

import (
	"sort"
	"time"
)

const (
	// windowLength is the length of the windows in which the use of the engines is measured, and
	// capacityInterval the time between two counts of the engines that take requests.
	windowLength     = 2 * time.Second
	capacityInterval = 100 * time.Millisecond
	// demandWindow is the time before a refusal over which the demand is measured, and lowDemand
	// the demand, as a part of what the engines can do, below which no long prompt should be
	// refused.
	demandWindow = 4 * time.Second
	lowDemand    = 0.7
	// vainWaitDivisor is the divisor of the objective that gives how long a prompt may wait before
	// it is refused.
	vainWaitDivisor = 4
)

// WindowResult is the use of the engines in one window.
type WindowResult struct {
	// Given is the prefill time of the prompts that were sent in the window, and Capacity the time
	// of the engines that took requests, both in engine seconds.
	Given    float64
	Capacity float64
	// Refused is the number of refusals of long prompts.
	Refused int
}

// usage is what is measured during a day.
type usage struct {
	windows []WindowResult
	// arrived is the prefill time of all prompts up to and including each one, by arrival.
	arrived []float64
	// refusedAtLowDemand counts the refusals of long prompts while the demand was low.
	refusedAtLowDemand int
	sentToEvacuated    int
	coldPeak           int
	slow               SlowResult
}

// startUsage starts to measure the use of the engines.
func (d *day) startUsage() {
	d.usage.windows = make([]WindowResult, int(d.scenario.Length/windowLength)+1)
	sum := 0.0
	for _, r := range d.allRequests {
		sum += d.scenario.Cost.Prefill(r.prompt).Seconds()
		d.usage.arrived = append(d.usage.arrived, sum)
	}
	d.timeline.Every(capacityInterval, func() {
		if w := d.window(); w != nil {
			w.Capacity += d.capacity() * capacityInterval.Seconds()
		}
	})
}

// window returns the current window, nil after the last prompt's arrival.
func (d *day) window() *WindowResult {
	now := d.timeline.Elapsed()
	if now > d.scenario.Length {
		return nil
	}
	return &d.usage.windows[int(now/windowLength)]
}

// capacity returns the number of engines that take requests. A slower one counts for less.
func (d *day) capacity() float64 {
	sum := 0.0
	for _, e := range d.engines {
		if !e.dead && e.target.TakesRequests() {
			sum += 1 / e.slowness
		}
	}
	return sum
}

// isLong reports whether the request is a long prompt.
func (d *day) isLong(r *request) bool { return d.scenario.Kinds[r.kind].Name == kindLong }

// noteSent notes that the request is sent to its engines.
func (d *day) noteSent(r *request, c *choice) {
	if w := d.window(); w != nil {
		w.Given += d.scenario.Cost.Prefill(r.prompt).Seconds()
	}
	r.foundCapacity = r.foundCapacity || r.cameBack
	d.noteHeld(r, c)
	for _, e := range append([]*engine{c.first}, c.helpers...) {
		d.noteTargetState(e)
	}
}

// noteRefused notes that a try of the request ends without an engine.
func (d *day) noteRefused(r *request) {
	d.noteWait(r)
	if !d.isLong(r) || r.sends > 0 {
		return
	}
	if w := d.window(); w != nil {
		w.Refused++
	}
	if d.recentDemand() < lowDemand*d.capacity() {
		d.usage.refusedAtLowDemand++
	}
}

// noteWait notes whether the request has waited too long in a try that gets no engine.
func (d *day) noteWait(r *request) {
	waited := d.timeline.Elapsed() - r.at - r.tryOffset
	if r.sends == 0 && waited > d.scenario.Kinds[r.kind].Objective/vainWaitDivisor {
		r.waitedInVain = true
	}
}

// recentDemand returns the prefill time of the prompts that have arrived in the last demandWindow,
// in engines.
func (d *day) recentDemand() float64 {
	now := d.timeline.Elapsed()
	until := func(t time.Duration) float64 {
		i := sort.Search(len(d.allRequests), func(i int) bool { return d.allRequests[i].at > t })
		if i == 0 {
			return 0
		}
		return d.usage.arrived[i-1]
	}
	return (until(now) - until(now-demandWindow)) / demandWindow.Seconds()
}
