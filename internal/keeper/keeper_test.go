package keeper_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/claim"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/engine"
	"github.com/barleystep/barleystep/internal/identity"
	"github.com/barleystep/barleystep/internal/keeper"
	"github.com/barleystep/barleystep/internal/member"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/object"
	"github.com/barleystep/barleystep/internal/standin"
	"github.com/barleystep/barleystep/internal/table"
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func TestOrphanReason(t *testing.T) {
	dead := member.Update{Box: "b", Incarnation: 5, Status: member.StatusDead}
	alive := member.Update{Box: "b", Incarnation: 5, Status: member.StatusAlive}
	seen := map[barleystep.BoxID]time.Time{"b": start}
	cases := map[string]struct {
		attempt  barleystep.AttemptID
		deadline time.Time
		state    keeper.HallState
		want     keeper.Reason
	}{
		"live box": {barleystep.NewAttemptID("b", 5, 1), time.Time{}, keeper.HallState{Members: []member.Update{alive}}, keeper.ReasonNone},
		"earlier incarnation": {
			barleystep.NewAttemptID("b", 4, 1), time.Time{}, keeper.HallState{Members: []member.Update{alive}}, keeper.ReasonReplaced,
		},
		"later incarnation than known": {
			barleystep.NewAttemptID("b", 6, 1), time.Time{}, keeper.HallState{Members: []member.Update{dead}, DeadSince: seen, ListedAt: start.Add(1)}, keeper.ReasonNone,
		},
		"dead box, listed": {
			barleystep.NewAttemptID("b", 5, 1), time.Time{},
			keeper.HallState{Members: []member.Update{dead}, DeadSince: seen, ListedAt: start.Add(1), Listed: map[barleystep.BoxID]bool{"b": true}},
			keeper.ReasonNone,
		},
		"dead box, list older than its death": {
			barleystep.NewAttemptID("b", 5, 1), time.Time{},
			keeper.HallState{Members: []member.Update{dead}, DeadSince: seen, ListedAt: start.Add(-1)}, keeper.ReasonNone,
		},
		"dead box, not listed": {
			barleystep.NewAttemptID("b", 5, 1), time.Time{},
			keeper.HallState{Members: []member.Update{dead}, DeadSince: seen, ListedAt: start.Add(1)}, keeper.ReasonGone,
		},
		"box of another hall": {barleystep.NewAttemptID("c", 5, 1), time.Time{}, keeper.HallState{}, keeper.ReasonNone},
		"long after its deadline": {
			barleystep.NewAttemptID("b", 5, 1), start.Add(-time.Minute), keeper.HallState{Members: []member.Update{alive}}, keeper.ReasonDeadline,
		},
		"soon after its deadline": {
			barleystep.NewAttemptID("b", 5, 1), start.Add(-time.Second), keeper.HallState{Members: []member.Update{alive}}, keeper.ReasonNone,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := barleystep.HeldAttempt{Attempt: tc.attempt.String(), Deadline: tc.deadline}
			quicktest.Check(t, keeper.OrphanReason(w, tc.state, start), quicktest.Equals, tc.want)
		})
	}
}

func TestDecide(t *testing.T) {
	self := keeper.Lease{Holder: "me", Incarnation: 1, Token: 7, Until: start.Add(time.Second)}
	mine := keeper.Intent{Holder: "me", Incarnation: 1, Weights: "v2", Open: true}
	other := keeper.Intent{Holder: "you", Incarnation: 9, Weights: "v1", Open: true}
	stateWith := func(change func(*keeper.TargetState)) keeper.TargetState {
		s := keeper.TargetState{Now: start, OwnLease: self, Wanted: "v2", Loaded: "v1", Drained: true}
		change(&s)
		return s
	}
	cases := map[string]struct {
		change func(*keeper.TargetState)
		want   keeper.Step
	}{
		"writes the intent first":                    {func(*keeper.TargetState) {}, keeper.StepWriteIntent},
		"sends the intended order":                   {func(s *keeper.TargetState) { s.Intent = mine }, keeper.StepSendIntended},
		"closes after loading":                       {func(s *keeper.TargetState) { s.Intent, s.Loaded = mine, "v2" }, keeper.StepCloseIntent},
		"waits for a paused issuer":                  {func(s *keeper.TargetState) { s.Intent = other }, keeper.StepWait},
		"waits although loaded":                      {func(s *keeper.TargetState) { s.Intent, s.Loaded = other, "v2" }, keeper.StepWait},
		"continues after the holder ended":           {func(s *keeper.TargetState) { s.Intent, s.HolderEnded = other, true }, keeper.StepWriteIntent},
		"waits for running work":                     {func(s *keeper.TargetState) { s.Drained = false }, keeper.StepWait},
		"nothing to do":                              {func(s *keeper.TargetState) { s.Loaded = "v2" }, keeper.StepNone},
		"lease expired":                              {func(s *keeper.TargetState) { s.Now = self.Until }, keeper.StepNone},
		"lease expired, own intent open":             {func(s *keeper.TargetState) { s.Now, s.Intent = self.Until, mine }, keeper.StepCloseIntent},
		"lease expired, other intent open":           {func(s *keeper.TargetState) { s.Now, s.Intent = self.Until, other }, keeper.StepNone},
		"target checks the token":                    {func(s *keeper.TargetState) { s.ChecksFence = true }, keeper.StepSend},
		"target checks the token, other intent open": {func(s *keeper.TargetState) { s.ChecksFence, s.Intent = true, other }, keeper.StepSend},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.Check(t, keeper.Decide(stateWith(tc.change)), quicktest.Equals, tc.want)
		})
	}
}

