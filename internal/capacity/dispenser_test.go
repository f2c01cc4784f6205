package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/capacity"
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

const engineTokens = 100_000

// pool is a dispenser with a manual clock and the serial number of its last attempt.
type pool struct {
	*capacity.Dispenser
	now    time.Time
	serial uint64
}

func newPool(engines int) *pool {
	p := &pool{now: start}
	p.reset(engines)
	return p
}

// reset replaces the dispenser by a new one that knows only the configuration.
func (p *pool) reset(engines int) {
	p.Dispenser = capacity.NewDispenser(capacity.Settings{}, p.now)
	var specs []capacity.TargetSpec
	for i := range engines {
		specs = append(specs, capacity.TargetSpec{ID: engine(i), KVTokens: engineTokens, PrefillRate: 10_000})
	}
	p.SetTargets(specs)
}

func engine(i int) barleystep.TargetID { return barleystep.TargetID(fmt.Sprintf("e%d", i)) }

func (p *pool) load(i, free int) {
	p.UpdateLoad(engine(i), barleystep.Load{At: p.now, TotalTokens: engineTokens, FreeTokens: free})
}

func (p *pool) reportEmpty(engines int) {
	for i := range engines {
		p.load(i, engineTokens)
	}
}

func (p *pool) ask(account string, prompt int) capacity.GrantRequest {
	p.serial++
	return capacity.GrantRequest{
		Box:    "b1",
		Weight: 1,
		Limit:  1,
		Demand: barleystep.Demand{
			Attempt:         barleystep.NewAttemptID("b1", 1, p.serial),
			Account:         account,
			Class:           "normal",
			PromptTokens:    prompt,
			MaxOutputTokens: 100,
			AdmittedAt:      p.now,
			Deadline:        p.now.Add(time.Hour),
		},
	}
}

// mustEnqueue enqueues a request and returns its attempt's id.
func (p *pool) mustEnqueue(t *testing.T, account string, prompt int) barleystep.AttemptID {
	a := p.ask(account, prompt)
	if r := p.Enqueue(p.now, a); r != nil {
		t.Fatalf("refused: %v", r)
	}
	return a.Demand.Attempt
}

func (p *pool) tick() map[barleystep.AttemptID]capacity.Grant {
	grants := make(map[barleystep.AttemptID]capacity.Grant)
	for _, g := range p.Schedule(p.now) {
		grants[g.Attempt] = g
	}
	return grants
}

func (p *pool) done(id barleystep.AttemptID) {
	p.Release(p.now, id, barleystep.Usage{Outcome: barleystep.OutcomeDone, TimeToFirstEvent: time.Second})
}

// TestNewDispenser replaces a dispenser that has running work. Its successor must grant no more memory
// than the load and the boxes' reports show as free.
func TestNewDispenser(t *testing.T) {
	c := quicktest.New(t)
	p := newPool(1)
	p.reportEmpty(1)
	first := p.mustEnqueue(t, "a", 40_000)
	c.Assert(p.tick(), quicktest.HasLen, 1)

	p.now = p.now.Add(10 * time.Second)
	p.reset(1)
	next := p.mustEnqueue(t, "a", 45_000)
	c.Check(p.tick(), quicktest.HasLen, 0, quicktest.Commentf("before any load report"))
	p.load(0, engineTokens-40_100)
	held := capacity.HeldGrant{Attempt: first, Account: "a", Targets: []barleystep.TargetID{engine(0)}, PromptTokens: 40_000, OutputTokens: 100, Since: start, Prefilling: true}
	p.ApplyReport(p.now, capacity.Report{Box: "b1", Held: []capacity.HeldGrant{held}})
	c.Check(p.tick(), quicktest.HasLen, 0, quicktest.Commentf("while the engine prefills another long prompt"))
	p.done(first)
	c.Check(p.tick()[next].Targets, quicktest.DeepEquals, []barleystep.TargetID{engine(0)})
}

func TestUnexplainedMemoryCounts(t *testing.T) {
	c := quicktest.New(t)
	p := newPool(1)
	p.load(0, 20_000)
	p.mustEnqueue(t, "a", 30_000)
	c.Check(p.tick(), quicktest.HasLen, 0)
	p.now = p.now.Add(time.Second)
	p.load(0, 90_000)
	c.Check(p.tick(), quicktest.HasLen, 1)
}

// TestStaleLoad checks that grants newer than the last load report count against the free memory.
func TestStaleLoad(t *testing.T) {
	c := quicktest.New(t)
	p := newPool(1)
	p.reportEmpty(1)
	p.now = p.now.Add(time.Second)
	for range 40 {
		p.mustEnqueue(t, "a", 3_900)
	}
	granted := 0
	for range 40 {
		for id := range p.tick() {
			granted++
			p.FirstToken(p.now, id, 0)
		}
	}
	c.Check(granted, quicktest.Equals, engineTokens/4_000)
}

