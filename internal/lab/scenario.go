package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/barleystep/barleystep/internal/fleet"
)

// Kind is one kind of stream of a scenario.
type Kind struct {
	Name string
	// Rate is the mean number of arrivals per second.
	Rate float64
	// MeanPrompt is the mean prompt length in tokens, MeanEvents the mean number of events of an
	// answer. Spread is the standard deviation of both divided by the mean.
	MeanPrompt float64
	MeanEvents float64
	Spread     float64
	// MaxPrompt bounds the prompt length in tokens. Zero means 4.5 times the mean.
	MaxPrompt int
	Objective time.Duration
	MaxPause  time.Duration
	Deadline  time.Duration
	// Priority ranks the streams; 0 goes first.
	Priority int
	// Worth is the worth of a stream of mean size that is in time, LateWorth that of one that is
	// late but complete.
	Worth     float64
	LateWorth float64
}

// The names of the kinds of streams.
const (
	kindShort    = "short"
	kindMiddling = "middling"
	kindLong     = "long"
)

// Scenario describes a day: engines, boxes and what callers send.
type Scenario struct {
	Name    string
	Cost    fleet.CostModel
	Engines int
	Boxes   int
	// Halls is the number of halls over which engines and boxes are distributed. Zero means one.
	Halls int
	Kinds []Kind
	// BurstLength is the length of the alternating bursts of short and of long prompts. Zero means
	// a steady load.
	BurstLength time.Duration
	// Length is how long prompts arrive.
	Length time.Duration
	// Crashes is how many engines crash, one after the other.
	Crashes int
	// SlowEngines is how many engines take twice the time.
	SlowEngines int
	// EngineRestarts is how often an engine stops responding and restarts under its id, one engine
	// after the other. ReportsStart is set if engines report their start time.
	EngineRestarts int
	ReportsStart   bool
	// OutageLoss is the fraction of the engines that exit all at once in the middle of the day
	// while boxes cannot read the list of targets, which still contains them.
	OutageLoss float64
	// BoxRestartAt is when all boxes restart and lose their state. Zero means never.
	BoxRestartAt time.Duration
	// GossipInterval is the time between two reports of the peers' work to a box, GossipDelay the
	// minimum age of a report. Zero means 50 ms for each.
	GossipInterval time.Duration
	GossipDelay    time.Duration
	// Swing is the amplitude of a periodic change of all rates, as a fraction of their mean, and Period
	// its period. Zero means none.
	Swing  float64
	Period time.Duration
	// FirstTryOnly is set if a caller's objective counts from its first try also after an early
	// refusal.
	FirstTryOnly bool
	// Limits are the periods in which engines state rate limits.
	Limits []RateLimit
	// Phases are a cycle of factors on all rates. None means a factor of 1.
	Phases []Phase
	// ColdLimit is the rate of requests per second that a cold engine accepts from all boxes.
	ColdLimit float64
	// Evacuations and ColdStarts are the periods in which a hall is evacuated, and in which the
	// engines of a hall are cold.
	Evacuations []HallPeriod
	ColdStarts  []HallPeriod
	// Slowdowns are the periods in which some of the engines are slower.
	Slowdowns []Slowdown
	// OrderLosses are the periods in which engines leave orders without an answer.
	OrderLosses []OrderLoss
	// BoxKills are the times from which on a box is killed as soon as it has parts of long prompts
	// on many engines.
	BoxKills []time.Duration
	// Accounts is the number of client accounts over which prompts are distributed. Zero means one.
	Accounts int
	// BurstShare is the fraction of the prompts in bursts that the first account sends.
	BurstShare float64
	// QuietAccount is set to drop the prompts of BurstShare, so that the first account sends as many
	// as the others, whose prompts stay the same.
	QuietAccount bool
}

// Family is a way of drawing scenarios.
type Family struct {
	Name string
	Draw func(rng *rand.Rand) Scenario
}

// Families are the measured families of scenarios.
var Families = []Family{
	{"steady", func(rng *rand.Rand) Scenario { return draw(rng, 18) }},
	{"turns of 8 to 11 s", func(rng *rand.Rand) Scenario { return bursts(rng, 18, 8, 11) }},
	{"turns of 4 to 6 s", func(rng *rand.Rand) Scenario { return bursts(rng, 18, 4, 6) }},
	{"many middling prompts", func(rng *rand.Rand) Scenario {
		l := draw(rng, 18)
		l.Kinds[1].Rate *= 4
		l.Kinds[2].Rate /= 3
		return l
	}},
	{"engines die and are slow", func(rng *rand.Rand) Scenario {
		l := bursts(rng, 18, 8, 11)
		l.Crashes, l.SlowEngines = 3, 2
		return l
	}},
	{"all boxes start anew", func(rng *rand.Rand) Scenario {
		l := bursts(rng, 18, 8, 11)
		l.BoxRestartAt = defaultLength / 2
		return l
	}},
	{"engines start anew", func(rng *rand.Rand) Scenario { return engineRestarts(rng, true) }},
	{"engines start anew, unsaid", func(rng *rand.Rand) Scenario { return engineRestarts(rng, false) }},
	{"three engines", func(rng *rand.Rand) Scenario { return draw(rng, 3) }},
	{"one engine", func(rng *rand.Rand) Scenario { return draw(rng, 1) }},
	{"sixty engines, turns", func(rng *rand.Rand) Scenario { return bursts(rng, 60, 8, 11) }},
	{"a fifth over memory", overMemory},
	{"half over memory", halfOverMemory},
	{"engines leave in an outage", func(rng *rand.Rand) Scenario {
		l := overMemory(rng)
		l.OutageLoss = 0.25
		return l
	}},
	{"engines go while long prompts come", engineLoss},
	{"short overload", shortOverload},
	{"three priorities", threePriorities},
	{"evacuated and cold halls", evacuatedAndCold},
	{"slow targets", slowTargets},
	{"account with half of bursts", burstingAccount},
	{"box killed with parts planned", killedBoxes},
	{"three hundred boxes", func(rng *rand.Rand) Scenario { return manyBoxes(rng, 100*time.Millisecond, 50*time.Millisecond) }},
	{"three hundred boxes, old news", func(rng *rand.Rand) Scenario { return manyBoxes(rng, 250*time.Millisecond, 150*time.Millisecond) }},
}

