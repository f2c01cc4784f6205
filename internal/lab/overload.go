package lab

import (
	"math/rand/v2"
	"time"

	"github.com/barleystep/barleystep/internal/fleet"
)

// Phase is a part of a cycle in which all rates are multiplied by a factor.
type Phase struct {
	Length time.Duration
	Factor float64
}

// phaseFactor returns the factor of the phase at the given time.
func (l Scenario) phaseFactor(at time.Duration) float64 {
	var cycle time.Duration
	for _, p := range l.Phases {
		cycle += p.Length
	}
	if cycle == 0 {
		return 1
	}
	at %= cycle
	for _, p := range l.Phases {
		if at < p.Length {
			return p.Factor
		}
		at -= p.Length
	}
	return 1
}

// peakPhaseFactor returns the largest factor of all phases.
func (l Scenario) peakPhaseFactor() float64 {
	if len(l.Phases) == 0 {
		return 1
	}
	peak := 0.0
	for _, p := range l.Phases {
		peak = max(peak, p.Factor)
	}
	return peak
}

// slowEngineCost is the cost model of engines whose KV cache holds about one long prompt.
func slowEngineCost() fleet.CostModel {
	return fleet.CostModel{
		Slots: 12, KVTokens: 197_200, Step: millis(1.02), PerStream: millis(0.00226), PerContext: millis(0.00431),
		PrefillRate: 206e3, PerMillionPairs: millis(0.138), PrefillChunk: 2048, Stride: 48, MeanOutputTokens: 1400,
	}
}

// halfOverMemory draws a scenario in which half of the long prompts need more than an engine's KV
// cache, so that their prefill takes most of the engines' time. Bursts of short and of long prompts
// alternate, on top of a periodic change of all rates.
func halfOverMemory(rng *rand.Rand) Scenario {
	l := bursts(rng, 78, 9, 10)
	l.Boxes, l.Halls, l.FirstTryOnly = 66, 3, true
	l.Swing, l.Period = 0.55, 17*time.Second
	l.Cost = slowEngineCost()
	l.Kinds = []Kind{
		{Name: kindShort, Rate: 110, MeanPrompt: 4960, MeanEvents: 31, Spread: 0.8, Objective: 300 * time.Millisecond, MaxPause: millis(250), Deadline: 10 * time.Second, Worth: 1.3, LateWorth: 0.33},
		{Name: kindMiddling, Rate: 7.5, MeanPrompt: 45e3, MeanEvents: 18, Spread: 0.5, Objective: 1500 * time.Millisecond, MaxPause: millis(600), Deadline: 10 * time.Second, Worth: 3.3, LateWorth: 0.83},
		{Name: kindLong, Rate: 4.6, MeanPrompt: 190e3, MeanEvents: 15, Spread: 0.55, MaxPrompt: 600e3, Objective: 3 * time.Second, MaxPause: millis(1000), Deadline: 15 * time.Second, Worth: 20, LateWorth: 5.1},
	}
	l.Cost.MeanPromptTokens = l.meanPrompt()
	return l
}

// threePriorities draws a scenario in which short, middling and long prompts have the priorities 0,
// 1 and 2 under alternating bursts.
func threePriorities(rng *rand.Rand) Scenario {
	l := halfOverMemory(rng)
	l.Engines, l.Boxes = 45, 78
	rates := [kinds]float64{54, 6.4, 2.3}
	objectives := [kinds]time.Duration{250 * time.Millisecond, 1500 * time.Millisecond, 6 * time.Second}
	worths, lateWorths := [kinds]float64{1.8, 2.4, 7.3}, [kinds]float64{0.18, 0.61, 2.8}
	for i := range l.Kinds {
		k := &l.Kinds[i]
		k.Priority, k.Rate, k.Objective = i, rates[i], objectives[i]
		k.Worth, k.LateWorth = worths[i], lateWorths[i]
	}
	l.Cost.MeanPromptTokens = l.meanPrompt()
	return l
}

// shortOverload draws a scenario in which callers ask for twice the prefill that the engines can
// do for two seconds, and for a tenth of it for the next eight.
func shortOverload(rng *rand.Rand) Scenario {
	l := halfOverMemory(rng)
	l.BurstLength, l.Swing, l.Period = 0, 0, 0
	needed := 0.0
	for _, k := range l.Kinds {
		needed += k.Rate * k.meanPrefill(&l.Cost)
	}
	for i := range l.Kinds {
		l.Kinds[i].Rate *= float64(l.Engines) / needed
	}
	const overload, low = 2, 0.1
	l.Phases = []Phase{{2 * time.Second, overload}, {8 * time.Second, low}}
	return l
}

// evacuatedAndCold draws a scenario in which the hall of a third of the engines is evacuated while
// another third is cold.
func evacuatedAndCold(rng *rand.Rand) Scenario {
	l := threePriorities(rng)
	const coldLimit = 23
	l.ColdLimit = coldLimit
	l.Evacuations = []HallPeriod{{Hall: l.hall(0), From: 3 * time.Second, Until: 15 * time.Second}}
	l.ColdStarts = []HallPeriod{{Hall: l.hall(1), From: 4 * time.Second, Until: 12 * time.Second}}
	return l
}

// slowTargets draws a scenario in which each sixth engine takes four times the time for some
// seconds.
func slowTargets(rng *rand.Rand) Scenario {
	l := halfOverMemory(rng)
	l.Slowdowns = []Slowdown{
		{Every: 6, Factor: 4, From: 3 * time.Second, Until: 13 * time.Second},
		{Every: 6, Factor: 4, From: 18 * time.Second, Until: 28 * time.Second},
	}
	return l
}

// burstingAccount draws a scenario in which one of 24 client accounts sends half of the prompts of
// all bursts.
func burstingAccount(rng *rand.Rand) Scenario {
	l := halfOverMemory(rng)
	l.Accounts, l.BurstShare = 24, 0.5
	return l
}

// killedBoxes draws a scenario in which boxes are killed that have parts of long prompts on many
// engines, at times of many long prompts.
func killedBoxes(rng *rand.Rand) Scenario {
	l := halfOverMemory(rng)
	for at := 3 * time.Second; at < 8*time.Second; at += time.Second {
		l.BoxKills = append(l.BoxKills, at, at+19*time.Second) // The second burst of long prompts is 19 s later.
	}
	return l
}