func TestLostGrantIsEnded(t *testing.T) {
	c := quicktest.New(t)
	p := newPool(1)
	p.reportEmpty(1)
	p.mustEnqueue(t, "a", 40_000)
	c.Assert(p.tick(), quicktest.HasLen, 1)
	p.mustEnqueue(t, "a", 40_000)
	p.ApplyReport(p.now, capacity.Report{Box: "b1"})
	c.Check(p.tick(), quicktest.HasLen, 0)
	p.now = p.now.Add(4 * time.Second)
	p.load(0, engineTokens)
	p.ApplyReport(p.now, capacity.Report{Box: "b1"})
	c.Check(p.tick(), quicktest.HasLen, 1)
}

// TestBoxDies checks that the memory of a dead box's work is not granted until the engine reports it
// free.
func TestBoxDies(t *testing.T) {
	c := quicktest.New(t)
	p := newPool(1)
	p.reportEmpty(1)
	p.mustEnqueue(t, "a", 40_000)
	c.Assert(p.tick(), quicktest.HasLen, 1)
	p.now = p.now.Add(time.Second)
	p.load(0, engineTokens-40_100)
	p.RemoveBox(p.now, "b1")
	p.now = p.now.Add(time.Second)
	p.load(0, engineTokens-40_100)
	a := p.ask("a", 45_000)
	a.Box = "b2"
	a.Demand.MaxOutputTokens = 20_000
	c.Assert(p.Enqueue(p.now, a) == nil, quicktest.IsTrue)
	c.Check(p.tick(), quicktest.HasLen, 0)
	p.now = p.now.Add(time.Second)
	p.load(0, engineTokens)
	c.Check(p.tick(), quicktest.HasLen, 1)
}

// TestFloodDoesNotDelayOthers checks that a client account with one request is served within three
// grants while another account has 500 requests queued.
func TestFloodDoesNotDelayOthers(t *testing.T) {
	c := quicktest.New(t)
	p := newPool(1)
	p.reportEmpty(1)
	for range 500 {
		p.mustEnqueue(t, "flood", 6_000)
	}
	p.tick()
	other := p.mustEnqueue(t, "other", 6_000)
	served := 0
	for range 20 {
		for id, g := range p.tick() {
			served++
			if id == other {
				c.Check(served <= 3, quicktest.IsTrue, quicktest.Commentf("served after %d", served))
				return
			}
			c.Check(g.Refusal, quicktest.IsNil)
		}
		p.finishAll()
	}
	c.Fatal("the other account was not served")
}

// finishAll ends all running attempts.
func (p *pool) finishAll() {
	for n := uint64(1); n <= p.serial; n++ {
		id := barleystep.NewAttemptID("b1", 1, n)
		p.FirstToken(p.now, id, 0)
		p.done(id)
	}
	p.now = p.now.Add(time.Second)
	p.load(0, engineTokens)
}

// TestLongUnderFlood checks that a flood of short prompts does not delay a long one, which waits in a
// lane of its own.
func TestLongUnderFlood(t *testing.T) {
	c := quicktest.New(t)
	p := newPool(1)
	p.reportEmpty(1)
	for range 200 {
		p.mustEnqueue(t, "quotes", 2_000)
	}
	long := p.mustEnqueue(t, "court", 40_000)
	_, ok := p.tick()[long]
	c.Check(ok, quicktest.IsTrue)
}

// TestReservation checks prompts longer than an engine's memory: all their engines are
// reserved at once, and two such prompts do not deadlock.
func TestReservation(t *testing.T) {
	c := quicktest.New(t)
	p := newPool(3)
	p.reportEmpty(3)
	busy := p.mustEnqueue(t, "a", 30_000)
	g := p.tick()
	c.Assert(g, quicktest.HasLen, 1)
	first := p.mustEnqueue(t, "a", 210_000)
	second := p.mustEnqueue(t, "b", 210_000)
	c.Check(p.tick(), quicktest.HasLen, 0, quicktest.Commentf("one engine still prefills"))
	c.Check(p.ReservedTargets(), quicktest.HasLen, 3)
	c.Check(p.tick(), quicktest.HasLen, 0)
	p.done(busy)
	granted := p.tick()
	c.Assert(granted, quicktest.HasLen, 1)
	c.Check(granted[first].Targets, quicktest.HasLen, 3)
	p.done(first)
	c.Check(p.tick()[second].Targets, quicktest.HasLen, 3)
}

func TestReservedTargetDies(t *testing.T) {
	c := quicktest.New(t)
	p := newPool(4)
	p.reportEmpty(4)
	for range 4 {
		p.mustEnqueue(t, "a", 30_000)
	}
	running := p.tick()
	c.Assert(running, quicktest.HasLen, 4)
	large := p.mustEnqueue(t, "b", 160_000)
	p.tick()
	lost := p.ReservedTargets()[0]
	for range 3 {
		p.ApplyReport(p.now, capacity.Report{Box: "b1", Held: heldOf(running), Uses: []capacity.CreditUse{{Target: lost, Failures: 2}}})
	}
	for id := range running {
		p.done(id)
	}
	p.tick()
	g := p.tick()[large]
	for _, id := range g.Targets {
		c.Check(id, quicktest.Not(quicktest.Equals), lost)
	}
}

