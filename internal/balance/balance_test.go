package balance_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/fleet"
)

var cost = &fleet.CostModel{
	Slots: 4, Memory: 450_000, Stride: 46, Step: 925 * time.Microsecond, PerWriter: 5 * time.Microsecond,
	ReadRate: 256_000, PerPairs: 92 * time.Microsecond, Chunk: 2048, UsualPrompt: 13_000,
}

const (
	shortPrompt = 5_000
	longPrompt  = 210_000
)

// fixture is a balancer over some engines.
type fixture struct {
	*balance.Balancer
	clock   *clock.Manual
	targets []fleet.Target
}

func newFixture(engines int) *fixture {
	f := &fixture{clock: clock.NewManual(time.Unix(1000, 0))}
	for i := range engines {
		id := fmt.Sprintf("i-%02d", i)
		f.targets = append(f.targets, fleet.Target{ID: barleystep.TargetID(id), Service: "s", Addr: id + ":1", Hall: "h", Slots: 4})
	}
	f.Balancer = &balance.Balancer{
		Clock:   f.clock,
		Hall:    "h",
		Targets: func() []fleet.Target { return f.targets },
	}
	return f
}

func job(prompt int) balance.Job {
	return balance.Job{
		Service: "s", Prompt: prompt, Output: 100, Objective: 300 * time.Millisecond,
		Cost: cost, Tightest: 200 * time.Millisecond,
	}
}

func plain() balance.Job { return balance.Job{Service: "s", Objective: 300 * time.Millisecond} }

func (f *fixture) place(t *testing.T, j balance.Job) *balance.Placement {
	p, err := f.Place(context.Background(), j)
	quicktest.Assert(t, err, quicktest.IsNil)
	return p
}

// queued waits until a job is in the queue.
func (f *fixture) queued() {
	for f.clock.Timers() == 0 {
		runtime.Gosched()
	}
}

// TestCandidates checks which targets get no work.
func TestCandidates(t *testing.T) {
	cases := map[string]struct {
		change func(f *fixture, t *testing.T)
		avoid  []barleystep.TargetID
		want   barleystep.TargetID
	}{
		"draining":        {func(f *fixture, _ *testing.T) { f.targets[0].Draining = true }, nil, "i-01"},
		"another service": {func(f *fixture, _ *testing.T) { f.targets[0].Service = "x" }, nil, "i-01"},
		"failed this one": {func(*fixture, *testing.T) {}, []barleystep.TargetID{"i-00"}, "i-01"},
		"none but draining": {func(f *fixture, _ *testing.T) {
			f.targets[0].Draining, f.targets[1].Draining = true, true
		}, nil, ""},
		"unreachable": {func(f *fixture, t *testing.T) {
			j := plain()
			j.Avoid = []barleystep.TargetID{"i-01"}
			f.place(t, j).Done(balance.Report{Unreachable: true})
		}, nil, "i-01"},
		"unreachable, but the only one": {func(f *fixture, t *testing.T) {
			j := plain()
			j.Avoid = []barleystep.TargetID{"i-01"}
			f.place(t, j).Done(balance.Report{Unreachable: true})
		}, []barleystep.TargetID{"i-01"}, "i-00"},
		"address taken over": {func(f *fixture, t *testing.T) {
			j := plain()
			j.Avoid = []barleystep.TargetID{"i-01"}
			f.place(t, j).Done(balance.Report{Full: true, Moved: true})
			f.clock.Advance(5 * time.Second)
		}, nil, "i-01"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(2)
			tc.change(f, t)
			j := plain()
			j.Avoid = tc.avoid
			for range 20 {
				p, err := f.Place(context.Background(), j)
				if tc.want == "" {
					c.Assert(eris.Is(err, balance.ErrNoTarget), quicktest.IsTrue)
					return
				}
				c.Assert(err, quicktest.IsNil)
				c.Assert(p.Target.ID, quicktest.Equals, tc.want)
				p.Done(balance.Report{})
			}
		})
	}
}