const (
	defaultLength = 32 * time.Second
	// enginesPerBox is the number of engines for each box.
	enginesPerBox = 2
)

// uniform draws a number from the range.
func uniform(rng *rand.Rand, low, high float64) float64 { return low + (high-low)*rng.Float64() }

// draw draws a steady scenario: the speed of the engines, three kinds of prompts, and the fraction
// of the engines' capacity that they need.
func draw(rng *rand.Rand, engines int) Scenario {
	l := Scenario{Engines: engines, Boxes: max(engines/enginesPerBox, 1), Length: defaultLength}
	l.Cost = fleet.CostModel{
		Slots:            []int{8, 12, 16, 24}[rng.IntN(4)],
		KVTokens:         int(uniform(rng, 350e3, 500e3)),
		Step:             millis(uniform(rng, 0.8, 1.4)),
		PerStream:        millis(uniform(rng, 0.001, 0.005)),
		PerContext:       millis(0.0023),
		PrefillRate:      uniform(rng, 140e3, 280e3),
		PerMillionPairs:  millis(uniform(rng, 0.08, 0.17)),
		PrefillChunk:     2048,
		MeanOutputTokens: 1200,
	}
	l.Cost.Stride = int(45 / (l.Cost.Step.Seconds() * perThousand))
	l.Kinds = []Kind{
		{Name: kindShort, MeanPrompt: uniform(rng, 3e3, 6e3), MeanEvents: uniform(rng, 28, 42), Spread: 0.8, Objective: 300 * time.Millisecond, MaxPause: millis(uniform(rng, 180, 280)), Deadline: 10 * time.Second, Worth: 1.3, LateWorth: 0.33},
		{Name: kindMiddling, MeanPrompt: uniform(rng, 30e3, 60e3), MeanEvents: uniform(rng, 18, 26), Spread: 0.5, Objective: 1500 * time.Millisecond, MaxPause: millis(uniform(rng, 450, 650)), Deadline: 10 * time.Second, Worth: 3.5, LateWorth: 0.9},
		{Name: kindLong, MeanPrompt: uniform(rng, 150e3, 240e3), MeanEvents: uniform(rng, 15, 22), Spread: 0.55, Objective: 3 * time.Second, MaxPause: millis(uniform(rng, 750, 1050)), Deadline: 15 * time.Second, Worth: 23, LateWorth: 5.7},
	}
	// The fraction of capacity that each kind needs: short streams of the slots, the others of the
	// time.
	needs := []float64{uniform(rng, 0.15, 0.3), uniform(rng, 0.03, 0.07), uniform(rng, 0.18, 0.3)}
	for i := range l.Kinds {
		l.Kinds[i].Rate = needs[i] * float64(engines) / l.Kinds[i].need(&l.Cost)
	}
	l.Cost.MeanPromptTokens = l.meanPrompt()
	return l
}

func bursts(rng *rand.Rand, engines int, low, high float64) Scenario {
	l := draw(rng, engines)
	l.BurstLength = millis(uniform(rng, low, high) * perThousand)
	return l
}

// engineRestarts draws a scenario in which each engine restarts twice.
func engineRestarts(rng *rand.Rand, reported bool) Scenario {
	l := bursts(rng, 18, 8, 11)
	l.EngineRestarts, l.ReportsStart = 36, reported
	return l
}

// manyBoxes draws a scenario of the largest known deployment: many small boxes in front of engines
// with few slots, of which callers need a quarter in the mean and half in bursts. Boxes get reports
// of their peers every 100 ms, on work that is 50 to 150 ms old, as plane.TestHundreds measures.
// With roles that do not hold the interval is 250 ms and more.
func manyBoxes(rng *rand.Rand, gossipInterval, gossipDelay time.Duration) Scenario {
	l := bursts(rng, 150, 8, 11)
	l.Boxes, l.GossipInterval, l.GossipDelay = 295, gossipInterval, gossipDelay
	l.Cost.Slots = 10
	l.Kinds[1].MeanPrompt, l.Kinds[2].MeanPrompt = 45e3, 300e3
	l.Kinds[2].Objective = 4 * time.Second
	l.Kinds[0].Rate, l.Kinds[1].Rate, l.Kinds[2].Rate = 217, 23, 5.3
	l.Cost.MeanPromptTokens = l.meanPrompt()
	return l
}

