package balance_test

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
)

// requestRecordingLead is a lead that has no target and records the job it was asked to place.
type requestRecordingLead struct {
	fullLead
	requested balance.Job
}

// Place records the job.
func (l *requestRecordingLead) Place(_ context.Context, j balance.Job) (balance.Plan, error) {
	l.requested = j
	return balance.Plan{}, balance.ErrFull
}

// TestPlanRequestNamesDecliningTargets checks that a plan request to the lead names the targets
// that are leaving or resting, for as long as they do. The box looks only at these, not at all
// targets that it knows.
func TestPlanRequestNamesDecliningTargets(t *testing.T) {
	const length = 3 * time.Second
	answerWith := func(f *fixture, statement barleystep.Statement) {
		p := f.place(t, f.only("i-00"))
		p.NoteStatement(p.Target.ID, statement, f.clock.Now())
		p.Done(balance.Report{Full: true})
	}
	cases := map[string]struct {
		then func(f *fixture)
		want bool
	}{
		"no statement": {func(*fixture) {}, false},
		"leaves":       {func(f *fixture) { answerWith(f, barleystep.Statement{Leaving: true}) }, true},
		"rests":        {func(f *fixture) { answerWith(f, barleystep.Statement{Rest: length}) }, true},
		"rest is over": {func(f *fixture) {
			answerWith(f, barleystep.Statement{Rest: length})
			f.clock.Advance(2 * length)
		}, false},
		"probe after its rest": {func(f *fixture) {
			answerWith(f, barleystep.Statement{Rest: length})
			f.clock.Advance(2 * length)
			f.place(t, f.only("i-00"))
		}, true},
		"leaves after its rest": {func(f *fixture) {
			answerWith(f, barleystep.Statement{Rest: length})
			f.clock.Advance(2 * length)
			p := f.place(t, f.only("i-00"))
			p.NoteFirstEvent()
			p.Done(balance.Report{})
			f.planRequestExcludesFirst()
			answerWith(f, barleystep.Statement{Leaving: true})
		}, true},
		"leaving, told to a peer": {func(f *fixture) {
			news := balance.NewSnapshot()
			news.Statements[balance.KeyOf("i-00")] = balance.TimedStatement{Leaving: balance.Timed[bool]{Value: true, At: f.clock.Now()}}
			f.SetOthers(news)
		}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(2)
			f.place(t, f.only("i-00")).Done(balance.Report{})
			tc.then(f)
			quicktest.Check(t, f.planRequestExcludesFirst(), quicktest.Equals, tc.want)
		})
	}
}

// planRequestExcludesFirst requests a plan and reports whether the lead was told that the first
// target declines.
func (f *fixture) planRequestExcludesFirst() bool {
	l := &requestRecordingLead{}
	f.Lead = l
	defer func() { f.Lead = nil }()
	_, _ = f.Place(context.Background(), engineJob(shortPrompt))
	for _, id := range l.requested.Avoid {
		if id == "i-00" {
			return true
		}
	}
	return false
}