// TestPlainSpreads checks that plain services get their requests evenly, and
// that a target that fails gets few.
func TestPlainSpreads(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(3)
	counts := make(map[barleystep.TargetID]int)
	for range 9 {
		counts[f.place(t, plain()).Target.ID]++
	}
	for _, n := range counts {
		c.Check(n, quicktest.Equals, 3)
	}
	f = newFixture(2)
	failed := 0
	for range 100 {
		p := f.place(t, plain())
		bad := p.Target.ID == "i-00"
		if bad {
			failed++
		}
		p.Done(balance.Report{Failed: bad})
	}
	c.Check(failed < 30, quicktest.IsTrue, quicktest.Commentf("%d requests went to the failing target", failed))
}

// TestLongAway checks that several engines read a long prompt, that these have no
// short streams, and that one which has a long prompt of its own to read does not
// help others.
func TestLongAway(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(18)
	short := make(map[string]bool)
	for range 12 {
		short[f.place(t, job(shortPrompt)).Target.Addr] = true
	}
	unread := make(map[string]bool)
	for range 2 {
		p := f.place(t, job(longPrompt))
		c.Check(len(p.Helpers) > 0, quicktest.IsTrue)
		for _, h := range p.Helpers {
			c.Check(unread[h.Addr], quicktest.IsFalse, quicktest.Commentf("%s has a long prompt to read", h.Addr))
			c.Check(short[h.Addr], quicktest.IsFalse, quicktest.Commentf("%s has a short stream", h.Addr))
		}
		unread[p.Target.Addr] = true
		f.clock.Advance(p.Expected())
	}
}

// TestLongWaits checks that long prompts wait until their engine has read the one
// before, and that of those that wait the shortest goes first.
func TestLongWaits(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(1)
	first := f.place(t, job(longPrompt))
	ask := func(prompt int) *balance.Wait {
		_, w, err := f.Ask(context.Background(), job(prompt))
		c.Assert(err, quicktest.IsNil)
		c.Assert(w, quicktest.IsNotNil)
		return w
	}
	long := ask(longPrompt)
	short := ask(longPrompt / 2)
	first.First()
	first.Done(balance.Report{})
	c.Check(short.Ready(), quicktest.HasLen, 1)
	c.Check(long.Ready(), quicktest.HasLen, 0)
}

// TestLull checks that a long prompt waits for the streams that it would hold up to
// end while it has time, and no longer when it has not.
func TestLull(t *testing.T) {
	cases := map[string]struct {
		streams int
		waited  time.Duration
		waits   bool
	}{
		"many streams":             {6, 0, true},
		"many, and late anyway":    {6, 3200 * time.Millisecond, true},
		"few streams":              {1, 0, false},
		"few, and it is still due": {1, 1400 * time.Millisecond, false},
		"many, after a long wait":  {6, 6100 * time.Millisecond, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(18)
			busy := balance.NewSnapshot()
			busy.Demands[balance.KeyOf("s")] = balance.Demand{Heavy: 18}
			for _, target := range f.targets {
				busy.Work[balance.KeyOf(string(target.ID))] = balance.Work{Light: tc.streams}
			}
			f.SetOthers(busy)
			slots := *cost
			slots.Slots = 16
			j := job(longPrompt)
			j.Cost = &slots
			j.Objective = 3 * time.Second
			j.Since = f.clock.Now().Add(-tc.waited)
			p, w, err := f.Ask(context.Background(), j)
			c.Assert(err, quicktest.IsNil)
			c.Check(w != nil, quicktest.Equals, tc.waits)
			if p != nil {
				return
			}
			f.SetOthers(balance.NewSnapshot())
			c.Check(w.Ready(), quicktest.HasLen, 1)
		})
	}
}

// TestAlone checks that a prompt gets no helpers when these have been refused.
func TestAlone(t *testing.T) {
	f := newFixture(18)
	j := job(longPrompt)
	j.Alone = true
	quicktest.Assert(t, f.place(t, j).Helpers, quicktest.HasLen, 0)
}

