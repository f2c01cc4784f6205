package lead_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/lead"
)

// TestShortPromptsBypassFailedLead checks that after a failed call a box places its short prompts
// itself for a while, since they have no time for another call, and then asks again. For long
// prompts it asks every time.
func TestShortPromptsBypassFailedLead(t *testing.T) {
	c := quicktest.New(t)
	var asks atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asks.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	clk := clock.NewManual(time.Unix(1000, 0))
	box := newBalancer(clk, engines...)
	box.Lead = &lead.Client{
		Clock: clk, HTTP: server.Client(), Log: quiet,
		Addr: func() (string, bool) { return server.Listener.Addr().String(), true },
	}
	steps := []struct {
		pass   time.Duration
		prompt int
		asks   int64
	}{
		{0, 1_000, 1},
		{0, 1_000, 1},
		{0, 210_000, 2},
		{600 * time.Millisecond, 1_000, 2},
		{200 * time.Millisecond, 1_000, 3},
	}
	for _, s := range steps {
		clk.Advance(s.pass)
		p, err := box.Place(context.Background(), job(s.prompt))
		c.Assert(err, quicktest.IsNil)
		p.Done(balance.Report{})
		c.Check(asks.Load(), quicktest.Equals, s.asks)
	}
}

// TestSilentLeadTimeout checks how long a box waits for a lead that does not answer. A short
// prompt, whose engine takes 120 ms, can still meet an objective of 300 ms; a long one may wait for
// its engines at the lead.
func TestSilentLeadTimeout(t *testing.T) {
	cases := map[string]struct {
		prompt int
		most   time.Duration
	}{
		"short": {1_000, 120 * time.Millisecond},
		"long":  {210_000, 310 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			box, clk, _ := newBoxWithSilentLead(t)
			began := clk.Now()
			placed := make(chan error, 1)
			go func() {
				_, err := box.Place(context.Background(), job(tc.prompt))
				placed <- err
			}()
			for clk.PendingTimers() == 0 {
				runtime.Gosched()
			}
			clk.Advance(tc.most)
			c.Check(<-placed, quicktest.IsNil)
			c.Check(clk.Now().Sub(began), quicktest.Equals, tc.most)
		})
	}
}

// TestCallerGoneKeepsLead checks that a caller that disconnects during a call to the lead does not
// count as a failure of the lead: the box asks it for the next short prompt.
func TestCallerGoneKeepsLead(t *testing.T) {
	c := quicktest.New(t)
	box, clk, asks := newBoxWithSilentLead(t)
	ask := func(ctx context.Context) chan error {
		placed := make(chan error, 1)
		go func() {
			_, err := box.Place(ctx, job(1_000))
			placed <- err
		}()
		return placed
	}
	ctx, cancel := context.WithCancel(context.Background())
	first := ask(ctx)
	for asks.Load() < 1 {
		runtime.Gosched()
	}
	cancel()
	<-first
	second := ask(context.Background())
	for asks.Load() < 2 && len(second) == 0 {
		runtime.Gosched()
	}
	for len(second) == 0 {
		clk.Advance(100 * time.Millisecond)
		runtime.Gosched()
	}
	c.Check(<-second, quicktest.IsNil)
	c.Check(asks.Load(), quicktest.Equals, int64(2))
}

// newBoxWithSilentLead returns a box whose lead accepts calls and never answers.
func newBoxWithSilentLead(t *testing.T) (box *balance.Balancer, clk *clock.Manual, asks *atomic.Int64) {
	asks = &atomic.Int64{}
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		asks.Add(1)
		<-release
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(release) })
	clk = clock.NewManual(time.Unix(1000, 0))
	box = newBalancer(clk, engines...)
	box.Lead = &lead.Client{
		Clock: clk, HTTP: server.Client(), Log: quiet,
		Addr: func() (string, bool) { return server.Listener.Addr().String(), true },
	}
	return box, clk, asks
}
