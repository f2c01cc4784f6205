package version_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/member"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/object"
	"github.com/barleystep/barleystep/internal/table"
	"github.com/barleystep/barleystep/internal/version"
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// document returns a configuration that is different for each n.
func document(t testing.TB, n int) config.Document {
	d, err := config.File{
		Classes:  []config.Class{{Name: "normal", Rank: n}},
		Accounts: []config.Account{{Name: fmt.Sprintf("a%d", n)}},
	}.Document()
	quicktest.Assert(t, err, quicktest.IsNil)
	return d
}

func newStore(tb barleystep.Table) *version.Store {
	return &version.Store{Table: tb, Objects: &object.Memory{}, Clock: clock.System{}, Meter: metric.Discard(), SubmitTimeout: 200 * time.Millisecond}
}

// submitAll submits versions 1 to n and checks that each is accepted.
func submitAll(t testing.TB, s *version.Store, n int) {
	base := config.Document{}
	for v := 1; v <= n; v++ {
		d := document(t, v)
		got, err := s.Submit(context.Background(), base, version.Submission{ID: fmt.Sprintf("s%d", v), Base: int64(v - 1), Document: d})
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, got, quicktest.Equals, int64(v))
		base = d
	}
}

func TestFollowerNeverGoesBack(t *testing.T) {
	c := quicktest.New(t)
	s := newStore(&table.Memory{})
	submitAll(t, s, 3)
	list, err := s.Increments(context.Background(), 1, 3)
	c.Assert(err, quicktest.IsNil)
	f := &version.Follower{Clock: clock.NewManual(start), Meter: metric.Discard()}
	c.Check(f.Apply(list[1:]), quicktest.ErrorIs, version.ErrGap)
	c.Assert(f.Apply(list), quicktest.IsNil)
	c.Assert(f.Apply(list[:1]), quicktest.IsNil)
	old := document(t, 1)
	c.Assert(f.Load(version.Increment{Version: 2, Changes: old.Entries(), Digest: old.Digest()}), quicktest.IsNil)
	c.Check(f.Version(), quicktest.Equals, int64(3))
	torn := list[2]
	torn.Version, torn.Changes = 4, nil
	torn.Digest = old.Digest()
	c.Check(f.Apply([]version.Increment{torn}), quicktest.ErrorMatches, ".*digest is .*")
	c.Check(f.Version(), quicktest.Equals, int64(3))
}

func TestConfirmation(t *testing.T) {
	c := quicktest.New(t)
	clk := clock.NewManual(start)
	f := &version.Follower{Clock: clk, Meter: metric.Discard()}
	d := document(t, 1)
	c.Assert(f.Load(version.Increment{Version: 1, Changes: d.Entries(), Digest: d.Digest()}), quicktest.IsNil)
	f.Confirm(2, clk.Now())
	_, confirmed := f.View()
	c.Check(confirmed, quicktest.IsFalse, quicktest.Commentf("another version was confirmed"))
	f.Confirm(1, clk.Now())
	_, confirmed = f.View()
	c.Check(confirmed, quicktest.IsTrue)
	clk.Advance(5 * time.Second)
	v, confirmed := f.View()
	c.Check(confirmed, quicktest.IsFalse)
	c.Check(v.Version(), quicktest.Equals, int64(1), quicktest.Commentf("an unconfirmed version stays current"))
}

func TestSubmit(t *testing.T) {
	ctx := context.Background()
	cases := map[string]struct {
		base int64
		id   string
		plan func(table.Call) table.Failure
		want error
	}{
		"accepted":                        {1, "new", nil, nil},
		"stale base":                      {0, "new", nil, version.ErrConflict},
		"same id resubmitted":             {0, "s1", nil, nil},
		"answer lost after the effect":    {1, "new", failWrites(table.FailureAnswerLost), nil},
		"answer lost before the effect":   {1, "new", failFirstWrite(table.FailureDelayed), version.ErrNotAccepted},
		"store down":                      {1, "new", failWrites(table.FailureUnavailable), version.ErrNotAccepted},
		"answers lost until the time-out": {1, "new", failWrites(table.FailureDelayed), version.ErrUnknownOutcome},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			faulty := &table.Faulty{Table: &table.Memory{}}
			s := newStore(faulty)
			submitAll(t, s, 1)
			faulty.SetPlan(tc.plan)
			_, err := s.Submit(ctx, config.Document{}, version.Submission{ID: tc.id, Base: tc.base, Document: document(t, 2)})
			if tc.want == nil {
				c.Check(err, quicktest.IsNil)
				return
			}
			c.Check(err, quicktest.ErrorIs, tc.want)
			faulty.SetPlan(nil)
			if tc.want == version.ErrNotAccepted {
				c.Check(faulty.ApplyDelayed(ctx), quicktest.Equals, 0, quicktest.Commentf("a write took effect after its submission was reported as not accepted"))
			}
		})
	}
	t.Run("invalid", func(t *testing.T) {
		s := newStore(&table.Memory{})
		_, err := s.Submit(ctx, config.Document{}, version.Submission{ID: "x"})
		quicktest.Check(t, err, quicktest.ErrorMatches, ".*there is no class.*")
	})
}

func failWrites(f table.Failure) func(table.Call) table.Failure {
	return func(c table.Call) table.Failure {
		if c.Write() {
			return f
		}
		return table.FailureNone
	}
}

// failFirstWrite returns a plan that fails only the first write.
func failFirstWrite(f table.Failure) func(table.Call) table.Failure {
	done := false
	return func(c table.Call) table.Failure {
		if !c.Write() || done {
			return table.FailureNone
		}
		done = true
		return f
	}
}

// TestNewBoxReadsSnapshot checks that a new box reads the latest snapshot and the versions after it,
// in at most 6 reads, instead of all versions.
func TestNewBoxReadsSnapshot(t *testing.T) {
	c := quicktest.New(t)
	m := &table.Memory{}
	s := newStore(m)
	submitAll(t, s, 130)
	f := &version.Follower{Clock: clock.System{}, Meter: metric.Discard()}
	before, _ := m.Operations()
	r := &version.Reader{
		Clock:      clock.System{},
		Box:        "b1",
		Store:      s,
		Follower:   f,
		Membership: member.NewFixed("b1"),
		Upstream:   func(barleystep.BoxID) (version.Upstream, bool) { return nil, false },
		Meter:      metric.Discard(),
		Log:        &log.Logger{Level: log.PanicLevel},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- r.Serve(ctx) }()
	f.Await(130)
	cancel()
	<-done
	after, _ := m.Operations()
	c.Check(after-before <= 6, quicktest.IsTrue, quicktest.Commentf("%d reads", after-before))
}
