package balance_test

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
)

// askedLead is a lead without a place that keeps what it was asked.
type requestRecordingLead struct {
	fullLead
	requested balance.Job
}

// Place keeps the job.
func (l *requestRecordingLead) Place(_ context.Context, j balance.Job) (balance.Plan, error) {
	l.requested = j
	return balance.Plan{}, balance.ErrFull
}

// TestLeadIsToldWhoDeclines checks that a question to the lead names the targets that leave or
// rest, for as long as they do: only these are looked at, not all that the box knows.
func TestPlanRequestNamesDecliningTargets(t *testing.T) {
	const length = 3 * time.Second
	says := func(f *fixture, said barleystep.Statement) {
		p := f.place(t, f.only("i-00"))
		p.NoteStatement(p.Target.ID, said, f.clock.Now())
		p.Done(balance.Report{Full: true})
	}
	cases := map[string]struct {
		then func(f *fixture)
		want bool
	}{
		"says nothing": {func(*fixture) {}, false},
		"leaves":       {func(f *fixture) { says(f, barleystep.Statement{Leaving: true}) }, true},
		"rests":        {func(f *fixture) { says(f, barleystep.Statement{Rest: length}) }, true},
		"has rested": {func(f *fixture) {
			says(f, barleystep.Statement{Rest: length})
			f.clock.Advance(2 * length)
		}, false},
		"has one request after its rest": {func(f *fixture) {
			says(f, barleystep.Statement{Rest: length})
			f.clock.Advance(2 * length)
			f.place(t, f.only("i-00"))
		}, true},
		"leaves after its rest": {func(f *fixture) {
			says(f, barleystep.Statement{Rest: length})
			f.clock.Advance(2 * length)
			p := f.place(t, f.only("i-00"))
			p.NoteFirstEvent()
			p.Done(balance.Report{})
			f.planRequestExcludesFirst()
			says(f, barleystep.Statement{Leaving: true})
		}, true},
		"another box is told": {func(f *fixture) {
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

// ask asks a lead for a place and reports whether it was told that the first target declines.
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
