package lab

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/timeline"
)

// testCost has round figures: a chunk is prefilled in 10 ms, and a pass with a decoding stream
// takes 40 ms.
var testCost = &fleet.CostModel{
	Slots: 2, KVTokens: 100_000, Stride: 20, Step: 2 * time.Millisecond,
	PrefillRate: 200_000, PrefillChunk: 2000,
}

// fixture is a set of engines and the runs on them.
type fixture struct {
	timeline *timeline.Timeline
	engines  []*engine
	events   map[*run][]time.Duration
}

func newFixture(engines int) *fixture {
	b := &fixture{timeline: &timeline.Timeline{}, events: make(map[*run][]time.Duration)}
	for range engines {
		b.engines = append(b.engines, &engine{cost: testCost, timeline: b.timeline, slowness: 1})
	}
	return b
}

// run starts a prompt on the first engine, with the given helpers.
func (b *fixture) run(prompt, events int, helpers ...*engine) *run {
	r := &run{
		request: &request{prompt: prompt, tightestPause: 200 * time.Millisecond},
		first:   b.engines[0], helpers: helpers, tokens: prompt, events: events,
	}
	r.event = func(pass) { b.events[r] = append(b.events[r], b.timeline.Elapsed()) }
	r.failed = func() { b.events[r] = nil }
	r.first.start(r)
	return r
}

func ms(list ...int) []time.Duration {
	out := make([]time.Duration, len(list))
	for i, n := range list {
		out[i] = time.Duration(n) * time.Millisecond
	}
	return out
}

// TestEngine checks the times of events against the cost model, computed by hand.
func TestEngine(t *testing.T) {
	cases := map[string]struct {
		start func(b *fixture) *run
		want  []time.Duration
	}{
		"alone: two steps of prefill, then a pass for each event": {
			func(b *fixture) *run { return b.run(4000, 3) }, ms(64, 104, 144),
		},
		"a long prompt arrives during decoding: one pass prefills 40,000 tokens": {
			func(b *fixture) *run {
				r := b.run(4000, 3)
				b.timeline.After(30*time.Millisecond, func() { b.run(60_000, 1) })
				return r
			}, ms(64, 304, 444),
		},
		"two engines prefill half each": {
			func(b *fixture) *run { return b.run(8000, 1, b.engines[1]) }, ms(64),
		},
		"no slot is free until one of two earlier runs has ended": {
			func(b *fixture) *run {
				b.run(2000, 1)
				b.run(2000, 1)
				return b.run(2000, 1)
			}, ms(152),
		},
		"no KV cache is free until the earlier run has ended": {
			func(b *fixture) *run {
				b.run(60_000, 1)
				return b.run(60_000, 1)
			}, ms(800),
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newFixture(2)
			r := tc.start(b)
			b.timeline.RunUntil(5 * time.Second)
			quicktest.Check(t, b.events[r], quicktest.DeepEquals, tc.want)
		})
	}
}

// TestCrash checks that all runs of a crashed engine fail and that none of their state remains.
func TestCrash(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(2)
	failed := 0
	for range 3 {
		r := b.run(4000, 100, b.engines[1])
		r.failed = func() { failed++ }
		r.helperFailed = r.failed
	}
	b.timeline.After(300*time.Millisecond, b.engines[0].crash)
	b.timeline.RunUntil(5 * time.Second)
	c.Check(failed, quicktest.Equals, 3)
	for _, e := range b.engines {
		c.Check(len(e.parts)+len(e.prompts)+len(e.decoding)+len(e.waiting)+e.usedTokens, quicktest.Equals, 0)
	}
}

// TestSchedule checks how much work fits into overlapping windows.
func TestSchedule(t *testing.T) {
	c := quicktest.New(t)
	p := newSchedule(10, 1)
	c.Check(p.fit(0, 3, 10), quicktest.Equals, 4.0) // Four slots of one second.
	c.Check(p.fit(1, 2, 10), quicktest.Equals, 0.0) // All taken.
	c.Check(p.fit(2, 5, 10), quicktest.Equals, 2.0) // Only the slots from 4 on.
	c.Check(p.fit(0, 9, 3), quicktest.Equals, 3.0)
	c.Check(p.fit(0, 9, 3), quicktest.Equals, 1.0)
}

// TestEngineRestart checks that a restarted engine has no state of its earlier incarnation, and
// that a pass that was in progress ends with the incarnation that started it.
func TestEngineRestart(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(1)
	e := b.engines[0]
	old := b.run(2000, 100)
	b.timeline.After(95*time.Millisecond, func() { // The engine is in the middle of a pass.
		lost := e.kill()
		c.Check(len(lost) == 1 && lost[0] == old, quicktest.IsTrue)
		e.dead = false
	})
	var fresh *run
	b.timeline.After(100*time.Millisecond, func() { fresh = b.run(2000, 2) })
	b.timeline.RunUntil(time.Second)
	c.Check(b.events[old], quicktest.DeepEquals, ms(52, 92))
	c.Check(b.events[fresh], quicktest.DeepEquals, ms(152, 192))
	c.Check(e.usedTokens, quicktest.Equals, 0)
}
