package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/capacity"
)

// sizes are the pool sizes at which one decision is measured: client accounts with queued requests,
// queued requests, targets, and running attempts per target. The last is the largest hall, with one
// model.
var sizes = []struct{ accounts, queued, targets, running int }{
	{10, 100, 8, 8},
	{100, 1_000, 8, 8},
	{970, 5_000, 8, 8},
	{970, 5_000, 32, 8},
	{970, 5_000, 92, 8},
	{970, 5_000, 92, 32},
}

// BenchmarkCapacityDecision measures enqueueing, granting and releasing one short prompt in a pool
// whose engines run others.
func BenchmarkCapacityDecision(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("accounts=%d/queued=%d/targets=%d/running=%d", s.accounts, s.queued, s.targets, s.running), func(b *testing.B) {
			p := busyPool(s.targets, s.running)
			for i := range s.queued {
				// These stay queued, as no engine has enough free memory.
				a := p.ask(fmt.Sprint("a", i%s.accounts), 15_000)
				a.Demand.MaxOutputTokens = engineTokens * 3 / 10
				p.Enqueue(p.now, a)
			}
			p.tick()
			b.ReportAllocs()
			for b.Loop() {
				a := p.ask("bench", 1_000)
				p.Enqueue(p.now, a)
				for id := range p.tick() {
					p.done(id)
				}
			}
		})
	}
}

// busyPool returns a pool whose engines each run the given number of short prompts and have a quarter
// of their memory free.
func busyPool(targets, running int) *pool {
	p := newPool(targets)
	p.reportEmpty(targets)
	for range targets * running {
		a := p.ask("busy", 100)
		a.Demand.MaxOutputTokens = engineTokens * 3 / 4 / running
		p.Enqueue(p.now, a)
		for id := range p.tick() {
			p.FirstToken(p.now, id, 0)
		}
	}
	return p
}

// BenchmarkCapacityReport measures applying a box's report and computing its credits.
func BenchmarkCapacityReport(b *testing.B) {
	for _, targets := range []int{8, 32, 92} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			p := busyPool(targets, 8)
			r := capacity.Report{Box: "b1"}
			for i := range targets {
				r.Uses = append(r.Uses, capacity.CreditUse{Target: engine(i), PrefillTokens: 100, KVTokens: 500, Running: 2})
			}
			b.ReportAllocs()
			for b.Loop() {
				p.now = p.now.Add(time.Millisecond)
				p.ApplyReport(p.now, r)
			}
		})
	}
}

// BenchmarkCapacityHolder measures running a short prompt on credits.
func BenchmarkCapacityHolder(b *testing.B) {
	for _, targets := range []int{8, 32, 92} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			h := capacity.NewHolder("b1")
			c := capacity.Credits{Until: start.Add(time.Hour)}
			for i := range targets {
				c.Credits = append(c.Credits, capacity.Credit{Target: engine(i), PrefillTokens: 1 << 30, KVTokens: 1 << 30, PrefillRate: 1, Slowdown: 1})
			}
			h.SetCredits(c)
			n := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				n++
				d := demand(n, 1_000)
				h.TryStart(start, d)
				h.FirstToken(start, d.Attempt)
				h.End(d.Attempt, barleystep.Usage{Outcome: barleystep.OutcomeDone})
			}
		})
	}
}
