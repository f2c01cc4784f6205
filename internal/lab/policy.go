package lab

import (
	"math/rand/v2"

	"github.com/barleystep/barleystep"
)

// Policy is a way of choosing engines.
type Policy struct {
	Name string
	// pick chooses an engine immediately, with exact knowledge of all engines. Nil stands for the
	// balancer.
	pick func(d *day, r *request, avoid []barleystep.TargetID) *engine
}

// The measured policies.
var (
	Balancer    = Policy{Name: "balancer"}
	Random      = Policy{Name: "random", pick: pickRandom}
	LeastLoaded = Policy{Name: "least loaded", pick: pickLeastLoaded}
)

func pickRandom(d *day, _ *request, _ []barleystep.TargetID) *engine {
	return d.engines[d.rng.IntN(len(d.engines))]
}

// pickLeastLoaded returns the live engine with the fewest running and waiting requests, at random
// among equals.
func pickLeastLoaded(d *day, _ *request, _ []barleystep.TargetID) *engine {
	order := rand.New(rand.NewPCG(d.rng.Uint64(), 0)).Perm(len(d.engines))
	best := d.engines[order[0]]
	for _, i := range order[1:] {
		e := d.engines[i]
		if !e.dead && (best.dead || e.running()+len(e.waiting) < best.running()+len(best.waiting)) {
			best = e
		}
	}
	return best
}
