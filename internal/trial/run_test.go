package trial_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/trial"
)

func run(fault trial.Fault, level float64) trial.Result {
	return trial.Run(trial.Case{
		Variant: trial.Variants[len(trial.Variants)-1],
		Load:    trial.Loads[0],
		Speed:   trial.Speeds[1],
		Level:   level,
		Fault:   fault,
		Seed:    1,
	})
}

func TestRunIsDeterministic(t *testing.T) {
	c := quicktest.New(t)
	first, second := run(trial.FaultEngineDeath, 0.8), run(trial.FaultEngineDeath, 0.8)
	c.Check(first.Good, quicktest.Equals, second.Good)
	for i := range first.First {
		c.Check(first.First[i].Export(), quicktest.DeepEquals, second.First[i].Export())
	}
}

// TestNoRequestStarves holds the decisions to the goals of the brief: in no
// run does an admitted request go without its first token until its limit.
func TestNoRequestStarves(t *testing.T) {
	for _, fault := range trial.Faults {
		t.Run(string(fault), func(t *testing.T) {
			c := quicktest.New(t)
			r := run(fault, 0.8)
			c.Check(r.Starved, quicktest.Equals, 0)
			c.Check(r.Good+r.Refused, quicktest.Equals, r.Requests)
			c.Check(r.First[barleystep.Band1M].TotalCount() > 0, quicktest.IsTrue)
		})
	}
}
