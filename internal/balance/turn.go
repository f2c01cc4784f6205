package balance

import (
	"math"
	"time"
)

// turns counts, for one service, how many long prompts of each size were asked for and how many
// were given engines, so that those that need the most engine time do not wait behind all others.
type turns struct {
	sizes [turnSizes]turnCount
	at    time.Time
}

// turnCount is a pair of decaying counts of tries.
type turnCount struct {
	asked float64
	given float64
}

const (
	// turnSizes is how many sizes are told apart. Each spans a doubling of the engine time that a
	// prompt needs, the first one all below leastSize.
	turnSizes = 10
	leastSize = 125 * time.Millisecond
	// turnLife is the mean age of the tries that count.
	turnLife = 8 * time.Second
	// turnPrior is how many tries at the rate of all count for a size besides its own, so that a
	// few that were refused say little.
	turnPrior = 2
	// turnPart is the part of the rate of all long prompts below which a size lags.
	turnPart = 0.7
	// lagTries bounds how many lagging prompts are looked at in vain before others: each look
	// compares assignments of many engines.
	lagTries = 4
)

// sizeOf returns the size of a long prompt.
func sizeOf(j Job) int {
	doublings := math.Ilogb(j.Cost.Prefill(j.PromptTokens).Seconds() / leastSize.Seconds())
	return min(max(doublings+1, 0), turnSizes-1)
}

// rate returns the part of the tries that were given engines, 1 where there were none.
func (c turnCount) rate() float64 {
	if c.asked <= 0 {
		return 1
	}
	return min(c.given/c.asked, 1)
}

// count returns the counts of the job's size, as of now.
func (t *turns) count(now time.Time, j Job) *turnCount {
	keep := math.Exp(-float64(now.Sub(t.at)) / float64(turnLife))
	t.at = now
	for i := range t.sizes {
		t.sizes[i].asked *= keep
		t.sizes[i].given *= keep
	}
	return &t.sizes[sizeOf(j)]
}

// lag returns by how much the rate of the job's size is below its part of that of all sizes,
// zero if it is not.
func (t *turns) lag(j Job) float64 {
	var all turnCount
	for _, c := range t.sizes {
		all.asked += c.asked
		all.given += c.given
	}
	own := t.sizes[sizeOf(j)]
	own.asked += turnPrior
	own.given += turnPrior * all.rate()
	return max(turnPart*all.rate()-own.rate(), 0)
}

// turnsOf returns the turns of the job's service.
func (b *Balancer) turnsOf(j Job) *turns {
	if b.turns == nil {
		b.turns = make(map[string]*turns)
	}
	t, ok := b.turns[j.Service]
	if !ok {
		t = &turns{}
		b.turns[j.Service] = t
	}
	return t
}

// noteTurn counts a try of a long prompt.
func (b *Balancer) noteTurn(j Job) {
	if IsLongPrompt(j) {
		b.turnsOf(j).count(b.Clock.Now(), j).asked++
	}
}

// noteGiven counts a try of a long prompt that was given engines.
func (b *Balancer) noteGiven(j Job) {
	if IsLongPrompt(j) {
		b.turnsOf(j).count(b.Clock.Now(), j).given++
	}
}

// lag returns by how much the size of a long prompt is served less often than the others, zero
// for a short prompt.
func (b *Balancer) lag(j Job) float64 {
	if !IsLongPrompt(j) {
		return 0
	}
	return b.turnsOf(j).lag(j)
}
