package lead_test

import (
	"context"
	"testing"
	"time"

	"github.com/barleystep/barleystep/internal/balance"
)

// BenchmarkCapacityAsk measures a question for the engine of a short prompt, both ends
// on one machine, with the choice among 12 engines.
func BenchmarkCapacityAsk(b *testing.B) {
	p := newPair(b, view, engines)
	for b.Loop() {
		placed, err := p.box.Place(context.Background(), job(1_000))
		if err != nil {
			b.Fatal(err)
		}
		placed.Done(balance.Report{})
		p.clock.Advance(time.Second) // The lead forgets the prompt.
		p.lead.SetOthers(balance.NewSnapshot())
	}
}
