package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/barleystep/barleystep/internal/fault"
	"github.com/barleystep/barleystep/platform/platformtest"
)

// Action is a fault or a change applied to a process, a connection or the store.
type Action string

// The actions. Those with a duration are undone after it.
const (
	// ActionTerm, ActionKill, ActionFreeze and ActionReload send SIGTERM, SIGKILL, SIGSTOP
	// (followed by SIGCONT after the duration) and SIGHUP to a box. A box that exits is restarted.
	ActionTerm   Action = "term"
	ActionKill   Action = "kill"
	ActionFreeze Action = "freeze"
	ActionReload Action = "reload"
	// ActionKillAll kills all boxes at once.
	ActionKillAll Action = "kill-all"
	// ActionCrash kills a target. After the duration a target with a new id replaces it.
	ActionCrash Action = "crash"
	// ActionRestart kills a target. After the duration it is restarted under the same id.
	ActionRestart Action = "restart"
	// ActionForeign makes another writer overwrite a target's record in the way that Detail names.
	// After the duration the target writes its record again.
	ActionForeign Action = "foreign"
	// ActionDrain makes a target announce in the store that it is leaving, and replaces it after
	// the duration.
	ActionDrain Action = "drain"
	// ActionSpoil makes a target return faulty answers.
	ActionSpoil Action = "spoil"
	// ActionReset, ActionSilence and ActionSlow reset, stall and delay the connections to a target.
	ActionReset   Action = "reset"
	ActionSilence Action = "silence"
	ActionSlow    Action = "slow"
	// ActionStore makes the store fail in the way that Detail names.
	ActionStore Action = "store"
	// ActionForget makes the store drop its change history.
	ActionForget Action = "forget"
	// ActionRoute adds a route. ActionRevoke revokes revocableKey.
	ActionRoute  Action = "route"
	ActionRevoke Action = "revoke"
	// ActionDeadly makes callers occasionally send a request that crashes each target that executes
	// it.
	ActionDeadly Action = "deadly"
	// ActionLeave makes a target state in its answers only, not in the store, that it is leaving,
	// and replaces it after the duration. ActionRest makes a target refuse all requests and ask for
	// rest.
	ActionLeave Action = "leave"
	ActionRest  Action = "rest"
	// ActionSlowdown makes a target take slowdownFactor times as long for each part of an answer.
	ActionSlowdown Action = "slowdown"
	// ActionKillLong makes callers send more oversized prompts, and kills a box while one waits or
	// is being prefilled: the box that Detail names. The duration bounds the wait for such a prompt.
	ActionKillLong Action = "kill-long"
	// ActionEvacuate evacuates the hall that Detail names and takes that back after the duration.
	// It does nothing while a hall is evacuated already.
	ActionEvacuate Action = "evacuate"
	// ActionCut takes away the links of a box, or of all boxes of its hall, to all targets in the way
	// that Detail names.
	ActionCut Action = "cut"
	// ActionDeadlyPart makes callers send requests no two alike, with one part that crashes each target.
	ActionDeadlyPart Action = "deadly-part"
	// ActionCrowd makes all callers open new connections, most of them to one box.
	ActionCrowd Action = "crowd"
	// ActionMute makes the open connections to the store fall silent, while new ones work.
	ActionMute Action = "mute"
	// ActionUnframed makes a target end streams without framing inside an event.
	ActionUnframed Action = "unframed"
	// ActionVanish makes a target leave that serves on for long. Its record goes, or with a Share of
	// sayShare or more it says first that it leaves.
	ActionVanish Action = "vanish"
	// ActionCold replaces a target, after the duration, by one that starts cold.
	ActionCold Action = "cold"
	// ActionExcess makes a target send more than its answer in the way that Detail names.
	ActionExcess Action = "excess"
)

