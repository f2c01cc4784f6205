package balance

import (
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/metric"
)

func returnJob(service string, seconds int) Job {
	return Job{Service: service, PromptTokens: seconds * 1000, Cost: modelCost}
}

// TestReturnsBounded checks that the expected returns are bounded, in order, and without the oldest
// ones, so that a long overload takes neither memory nor time.
func TestReturnsBounded(t *testing.T) {
	c := quicktest.New(t)
	var tracker returnTracker
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	const extra = 100
	for i := range maxReturns + extra {
		j := returnJob("s", 1)
		j.RequestID = strconv.Itoa(i)
		tracker.note(j, now.Add(time.Duration(i)), time.Duration(rng.Int64N(int64(time.Minute))))
		c.Assert(len(tracker.list) <= maxReturns, quicktest.IsTrue)
	}
	c.Check(tracker.list, quicktest.HasLen, maxReturns)
	c.Check(slices.IsSortedFunc(tracker.list, func(x, y expectedReturn) int { return x.expectedAt.Compare(y.expectedAt) }), quicktest.IsTrue)
	for _, r := range tracker.list {
		i, err := strconv.Atoi(r.requestID)
		c.Assert(err, quicktest.IsNil)
		c.Check(i >= extra, quicktest.IsTrue, quicktest.Commentf("entry %d is older than those that were dropped", i))
	}
}

// TestExpectedReturns checks which returning callers need engine time in a window: those of the
// service whose time is in it and who have not come back.
func TestExpectedReturns(t *testing.T) {
	c := quicktest.New(t)
	clk := clock.NewManual(time.Unix(1000, 0))
	b := &Balancer{Clock: clk}
	start := clk.Now()
	expected := func(from, until time.Duration) time.Duration {
		return b.expectedReturns("s", start.Add(from), start.Add(until))
	}
	b.returns.note(returnJob("s", 1), start, time.Second)
	b.returns.note(returnJob("s", 2), start, 2*time.Second)
	b.returns.note(returnJob("other", 4), start, time.Second)
	c.Check(expected(0, time.Second), quicktest.Equals, time.Duration(0))
	c.Check(expected(0, 1500*time.Millisecond), quicktest.Equals, time.Second)
	c.Check(expected(0, time.Minute), quicktest.Equals, 3*time.Second)
	c.Check(expected(1140*time.Millisecond, time.Minute), quicktest.Equals, 3*time.Second) // It may come later by a tenth.
	c.Check(expected(1500*time.Millisecond, time.Minute), quicktest.Equals, 2*time.Second)

	clk.Advance(2 * time.Second)
	back := returnJob("s", 2)
	b.noteReturned(back) // A first try.
	c.Check(expected(0, time.Minute), quicktest.Equals, 3*time.Second)
	back.CallerRetry = true
	b.noteReturned(back)
	c.Check(expected(0, time.Minute), quicktest.Equals, time.Second)
	clk.Advance(returnRetention + 1)
	b.countMissing(b.returns.expire(clk.Now()))
	c.Check(expected(0, time.Minute), quicktest.Equals, time.Duration(0))
}

// TestReturnExpectedWithinCallersTime checks that a caller is expected after a third of the time that
// it has left if it is told a longer time: its box tells it no longer one.
func TestReturnExpectedWithinCallersTime(t *testing.T) {
	now := time.Unix(1000, 0)
	var tracker returnTracker
	j := returnJob("s", 1)
	j.FirstEventDeadline = now.Add(3 * time.Second)
	tracker.note(j, now, 10*time.Second)
	got := tracker.upcoming("s", now)
	quicktest.Assert(t, got, quicktest.HasLen, 1)
	quicktest.Check(t, got[0], quicktest.Equals, returningWork{time.Second, time.Second})
}

// TestRefusedAgainExpectedOnce checks that the caller of a request that is refused repeatedly, as a
// box does that may not refuse it itself, is expected once.
func TestRefusedAgainExpectedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	var tracker returnTracker
	j := returnJob("s", 1)
	j.RequestID = "r1"
	tracker.note(j, now, time.Second)
	tracker.note(j, now, 2*time.Second)
	got := tracker.upcoming("s", now)
	quicktest.Assert(t, got, quicktest.HasLen, 1)
	quicktest.Check(t, got[0], quicktest.Equals, returningWork{2 * time.Second, time.Second})
}