// testHall is a hall with one engine and the keepers of two boxes.
type testHall struct {
	clock   *clock.Manual
	engine  *standin.Engine
	table   *table.Faulty
	pool    *engine.Pool
	config  config.Fixed
	members []member.Update
	boxes   *standin.BoxList
}

func newTestHall(t *testing.T, target config.Target) *testHall {
	c := quicktest.New(t)
	b := &testHall{clock: clock.NewManual(start), table: &table.Faulty{Table: &table.Memory{}}, boxes: &standin.BoxList{}}
	b.engine = &standin.Engine{Clock: b.clock, ChecksFence: target.ChecksFence}
	server := httptest.NewServer(b.engine)
	t.Cleanup(server.Close)
	target.ID, target.Hall, target.Model, target.URL = "e", "h", "m", server.URL
	d, err := config.File{
		Classes: []config.Class{{Name: "normal"}},
		Models:  []config.Model{{Name: "m", EngineTokens: 1, MaxPrompt: 1}},
		Targets: []config.Target{target},
	}.Document()
	c.Assert(err, quicktest.IsNil)
	v, err := config.NewView(1, d)
	c.Assert(err, quicktest.IsNil)
	b.config = config.NewFixed(v)
	b.pool = &engine.Pool{Configuration: b.config}
	b.members = []member.Update{
		{Box: "b1", Incarnation: 1, Status: member.StatusAlive},
		{Box: "b2", Incarnation: 1, Status: member.StatusAlive},
	}
	b.boxes.SetBoxes(barleystep.NewBox("b1", "h", "", false), barleystep.NewBox("b2", "h", "", false))
	return b
}

func (b *testHall) watcher() *keeper.Watcher {
	w := &keeper.Watcher{Clock: b.clock, Hall: "h", Boxes: b.boxes, Members: func(context.Context) ([]member.Update, error) { return b.members, nil }}
	w.Refresh(context.Background())
	return w
}

func (b *testHall) issuer(box barleystep.BoxID) *keeper.Issuer {
	return &keeper.Issuer{
		Clock:         b.clock,
		Hall:          "h",
		IDs:           identity.NewGenerator(box, 1),
		Table:         b.table,
		Configuration: b.config,
		Targets:       b.pool,
		Watcher:       b.watcher(),
		Meter:         metric.Discard(),
		Log:           &log.Logger{Level: log.PanicLevel},
		OrderInterval: time.Nanosecond,
	}
}

// TestNoOrderWhilePausedIssuerMaySend guards against two issuers that order the
// same target: the first pauses after it wrote its intent, and its successor
// sends nothing until the first is known to have ended.
func TestNoOrderWhilePausedIssuerMaySend(t *testing.T) {
	ctx := context.Background()
	c := quicktest.New(t)
	b := newTestHall(t, config.Target{Drain: true, Weights: "v2"})
	first, second := b.issuer("b1"), b.issuer("b2")
	// The write of the intent takes effect, its answer is lost, and the issuer pauses.
	b.table.SetPlan(func(call table.Call) table.Failure {
		if call.Write() && len(call.Keys()) > 0 && call.Keys()[0] == "order/intent/h/e" {
			return table.FailureAnswerLost
		}
		return table.FailureNone
	})
	first.Round(ctx)
	c.Assert(b.engine.Orders(), quicktest.Equals, 0)
	b.table.SetPlan(nil)
	b.clock.Advance(time.Minute)
	second.Round(ctx)
	second.Round(ctx)
	c.Check(b.engine.Orders(), quicktest.Equals, 0, quicktest.Commentf("the paused issuer may still send"))
	b.members[0] = member.Update{Box: "b1", Incarnation: 2, Status: member.StatusAlive}
	second.Watcher.Refresh(ctx)
	second.Round(ctx)
	c.Check(b.engine.Weights(), quicktest.Equals, "v2")
	first.Round(ctx)
	c.Check(b.engine.Orders(), quicktest.Equals, 1)
}