func heldOf(grants map[barleystep.AttemptID]capacity.Grant) []capacity.HeldGrant {
	var held []capacity.HeldGrant
	for id, g := range grants {
		held = append(held, capacity.HeldGrant{Attempt: id, Targets: g.Targets, PromptTokens: 30_000, OutputTokens: 100, Prefilling: true})
	}
	return held
}

func TestRefusals(t *testing.T) {
	p := newPool(1)
	p.reportEmpty(1)
	late := p.ask("a", 90_000)
	late.Demand.Deadline = p.now.Add(time.Second)
	cases := map[string]struct {
		ask    capacity.GrantRequest
		reason barleystep.Reason
	}{
		"cannot be prefilled in time": {late, barleystep.ReasonDeadlineCannotBeMet},
		"longer than all engines":     {p.ask("a", 5_000_000), barleystep.ReasonNoTarget},
		"no engine serves the model":  {p.ask("a", 1_000), barleystep.ReasonNoTarget},
		"queue is full":               {p.ask("a", 1_000), barleystep.ReasonQueueFull},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			p := newPool(1)
			switch tc.reason {
			case barleystep.ReasonNoTarget:
				if tc.ask.Demand.PromptTokens == 1_000 {
					p.SetTargets(nil)
				}
			case barleystep.ReasonQueueFull:
				for range 20_000 {
					p.mustEnqueue(t, "a", 1_000)
				}
			}
			r := p.Enqueue(p.now, tc.ask)
			c.Assert(r, quicktest.IsNotNil)
			c.Check(r.Reason(), quicktest.Equals, tc.reason)
			c.Check(r.Outcome(), quicktest.Equals, barleystep.OutcomeNotRun)
		})
	}
}

// TestAllTargetsFailed checks that a request that has failed on all targets may try them again,
// instead of waiting until its deadline for another target.
func TestAllTargetsFailed(t *testing.T) {
	for name, avoid := range map[string][]barleystep.TargetID{"one left": {engine(0)}, "none left": {engine(1), engine(0)}} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			p := newPool(2)
			p.reportEmpty(2)
			a := p.ask("a", 1_000)
			a.Demand.FailedTargets = avoid
			c.Assert(p.Enqueue(p.now, a) == nil, quicktest.IsTrue)
			g := p.tick()[a.Demand.Attempt]
			c.Assert(g.Targets, quicktest.HasLen, 1)
			c.Check(len(avoid) == 2 || g.Targets[0] == engine(1), quicktest.IsTrue)
		})
	}
}

// TestUnusableTargets checks each reason for which a target gets no new work.
func TestUnusableTargets(t *testing.T) {
	cases := map[string]func(p *pool){
		"drained": func(p *pool) {
			p.SetTargets([]capacity.TargetSpec{{ID: engine(0), KVTokens: engineTokens, PrefillRate: 10_000, Drain: true}})
		},
		"leaving by its load report": func(p *pool) {
			p.UpdateLoad(engine(0), barleystep.Load{At: p.now.Add(1), TotalTokens: engineTokens, FreeTokens: engineTokens, Leaving: true})
		},
		"failing": func(p *pool) {
			p.ApplyReport(p.now, capacity.Report{Box: "b1", Uses: []capacity.CreditUse{{Target: engine(0), Failures: 2}}})
		},
		"hung while it still reports load": func(p *pool) {
			p.ApplyReport(p.now, capacity.Report{Box: "b1", Uses: []capacity.CreditUse{{Target: engine(0), Overdue: time.Minute}}})
		},
	}
	for name, breakTarget := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			p := newPool(1)
			p.reportEmpty(1)
			breakTarget(p)
			p.mustEnqueue(t, "a", 1_000)
			c.Check(p.tick(), quicktest.HasLen, 0)
			c.Check(p.ApplyReport(p.now, capacity.Report{Box: "b1"}).Credits, quicktest.HasLen, 0)
		})
	}
}

// TestSuspensionEndsWithProbe checks that a suspended target gets a probe attempt after its backoff.
func TestSuspensionEndsWithProbe(t *testing.T) {
	c := quicktest.New(t)
	p := newPool(1)
	p.reportEmpty(1)
	p.ApplyReport(p.now, capacity.Report{Box: "b1", Uses: []capacity.CreditUse{{Target: engine(0), Failures: 2}}})
	p.mustEnqueue(t, "a", 1_000)
	c.Assert(p.tick(), quicktest.HasLen, 0)
	p.now = p.now.Add(3 * time.Second)
	c.Check(p.tick(), quicktest.HasLen, 1)
}
