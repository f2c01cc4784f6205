package balance

import (
	"math"
	"time"
)

// Demand is what callers ask of a service, in engines: 1 is what keeps one
// engine busy.
type Demand struct {
	// Light is the reading of short prompts and Heavy that of long ones.
	Short float64
	Long  float64
}

// demand is a decaying sum of the reading that one box was asked for.
type demand struct {
	short float64
	long  float64
	at    time.Time
}

// demandLife is the mean age of the reading that counts. Bursts of short and of
// long prompts come by turns, every ten seconds or so.
const demandDecay = 2 * time.Second

func (d *demand) decay(now time.Time) {
	if !d.at.IsZero() {
		keep := math.Exp(-float64(now.Sub(d.at)) / float64(demandDecay))
		d.short *= keep
		d.long *= keep
	}
	d.at = now
}

func (d *demand) add(now time.Time, prefill time.Duration, long bool) {
	d.decay(now)
	if long {
		d.long += prefill.Seconds()
	} else {
		d.short += prefill.Seconds()
	}
}

// negligible is a demand that is not worth telling others.
const minDemand = 0.001

func (d *demand) rate(now time.Time) Demand {
	d.decay(now)
	r := Demand{Short: d.short / demandDecay.Seconds(), Long: d.long / demandDecay.Seconds()}
	if r.Short < minDemand && r.Long < minDemand {
		return Demand{}
	}
	return r
}

// note counts a job's reading as demand.
func (b *Balancer) noteDemand(j Job, prefill time.Duration, long bool) {
	if b.demands == nil {
		b.demands = make(map[string]*demand)
	}
	d, ok := b.demands[j.Service]
	if !ok {
		d = &demand{}
		b.demands[j.Service] = d
	}
	d.add(b.Clock.Now(), prefill, long)
}

// noteHeavy counts a long prompt as demand when it is asked for the first time. One
// that is longer than an engine's memory only counts once it is placed.
func (b *Balancer) noteLongDemand(j Job) {
	if !IsLongPrompt(j) || isOversized(j) {
		return
	}
	b.noteDemand(j, j.Cost.Prefill(j.PromptTokens), true)
}

// demand returns the demand of all boxes for the service.
func (b *Balancer) demand(service string) Demand {
	var total Demand
	now := b.Clock.Now()
	if d, ok := b.demands[service]; ok {
		total = d.rate(now)
	}
	peers := b.peers.Demands[KeyOf(service)]
	total.Short += peers.Short
	total.Long += peers.Long
	return total
}
