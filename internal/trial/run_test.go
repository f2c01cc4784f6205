package trial_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/trial"
)

func run(fault trial.Fault, level float64) trial.Result {
	return trial.Run(trial.Case{
		Strategy:    trial.Strategies[len(trial.Strategies)-1],
		Workload:    trial.Workloads[0],
		EngineSpeed: trial.EngineSpeeds[1],
		Utilization: level,
		Fault:       fault,
		Seed:        1,
	})
}

func TestRunIsDeterministic(t *testing.T) {
	c := quicktest.New(t)
	first, second := run(trial.FaultEngineCrash, 0.8), run(trial.FaultEngineCrash, 0.8)
	c.Check(first.InTime, quicktest.Equals, second.InTime)
	for i := range first.TTFT {
		c.Check(first.TTFT[i].Export(), quicktest.DeepEquals, second.TTFT[i].Export())
	}
}

// TestNoRequestStarves checks for each fault that every admitted request gets its
// first token within its time limit.
func TestNoRequestStarves(t *testing.T) {
	for _, fault := range trial.Faults {
		t.Run(string(fault), func(t *testing.T) {
			c := quicktest.New(t)
			r := run(fault, 0.8)
			c.Check(r.Starved, quicktest.Equals, 0)
			c.Check(r.InTime+r.Refused, quicktest.Equals, r.Requests)
			c.Check(r.TTFT[barleystep.Band1M].TotalCount() > 0, quicktest.IsTrue)
		})
	}
}
