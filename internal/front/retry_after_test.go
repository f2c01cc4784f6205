package front_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
)

// refusingLead is a lead that refuses all prompts with the same error.
type refusingLead struct {
	err error
}

// Place refuses the prompt.
func (l refusingLead) Place(context.Context, balance.Job) (balance.Plan, error) {
	return balance.Plan{}, l.err
}

// PrefillDone does nothing.
func (refusingLead) PrefillDone(uint64) {}

// TestRetryAfterCapacity checks that a refused caller is told the time that the refusal carries with
// its jitter, at most a third of the time that it has left, and that third if there is no time.
func TestRetryAfterCapacity(t *testing.T) {
	cases := map[string]struct {
		err    error
		random float64
		limit  string
		want   time.Duration
	}{
		"no time":                    {balance.ErrFull, 0.5, "9s", 3 * time.Second},
		"time":                       {balance.NewRefused(1234 * time.Millisecond), 0, "9s", 1234 * time.Millisecond},
		"jitter":                     {balance.NewRefused(time.Second), 0.5, "9s", 1050 * time.Millisecond},
		"below the objective":        {balance.NewRefused(100 * time.Millisecond), 0, "9s", 100 * time.Millisecond},
		"over a third":               {balance.NewRefused(10 * time.Second), 0, "3300ms", time.Second},
		"over a third, with jitter":  {balance.NewRefused(10 * time.Second), 0.5, "3300ms", 1050 * time.Millisecond},
		"time over the route's time": {balance.NewRefused(time.Minute), 0, "", 20 * time.Second / 3 * 10 / 11},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixtureAt(t, clock.NewManual(time.Unix(1000, 0)), state{view: newView()})
			f.front.Balancer.Lead, f.random = refusingLead{tc.err}, tc.random
			got := f.do(t, http.MethodPost, "/giant/", "", "Prompt", "500", "Limit", tc.limit)
			c.Check(got.status, quicktest.Equals, http.StatusServiceUnavailable)
			after, err := time.ParseDuration(got.header.Get("Again"))
			c.Assert(err, quicktest.IsNil)
			c.Check(after, quicktest.Equals, tc.want)
		})
	}
}

// TestRetryAfterRest checks that a caller is not told to come back before the first target has rested
// where all of them rest, although the refusal carries an earlier time.
func TestRetryAfterRest(t *testing.T) {
	c := quicktest.New(t)
	rests := completeAnswer(503, "Not-Run: 1\r\nRest: 8s\r\n", "")
	f := newFixtureAt(t, clock.NewManual(time.Unix(1000, 0)), state{view: newView()}, rests, rests, rests, rests)
	f.targets = f.targets[len(f.targets)-1:] // The last engine alone.
	f.do(t, http.MethodPost, "/giant/", "", "Prompt", "500")
	f.front.Balancer.Lead = refusingLead{balance.NewRefused(time.Second)}
	got := f.do(t, http.MethodPost, "/giant/", "", "Prompt", "500")
	after, err := time.ParseDuration(got.header.Get("Again"))
	c.Assert(err, quicktest.IsNil)
	c.Check(after >= 8*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", after))
}
