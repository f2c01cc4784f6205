package balance_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/barleystep/barleystep/internal/balance"
)

// BenchmarkCapacityPlaceLong measures how long the lead takes to choose the engines of a long
// prompt, which it does each time that it tries to place one.
func BenchmarkCapacityPlaceLong(b *testing.B) { benchmarkPlace(b, longPrompt) }

// BenchmarkCapacityPlaceShort measures how long it takes to choose the engine of a short prompt.
func BenchmarkCapacityPlaceShort(b *testing.B) { benchmarkPlace(b, shortPrompt) }

func benchmarkPlace(b *testing.B, prompt int) {
	for _, engines := range []int{18, 60, 91, 150} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			f := newFixture(engines)
			others := balance.NewSnapshot()
			for _, t := range f.targets {
				others.Work[balance.KeyOf(string(t.ID))] = balance.Work{Short: 2}
			}
			f.SetOthers(others)
			j := engineJob(prompt)
			j.Objective = 3 * time.Second
			for b.Loop() {
				p, w, err := f.TryPlace(context.Background(), j)
				switch {
				case err != nil:
					b.Fatal(err)
				case w != nil:
					p, err = f.Abandon(w)
				}
				if err == nil && p != nil {
					p.Done(balance.Report{})
				}
			}
		})
	}
}

// BenchmarkCapacityAskLead measures a plan request to the lead by a box that knows many targets, a
// few of which are leaving.
func BenchmarkCapacityAskLead(b *testing.B) {
	for _, targets := range []int{100, 1000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			f := newFixture(targets)
			f.Lead = fullLead{}
			f.DetectRestarts()
			for i := range targets {
				id := f.targets[i].ID
				s := balance.NewSnapshot()
				s.Statements[balance.KeyOf(string(id))] = balance.TimedStatement{Leaving: balance.Timed[bool]{Value: i < 3, At: f.clock.Now()}}
				f.SetOthers(s)
				f.TargetStatus(id)
			}
			for b.Loop() {
				_, _ = f.Place(context.Background(), engineJob(shortPrompt))
			}
		})
	}
}

// fullLead is a lead that has no target for any job.
type fullLead struct{}

// Place returns ErrFull.
func (fullLead) Place(context.Context, balance.Job) (balance.Plan, error) {
	return balance.Plan{}, balance.ErrFull
}

// PrefillDone does nothing.
func (fullLead) PrefillDone(uint64) {}