// Event is one entry of a schedule.
type Event struct {
	At       time.Duration
	Duration time.Duration
	Action   Action
	// Index selects the box or target.
	Index int
	// Detail names the fault of the store, of a target's answers, of its record or of a box's links,
	// the box to kill, or the hall to evacuate. Share is the share of a target's answers that are
	// faulty; with ActionCut, a value below hallCutShare means all boxes of the hall, with ActionVanish
	// one below sayShare that the target leaves without saying so.
	Detail string
	Share  float64
}

// String returns the event as a line of the printed schedule.
func (e Event) String() string {
	return fmt.Sprintf("%8s %-8s %d for %s %s %.2f", e.At, e.Action, e.Index, e.Duration, e.Detail, e.Share)
}

const (
	// quietStart and quietEnd are free of faults: everything must work before the first fault and
	// again after the last.
	quietStart = 2 * time.Second
	quietEnd   = 3 * time.Second
	// faultGap is the mean time between two events. Faults overlap, since most last longer.
	faultGap = 350 * time.Millisecond
	// restartGap and foreignGap are the mean times between restarts of targets under the same id
	// and between overwritten records.
	restartGap = 3 * time.Second
	foreignGap = 5 * time.Second
	// deadlyGap is the mean time between periods in which callers send deadly requests.
	deadlyGap = 8 * time.Second
	// statementGap is the mean time between statements of targets.
	statementGap = 3 * time.Second
	// slowdownGap, killLongGap, evacuationGap and coldGap are the mean times between slow targets,
	// between kills of boxes that hold long prompts, between evacuations and between cold starts.
	slowdownGap   = 4 * time.Second
	killLongGap   = 5 * time.Second
	evacuationGap = 12 * time.Second
	coldGap       = 4 * time.Second
	// cutGap is the mean time between cuts of boxes from the targets. A share of hallCutShare is of
	// all boxes of a hall.
	cutGap       = 4 * time.Second
	hallCutShare = 0.3
	// deadlyPartGap, crowdGap, muteGap, unframedGap and excessGap are the mean times between the
	// faults that their names tell.
	deadlyPartGap = 9 * time.Second
	crowdGap      = 7 * time.Second
	muteGap       = 8 * time.Second
	unframedGap   = 4 * time.Second
	excessGap     = time.Second
	// vanishGap is the mean time between leaves of targets that serve on for long.
	// Short runs have none: a target that is away for vanishTime is away for much of them.
	vanishGap    = 5 * time.Second
	vanishLength = 30 * time.Second
	sayShare     = 0.5
	// minFault and maxFault bound the duration of a fault.
	minFault = 300 * time.Millisecond
	maxFault = 4 * time.Second
	// minShare and maxShare bound the share of a target's answers that are faulty.
	minShare = 0.05
	maxShare = 0.4
)

// eventSource draws events from a generator of its own. A new source therefore leaves the events of
// the others unchanged, and a stored seed keeps producing the same faults.
type eventSource struct {
	stream  uint64 // stream selects the generator.
	meanGap time.Duration
	// weights are the relative frequencies of the actions.
	weights map[Action]int
}

// The generators of the event sources.
const (
	streamFaults uint64 = iota << 32
	streamStops
	streamRestarts
	streamForeign
	streamDeadly
	streamStatements
	streamSlowdowns
	streamKillLong
	streamEvacuations
	streamCold
	streamLong // streamLong draws the additional oversized prompts of callers.
	streamCuts
	streamDeadlyParts
	streamCrowds
	streamMutes
	streamUnframed
	streamVanishes
	streamExcess
	streamStopCalls // streamStopCalls draws the calls to boxes that are stopping.
)

