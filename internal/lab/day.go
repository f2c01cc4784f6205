package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/timeline"
)

// cause is the reason why a stream was late.
type cause uint8

// The causes of late streams.
const (
	causeNone cause = iota
	// causeFirst: the first event came after the objective.
	causeFirst
	// A pause exceeded the limit while the engine prefilled part of a prompt split among engines
	// (causePart), a long prompt of its own (causeLong) or short prompts (causeShort).
	causePart
	causeLong
	causeShort
	// causeMoved: a pause exceeded the limit while another engine resumed the stream.
	causeMoved
	// Streams without a complete answer: refused (causeRefused), abandoned by their callers
	// (causeGone) or cut off by a restart of the boxes (causeCut).
	causeRefused
	causeGone
	causeCut
	causes
)

// String returns the cause as the tables print it.
func (c cause) String() string {
	return [...]string{"in time", "first event late", "paused by a part", "paused by a long prompt", "paused by short prompts", "paused by a move", "refused", "given up", "cut"}[c]
}

const (
	// service is the name of the engines' service.
	service = "engines"
	// gossipInterval is the time between two reports of a box's work to its peers, gossipDelay the
	// age of a report on arrival. A scenario may override both.
	gossipInterval = 50 * time.Millisecond
	gossipDelay    = 50 * time.Millisecond
	// networkDelay is the time a request takes to reach an engine.
	networkDelay = 2 * time.Millisecond
	// dispatchDelay is the time from a choice of engines until these have the prompt.
	dispatchDelay = 2*networkDelay + time.Millisecond
	// drainTime is how long a day continues after the last prompt.
	drainTime = 16 * time.Second
	// boxRestartTime is how long the boxes are down during a restart.
	boxRestartTime = time.Second
	// maxTries is how often a caller sends a request.
	maxTries = 2
	// maxSends bounds the number of engines to which one try is sent.
	maxSends = 2
	// maxReplans bounds the number of placements of one try whose engines are unreachable.
	maxReplans = 4
)

// day is one simulated run of a scenario.
type day struct {
	scenario     Scenario
	timeline     *timeline.Timeline
	rng          *rand.Rand
	engines      []*engine
	byID         map[barleystep.TargetID]*engine
	boxes        []*box
	allRequests  []*request
	policy       Policy
	statedLimits []*statedLimit
	usage        usage
	kills        []*kill
	starts       int // starts counts the starts of the boxes.
}

// box is one box with its balancer and the last report of its work.
type box struct {
	balancer *balance.Balancer
	planner  planner // planner is the balancer if it plans starts, otherwise nil.
	snapshot balance.Snapshot
	waits    map[*request]queuedRequest
	order    []*request // order lists the queued requests in order, so that a day is deterministic.
	up       bool
	// killed is set once the box has been killed for good, and silent once gossip says so.
	killed bool
	silent bool
	// plannedStarts are the planned starts for which a timer runs.
	plannedStarts []time.Time
}

// Run simulates one day of the scenario under the policy and returns the outcome.
func Run(l Scenario, p Policy, seed uint64) Result {
	d := newDay(l, p, seed)
	for _, r := range d.allRequests {
		d.timeline.After(r.at, func() { d.sendTry(r) })
	}
	d.startUsage()
	d.scheduleFaults()
	d.scheduleHallPeriods()
	d.scheduleSlowdowns()
	d.scheduleKills()
	d.scheduleLimits()
	d.timeline.RunUntil(l.Length + drainTime)
	return d.measure()
}

func newDay(l Scenario, p Policy, seed uint64) *day {
	d := &day{scenario: l, timeline: &timeline.Timeline{}, byID: make(map[barleystep.TargetID]*engine), policy: p}
	d.allRequests = l.requests(rand.New(rand.NewPCG(seed, 1)))
	d.rng = rand.New(rand.NewPCG(seed, 2))
	for i := range l.Engines {
		id := barleystep.TargetID(fmt.Sprintf("e%03d", i))
		e := &engine{
			target:   fleet.Target{ID: id, Service: service, Addr: string(id), Hall: l.hall(i), Slots: l.Cost.Slots},
			cost:     &d.scenario.Cost,
			timeline: d.timeline,
			slowness: 1,
		}
		d.engines = append(d.engines, e)
		d.byID[id] = e
	}
	if l.ReportsStart {
		for _, e := range d.engines {
			e.target.StartMS = 1
		}
	}
	d.startBoxes(seed)
	d.timeline.Every(orDefault(l.GossipInterval, gossipInterval), d.gossip)
	return d
}