// TestTimesSpread checks that callers that are refused at the same time are told different times, by
// which the engines have worked off the prompts of those before.
func TestTimesSpread(t *testing.T) {
	c := quicktest.New(t)
	b := &Balancer{Clock: clock.NewManual(time.Unix(1000, 0))}
	var last time.Duration
	for i := range 20 {
		after, ok := RefusedUntil(b.refuseForLoad(returnJob("s", 7), 7*time.Second, 10))
		c.Assert(ok, quicktest.IsTrue)
		if i > 0 {
			c.Check((after - last).Round(time.Millisecond), quicktest.Equals, time.Second)
		}
		last = after
	}
	again := returnJob("s", 7)
	again.CallerRetry = true
	first, _ := RefusedUntil(b.refuseForLoad(again, 7*time.Second, 10))
	second, _ := RefusedUntil(b.refuseForLoad(again, 7*time.Second, 10))
	c.Check(first, quicktest.Equals, second) // A caller that was refused twice is not expected back.
}

// TestReturnsCounted checks how callers that come back are counted: by when they come, and by whether
// they are placed.
func TestReturnsCounted(t *testing.T) {
	cases := map[string]struct {
		after  time.Duration // after is when the caller, which was told a second, comes back.
		placed bool
		want   string
	}{
		"early, placed":    {900 * time.Millisecond, true, `placed="true",timing="early"`},
		"in time, placed":  {time.Second, true, `placed="true",timing="in_time"`},
		"in time, refused": {1100 * time.Millisecond, false, `placed="false",timing="in_time"`},
		"late, placed":     {1500 * time.Millisecond, true, `placed="true",timing="late"`},
		"never":            {returnRetention + 2*time.Second, true, `placed="false",timing="missing"`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			e, err := metric.NewExporter()
			c.Assert(err, quicktest.IsNil)
			clk := clock.NewManual(time.Unix(1000, 0))
			b := &Balancer{Clock: clk, Meter: e.Meter()}
			b.returns.note(returnJob("s", 1), clk.Now(), time.Second)
			clk.Advance(tc.after)
			j := returnJob("s", 1)
			j.CallerRetry, j.RequestID = true, "r2"
			b.noteReturned(j)
			b.noteReturnEnded(j, tc.placed)
			b.noteReturnEnded(j, tc.placed) // Counted once.
			w := httptest.NewRecorder()
			e.ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
			var lines []string
			for l := range strings.Lines(w.Body.String()) {
				if strings.HasPrefix(l, "barleystep_callers_returned") {
					lines = append(lines, l)
				}
			}
			c.Assert(lines, quicktest.HasLen, 1)
			c.Check(strings.Contains(lines[0], tc.want) && strings.HasSuffix(lines[0], " 1\n"), quicktest.IsTrue, quicktest.Commentf("%s", lines[0]))
		})
	}
}

// TestNewLeadForgetsReturns checks that a box that becomes the lead expects no callers and logs that
// once, and that it keeps those that it refuses as the lead.
func TestNewLeadForgetsReturns(t *testing.T) {
	c := quicktest.New(t)
	var lines strings.Builder
	logger := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &lines}}
	b := &Balancer{Clock: clock.NewManual(time.Unix(1000, 0)), Log: logger}
	now := b.Clock.Now()
	b.SetRole(Role{})
	b.returns.note(returnJob("s", 1), now, time.Second)
	b.SetRole(Role{IsLead: true})
	c.Check(b.returns.upcoming("s", now), quicktest.HasLen, 0)
	b.returns.note(returnJob("s", 1), now, time.Second)
	b.SetRole(Role{IsLead: true})
	c.Check(b.returns.upcoming("s", now), quicktest.HasLen, 1)
	c.Check(strings.Count(lines.String(), "This box is now the lead."), quicktest.Equals, 1)
}
