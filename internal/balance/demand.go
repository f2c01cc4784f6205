package balance

import (
	"math"
	"time"
)

// Demand is the prefill that callers ask of a service, in engines: 1 keeps one engine busy.
type Demand struct {
	// Short is the prefill of short prompts and Long that of long ones.
	Short float64
	Long  float64
}

// demand is a decaying sum of the prefill seconds that one box was asked for.
type demand struct {
	short float64
	long  float64
	at    time.Time
}

// demandDecay is the mean age of the prefill that counts. Bursts of short and of long prompts
// alternate about every 10 s.
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

// minDemand is the demand below which nothing is sent to peers.
const minDemand = 0.001

func (d *demand) rate(now time.Time) Demand {
	d.decay(now)
	r := Demand{Short: d.short / demandDecay.Seconds(), Long: d.long / demandDecay.Seconds()}
	if r.Short < minDemand && r.Long < minDemand {
		return Demand{}
	}
	return r
}

// noteDemand adds a job's prefill time to the demand.
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

// noteLongDemand adds a long prompt to the demand when it first arrives, whether it is placed or
// not: if refused prompts did not count, refusals would lower the number of engines for the next. It
// counts once per try, however often it is placed.
func (b *Balancer) noteLongDemand(j Job) {
	if !IsLongPrompt(j) || j.Replacement {
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
