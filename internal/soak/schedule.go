package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/barleystep/barleystep/platform/platformtest"
)

// Action is what is done to a process, a link or the store.
type Action string

// The actions. Those with a duration end after it.
const (
	// ActionTerm, ActionKill, ActionFreeze and ActionReload send a box SIGTERM,
	// SIGKILL, SIGSTOP (and SIGCONT in the end) and SIGHUP. A box that ends is
	// started again.
	ActionTerm   Action = "term"
	ActionKill   Action = "kill"
	ActionFreeze Action = "freeze"
	ActionReload Action = "reload"
	// ActionKillAll kills all boxes at once.
	ActionKillAll Action = "kill-all"
	// ActionCrash kills a target; another with a new id takes its place in the end.
	ActionCrash Action = "crash"
	// ActionRestart kills a target; in the end it starts again under its id.
	ActionRestart Action = "restart"
	// ActionForeign has another writer overwrite a target's entry in the way that Detail
	// names, until the target writes it again.
	ActionForeign Action = "foreign"
	// ActionDrain has a target say that it leaves, and end it in the end.
	ActionDrain Action = "drain"
	// ActionSpoil has targets spoil their answers.
	ActionSpoil Action = "spoil"
	// ActionReset, ActionSilence and ActionSlow break, silence and slow the
	// connections to a target.
	ActionReset   Action = "reset"
	ActionSilence Action = "silence"
	ActionSlow    Action = "slow"
	// ActionStore has the store fail in the way that Detail names.
	ActionStore Action = "store"
	// ActionForget has the store forget its history.
	ActionForget Action = "forget"
	// ActionRoute adds a route, and ActionRevoke takes the key away that is there to be
	// taken away.
	ActionRoute  Action = "route"
	ActionRevoke Action = "revoke"
	// ActionDeadly has callers send a request, now and then, that ends each target which
	// runs it.
	ActionDeadly Action = "deadly"
	// ActionLeave has a target say in its answers, and nowhere else, that it leaves, and end it
	// in the end. ActionRest has one turn all requests away and ask for rest.
	ActionLeave Action = "leave"
	ActionRest  Action = "rest"
)

// Event is one entry of a schedule.
type Event struct {
	At       time.Duration
	Duration time.Duration
	Action   Action
	// Index chooses the box or target.
	Index int
	// Detail is the store's fault or how answers are spoilt, and Share of how many.
	Detail string
	Share  float64
}

// String returns the event as a line of the schedule.
func (e Event) String() string {
	return fmt.Sprintf("%8s %-8s %d for %s %s %.2f", e.At, e.Action, e.Index, e.Duration, e.Detail, e.Share)
}

const (
	// quietStart and quietEnd are free of faults: all must work before, and again
	// after.
	quietStart = 2 * time.Second
	quietEnd   = 3 * time.Second
	// gap is the mean time between two events; they overlap, since most last longer.
	faultGap = 350 * time.Millisecond
	// restartGap and foreignGap are the same between targets that start again under their
	// ids and between entries of another writer.
	restartGap = 3 * time.Second
	foreignGap = 5 * time.Second
	// deadlyGap is the same between times in which callers send a deadly request.
	deadlyGap = 8 * time.Second
	// statementGap is the same between targets that say something of themselves.
	statementGap = 3 * time.Second
	// shortest and longest bound how long a fault lasts.
	minFault = 300 * time.Millisecond
	maxFault = 4 * time.Second
	// leastShare and mostShare bound how many answers of a target are spoilt.
	minShare = 0.05
	maxShare = 0.4
)

// source draws events of its own, so that a new one leaves the events of others as they
// are: a seed that is kept goes on to draw what it drew.
type eventSource struct {
	stream  uint64 // stream tells its generator from those of others.
	meanGap time.Duration
	// weights say how often each action comes.
	weights map[Action]int
}

// The generators of sources.
const (
	streamFaults uint64 = iota << 32
	streamStops
	streamRestarts
	streamForeign
	streamDeadly
	streamStatements
)

// sources returns what the events of a run are drawn from.
func eventSources(s Setup) []eventSource {
	list := []eventSource{
		{streamFaults, faultGap, faultWeights},
		{streamRestarts, restartGap, map[Action]int{ActionRestart: 1}},
		{streamForeign, foreignGap, map[Action]int{ActionForeign: 1}},
		{streamDeadly, deadlyGap, map[Action]int{ActionDeadly: 1}},
		{streamStatements, statementGap, map[Action]int{ActionLeave: 1, ActionRest: 1}},
	}
	if n := s.load().stops; n > 0 {
		meanInterval := gracePeriod * time.Duration(n) / time.Duration(s.Boxes)
		list = append(list, eventSource{streamStops, meanInterval, map[Action]int{ActionTerm: 1}})
	}
	return list
}

// weights are those of the faults that every run has.
var faultWeights = map[Action]int{
	ActionTerm: 6, ActionKill: 4, ActionFreeze: 4, ActionReload: 4, ActionKillAll: 1,
	ActionCrash: 5, ActionDrain: 4, ActionSpoil: 30, ActionReset: 6, ActionSilence: 4, ActionSlow: 4,
	ActionStore: 6, ActionForget: 2, ActionRoute: 4, ActionRevoke: 1,
}

// actions returns the actions in a fixed order, each as often as its weight says.
func (s eventSource) weightedActions() []Action {
	var list []Action
	for a, n := range s.weights {
		for range n {
			list = append(list, a)
		}
	}
	slices.Sort(list)
	return list
}

// Schedule draws the events of a run; the same seed gives the same schedule.
func Schedule(s Setup) []Event {
	var events []Event
	for _, from := range eventSources(s) {
		events = append(events, from.generate(s)...)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// draw draws the events of one source.
func (s eventSource) generate(run Setup) []Event {
	r := rand.New(rand.NewPCG(run.Seed, s.stream))
	list := s.weightedActions()
	var events []Event
	for at := quietStart; at < run.Length-quietEnd; at += time.Duration(r.ExpFloat64() * float64(s.meanGap)) {
		e := Event{
			At:       at.Round(time.Millisecond),
			Duration: (minFault + time.Duration(r.Int64N(int64(maxFault-minFault)))).Round(time.Millisecond),
			Action:   list[r.IntN(len(list))],
		}
		e.Duration = min(e.Duration, (run.Length - quietEnd - e.At).Round(time.Millisecond))
		e.detail(r, run.Boxes, run.targetCount())
		events = append(events, e)
	}
	return events
}

// detail draws what the action is done to, and how.
func (e *Event) detail(r *rand.Rand, boxes, targets int) {
	e.Index = r.IntN(targets)
	switch e.Action {
	case ActionTerm, ActionKill, ActionFreeze, ActionReload:
		e.Index = r.IntN(boxes)
	case ActionSpoil:
		e.Detail = string(platformtest.TargetFaults[r.IntN(len(platformtest.TargetFaults))])
		e.Share = minShare + (maxShare-minShare)*r.Float64()
	case ActionForeign:
		e.Detail = foreignNames[r.IntN(len(foreignNames))]
	case ActionStore:
		e.Detail = storeFaults[r.IntN(len(storeFaults))]
	}
}

// storeFaults are the store's faults by their names.
var storeFaults = []string{"busy", "reset", "lost", "hang"}
