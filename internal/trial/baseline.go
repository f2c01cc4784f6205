package trial

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/barleystep/barleystep"
)

// baseline is a dispatcher that decides by one simple rule and sends at once.
type baseline struct {
	fleet *fleet
	rng   *rand.Rand
	loads map[barleystep.TargetID]barleystep.Load
	sent  map[barleystep.TargetID]int // sent counts attempts sent and not ended.
	next  int
	// pick orders the engines, best first.
	pick func(b *baseline) []*fakeEngine
	// central makes requests wait in one queue, first come, first served, until
	// an engine has nothing waiting.
	central bool
	queue   []*request
	dead    map[int]bool
}

func newBaseline(f *fleet, seed uint64, pick func(*baseline) []*fakeEngine) *baseline {
	return &baseline{
		fleet: f,
		rng:   rand.New(rand.NewPCG(seed, 1)),
		loads: make(map[barleystep.TargetID]barleystep.Load),
		sent:  make(map[barleystep.TargetID]int),
		pick:  pick,
		dead:  make(map[int]bool),
	}
}

func pickRandom(b *baseline) []*fakeEngine {
	list := slices.Clone(b.fleet.engines)
	b.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

func pickRoundRobin(b *baseline) []*fakeEngine {
	b.next++
	n := len(b.fleet.engines)
	list := make([]*fakeEngine, n)
	for i := range n {
		list[i] = b.fleet.engines[(b.next+i)%n]
	}
	return list
}

// pickLeastLoaded takes the engine with the fewest requests by its last report.
func pickLeastLoaded(b *baseline) []*fakeEngine {
	list := pickRandom(b)
	sort.SliceStable(list, func(i, j int) bool {
		x, y := b.loads[list[i].id], b.loads[list[j].id]
		return x.Running+x.Waiting < y.Running+y.Waiting
	})
	return list
}

// pickFewestSent takes the engine with the fewest attempts of our own.
func pickFewestSent(b *baseline) []*fakeEngine {
	list := slices.Clone(b.fleet.engines)
	sort.SliceStable(list, func(i, j int) bool { return b.sent[list[i].id] < b.sent[list[j].id] })
	return list
}

func (b *baseline) submit(r *request) {
	if b.dead[r.box] {
		r.refused = true
		return
	}
	if b.central {
		b.queue = append(b.queue, r)
		b.drain()
		return
	}
	b.send(r)
}

// perEngine is how many attempts the first-come baseline sends to an engine.
const perEngine = 8

func (b *baseline) drain() {
	for len(b.queue) > 0 && b.sent[b.pick(b)[0].id] < perEngine {
		r := b.queue[0]
		b.queue = b.queue[1:]
		b.send(r)
	}
}

func (b *baseline) send(r *request) {
	list := b.pick(b)
	n := (r.prompt+r.output)*21/(20*b.fleet.speed.KVTokens) + 1
	var targets []barleystep.TargetID
	for _, e := range list {
		if len(targets) < n && !slices.Contains(r.avoid, e.id) {
			targets = append(targets, e.id)
		}
	}
	if len(targets) < n {
		r.avoid = nil
		b.fleet.sim.After(time.Second, func() { b.submit(r) })
		return
	}
	for _, t := range targets {
		b.sent[t]++
	}
	b.fleet.send(r, b.fleet.nextID(r.box), targets, 0)
}

func (b *baseline) first(*attempt) {}

func (b *baseline) ended(a *attempt, _ bool) {
	for _, t := range a.targets {
		b.sent[t]--
	}
	b.drain()
}

func (b *baseline) load(id barleystep.TargetID, l barleystep.Load) { b.loads[id] = l }

func (b *baseline) boxDied(box int) { b.dead[box] = true }
