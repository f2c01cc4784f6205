package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/fleet"
)

// TestRefusedUntil checks that an error with a time is still ErrFull, also when it is wrapped, and
// that times which no caller waits for are not carried.
func TestRefusedUntil(t *testing.T) {
	cases := map[string]struct {
		err  error
		want time.Duration
	}{
		"time":         {NewRefused(time.Second), time.Second},
		"wrapped":      {eris.Wrap(NewRefused(time.Second), "lead: place"), time.Second},
		"longest":      {NewRefused(MaxRefusedAfter), MaxRefusedAfter},
		"without time": {ErrFull, 0},
		"zero":         {NewRefused(0), 0},
		"negative":     {NewRefused(-time.Second), 0},
		"absurd":       {NewRefused(MaxRefusedAfter + 1), 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			after, ok := RefusedUntil(tc.err)
			quicktest.Check(t, after, quicktest.Equals, tc.want)
			quicktest.Check(t, ok, quicktest.Equals, tc.want > 0)
			quicktest.Check(t, eris.Is(tc.err, ErrFull), quicktest.IsTrue)
		})
	}
	_, ok := RefusedUntil(ErrNoTarget)
	quicktest.Check(t, ok, quicktest.IsFalse)
	_, ok = RefusedUntil(nil)
	quicktest.Check(t, ok, quicktest.IsFalse)
}

// TestCapacityAfter checks when the backlog of waiting and returning work is worked off by ten
// engines, which do seven seconds of work in a second.
func TestCapacityAfter(t *testing.T) {
	const second = time.Second
	cases := map[string]struct {
		own       time.Duration
		waiting   time.Duration
		engines   int
		returning []returningWork
		want      time.Duration
	}{
		"nothing waits":          {0, 0, 10, nil, minRefusedAfter},
		"waiting":                {0, 14 * second, 10, nil, 2 * second},
		"a return before":        {0, 14 * second, 10, []returningWork{{second, 7 * second}}, 3 * second},
		"a return after":         {0, 14 * second, 10, []returningWork{{3 * second, 7 * second}}, 2 * second},
		"fits before a return":   {7 * second, 14 * second, 10, []returningWork{{3 * second, 7 * second}}, 2 * second},
		"too much for the gap":   {8 * second, 14 * second, 10, []returningWork{{3 * second, 7 * second}}, 4 * second},
		"one before delays more": {0, 14 * second, 10, []returningWork{{second, 7 * second}, {2500 * time.Millisecond, 7 * second}}, 4 * second},
		"returns at the minimum": {second, 0, 10, []returningWork{{minRefusedAfter, 7 * second}}, second + minRefusedAfter},
		"overdue return":         {0, 0, 10, []returningWork{{0, 7 * second}}, second},
		"far too much":           {0, time.Hour, 10, nil, MaxRefusedAfter},
		"no engines":             {0, second, 0, nil, MaxRefusedAfter},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.Check(t, capacityAfter(tc.own, tc.waiting, float64(tc.engines), tc.returning), quicktest.Equals, tc.want)
		})
	}
}

// modelCost is the cost of engines that prefill a token in a millisecond.
var modelCost = &fleet.CostModel{KVTokens: 1_000_000, PrefillRate: 1000}

// engineModel is a queue of prompts which gangs of engines work off at a constant rate. Callers that are
// refused come back once, and keep the place of their first arrival.
type engineModel struct {
	balancer *Balancer
	clock    *clock.Manual
	rng      *rand.Rand
	engines  int
	queue    []*modelCaller
	away     []*modelCaller
	// returned and found count the callers that came back and those of them that found capacity.
	returned int
	found    int
}

// modelCaller is a caller with its prompt.
type modelCaller struct {
	job     Job
	left    time.Duration // left is the engine time that its prompt still needs.
	started bool
	backAt  time.Time
}

const (
	modelStep = time.Millisecond
	// modelUse is the part of the engines' time that goes to prefill: what was measured under load.
	modelUse = 0.73
	// modelGangs is how many prompts are prefilled at a time, by 17 engines each.
	modelGangs = 4
	// modelObjective is the objective of the prompts, which gives how long they wait before they are
	// refused: 1.8 s on the first try and 375 ms on a late retry.
	modelObjective = 3 * time.Second
	// modelMean is the mean engine time of a prompt.
	modelMean = 4200 * time.Millisecond
)