// TestFewEngines checks that there is a choice however few engines there are, but for
// prompts that do not fit the memory of all.
func TestFewEngines(t *testing.T) {
	const giantPrompt = 600_000
	for engines := 1; engines <= 6; engines++ {
		for _, prompt := range []int{0, shortPrompt, longPrompt, giantPrompt} {
			f := newFixture(engines)
			j := job(prompt)
			j.Objective = 3 * time.Second
			p, err := f.Place(context.Background(), j)
			if prompt == giantPrompt && engines < 3 {
				quicktest.Check(t, eris.Is(err, balance.ErrFull), quicktest.IsTrue)
				continue
			}
			quicktest.Assert(t, err, quicktest.IsNil, quicktest.Commentf("%d tokens, %d engines", prompt, engines))
			p.First()
			p.Done(balance.Report{})
		}
	}
}

// TestOthers checks that the work of other boxes counts.
func TestOthers(t *testing.T) {
	f := newFixture(2)
	s := balance.NewSnapshot()
	s.Work[balance.KeyOf("i-00")] = balance.Work{Light: 5}
	f.SetOthers(s)
	for range 3 {
		quicktest.Check(t, f.place(t, plain()).Target.ID, quicktest.Equals, barleystep.TargetID("i-01"))
	}
}

// TestWaits checks that a short prompt waits while all slots are taken, gets the
// next one that is free, and is refused when its caller would not wait longer.
func TestWaits(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(1)
	var placed []*balance.Placement
	for range 4 {
		placed = append(placed, f.place(t, job(shortPrompt)))
	}
	got := make(chan error, 2)
	wait := func() {
		_, err := f.Place(context.Background(), job(shortPrompt))
		got <- err
	}
	go wait()
	f.queued()
	placed[0].Done(balance.Report{})
	c.Check(<-got, quicktest.IsNil)

	f = newFixture(1)
	for range 4 {
		f.place(t, job(shortPrompt))
	}
	go wait()
	f.queued()
	f.clock.Advance(2 * time.Second)
	c.Check(eris.Is(<-got, balance.ErrFull), quicktest.IsTrue)
}

// TestOrder checks which of the waiting prompts gets the next free slot.
func TestOrder(t *testing.T) {
	type wait struct {
		name string
		rank int
		// after is how long after the one before it came.
		after time.Duration
	}
	cases := map[string]struct {
		waits []wait
		want  string
	}{
		"the newest that can be in time": {[]wait{{"old", 1, 0}, {"new", 1, 50 * time.Millisecond}}, "new"},
		"the better rank":                {[]wait{{"first", 0, 0}, {"new", 1, 50 * time.Millisecond}}, "first"},
		"not one that is late":           {[]wait{{"late", 1, 0}, {"new", 1, 250 * time.Millisecond}}, "new"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(1)
			var placed []*balance.Placement
			for range 4 {
				placed = append(placed, f.place(t, job(shortPrompt)))
			}
			served := make(chan string, len(tc.waits))
			for i, w := range tc.waits {
				f.clock.Advance(w.after)
				go func() {
					j := job(shortPrompt)
					j.Rank = w.rank
					if _, err := f.Place(context.Background(), j); err == nil {
						served <- w.name
					}
				}()
				for f.clock.Timers() != i+1 {
					runtime.Gosched()
				}
			}
			placed[0].Done(balance.Report{})
			quicktest.Check(t, <-served, quicktest.Equals, tc.want)
			quicktest.Check(t, served, quicktest.HasLen, 0)
			f.clock.Advance(time.Minute) // The others give up.
		})
	}
}

