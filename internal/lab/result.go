package lab

import (
	"cmp"
	"slices"
	"time"
)

// Result is the outcome of the prompts of one day, or of several.
type Result struct {
	// OfferedWorth, ServedWorth and BoundWorth are the worth of all prompts, of those served, and
	// of those that the upper bound serves.
	OfferedWorth float64
	ServedWorth  float64
	BoundWorth   float64
	// Kinds has the results of each kind.
	Kinds [kinds]KindResult
	// Limits has the results of the engines that stated limits, in the scenario's order.
	Limits []LimitResult
	// Priorities and Accounts have the results by priority and by the number of the account.
	Priorities []GroupResult
	Accounts   []GroupResult
	// Windows has the use of the engines in windows of two seconds.
	Windows []WindowResult
	// RefusedAtLowDemand counts the refusals of long prompts while callers asked for less than 0.7 of
	// what the engines could do, over four seconds.
	RefusedAtLowDemand int
	// Returned counts the callers that were told to come back and did, FoundCapacity those of them
	// whose prompt was then sent to an engine.
	Returned      int
	FoundCapacity int
	// Kills has the results of the boxes that were killed.
	Kills []KillResult
	// SentToEvacuated counts the requests that reached an evacuated engine. ColdPeak is the highest
	// number that reached a cold one in a second.
	SentToEvacuated int
	ColdPeak        int
	// Slow is what the slower engines received.
	Slow SlowResult
}

// KindResult is the outcome of the prompts of one kind.
type KindResult struct {
	Count        int
	OfferedWorth float64
	ServedWorth  float64
	Causes       [causes]int
	// OtherHall counts the prompts whose last engine is in another hall than their box.
	OtherHall int
	// WaitedInVain counts the prompts that waited in a try for more than a quarter of their
	// objective and were then refused or given up.
	WaitedInVain int
	// Sizes has the results by the length of the prompts.
	Sizes [sizes]SizeResult
}

const kinds = 3

// The classes of a kind by the length of its prompts: the longest tenth, the next fifth and the
// rest.
const (
	SizeLongestTenth = iota
	SizeNextFifth
	SizeRest
	sizes
)

// SizeResult is the outcome of the prompts of one kind and class of length.
type SizeResult struct {
	Count  int
	Served int
	InTime int
}

// ServedRate returns the fraction of the kind's prompts that got a complete answer.
func (k KindResult) ServedRate() float64 {
	var sum SizeResult
	for _, s := range k.Sizes {
		sum.Count += s.Count
		sum.Served += s.Served
	}
	return sum.Rate()
}

// Rate returns the fraction of the prompts that got a complete answer.
func (s SizeResult) Rate() float64 { return float64(s.Served) / float64(max(s.Count, 1)) }

// InTimeRate returns the fraction of the prompts whose answer was complete and in time.
func (s SizeResult) InTimeRate() float64 { return float64(s.InTime) / float64(max(s.Count, 1)) }

// LateRate returns the fraction of the prompts whose answer was complete and late.
func (s SizeResult) LateRate() float64 { return s.Rate() - s.InTimeRate() }

// add counts a prompt.
func (s *SizeResult) add(r *request, k Kind) {
	s.Count++
	if r.received < r.events {
		return
	}
	s.Served++
	if r.pause <= k.MaxPause && r.first <= k.Objective {
		s.InTime++
	}
}

// WorthRatio returns the served worth divided by the offered worth.
func (r Result) WorthRatio() float64 { return r.ServedWorth / max(r.OfferedWorth, 1) }

// BoundRatio returns the worth of the upper bound divided by the offered worth.
func (r Result) BoundRatio() float64 { return r.BoundWorth / max(r.OfferedWorth, 1) }

func (d *day) measure() Result {
	res := Result{
		RefusedAtLowDemand: d.usage.refusedAtLowDemand, SentToEvacuated: d.usage.sentToEvacuated, ColdPeak: d.usage.coldPeak,
		Windows: d.usage.windows, Slow: d.slowResult(),
	}
	for _, r := range d.allRequests {
		kind := d.scenario.Kinds[r.kind]
		k := &res.Kinds[r.kind]
		offeredWorth, servedWorth := kind.Worth*r.size, r.servedWorth(kind, d.scenario.FirstTryOnly)
		k.Count++
		k.OfferedWorth += offeredWorth
		k.ServedWorth += servedWorth
		k.Causes[r.cause]++
		if r.otherHall {
			k.OtherHall++
		}
		if r.waitedInVain {
			k.WaitedInVain++
		}
		res.addGroups(r, kind, offeredWorth, servedWorth)
		res.OfferedWorth += offeredWorth
		res.ServedWorth += servedWorth
	}
	d.measureSizes(&res)
	for _, n := range d.statedLimits {
		res.Limits = append(res.Limits, n.result())
	}
	for _, k := range d.kills {
		res.Kills = append(res.Kills, k.result(d.timeline.Elapsed()))
	}
	res.BoundWorth = d.bound()
	return res
}

