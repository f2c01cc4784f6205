package balance

import (
	"math"
	"time"
)

// turns counts, for one service, how many long prompts of each size were asked for and how many
// were given engines, so that those that need the most engine time do not wait behind all others.
type sizeStats struct {
	sizes [sizeClasses]tryCount
	at    time.Time
}

// turnCount is a pair of decaying counts of tries.
type tryCount struct {
	asked  float64
	placed float64
}

const (
	// turnSizes is how many sizes are told apart. Each spans a doubling of the engine time that a
	// prompt needs, the first one all below leastSize.
	sizeClasses = 10
	minSize     = 125 * time.Millisecond
	// turnLife is the mean age of the tries that count.
	sizeStatsDecay = 8 * time.Second
	// turnPrior is how many tries at the rate of all count for a size besides its own, so that a
	// few that were refused say little.
	sizePrior = 2
	// turnPart is the part of the rate of all long prompts below which a size lags.
	lagThreshold = 0.7
	// lagTries bounds how many lagging prompts are looked at in vain before others: each look
	// compares assignments of many engines.
	maxLagTries = 4
)

// sizeOf returns the size of a long prompt.
func sizeClass(j Job) int {
	doublings := math.Ilogb(j.Cost.Prefill(j.PromptTokens).Seconds() / minSize.Seconds())
	return min(max(doublings+1, 0), sizeClasses-1)
}

// rate returns the part of the tries that were given engines, 1 where there were none.
func (c tryCount) rate() float64 {
	if c.asked <= 0 {
		return 1
	}
	return min(c.placed/c.asked, 1)
}

// count returns the counts of the job's size, as of now.
func (t *sizeStats) count(now time.Time, j Job) *tryCount {
	keep := math.Exp(-float64(now.Sub(t.at)) / float64(sizeStatsDecay))
	t.at = now
	for i := range t.sizes {
		t.sizes[i].asked *= keep
		t.sizes[i].placed *= keep
	}
	return &t.sizes[sizeClass(j)]
}

// lag returns by how much the rate of the job's size is below its part of that of all sizes,
// zero if it is not.
func (t *sizeStats) lag(j Job) float64 {
	var all tryCount
	for _, c := range t.sizes {
		all.asked += c.asked
		all.placed += c.placed
	}
	own := t.sizes[sizeClass(j)]
	own.asked += sizePrior
	own.placed += sizePrior * all.rate()
	return max(lagThreshold*all.rate()-own.rate(), 0)
}

// turnsOf returns the turns of the job's service.
func (b *Balancer) sizeStatsOf(j Job) *sizeStats {
	if b.sizeStats == nil {
		b.sizeStats = make(map[string]*sizeStats)
	}
	t, ok := b.sizeStats[j.Service]
	if !ok {
		t = &sizeStats{}
		b.sizeStats[j.Service] = t
	}
	return t
}

// noteTurn counts a try of a long prompt.
func (b *Balancer) noteAsked(j Job) {
	if IsLongPrompt(j) {
		b.sizeStatsOf(j).count(b.Clock.Now(), j).asked++
	}
}

// noteGiven counts a try of a long prompt that was given engines.
func (b *Balancer) notePlaced(j Job) {
	if IsLongPrompt(j) {
		b.sizeStatsOf(j).count(b.Clock.Now(), j).placed++
	}
}

// lag returns by how much the size of a long prompt is served less often than the others, zero
// for a short prompt.
func (b *Balancer) lag(j Job) float64 {
	if !IsLongPrompt(j) {
		return 0
	}
	return b.sizeStatsOf(j).lag(j)
}
