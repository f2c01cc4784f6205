package balance_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
)

// TestLeavingFromPeers checks that a box goes by what a target has told a peer, also if it first
// uses the target afterwards. It does not gossip this on, since hearsay that circulates would look
// fresh for ever.
func TestLeavingFromPeers(t *testing.T) {
	c := quicktest.New(t)
	first, second, third := newFixture(2), newFixture(2), newFixture(2)
	first.leave(t)
	second.place(t, plainJob()).Done(balance.Report{})
	second.SetOthers(first.Snapshot())
	third.SetOthers(first.Snapshot())
	c.Check(second.TargetStatus("i-00").Statement.Leaving.Value, quicktest.IsTrue)
	c.Check(second.NotLeaving([]barleystep.TargetID{"i-00"}), quicktest.HasLen, 0)
	for range 10 {
		for _, f := range []*fixture{second, third} {
			p := f.place(t, plainJob())
			c.Check(p.Target.ID, quicktest.Equals, barleystep.TargetID("i-01"))
		}
	}
	fourth := newFixture(2)
	fourth.SetOthers(second.Snapshot())
	c.Check(fourth.TargetStatus("i-00").Statement.Leaving.Value, quicktest.IsFalse)
}

// TestLeavingRetracted checks that boxes which were told that a target is leaving are told when it
// retracts that.
func TestLeavingRetracted(t *testing.T) {
	c := quicktest.New(t)
	first, second := newFixture(1), newFixture(1)
	p := first.place(t, plainJob())
	p.NoteStatement(p.Target.ID, barleystep.Statement{Leaving: true}, first.clock.Now())
	second.SetOthers(first.Snapshot())
	c.Check(second.TargetStatus("i-00").Statement.Leaving.Value, quicktest.IsTrue)
	for _, f := range []*fixture{first, second} {
		f.clock.Advance(time.Second)
	}
	p.NoteStatement(p.Target.ID, barleystep.Statement{}, first.clock.Now())
	second.SetOthers(first.Snapshot())
	c.Check(second.TargetStatus("i-00").Statement.Leaving.Value, quicktest.IsFalse)
}