// overMemory draws a scenario of engines with slow prefill and KV cache for 344,250 tokens. Long
// prompts have 260,000 tokens in the mean. A fifth of them exceed the KV cache and take half of the
// prefill time. Bursts of short and of long prompts alternate. The figures are those of the
// deployment whose prompts are the longest relative to its engines.
func overMemory(rng *rand.Rand) Scenario {
	l := bursts(rng, 60, 8, 11)
	l.Boxes, l.Halls = 85, 3
	l.Cost = fleet.CostModel{
		Slots: 12, KVTokens: 344_250, Step: millis(1.31), PerStream: millis(0.000917), PerContext: millis(0.00213),
		PrefillRate: 154e3, PerMillionPairs: millis(0.162), PrefillChunk: 2048, Stride: 38, MeanOutputTokens: 1200,
	}
	l.Kinds = []Kind{
		{Name: kindShort, Rate: 71.2, MeanPrompt: 5e3, MeanEvents: 36, Spread: 0.8, Objective: 300 * time.Millisecond, MaxPause: millis(250), Deadline: 10 * time.Second, Worth: 1.3, LateWorth: 0.34},
		{Name: kindMiddling, Rate: 8.67, MeanPrompt: 45e3, MeanEvents: 21, Spread: 0.5, Objective: 1500 * time.Millisecond, MaxPause: millis(600), Deadline: 10 * time.Second, Worth: 3.3, LateWorth: 0.82},
		{Name: kindLong, Rate: 1.62, MeanPrompt: 260e3, MeanEvents: 18, Spread: 0.55, Objective: 4 * time.Second, MaxPause: millis(1000), Deadline: 15 * time.Second, Worth: 34, LateWorth: 8.6},
	}
	l.Cost.MeanPromptTokens = l.meanPrompt()
	return l
}

// engineLoss draws a scenario of the largest known deployment on its worst days: hundreds of boxes
// in front of engines of which a fifth crash while bursts of long prompts arrive. A fifth of the
// long prompts exceed an engine's KV cache. Callers then ask for more than the capacity.
func engineLoss(rng *rand.Rand) Scenario {
	l := bursts(rng, 150, 8, 11)
	l.Boxes, l.Halls, l.GossipInterval, l.GossipDelay = 295, 5, 100*time.Millisecond, 50*time.Millisecond
	l.Cost = fleet.CostModel{
		Slots: 10, KVTokens: 450_000, Step: millis(0.925), PerStream: millis(0.00483), PerContext: millis(0.00254),
		PrefillRate: 256e3, PerMillionPairs: millis(0.0917), PrefillChunk: 2048, Stride: 73, MeanOutputTokens: 1300,
	}
	l.Kinds = []Kind{
		{Name: kindShort, Rate: 217, MeanPrompt: 4960, MeanEvents: 24, Spread: 0.8, Objective: 300 * time.Millisecond, MaxPause: millis(250), Deadline: 10 * time.Second, Worth: 1.4, LateWorth: 0.34},
		{Name: kindMiddling, Rate: 23.2, MeanPrompt: 45e3, MeanEvents: 15, Spread: 0.5, Objective: 1500 * time.Millisecond, MaxPause: millis(600), Deadline: 10 * time.Second, Worth: 2.3, LateWorth: 0.58},
		{Name: kindLong, Rate: 5.32, MeanPrompt: 300e3, MeanEvents: 12, Spread: 0.55, Objective: 4 * time.Second, MaxPause: millis(1000), Deadline: 15 * time.Second, Worth: 26, LateWorth: 6.6},
	}
	l.Crashes = 30
	l.Cost.MeanPromptTokens = l.meanPrompt()
	return l
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// need returns the number of engines that one prompt per second occupies: the larger of what its
// slot and its prefill need.
func (k Kind) need(c *fleet.CostModel) float64 {
	stream := k.MeanEvents * 1.2 * c.Pass().Seconds() / float64(c.Slots)
	return max(stream, k.meanPrefill(c))
}

// meanPrefill returns the mean prefill time of a prompt in seconds. It grows with the square of the
// length, whose mean exceeds the square of the mean.
func (k Kind) meanPrefill(c *fleet.CostModel) float64 {
	return c.Prefill(int(k.MeanPrompt * math.Sqrt(1+k.Spread*k.Spread))).Seconds()
}

func (l Scenario) meanPrompt() int {
	tokens, rate := 0.0, 0.0
	for _, k := range l.Kinds {
		tokens += k.MeanPrompt * k.Rate
		rate += k.Rate
	}
	return int(tokens / rate)
}

// String returns a short description of the scenario.
func (l Scenario) String() string {
	return fmt.Sprintf("%d engines, %d boxes, turns %v", l.Engines, l.Boxes, l.BurstLength)
}
