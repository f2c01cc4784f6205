package trial

import (
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/capacity"
)

// capacityDispatcher places requests with the production Dispenser and a Holder for
// each box.
type capacityDispatcher struct {
	fleet        *fleet
	settings     capacity.Settings
	credits      bool // credits lets boxes send short prompts without a request to the dispenser.
	dispenser    *capacity.Dispenser
	dispenserBox int
	holders      []*capacity.Holder
	waiting      map[barleystep.AttemptID]*request
	granted      map[barleystep.AttemptID]bool
	down         bool // down is true between the crash of the dispenser's box and the takeover.
	crashedBoxes map[int]bool
}

// takeoverDelay is how long the boxes take to detect the crash of the dispenser's
// box.
const takeoverDelay = 3 * time.Second

func newCapacityDispatcher(f *fleet, s capacity.Settings, credits bool) *capacityDispatcher {
	o := &capacityDispatcher{
		fleet:        f,
		settings:     s,
		credits:      credits,
		waiting:      make(map[barleystep.AttemptID]*request),
		granted:      make(map[barleystep.AttemptID]bool),
		crashedBoxes: make(map[int]bool),
	}
	for i := range boxes {
		o.holders = append(o.holders, capacity.NewHolder(boxName(i)))
	}
	o.startDispenser()
	interval := s.Interval
	if interval == 0 {
		interval = time.Second
	}
	f.sim.Every(interval, o.exchangeReports)
	f.sim.Every(100*time.Millisecond, o.tick)
	return o
}

func boxName(i int) barleystep.BoxID { return barleystep.BoxID(string(rune('0' + i))) }

// startDispenser starts a dispenser without any state.
func (o *capacityDispatcher) startDispenser() {
	o.dispenser = capacity.NewDispenser(o.settings, o.fleet.sim.Now())
	var specs []capacity.TargetSpec
	for _, e := range o.fleet.engines {
		specs = append(specs, capacity.TargetSpec{ID: e.id, KVTokens: o.fleet.speed.KVTokens, PrefillRate: o.fleet.speed.PrefillRate})
	}
	o.dispenser.SetTargets(specs)
	o.down = false
}

func (o *capacityDispatcher) submit(r *request) {
	if o.crashedBoxes[r.box] {
		r.refused = true
		return
	}
	now := o.fleet.sim.Now()
	id := o.fleet.nextID(r.box)
	d := r.demand(id)
	if o.credits {
		if target, ok := o.holders[r.box].TryStart(now, d); ok {
			o.fleet.send(r, id, []barleystep.TargetID{target}, capacity.Priority(o.settings.Weighing, r.rank, r.prompt))
			return
		}
	}
	o.fleet.sim.After(hopDelay, func() { o.requestGrant(r, id) })
}

// requestGrant requests a grant from the dispenser. While there is none it tries again
// after takeoverDelay.
func (o *capacityDispatcher) requestGrant(r *request, id barleystep.AttemptID) {
	if o.down {
		o.fleet.sim.After(takeoverDelay, func() { o.requestGrant(r, id) })
		return
	}
	a := capacity.GrantRequest{Demand: r.demand(id), Box: boxName(r.box), Weight: weightOf(r.account), Rank: r.rank, Limit: 1}
	if o.dispenser.Enqueue(o.fleet.sim.Now(), a) != nil {
		r.refused = true
		return
	}
	o.waiting[id] = r
	o.tick()
}

// tick starts the requests that the dispenser grants and ends those that it refuses.
func (o *capacityDispatcher) tick() {
	if o.down {
		return
	}
	for _, g := range o.dispenser.Schedule(o.fleet.sim.Now()) {
		r, ok := o.waiting[g.Attempt]
		delete(o.waiting, g.Attempt)
		switch {
		case !ok:
		case g.Refusal != nil:
			r.refused = true
		default:
			o.fleet.sim.After(hopDelay, func() { o.start(r, g) })
		}
	}
}

func (o *capacityDispatcher) start(r *request, g capacity.Grant) {
	o.granted[g.Attempt] = true
	o.holders[r.box].AddGrant(o.fleet.sim.Now(), r.demand(g.Attempt), g.Targets)
	o.fleet.send(r, g.Attempt, g.Targets, g.Priority)
}

func (o *capacityDispatcher) firstToken(a *attempt) {
	now := o.fleet.sim.Now()
	o.holders[a.request.box].FirstToken(now, a.id)
	if o.granted[a.id] && !o.down {
		o.dispenser.FirstToken(now, a.id, 0)
		o.tick()
	}
}

func (o *capacityDispatcher) ended(a *attempt, ok bool) {
	u := barleystep.Usage{Outcome: barleystep.OutcomeDone}
	if !ok {
		u.Outcome = barleystep.OutcomeFailed
	}
	if a.started {
		u.TimeToFirstEvent = 1
	}
	o.holders[a.request.box].End(a.id, u)
	if !o.granted[a.id] || o.down {
		return
	}
	delete(o.granted, a.id)
	o.dispenser.Release(o.fleet.sim.Now(), a.id, u)
	o.tick()
}

func (o *capacityDispatcher) loadReport(id barleystep.TargetID, l barleystep.Load) {
	if !o.down {
		o.dispenser.UpdateLoad(id, l)
	}
}

// exchangeReports sends each box's report to the dispenser and returns the credits to
// the box.
func (o *capacityDispatcher) exchangeReports() {
	if o.down {
		return
	}
	now := o.fleet.sim.Now()
	for i, h := range o.holders {
		if !o.crashedBoxes[i] {
			h.SetCredits(o.dispenser.ApplyReport(now, h.Report(now)))
		}
	}
}

// boxCrashed stops the dispenser if it runs on the box. After takeoverDelay a new
// one starts on the next box, and the requests that waited are submitted to it again.
func (o *capacityDispatcher) boxCrashed(box int) {
	o.crashedBoxes[box] = true
	if box != o.dispenserBox {
		o.dispenser.RemoveBox(o.fleet.sim.Now(), boxName(box))
		return
	}
	o.down = true
	o.dispenserBox = (box + 1) % boxes
	lost := o.waiting
	o.waiting = make(map[barleystep.AttemptID]*request)
	o.fleet.sim.After(takeoverDelay, func() {
		o.startDispenser()
		o.exchangeReports()
		for _, r := range sortedRequests(lost) {
			o.submit(r)
		}
	})
}
