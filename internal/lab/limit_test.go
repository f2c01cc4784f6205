package lab_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/lab"
)

// limitedScenario returns a scenario in which each n-th engine states a rate limit, n being every.
func limitedScenario(t *testing.T, name string, every int, perSecond float64) lab.Scenario {
	scenario := drawFamily(t, name)
	scenario.Length = 12 * time.Second // Days with hundreds of boxes take long to simulate.
	scenario.Halls = 3
	if scenario.Engines == 18 {
		scenario.Length = 24 * time.Second
		scenario.Kinds[0].Rate, scenario.Kinds[1].Rate, scenario.Kinds[2].Rate = 39.5, 2.9, 1.2
	}
	for engine := 0; engine < scenario.Engines; engine += every {
		scenario.Limits = append(scenario.Limits, lab.RateLimit{Engine: engine, PerSecond: perSecond, From: time.Second, Until: scenario.Length - time.Second})
	}
	return scenario
}

// leastUsed is the minimum fraction of their limits that engines must get when callers need all
// that the engines accept.
const leastUsed = 0.8

// TestLimits checks that engines that state how many requests per second they accept get no more
// from all boxes together: in four seconds one and a half times that plus five requests. It also
// checks that they get what they accept when callers need it.
//
// Operators saw two of 18 engines that had stated one per second get 12 and 13 in four seconds from
// boxes that they had informed. Boxes chose by an engine's work in progress and ignored its
// statement, so that it got the same as engines without a limit, before and after the statement.
// The figures of the day are the same for engines without a limit, and the logs show no retries and
// no parts of long prompts, which rules these out.
func TestLimits(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		family    string
		each      int // each is n where each n-th engine has a limit.
		perSecond float64
		usedUp    bool // usedUp is set where callers need all that the engines accept.
	}{
		"one a second":                   {"turns of 8 to 11 s", 3, 1, false},
		"one in four seconds":            {"turns of 8 to 11 s", 3, 0.25, false},
		"two a second":                   {"turns of 8 to 11 s", 3, 2, false},
		"hundreds of boxes":              {"three hundred boxes", 3, 0.5, false},
		"one a second, all":              {"turns of 8 to 11 s", 1, 1, true},
		"one in four seconds, all":       {"turns of 8 to 11 s", 1, 0.25, true},
		"hundreds of boxes, all":         {"three hundred boxes", 1, 0.5, true},
		"hundreds of boxes, one in five": {"three hundred boxes", 1, 0.2, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sum lab.LimitResult
			for _, l := range lab.Run(limitedScenario(t, tc.family, tc.each, tc.perSecond), lab.Balancer, 1).Limits {
				quicktest.Check(t, float64(l.PeakInformed) <= l.Allowed, quicktest.IsTrue, quicktest.Commentf("%+v", l))
				quicktest.Check(t, float64(l.Peak) <= l.Allowed, quicktest.IsTrue, quicktest.Commentf("%+v", l))
				sum.Received, sum.Acceptable = sum.Received+l.Received, sum.Acceptable+l.Acceptable
			}
			if !tc.usedUp {
				return
			}
			used := float64(sum.Received) / sum.Acceptable
			quicktest.Check(t, used >= leastUsed, quicktest.IsTrue, quicktest.Commentf("%.2f", used))
		})
	}
}