// TestBooks checks that nothing is left in the books once all tries have ended,
// whatever they were and in whatever order they ended.
func TestBooks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(rapid.IntRange(1, 12).Draw(rt, "engines"))
		var open []*balance.Placement
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			switch {
			case len(open) < 4*len(f.targets)/2 && rapid.Bool().Draw(rt, "place"):
				prompt := rapid.SampledFrom([]int{0, shortPrompt, 45_000, longPrompt, 500_000}).Draw(rt, "prompt")
				ctx, cancel := context.WithCancel(context.Background())
				cancel() // Whatever would have to wait is given up.
				if p, err := f.Place(ctx, job(prompt)); err == nil {
					open = append(open, p)
				}
			case len(open) > 0:
				i := rapid.IntRange(0, len(open)-1).Draw(rt, "which")
				if rapid.Bool().Draw(rt, "first") {
					open[i].First()
				}
				open[i].Done(balance.Report{Failed: rapid.Bool().Draw(rt, "failed")})
				open = append(open[:i], open[i+1:]...)
			}
		}
		for _, p := range open {
			p.Done(balance.Report{})
		}
		if s := f.Snapshot(); len(s.Work) > 0 {
			rt.Fatalf("left: %v", s.Work)
		}
	})
}

// TestGiant checks that a prompt that is longer than an engine's memory is placed
// where it holds up little, with its memory on its helpers, and is sent away at once
// where the streams that it would hold up are worth more, or where its caller would
// not wait for it.
func TestGiant(t *testing.T) {
	const giantPrompt = 500_000
	cases := map[string]struct {
		engines   int
		busy      int
		objective time.Duration
		placed    bool
	}{
		"all are idle":         {18, 0, 3 * time.Second, true},
		"most are idle":        {18, 6, 3 * time.Second, true},
		"a few are idle":       {18, 14, 3 * time.Second, true},
		"too few are idle":     {18, 17, 3 * time.Second, false},
		"its caller is hasty":  {18, 14, 300 * time.Millisecond, false},
		"too few for a prompt": {2, 0, 3 * time.Second, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(tc.engines)
			busy := balance.NewSnapshot()
			// The demand says that other reading needs most engines.
			busy.Demands[balance.KeyOf("s")] = balance.Demand{Heavy: float64(tc.engines)}
			isBusy := make(map[barleystep.TargetID]bool)
			for _, target := range f.targets[:tc.busy] {
				busy.Work[balance.KeyOf(string(target.ID))] = balance.Work{Light: 12}
				isBusy[target.ID] = true
			}
			f.SetOthers(busy)
			j := job(giantPrompt)
			j.Objective = tc.objective
			p, err := f.Place(context.Background(), j)
			if !tc.placed {
				c.Assert(eris.Is(err, balance.ErrFull), quicktest.IsTrue)
				return
			}
			c.Assert(err, quicktest.IsNil)
			c.Check(isBusy[p.Target.ID], quicktest.IsFalse)
			tokens := 0
			for _, h := range p.Helpers {
				c.Check(isBusy[h.ID], quicktest.IsFalse, quicktest.Commentf("%s is busy", h.ID))
				tokens += h.Memory
			}
			c.Check(tokens >= giantPrompt, quicktest.IsTrue)
		})
	}
}

// TestIdleHelps checks that engines with little to do help before those that have
// much to read, also where the former are for short prompts.
func TestIdleHelps(t *testing.T) {
	const engines, idle, prompt = 18, 3, 45_000
	for from := range engines {
		c := quicktest.New(t)
		f := newFixture(engines)
		demand := balance.Demand{Heavy: engines / 4, Light: 2}
		known := balance.NewSnapshot()
		known.Demands[balance.KeyOf("s")] = demand
		f.SetOthers(known)
		alone := job(prompt)
		alone.Alone = true
		first := f.place(t, alone)
		first.Done(balance.Report{})

		busy := make(map[barleystep.TargetID]bool)
		for i := range engines - idle {
			id := f.targets[(from+i)%engines].ID
			if id != first.Target.ID {
				busy[id] = true
				known.Work[balance.KeyOf(string(id))] = balance.Work{Backlog: 3 * time.Second}
			}
		}
		f.SetOthers(known)
		p := f.place(t, job(prompt))
		c.Check(busy[p.Target.ID], quicktest.IsFalse)
		c.Check(len(p.Helpers) > 0, quicktest.IsTrue)
		for _, h := range p.Helpers {
			c.Check(busy[h.ID], quicktest.IsFalse, quicktest.Commentf("%s has much to read", h.ID))
		}
	}
}