// TestIssuerClosesIntentAfterLosingLease checks that an issuer that resumes
// without its lease sends nothing and closes its intent for its successor.
func TestIssuerClosesIntentAfterLosingLease(t *testing.T) {
	ctx := context.Background()
	c := quicktest.New(t)
	b := newTestHall(t, config.Target{Drain: true, Weights: "v2"})
	first, second := b.issuer("b1"), b.issuer("b2")
	b.table.SetPlan(func(call table.Call) table.Failure {
		if call.Write() && call.Keys()[0] == "order/intent/h/e" {
			return table.FailureAnswerLost
		}
		return table.FailureNone
	})
	first.Round(ctx)
	b.table.SetPlan(nil)
	b.clock.Advance(time.Minute)
	second.Round(ctx)
	first.Round(ctx)
	c.Assert(b.engine.Orders(), quicktest.Equals, 0)
	second.Round(ctx)
	c.Check(b.engine.Weights(), quicktest.Equals, "v2")
	c.Check(b.engine.Orders(), quicktest.Equals, 1)
}

// TestFencedTargetRefusesOldToken checks that a target that checks fencing
// tokens gets its order without an intent and refuses an older token.
func TestFencedTargetRefusesOldToken(t *testing.T) {
	ctx := context.Background()
	c := quicktest.New(t)
	b := newTestHall(t, config.Target{Drain: true, Weights: "v2", ChecksFence: true})
	b.issuer("b1").Round(ctx)
	c.Assert(b.engine.Weights(), quicktest.Equals, "v2")
	e, _ := b.pool.Engine("e", true)
	c.Assert(e.Order(ctx, barleystep.Order{Weights: "v3", Fence: 5}), quicktest.IsNil)
	c.Check(e.Order(ctx, barleystep.Order{Weights: "v2", Fence: 4}), quicktest.ErrorIs, barleystep.ErrConflict)
	c.Check(b.engine.Weights(), quicktest.Equals, "v3")
}

func TestNoOrderWhileWorkRuns(t *testing.T) {
	b := newTestHall(t, config.Target{Weights: "v2"})
	b.issuer("b1").Round(context.Background())
	quicktest.Check(t, b.engine.Orders(), quicktest.Equals, 0, quicktest.Commentf("the target is not drained"))
}

func TestSweeperKeepsUnexpiredClaims(t *testing.T) {
	ctx := context.Background()
	c := quicktest.New(t)
	b := newTestHall(t, config.Target{})
	objects := &object.Memory{}
	c.Assert(objects.Put(ctx, "o", nil), quicktest.IsNil)
	for i, age := range []time.Duration{time.Hour, 23 * time.Hour, 25 * time.Hour} {
		row := fmt.Sprintf(`{"state":"done","deadline":%q,"object":"o"}`, start.Add(-age).Format(time.RFC3339))
		t := barleystep.Txn{Writes: []barleystep.Write{barleystep.Put(fmt.Sprint(claim.Prefix, i), []byte(row))}}
		c.Assert(b.table.Commit(ctx, t), quicktest.IsNil)
	}
	for _, box := range []barleystep.BoxID{"b1", "b2"} {
		s := &keeper.Sweeper{Clock: b.clock, Box: box, Table: b.table, Objects: objects, Watcher: b.watcher(), Meter: metric.Discard()}
		s.Round(ctx)
	}
	rows, err := b.table.Scan(ctx, claim.Prefix, "", 10)
	c.Assert(err, quicktest.IsNil)
	c.Check(rows, quicktest.HasLen, 2)
	_, err = objects.Get(ctx, "o")
	c.Check(err, quicktest.ErrorIs, barleystep.ErrNotFound)
}
