package balance

import (
	"math"
	"time"
)

// sizeStats counts, for one service, how many callers with long prompts of each size were placed and how
// many refused, so that those that need the most engine time do not starve behind all others. Those that
// still wait do not count: where all are placed in the end, no size lags.
type sizeStats struct {
	sizes [sizeClasses]callerCount
	at    time.Time
}

// callerCount is a pair of decaying counts of callers: of those that were placed or refused on their first
// try, and of those that were placed on any of their tries.
type callerCount struct {
	decided float64
	placed  float64
}

const (
	// sizeClasses is the number of size classes. Each spans a doubling of the engine time of a
	// prompt; the first holds all below minSize.
	sizeClasses = 10
	minSize     = 125 * time.Millisecond
	// sizeStatsDecay is the mean age of the callers that count.
	sizeStatsDecay = 8 * time.Second
	// sizePrior is the number of callers at the overall rate that are added to those of a class, so
	// that a few refusals carry little weight.
	sizePrior = 2
	// lagThreshold is the part of the overall rate below which a class lags.
	lagThreshold = 0.75
)

// sizeClass returns the size class of a long prompt.
func sizeClass(j Job) int {
	doublings := math.Ilogb(j.Cost.Prefill(j.PromptTokens).Seconds() / minSize.Seconds())
	return min(max(doublings+1, 0), sizeClasses-1)
}

// rate returns the part of the callers that were placed, 1 if there were none.
func (c callerCount) rate() float64 {
	if c.decided <= 0 {
		return 1
	}
	return min(c.placed/c.decided, 1)
}

func (c *callerCount) add(o callerCount) {
	c.decided += o.decided
	c.placed += o.placed
}

// count returns the counts of the job's class, decayed to now.
func (t *sizeStats) count(now time.Time, j Job) *callerCount {
	keep := math.Exp(-float64(now.Sub(t.at)) / float64(sizeStatsDecay))
	t.at = now
	for i := range t.sizes {
		t.sizes[i].decided *= keep
		t.sizes[i].placed *= keep
	}
	return &t.sizes[sizeClass(j)]
}

// lag returns by how much the rate of the job's class, or that of its class and all larger ones, is below
// lagThreshold of the overall rate, zero if neither is. The largest classes alone have too few callers to
// tell.
func (t *sizeStats) lag(j Job) float64 {
	var all, larger callerCount
	own := sizeClass(j)
	for i, c := range t.sizes {
		all.add(c)
		if i >= own {
			larger.add(c)
		}
	}
	rate := all.rate()
	prior := callerCount{decided: sizePrior, placed: sizePrior * rate}
	lag := 0.0
	for _, c := range [...]callerCount{t.sizes[own], larger} {
		c.add(prior)
		lag = max(lag, lagThreshold*rate-c.rate())
	}
	return lag
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

// isFirstDecision reports whether the outcome of the job's wait is the first of its caller.
func (j Job) isFirstDecision() bool { return !j.CallerRetry && !j.Replacement }

// notePlaced counts the caller of a long prompt that was placed.
func (b *Balancer) notePlaced(j Job) {
	if !IsLongPrompt(j) {
		return
	}
	c := b.sizeStatsOf(j).count(b.Clock.Now(), j)
	c.placed++
	if j.isFirstDecision() {
		c.decided++
	}
}

// noteReplaced takes back the count of a placement whose targets did not serve the long prompt. The more
// engines a prompt needs, the more often one of them fails it.
func (b *Balancer) noteReplaced(j Job) {
	if !IsLongPrompt(j) || !j.Replacement {
		return
	}
	c := b.sizeStatsOf(j).count(b.Clock.Now(), j)
	c.placed = max(c.placed-1, 0)
}

// noteRefused counts the caller of a long prompt that was refused because of load.
func (b *Balancer) noteRefused(j Job) {
	if IsLongPrompt(j) && j.isFirstDecision() {
		b.sizeStatsOf(j).count(b.Clock.Now(), j).decided++
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
