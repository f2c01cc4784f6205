package balance_test

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
)

// placeNow places a job that need not wait.
func (f *fixture) placeNow(t *testing.T, j balance.Job) *balance.Placement {
	p, _, err := f.TryPlace(context.Background(), j)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, p, quicktest.IsNotNil)
	return p
}

// helpersOf returns the helpers that a long prompt gets now, over many choices.
func (f *fixture) helpersOf(t *testing.T, j balance.Job) map[barleystep.TargetID]bool {
	seen := make(map[barleystep.TargetID]bool)
	for range 30 {
		p := f.placeNow(t, j)
		for _, h := range p.Helpers {
			seen[h.ID] = true
		}
		p.Cancel()
	}
	return seen
}

// TestHelperBackoff checks that a helper because of which a target has refused a prompt gets no
// parts of prompts for a while, from this box or its peers, and that it still takes requests of its
// own.
func TestHelperBackoff(t *testing.T) {
	c := quicktest.New(t)
	first, second := newFixture(8), newFixture(8)
	p := first.placeNow(t, engineJob(300_000))
	c.Assert(len(p.Helpers) > 0, quicktest.IsTrue)
	blamed := p.Helpers[0].ID
	p.Done(balance.Report{Full: true, UnreachableHelper: blamed})
	second.SetOthers(first.Snapshot())
	for _, f := range []*fixture{first, second} {
		f.clock.Advance(time.Second)
		c.Check(f.helpersOf(t, engineJob(300_000))[blamed], quicktest.IsFalse)
		own := f.placeNow(t, f.only(blamed))
		c.Check(own.Target.ID, quicktest.Equals, blamed)
		own.Done(balance.Report{})
		f.clock.Advance(5 * time.Second)
		f.SetOthers(balance.NewSnapshot())
		c.Check(f.helpersOf(t, engineJob(300_000))[blamed], quicktest.IsTrue)
	}
}

// TestHelperBackoffIgnoredWhenNeeded checks that a prompt which needs the KV cache of all engines
// also gets that of a helper in backoff.
func TestHelperBackoffIgnoredWhenNeeded(t *testing.T) {
	const engines = 4
	f := newFixture(engines)
	small := *cost
	small.KVTokens = 20_000
	all := engineJob(int(0.89*float64((engines-1)*small.KVTokens)) - 100)
	all.Cost = &small
	p := f.placeNow(t, all)
	blamed := p.Helpers[0].ID
	p.Done(balance.Report{Full: true, UnreachableHelper: blamed})
	f.clock.Advance(time.Second)
	quicktest.Check(t, f.helpersOf(t, all)[blamed], quicktest.IsTrue)
}