// hall returns the hall of the engine or box with this number.
func (l Scenario) hall(number int) barleystep.HallID {
	return barleystep.HallID(fmt.Sprintf("hall%d", number%max(l.Halls, 1)))
}

// orDefault returns d, or the fallback if d is zero.
func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// startBoxes starts all boxes without any knowledge of engines and requests. The first box is the
// lead.
func (d *day) startBoxes(seed uint64) {
	d.starts++
	d.boxes = nil
	for i := range d.scenario.Boxes {
		b := &box{waits: make(map[*request]queuedRequest), snapshot: balance.NewSnapshot(), up: true}
		b.balancer = &balance.Balancer{
			Clock:         simClock{d.timeline},
			Hall:          d.scenario.hall(i),
			DispatchDelay: dispatchDelay,
			Targets:       d.targets,
			Rand:          rand.New(rand.NewPCG(seed, uint64(100*d.starts+i))),
		}
		b.planner = plannerOf(b.balancer)
		if i > 0 {
			b.balancer.Lead = lead{d, d.boxes[0].balancer}
		}
		b.balancer.SetRole(balance.Role{IsLead: i == 0, Boxes: d.scenario.Boxes, Reachable: d.scenario.Boxes})
		d.boxes = append(d.boxes, b)
	}
}

// lead is the lead as its peers reach it.
type lead struct {
	day      *day
	balancer *balance.Balancer
}

// Place is not used: the day calls the lead's balancer itself, since the request may have to wait.
func (lead) Place(context.Context, balance.Job) (balance.Plan, error) {
	return balance.Plan{}, balance.ErrNoTarget
}

// PrefillDone tells the lead after networkDelay that a plan's prompt has been prefilled.
func (l lead) PrefillDone(plan uint64) {
	l.day.timeline.After(networkDelay, func() {
		l.balancer.PrefillDone(plan)
		l.day.poll(l.day.boxes[0])
	})
}

func (d *day) targets() []fleet.Target {
	list := make([]fleet.Target, 0, len(d.engines))
	for _, e := range d.engines {
		list = append(list, e.target)
	}
	return list
}

// scheduleFaults schedules crashes and restarts of engines and the restart of the boxes, and slows
// engines down.
func (d *day) scheduleFaults() {
	for i := range d.scenario.Crashes {
		at := d.scenario.Length * time.Duration(i+1) / time.Duration(d.scenario.Crashes+1)
		d.timeline.After(at, d.engines[i].crash)
	}
	for _, e := range d.engines[:int(d.scenario.OutageLoss*float64(len(d.engines)))] {
		d.timeline.After(d.scenario.Length/2, e.crash)
	}
	for i := range d.scenario.EngineRestarts {
		at := d.scenario.Length * time.Duration(i+1) / time.Duration(d.scenario.EngineRestarts+1)
		e := d.engines[i%len(d.engines)]
		d.timeline.After(at, func() { d.crashSilently(e) })
	}
	for i := range d.scenario.SlowEngines {
		d.engines[len(d.engines)-1-i].slowness = 2
	}
	if d.scenario.BoxRestartAt > 0 {
		d.timeline.After(d.scenario.BoxRestartAt, d.restartBoxes)
	}
}

// restartBoxes kills all boxes. Callers retry once the boxes are up again.
func (d *day) restartBoxes() {
	for _, r := range d.allRequests {
		if r.at > d.timeline.Elapsed() || r.ended || r.tries == 0 {
			continue
		}
		if r.abandon != nil {
			r.abandon()
		}
		d.retry(r, boxRestartTime, causeCut)
	}
	for _, b := range d.boxes {
		b.up = false
	}
	d.timeline.After(boxRestartTime, func() { d.startBoxes(d.rng.Uint64()) })
}

// gossip exchanges the boxes' reports of their work. They arrive after the gossip delay.
func (d *day) gossip() {
	sum := balance.NewSnapshot()
	for _, b := range d.boxes {
		if !b.silent {
			sum.Add(b.snapshot)
		}
	}
	for _, b := range d.boxes {
		if b.killed {
			continue // Its last report counts until it is silent.
		}
		others := balance.NewSnapshot()
		others.Add(sum)
		others.Remove(b.snapshot)
		b.snapshot = b.balancer.Snapshot()
		d.timeline.After(orDefault(d.scenario.GossipDelay, gossipDelay), func() {
			if b.killed {
				return
			}
			b.balancer.SetOthers(others)
			d.poll(b)
		})
	}
}
