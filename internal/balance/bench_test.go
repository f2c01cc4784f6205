package balance_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/barleystep/barleystep/internal/balance"
)

// BenchmarkCapacityPlaceLong measures how long the lead takes to choose the engines of
// a long prompt: what it costs it each time that it looks whether a prompt can go.
func BenchmarkCapacityPlaceLong(b *testing.B) {
	for _, engines := range []int{18, 60, 91} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			f := newFixture(engines)
			others := balance.NewSnapshot()
			for _, t := range f.targets {
				others.Work[balance.KeyOf(string(t.ID))] = balance.Work{Light: 2}
			}
			f.SetOthers(others)
			j := job(longPrompt)
			j.Objective = 3 * time.Second
			for b.Loop() {
				p, w, err := f.Ask(context.Background(), j)
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
