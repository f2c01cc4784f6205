package lab_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/lab"
)

// limited returns a day on which each so many-th of the engines names how much it takes.
func limited(t *testing.T, name string, each int, perSecond float64) lab.Scenario {
	load := family(t, name)
	load.Length = 12 * time.Second // Days of hundreds of boxes take long.
	load.Halls = 3
	if load.Engines == 18 {
		load.Length = 24 * time.Second
		load.Kinds[0].Rate, load.Kinds[1].Rate, load.Kinds[2].Rate = 39.5, 2.9, 1.2
	}
	for engine := 0; engine < load.Engines; engine += each {
		load.Limits = append(load.Limits, lab.RateLimit{Engine: engine, PerSecond: perSecond, From: time.Second, Until: load.Length - time.Second})
	}
	return load
}

// leastUsed is the part of what limited engines take that they are to get while callers ask
// for more than the others have.
const leastUsed = 0.8

// TestLimits checks that engines that name how many requests a second they take get no more
// from all boxes together, in four seconds one and a half times that, and five requests; and
// that they get what they take.
//
// Operators saw two engines of 18 that had named one a second get 12 and 13 in four seconds
// from boxes that they had told. Boxes choose by what an engine has to do; nothing looked at
// what it says that it takes, so that it got what any other got, before and after it said
// so. That was proved by the figures of the day, which are the same for engines that named
// no limit, and by the logs, in which there are no resends and no parts of long prompts.
func TestLimits(t *testing.T) {
	cases := map[string]struct {
		family    string
		each      int // each so many-th engine has a limit.
		perSecond float64
		usedUp    bool // usedUp is set where callers need all that the engines take.
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
			for _, l := range lab.Run(limited(t, tc.family, tc.each, tc.perSecond), lab.Balancer, 1).Limits {
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
