package schedule_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/barleystep/barleystep/internal/schedule"
)

const ms = time.Millisecond

// TestEarliest checks that a part is planned in the first gap that is long enough, so that it
// delays no planned part.
func TestEarliest(t *testing.T) {
	cases := map[string]struct {
		from   time.Duration
		length time.Duration
		want   time.Duration
	}{
		"before the first planned part":  {0, 50 * ms, 100 * ms},
		"fits exactly":                   {0, 100 * ms, 100 * ms},
		"too long for the first gap":     {0, 101 * ms, 300 * ms},
		"too long for any gap":           {0, 201 * ms, 600 * ms},
		"not before the requested time":  {150 * ms, 50 * ms, 150 * ms},
		"no time left in the gap":        {160 * ms, 50 * ms, 300 * ms},
		"after the end of all its parts": {time.Second, 50 * ms, time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			line := schedule.NewTimeline(100 * ms)
			line.Reserve(500*ms, 100*ms) // Planned first, although it starts last.
			line.Reserve(200*ms, 100*ms)
			quicktest.Check(t, line.Earliest(tc.from, tc.length), quicktest.Equals, tc.want)
			quicktest.Check(t, line.End(), quicktest.Equals, 600*ms)
		})
	}
}

// TestEarliestTogether checks that the parts of one prompt start together and overlap no part that
// was planned before, with any plan.
func TestEarliestTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * ms })
		type span struct{ start, end time.Duration }
		var lines []*schedule.Timeline
		taken := make(map[*schedule.Timeline][]span)
		for range 4 {
			backlog := length.Draw(t, "backlog")
			l := schedule.NewTimeline(backlog)
			lines = append(lines, l)
			taken[l] = []span{{0, backlog}}
		}
		for range 8 {
			var parts []schedule.Part
			for _, l := range lines {
				if rapid.Bool().Draw(t, "used") {
					parts = append(parts, schedule.Part{Timeline: l, Length: length.Draw(t, "length")})
				}
			}
			start := schedule.Earliest(parts)
			for _, p := range parts {
				end := start + p.Length
				for _, s := range taken[p.Timeline] {
					if start < s.end && s.start < end {
						t.Fatalf("a part from %v to %v overlaps one from %v to %v", start, end, s.start, s.end)
					}
				}
				p.Timeline.Reserve(start, p.Length)
				taken[p.Timeline] = append(taken[p.Timeline], span{start, end})
			}
		}
	})
}
