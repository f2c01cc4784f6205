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
	light float64
	heavy float64
	at    time.Time
}

// demandLife is the mean age of the reading that counts. Bursts of short and of
// long prompts come by turns, every ten seconds or so.
const demandLife = 2 * time.Second

func (d *demand) decay(now time.Time) {
	if !d.at.IsZero() {
		keep := math.Exp(-float64(now.Sub(d.at)) / float64(demandLife))
		d.light *= keep
		d.heavy *= keep
	}
	d.at = now
}

func (d *demand) add(now time.Time, read time.Duration, heavy bool) {
	d.decay(now)
	if heavy {
		d.heavy += read.Seconds()
	} else {
		d.light += read.Seconds()
	}
}

// negligible is a demand that is not worth telling others.
const negligible = 0.001

func (d *demand) rate(now time.Time) Demand {
	d.decay(now)
	r := Demand{Short: d.light / demandLife.Seconds(), Long: d.heavy / demandLife.Seconds()}
	if r.Short < negligible && r.Long < negligible {
		return Demand{}
	}
	return r
}

// note counts a job's reading as demand.
func (b *Balancer) note(j Job, read time.Duration, heavy bool) {
	if b.demands == nil {
		b.demands = make(map[string]*demand)
	}
	d, ok := b.demands[j.Service]
	if !ok {
		d = &demand{}
		b.demands[j.Service] = d
	}
	d.add(b.Clock.Now(), read, heavy)
}

// noteHeavy counts a long prompt as demand when it is asked for the first time. One
// that is longer than an engine's memory only counts once it is placed.
func (b *Balancer) noteHeavy(j Job) {
	if !IsLongPrompt(j) || giant(j) {
		return
	}
	b.note(j, j.Cost.Prefill(j.PromptTokens), true)
}

// demand returns the demand of all boxes for the service.
func (b *Balancer) demand(service string) Demand {
	var total Demand
	now := b.Clock.Now()
	if d, ok := b.demands[service]; ok {
		total = d.rate(now)
	}
	others := b.others.Demands[KeyOf(service)]
	total.Short += others.Short
	total.Long += others.Long
	return total
}
