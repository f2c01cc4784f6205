package lead_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/lead"
)

// TestSilentLead checks that after a question in vain a box places its short prompts
// itself for a while, as they have no time for a second one, and asks again then; long
// prompts are asked for each time.
func TestSilentLead(t *testing.T) {
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
