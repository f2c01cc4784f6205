package trial

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/barleystep/barleystep"
)

// baseline is a dispatcher that follows one simple rule.
type baseline struct {
	fleet    *fleet
	rng      *rand.Rand
	loads    map[barleystep.TargetID]barleystep.Load
	inFlight map[barleystep.TargetID]int // inFlight counts the attempts at each engine that have not ended.
	next     int
	// pick returns the engines ordered by preference, best first.
	pick func(b *baseline) []*simEngine
	// centralQueue makes requests wait in one queue, first come, first served, until
	// an engine has fewer than maxPerEngine attempts.
	centralQueue bool
	queue        []*request
	crashedBoxes map[int]bool
}

func newBaseline(f *fleet, seed uint64, pick func(*baseline) []*simEngine) *baseline {
	return &baseline{
		fleet:        f,
		rng:          rand.New(rand.NewPCG(seed, 1)),
		loads:        make(map[barleystep.TargetID]barleystep.Load),
		inFlight:     make(map[barleystep.TargetID]int),
		pick:         pick,
		crashedBoxes: make(map[int]bool),
	}
}

func pickRandom(b *baseline) []*simEngine {
	list := slices.Clone(b.fleet.engines)
	b.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

func pickRoundRobin(b *baseline) []*simEngine {
	b.next++
	n := len(b.fleet.engines)
	list := make([]*simEngine, n)
	for i := range n {
		list[i] = b.fleet.engines[(b.next+i)%n]
	}
	return list
}

// pickLeastLoaded prefers the engine with the fewest requests in its last load
// report.
func pickLeastLoaded(b *baseline) []*simEngine {
	list := pickRandom(b)
	sort.SliceStable(list, func(i, j int) bool {
		x, y := b.loads[list[i].id], b.loads[list[j].id]
		return x.Running+x.Waiting < y.Running+y.Waiting
	})
	return list
}

// pickFewestInFlight prefers the engine with the fewest attempts in flight.
func pickFewestInFlight(b *baseline) []*simEngine {
	list := slices.Clone(b.fleet.engines)
	sort.SliceStable(list, func(i, j int) bool { return b.inFlight[list[i].id] < b.inFlight[list[j].id] })
	return list
}

func (b *baseline) submit(r *request) {
	if b.crashedBoxes[r.box] {
		r.refused = true
		return
	}
	if b.centralQueue {
		b.queue = append(b.queue, r)
		b.dispatchQueued()
		return
	}
	b.send(r)
}

// maxPerEngine is the number of attempts in flight at an engine from which the
// first-come baseline sends it no more.
const maxPerEngine = 8

// dispatchQueued sends queued requests while an engine is below maxPerEngine.
func (b *baseline) dispatchQueued() {
	for len(b.queue) > 0 && b.inFlight[b.pick(b)[0].id] < maxPerEngine {
		r := b.queue[0]
		b.queue = b.queue[1:]
		b.send(r)
	}
}

// send sends the request to as many engines as its tokens need KV cache, with a margin
// of 5%. If too few engines are left, it tries again in a second with all of them.
func (b *baseline) send(r *request) {
	list := b.pick(b)
	n := (r.prompt+r.output)*21/(20*b.fleet.speed.KVTokens) + 1
	var targets []barleystep.TargetID
	for _, e := range list {
		if len(targets) < n && !slices.Contains(r.failedTargets, e.id) {
			targets = append(targets, e.id)
		}
	}
	if len(targets) < n {
		r.failedTargets = nil
		b.fleet.sim.After(time.Second, func() { b.submit(r) })
		return
	}
	for _, t := range targets {
		b.inFlight[t]++
	}
	b.fleet.send(r, b.fleet.nextID(r.box), targets, 0)
}

func (b *baseline) firstToken(*attempt) {}

func (b *baseline) ended(a *attempt, _ bool) {
	for _, t := range a.targets {
		b.inFlight[t]--
	}
	b.dispatchQueued()
}

func (b *baseline) loadReport(id barleystep.TargetID, l barleystep.Load) { b.loads[id] = l }

func (b *baseline) boxCrashed(box int) { b.crashedBoxes[box] = true }