// run runs the model for a time; load is the arriving work relative to what the engines do.
func (m *engineModel) run(length time.Duration, load func(at time.Duration) float64) {
	for at := time.Duration(0); at < length; at += modelStep {
		perStep := load(at) * modelUse * float64(m.engines) * modelStep.Seconds() / modelMean.Seconds()
		if m.rng.Float64() < perStep {
			tokens := int(m.rng.ExpFloat64() * float64(modelMean.Milliseconds()))
			m.enqueue(&modelCaller{job: Job{Service: "s", PromptTokens: tokens, Objective: modelObjective, Cost: modelCost, FirstArrival: m.clock.Now()}})
		}
		m.step()
	}
}

func (m *engineModel) enqueue(r *modelCaller) {
	r.job.Arrival, r.left = m.clock.Now(), r.job.Cost.Prefill(r.job.PromptTokens)
	i := len(m.queue)
	for i > 0 && !m.queue[i-1].started && m.queue[i-1].job.FirstArrival.After(r.job.FirstArrival) {
		i--
	}
	m.queue = slices.Insert(m.queue, i, r)
}

// step advances the model by modelStep.
func (m *engineModel) step() {
	m.clock.Advance(modelStep)
	now := m.clock.Now()
	m.away = slices.DeleteFunc(m.away, func(r *modelCaller) bool {
		back := !now.Before(r.backAt)
		if back {
			r.job.CallerRetry = true
			m.returned++
			m.balancer.noteReturned(r.job)
			m.enqueue(r)
		}
		return back
	})
	m.work()
	m.queue = slices.DeleteFunc(m.queue, func(r *modelCaller) bool {
		refused := !r.started && !now.Before(foundBy(r.job))
		if refused {
			m.refuse(r, now)
		}
		return refused || r.left <= 0
	})
}

// work has the engines work for one step: each gang on one of the first prompts.
func (m *engineModel) work() {
	each := time.Duration(modelUse * float64(m.engines) * float64(modelStep) / modelGangs)
	for _, r := range m.queue[:min(len(m.queue), modelGangs)] {
		if !r.started && r.job.CallerRetry {
			m.found++
		}
		r.started = true
		r.left -= each
	}
}

func (m *engineModel) refuse(r *modelCaller, now time.Time) {
	var waiting time.Duration
	for _, o := range m.queue {
		if o != r {
			waiting += o.left
		}
	}
	after, _ := RefusedUntil(m.balancer.refuseForLoad(r.job, waiting, m.engines))
	if r.job.CallerRetry {
		return
	}
	r.backAt = now.Add(after + time.Duration(m.rng.Float64()*float64(after)/returnJitterDivisor))
	m.away = append(m.away, r)
}

// TestReturningCallersFindCapacity checks that nine of ten callers who come back at the time that
// they were told find capacity. It guards against times that are given without regard to what waits,
// or that are the same for all, so that callers are refused again.
func TestReturningCallersFindCapacity(t *testing.T) {
	const length = 600 * time.Second
	alternate := func(first, second time.Duration, high, low float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at%(first+second) < first {
				return high
			}
			return low
		}
	}
	cases := map[string]func(time.Duration) float64{
		"twice the engines for two seconds": alternate(2*time.Second, 8*time.Second, 2, 0.1),
		"four times for a second":           alternate(time.Second, 9*time.Second, 4, 0.1),
		"bursts of 9.5 s":                   alternate(9500*time.Millisecond, 9500*time.Millisecond, 1.2, 0.45),
	}
	for name, load := range cases {
		t.Run(name, func(t *testing.T) {
			clk := clock.NewManual(time.Unix(1000, 0))
			m := &engineModel{balancer: &Balancer{Clock: clk}, clock: clk, rng: rand.New(rand.NewPCG(1, 2)), engines: 78}
			m.run(length, load)
			t.Logf("%s: %d of %d returning callers found capacity.", name, m.found, m.returned)
			quicktest.Check(t, m.returned > 50, quicktest.IsTrue, quicktest.Commentf("%d callers came back", m.returned))
			quicktest.Check(t, m.found*10 >= m.returned*9, quicktest.IsTrue, quicktest.Commentf("%d of %d", m.found, m.returned))
		})
	}
}

// foundBy returns until when a returning caller must have its engines: with four tenths of its objective
// left for the prefill, or after an eighth of it where that has passed.
func foundBy(j Job) time.Time {
	const waitPart, leastDivisor = 0.6, 8
	until := j.firstArrival().Add(time.Duration(waitPart * float64(j.Objective)))
	if least := j.Arrival.Add(j.Objective / leastDivisor); until.Before(least) {
		return least
	}
	return until
}