// eventSources returns the sources of a run's events.
func eventSources(s Setup) []eventSource {
	list := []eventSource{
		{streamFaults, faultGap, faultWeights},
		{streamRestarts, restartGap, map[Action]int{ActionRestart: 1}},
		{streamForeign, foreignGap, map[Action]int{ActionForeign: 1}},
		{streamDeadly, deadlyGap, map[Action]int{ActionDeadly: 1}},
		{streamStatements, statementGap, map[Action]int{ActionLeave: 1, ActionRest: 1}},
		{streamSlowdowns, slowdownGap, map[Action]int{ActionSlowdown: 1}},
		{streamKillLong, killLongGap, map[Action]int{ActionKillLong: 1}},
		{streamEvacuations, evacuationGap, map[Action]int{ActionEvacuate: 1}},
		{streamCold, coldGap, map[Action]int{ActionCold: 1}},
		{streamCuts, cutGap, map[Action]int{ActionCut: 1}},
		{streamDeadlyParts, deadlyPartGap, map[Action]int{ActionDeadlyPart: 1}},
		{streamCrowds, crowdGap, map[Action]int{ActionCrowd: 1}},
		{streamMutes, muteGap, map[Action]int{ActionMute: 1}},
		{streamUnframed, unframedGap, map[Action]int{ActionUnframed: 1}},
		{streamExcess, excessGap, map[Action]int{ActionExcess: 1}},
	}
	if s.Length >= vanishLength {
		list = append(list, eventSource{streamVanishes, vanishGap, map[Action]int{ActionVanish: 1}})
	}
	if n := s.load().stops; n > 0 {
		meanInterval := gracePeriod * time.Duration(n) / time.Duration(s.Boxes)
		list = append(list, eventSource{streamStops, meanInterval, map[Action]int{ActionTerm: 1}})
	}
	return list
}

// faultWeights are the relative frequencies of the faults that every run has.
var faultWeights = map[Action]int{
	ActionTerm: 6, ActionKill: 4, ActionFreeze: 4, ActionReload: 4, ActionKillAll: 1,
	ActionCrash: 5, ActionDrain: 4, ActionSpoil: 30, ActionReset: 6, ActionSilence: 4, ActionSlow: 4,
	ActionStore: 6, ActionForget: 2, ActionRoute: 4, ActionRevoke: 1,
}

// weightedActions returns the actions in a fixed order, each repeated as often as its weight.
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

// Schedule draws the events of a run. The same seed gives the same schedule.
func Schedule(s Setup) []Event {
	var events []Event
	for _, from := range eventSources(s) {
		events = append(events, from.generate(s)...)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// generate draws the events of one source.
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
		e.detail(r, run)
		events = append(events, e)
	}
	return events
}

// detail draws the box or target of the action and its parameters.
func (e *Event) detail(r *rand.Rand, run Setup) {
	e.Index = r.IntN(run.targetCount())
	switch e.Action {
	case ActionTerm, ActionKill, ActionFreeze, ActionReload, ActionCrowd:
		e.Index = r.IntN(run.Boxes)
	case ActionUnframed:
		e.Share = minShare + (maxShare-minShare)*r.Float64()
	case ActionVanish:
		e.Share = r.Float64()
	case ActionCut:
		e.Index = r.IntN(run.Boxes)
		e.Detail = string(fault.Modes[r.IntN(len(fault.Modes))])
		e.Share = r.Float64()
	case ActionSpoil:
		e.Detail = string(platformtest.TargetFaults[r.IntN(len(platformtest.TargetFaults))])
		e.Share = minShare + (maxShare-minShare)*r.Float64()
	case ActionExcess:
		f := platformtest.ExcessFaults[r.IntN(len(platformtest.ExcessFaults))]
		if slices.Contains(platformtest.StreamFaults, f) {
			e.Index = r.IntN(run.Targets) // Only engines serve streams.
		}
		e.Detail, e.Share = string(f), maxShare
	case ActionForeign:
		e.Detail = foreignNames[r.IntN(len(foreignNames))]
	case ActionStore:
		e.Detail = storeFaults[r.IntN(len(storeFaults))]
	case ActionKillLong:
		e.Detail = killLongBoxes[r.IntN(len(killLongBoxes))]
	case ActionEvacuate:
		e.Detail = hallOf(r.IntN(hallCount))
	}
}

// storeFaults names the faults of the store.
var storeFaults = []string{"busy", "reset", "lost", "hang"}