// measureSizes counts the prompts of each kind by their length.
func (d *day) measureSizes(res *Result) {
	const tenth, fifth = 10, 5
	longest := slices.Clone(d.allRequests)
	slices.SortStableFunc(longest, func(a, b *request) int { return cmp.Compare(b.prompt, a.prompt) })
	var seen [kinds]int
	for _, r := range longest {
		k := &res.Kinds[r.kind]
		size := SizeRest
		switch at := seen[r.kind]; {
		case at < k.Count/tenth:
			size = SizeLongestTenth
		case at < k.Count/tenth+k.Count/fifth:
			size = SizeNextFifth
		}
		seen[r.kind]++
		k.Sizes[size].add(r, d.scenario.Kinds[r.kind])
	}
}

// servedWorth returns what the answer was worth to its caller: the full worth if it was in time,
// the mean of full and late worth if the caller was refused early enough to retry and the retry was
// in time, and the late worth otherwise.
func (r *request) servedWorth(k Kind, firstTryOnly bool) float64 {
	switch {
	case r.received < r.events:
		return 0
	case r.pause > k.MaxPause:
		return k.LateWorth * r.size
	case r.first <= k.Objective:
		return k.Worth * r.size
	case r.refusedEarly && !firstTryOnly && r.first-r.tryOffset <= k.Objective:
		return (k.Worth + k.LateWorth) / 2 * r.size
	}
	return k.LateWorth * r.size
}

// Add adds the results of another day.
func (r *Result) Add(o Result) {
	r.OfferedWorth += o.OfferedWorth
	r.ServedWorth += o.ServedWorth
	r.BoundWorth += o.BoundWorth
	for i := range r.Kinds {
		r.Kinds[i].Add(o.Kinds[i])
	}
	r.addMeasures(o)
}

// Add adds the results of another day.
func (k *KindResult) Add(o KindResult) {
	k.Count += o.Count
	k.OfferedWorth += o.OfferedWorth
	k.ServedWorth += o.ServedWorth
	k.OtherHall += o.OtherHall
	k.WaitedInVain += o.WaitedInVain
	for i, size := range o.Sizes {
		k.Sizes[i].Count += size.Count
		k.Sizes[i].Served += size.Served
		k.Sizes[i].InTime += size.InTime
	}
	for c := range k.Causes {
		k.Causes[c] += o.Causes[c]
	}
}

// UnservedRate returns the fraction of the prompts that got no complete answer.
func (k KindResult) UnservedRate() float64 {
	n := k.Causes[causeRefused] + k.Causes[causeGone] + k.Causes[causeCut]
	return float64(n) / float64(max(k.Count, 1))
}

// slotLength is the length of the intervals into which the bound divides a day.
const slotLength = 200 * time.Millisecond

// bound returns a worth that no policy exceeds: that of a planner that knows all prompts in
// advance, may distribute prefill over all engines and preempt it at any time, earns worth for
// parts of a prompt, and for whom decoding, slots, pauses and memory cost nothing. Late worth
// counts as earned. The optimum is then greedy: prompts in order of the worth that being in time
// adds per second of prefill, each as late as its objective allows. This is optimal because the
// sets of prompts that can be prefilled in time form a matroid.
func (d *day) bound() float64 {
	total := 0.0
	order := slices.Clone(d.allRequests)
	density := func(r *request) float64 {
		k := d.scenario.Kinds[r.kind]
		return (k.Worth - k.LateWorth) * r.size / d.scenario.Cost.Prefill(r.prompt).Seconds()
	}
	slices.SortStableFunc(order, func(a, b *request) int { return cmp.Compare(density(b), density(a)) })
	p := newSchedule(int((d.scenario.Length+drainTime)/slotLength)+1, float64(d.scenario.Engines)*slotLength.Seconds())
	for _, r := range order {
		k := d.scenario.Kinds[r.kind]
		prefill := d.scenario.Cost.Prefill(r.prompt).Seconds()
		from := int(r.at / slotLength)
		until := int((r.at + k.Objective) / slotLength)
		part := p.fit(from, until, prefill) / prefill
		total += r.size * (k.LateWorth + (k.Worth-k.LateWorth)*part)
	}
	return total
}
