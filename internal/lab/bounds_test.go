package lab_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/lab"
)

// The bounds of docs/design/engine-schedule.md.
const (
	leastUseWhenRefused  = 0.85
	mostWaitedInVain     = 0.02
	leastFoundCapacity   = 0.9
	mostPriorityGap      = 0.05
	leastOthersKept      = 0.9
	mostPlacementDelay   = 600 * time.Millisecond
	silenceDelay         = 500 * time.Millisecond
	coldFactor, coldMore = 1.5, 5
)

const (
	// boundDays is the number of days for each bound, and boundLength their length, in which there
	// are two bursts: more take over 20 s of one core.
	boundDays   = 2
	boundLength = 19 * time.Second
)

// sumOfDays returns the sum of the family's days, after edit has changed the scenario.
func sumOfDays(t *testing.T, family string, edit func(s *lab.Scenario)) lab.Result {
	days := runDays(boundDays, func(day int) lab.Result {
		scenario := drawFamilySeed(t, family, uint64(day+1))
		scenario.Length = boundLength
		edit(&scenario)
		return lab.Run(scenario, lab.Balancer, uint64(day+1))
	})
	var sum lab.Result
	for _, day := range days {
		sum.Add(day)
	}
	return sum
}

// unchanged leaves a scenario as it is drawn.
func unchanged(*lab.Scenario) {}

// checkBounds checks the bounds for all loads that compete for too little capacity.
func checkBounds(t *testing.T, sum lab.Result) {
	t.Run("use of engines when refused", func(t *testing.T) {
		use, windows := sum.UseWhenRefused()
		quicktest.Check(t, windows == 0 || use >= leastUseWhenRefused, quicktest.IsTrue, quicktest.Commentf("%.3f in %d windows", use, windows))
	})
	t.Run("refused at low demand", func(t *testing.T) {
		quicktest.Check(t, sum.RefusedAtLowDemand, quicktest.Equals, 0)
	})
	t.Run("waited in vain", func(t *testing.T) {
		rate := sum.WaitedInVainRate()
		quicktest.Check(t, rate <= mostWaitedInVain, quicktest.IsTrue, quicktest.Commentf("%.4f", rate))
	})
	t.Run("capacity on return", func(t *testing.T) {
		rate := sum.FoundCapacityRate()
		quicktest.Check(t, rate >= leastFoundCapacity, quicktest.IsTrue, quicktest.Commentf("%.3f of %d", rate, sum.Returned))
	})
}

// checkPriorities checks that no priority is served less than the one below it.
func checkPriorities(t *testing.T, groups []lab.GroupResult) {
	quicktest.Assert(t, groups, quicktest.HasLen, 3)
	for i := range groups[1:] {
		above, below := groups[i], groups[i+1]
		t.Run(fmt.Sprintf("priority %d answered", i), func(t *testing.T) {
			quicktest.Check(t, above.Rate() >= below.Rate()-mostPriorityGap, quicktest.IsTrue, quicktest.Commentf("%.3f, below %.3f", above.Rate(), below.Rate()))
		})
		t.Run(fmt.Sprintf("priority %d in time", i), func(t *testing.T) {
			quicktest.Check(t, above.InTimeRate() >= below.InTimeRate()-mostPriorityGap, quicktest.IsTrue, quicktest.Commentf("%.3f, below %.3f", above.InTimeRate(), below.InTimeRate()))
		})
	}
}

// TestHalfOverMemory guards against prompts that are refused while engines have time because they
// wait for a moment at which all engines of a large gang are idle.
func TestHalfOverMemory(t *testing.T) {
	t.Parallel()
	checkBounds(t, sumOfDays(t, "half over memory", unchanged))
}

// TestShortOverload guards against refusals during a short overload of prompts that the engines
// have time for right after it.
func TestShortOverload(t *testing.T) {
	t.Parallel()
	checkBounds(t, sumOfDays(t, "short overload", unchanged))
}

// TestThreePriorities guards against a priority that decides the order in a queue only, while the
// engines are given to others.
func TestThreePriorities(t *testing.T) {
	t.Parallel()
	sum := sumOfDays(t, "three priorities", unchanged)
	checkBounds(t, sum)
	checkPriorities(t, sum.Priorities)
}

// TestEvacuatedAndColdHalls guards, beside what TestThreePriorities does, against work for an
// evacuated hall and against cold engines that get more than one and a half times the rate that
// they accept plus five requests in a second.
func TestEvacuatedAndColdHalls(t *testing.T) {
	t.Parallel()
	const family = "evacuated and cold halls"
	sum := sumOfDays(t, family, unchanged)
	checkBounds(t, sum)
	checkPriorities(t, sum.Priorities)
	quicktest.Check(t, sum.SentToEvacuated, quicktest.Equals, 0)
	quicktest.Check(t, sum.ColdPeak > 0, quicktest.IsTrue) // Some engine was cold.
	most := coldFactor*drawFamily(t, family).ColdLimit + coldMore
	quicktest.Check(t, float64(sum.ColdPeak) <= most, quicktest.IsTrue, quicktest.Commentf("%d", sum.ColdPeak))
}

// TestSlowTargets guards against placement by the cost model alone: engines at a quarter of the
// speed get at most a quarter of the requests and parts that the others get.
func TestSlowTargets(t *testing.T) {
	t.Parallel()
	sum := sumOfDays(t, "slow targets", unchanged)
	checkBounds(t, sum)
	t.Run("requests to slow targets", func(t *testing.T) {
		const most = 0.25
		quicktest.Check(t, sum.Slow.SlowEngines, quicktest.Equals, 13)
		quicktest.Check(t, sum.Slow.Ratio() <= most, quicktest.IsTrue, quicktest.Commentf("%.3f", sum.Slow.Ratio()))
	})
}

// TestBurstOfOneAccount guards against a client account whose bursts cost the others more than a
// tenth of the worth that they are served when it sends as many prompts as each of them.
func TestBurstOfOneAccount(t *testing.T) {
	t.Parallel()
	const family = "account with half of bursts"
	sum := sumOfDays(t, family, unchanged)
	checkBounds(t, sum)
	quiet := sumOfDays(t, family, func(s *lab.Scenario) { s.QuietAccount = true })
	t.Run("served of others", func(t *testing.T) {
		burst, without := others(sum), others(quiet)
		quicktest.Assert(t, burst.Count, quicktest.Equals, without.Count) // They send the same prompts.
		kept := burst.ServedWorth / without.ServedWorth
		quicktest.Check(t, kept >= leastOthersKept, quicktest.IsTrue, quicktest.Commentf("%.3f", kept))
	})
}

// others returns the sum of all accounts but the first.
func others(r lab.Result) (sum lab.GroupResult) {
	for _, g := range r.Accounts[1:] {
		sum.Add(g)
	}
	return sum
}

// TestKilledBox guards against parts that count until they are overdue by two seconds though their
// box is known to be silent: their engines are given the next long prompt within 0.6 s of that.
func TestKilledBox(t *testing.T) {
	t.Parallel()
	const killsPerDay = 5
	sum := sumOfDays(t, "box killed with parts planned", unchanged)
	checkBounds(t, sum)
	quicktest.Assert(t, sum.Kills, quicktest.HasLen, killsPerDay*boundDays)
	for i, k := range sum.Kills {
		t.Run(fmt.Sprintf("placement after kill %d", i), func(t *testing.T) {
			quicktest.Check(t, k.First <= silenceDelay+mostPlacementDelay, quicktest.IsTrue, quicktest.Commentf("%+v", k))
		})
	}
}
