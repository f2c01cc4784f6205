package balance

import (
	"math"
	"time"
)

// sizeStats counts, for one service, how many long prompts of each size were asked for and how many
// were placed, so that those that need the most engine time do not starve behind all others.
type sizeStats struct {
	sizes [sizeClasses]tryCount
	at    time.Time
}

// tryCount is a pair of decaying counts of tries.
type tryCount struct {
	asked  float64
	placed float64
}

const (
	// sizeClasses is the number of size classes. Each spans a doubling of the engine time of a
	// prompt; the first holds all below minSize.
	sizeClasses = 10
	minSize     = 125 * time.Millisecond
	// sizeStatsDecay is the mean age of the tries that count.
	sizeStatsDecay = 8 * time.Second
	// sizePrior is the number of tries at the overall rate that are added to those of a class, so
	// that a few refusals carry little weight.
	sizePrior = 2
	// lagThreshold is the part of the overall rate below which a class lags.
	lagThreshold = 0.7
)

// sizeClass returns the size class of a long prompt.
func sizeClass(j Job) int {
	doublings := math.Ilogb(j.Cost.Prefill(j.PromptTokens).Seconds() / minSize.Seconds())
	return min(max(doublings+1, 0), sizeClasses-1)
}

// rate returns the part of the tries that were placed, 1 if there were none.
func (c tryCount) rate() float64 {
	if c.asked <= 0 {
		return 1
	}
	return min(c.placed/c.asked, 1)
}

// count returns the counts of the job's class, decayed to now.
func (t *sizeStats) count(now time.Time, j Job) *tryCount {
	keep := math.Exp(-float64(now.Sub(t.at)) / float64(sizeStatsDecay))
	t.at = now
	for i := range t.sizes {
		t.sizes[i].asked *= keep
		t.sizes[i].placed *= keep
	}
	return &t.sizes[sizeClass(j)]
}

// lag returns by how much the rate of the job's class is below lagThreshold of the overall rate,
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

// sizeStatsOf returns the statistics of the job's service.
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

// noteAsked counts a try of a long prompt.
func (b *Balancer) noteAsked(j Job) {
	if IsLongPrompt(j) {
		b.sizeStatsOf(j).count(b.Clock.Now(), j).asked++
	}
}

// notePlaced counts a try of a long prompt that was placed.
func (b *Balancer) notePlaced(j Job) {
	if IsLongPrompt(j) {
		b.sizeStatsOf(j).count(b.Clock.Now(), j).placed++
	}
}

// lag returns by how much the size class of a long prompt is served less often than the others,
// zero for a short prompt.
func (b *Balancer) lag(j Job) float64 {
	if !IsLongPrompt(j) {
		return 0
	}
	return b.sizeStatsOf(j).lag(j)
}
