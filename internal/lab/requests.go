package lab

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// burstFactors are the rate factors of each kind in bursts of long prompts and of short ones.
var burstFactors = [2][3]float64{{0.33, 1.3, 2.7}, {2.3, 0.5, 0.06}}

// request is one prompt of a day.
type request struct {
	id            int
	at            time.Duration
	kind          int
	prompt        int
	events        int
	tightestPause time.Duration
	// size is the factor of its worth.
	size float64
	box  int
	// account is the number of the client account that sends it; burst is set if it belongs to the
	// first account's share of a burst.
	account int
	burst   bool

	// tries counts the caller's tries, sends those of its box to engines.
	tries    int
	sends    int
	replans  int           // replans counts the placements of this try whose engines were unreachable.
	received int           // received counts the events that the caller received.
	last     time.Duration // last is when the caller last received an event or started a try.
	// refusedEarly is set if the last refusal came within a quarter of the objective, before any
	// engine was tried. tryOffset is how long after the arrival the last try started.
	refusedEarly bool
	tryOffset    time.Duration
	first        time.Duration
	ended        bool
	pause        time.Duration
	cause        cause
	run          *run
	abandon      func() // abandon ends its try at the box; nil while no box has it.
	via          *box   // via is the box of its last try.
	away         bool   // away is set while the caller waits to come back.
	moved        bool   // moved is set once another engine resumes its stream.
	otherHall    bool   // otherHall is set if its engine is in another hall than its box.
	// waitedInVain is set once a try has waited for longer than it may and got no engine.
	waitedInVain bool
	// cameBack is set once the caller has been told when to come back because of load, and
	// foundCapacity once the try at that time was sent to an engine.
	cameBack      bool
	foundCapacity bool
}

// requests draws the day's prompts.
func (l Scenario) requests(rng *rand.Rand) []*request {
	var list []*request
	tightestPause := l.Kinds[0].MaxPause
	for k, kind := range l.Kinds {
		for at := 0.0; ; {
			at += rng.ExpFloat64() / (kind.Rate * l.peakRateFactor(k))
			r := &request{at: millis(at * perThousand), kind: k, tightestPause: tightestPause, box: rng.IntN(l.Boxes)}
			if r.at > l.Length {
				break
			}
			prompt, events := lognormal(rng, kind.Spread), lognormal(rng, kind.Spread)
			if rng.Float64() > l.rateFactor(k, r.at)/l.peakRateFactor(k) {
				continue
			}
			r.prompt = kind.limitPrompt(int(kind.MeanPrompt * min(prompt, 4.5)))
			r.events = max(int(kind.MeanEvents*min(events, 2.5)), 1)
			r.size = l.size(kind, r)
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b *request) int { return int(a.at - b.at) })
	list = l.assignAccounts(rng, list)
	for i, r := range list {
		r.id = i
	}
	return list
}

// limitPrompt returns the prompt length, but at most MaxPrompt.
func (k Kind) limitPrompt(tokens int) int {
	if k.MaxPrompt > 0 {
		return min(tokens, k.MaxPrompt)
	}
	return tokens
}

// assignAccounts distributes the prompts over the client accounts and returns those to be sent.
func (l Scenario) assignAccounts(rng *rand.Rand, list []*request) []*request {
	if l.Accounts == 0 {
		return list
	}
	for _, r := range list {
		r.account = rng.IntN(l.Accounts)
		if rng.Float64() < l.BurstShare && l.burstFactor(r.kind, r.at) > 1 {
			r.account, r.burst = 0, true
		}
	}
	if !l.QuietAccount {
		return list
	}
	return slices.DeleteFunc(list, func(r *request) bool { return r.burst })
}

// size returns the factor of a prompt's worth, which grows with its tokens.
func (l Scenario) size(k Kind, r *request) float64 {
	const outputWeight, base, most = 10, 0.3, 4.0
	stride := float64(l.Cost.Stride)
	mean := k.MeanPrompt + outputWeight*k.MeanEvents*stride
	own := float64(r.prompt) + outputWeight*float64(r.events)*stride
	return min(base+(1-base)*own/mean, most)
}

// rateFactor returns the factor on the kind's rate at the given time.
func (l Scenario) rateFactor(kind int, at time.Duration) float64 {
	wave := 1.0
	if l.Period > 0 {
		wave += l.Swing * math.Sin(2*math.Pi*float64(at)/float64(l.Period))
	}
	return wave * l.burstFactor(kind, at) * l.phaseFactor(at)
}

// burstFactor returns the factor of the burst at the given time, 1 if there are no bursts.
func (l Scenario) burstFactor(kind int, at time.Duration) float64 {
	if l.BurstLength == 0 {
		return 1
	}
	return burstFactors[int(at/l.BurstLength)%len(burstFactors)][kind]
}

// peakRateFactor returns an upper bound of rateFactor.
func (l Scenario) peakRateFactor(kind int) float64 {
	peak := (1 + l.Swing) * l.peakPhaseFactor()
	if l.BurstLength == 0 {
		return peak
	}
	return peak * max(burstFactors[0][kind], burstFactors[1][kind])
}

// lognormal draws a factor of mean 1 with the given standard deviation.
func lognormal(rng *rand.Rand, spread float64) float64 {
	variance := math.Log(1 + spread*spread)
	return math.Exp(rng.NormFloat64()*math.Sqrt(variance) - variance/2)
}
