package lead_test

import (
	"context"
	"testing"
	"time"

	"github.com/barleystep/barleystep/internal/balance"
)

// BenchmarkCapacityAsk measures a request to the lead for a short prompt, with client and server on
// one machine and 12 engines to choose from.
func BenchmarkCapacityAsk(b *testing.B) {
	p := newPair(b, view, engines)
	for b.Loop() {
		placed, err := p.box.Place(context.Background(), job(1_000))
		if err != nil {
			b.Fatal(err)
		}
		placed.Done(balance.Report{})
		p.clock.Advance(time.Second) // The lead drops the placed prompt.
		p.lead.SetOthers(balance.NewSnapshot())
	}
}
