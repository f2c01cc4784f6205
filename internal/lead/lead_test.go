package lead_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/lead"
)

var cost = &fleet.CostModel{
	Slots: 16, Memory: 450_000, Stride: 46, Step: 925 * time.Microsecond,
	ReadRate: 256_000, PerPairs: 92 * time.Microsecond, UsualPrompt: 13_000,
}

const pause = 200 * time.Millisecond

func view() *fleet.View {
	return fleet.NewView(fleet.Configuration{
		Version:  1,
		Services: []fleet.Service{{Name: "s", Cost: cost}},
		Routes: []fleet.Route{{
			Host: "h", Prefix: "/", Kind: fleet.KindStream, MaxPause: pause,
			Split: []fleet.Share{{Service: "s", Weight: 1}},
		}},
	})
}

var quiet = &log.Logger{Level: log.PanicLevel}

func newBalancer(clk barleystep.Clock, engines ...barleystep.TargetID) *balance.Balancer {
	var targets []fleet.Target
	for _, id := range engines {
		targets = append(targets, fleet.Target{ID: id, Service: "s", Addr: string(id) + ":1", Slots: 16})
	}
	return &balance.Balancer{Clock: clk, Targets: func() []fleet.Target { return targets }}
}

func job(prompt int) balance.Job {
	return balance.Job{Service: "s", Prompt: prompt, Output: 100, Objective: 3 * time.Second, Cost: cost, Tightest: pause}
}

var engines = []barleystep.TargetID{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}

// pair is a box and the lead that it asks.
type pair struct {
	box  *balance.Balancer
	lead *balance.Balancer
	asks int
}

func newPair(t *testing.T, view func() *fleet.View, leadEngines []barleystep.TargetID) *pair {
	p := &pair{box: newBalancer(clock.System{}, engines...), lead: newBalancer(clock.System{}, leadEngines...)}
	_, handler := (&lead.Server{Balancer: p.lead, View: view}).Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.asks++
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	p.box.Lead = &lead.Client{
		Clock: clock.NewManual(time.Unix(1000, 0)), // The lead is given all the time it needs.
		HTTP:  &http.Client{Transport: &http.Transport{}},
		Addr:  func() (string, bool) { return server.Listener.Addr().String(), true },
		Log:   quiet,
	}
	return p
}

// TestPlace checks which prompts are placed by the lead, and that a box places
// them itself where the lead cannot, or names engines that the box does not take
// for usable.
func TestPlace(t *testing.T) {
	cases := map[string]struct {
		prompt int
		view   func() *fleet.View
		lead   []barleystep.TargetID
		asks   int
		led    bool
	}{
		"long":                         {210_000, view, engines, 1, true},
		"short":                        {1_000, view, engines, 0, false},
		"lead without configuration":   {210_000, func() *fleet.View { return nil }, engines, 1, false},
		"lead without targets":         {210_000, view, nil, 1, false},
		"lead with targets of its own": {210_000, view, []barleystep.TargetID{"x", "y", "z", "u", "v", "w", "q"}, 1, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			p := newPair(t, tc.view, tc.lead)
			placed, err := p.box.Place(context.Background(), job(tc.prompt))
			c.Assert(err, quicktest.IsNil)
			c.Check(p.asks, quicktest.Equals, tc.asks)
			known := p.lead.Snapshot().Work[balance.KeyOf(string(placed.Target.ID))]
			c.Check(known.Heavy == 1, quicktest.Equals, tc.led)
			if tc.led {
				c.Check(p.box.Snapshot().Work, quicktest.DeepEquals, p.lead.Snapshot().Work)
			}
			placed.Done(balance.Report{})
			c.Check(p.box.Snapshot().Work, quicktest.HasLen, 0)
		})
	}
}

// TestApart checks that two boxes that ask at once get engines of their own to
// write at.
func TestApart(t *testing.T) {
	p := newPair(t, view, engines)
	other := newBalancer(clock.System{}, engines...)
	other.Lead = p.box.Lead
	first, err := p.box.Place(context.Background(), job(210_000))
	quicktest.Assert(t, err, quicktest.IsNil)
	second, err := other.Place(context.Background(), job(210_000))
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, first.Target.ID, quicktest.Not(quicktest.Equals), second.Target.ID)
}

// TestGrantEnds checks that what was placed for others is forgotten once they
// tell of it themselves.
func TestGrantEnds(t *testing.T) {
	manual := clock.NewManual(time.Unix(1000, 0))
	b := newBalancer(manual, engines...)
	_, err := b.Grant(job(210_000))
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, len(b.Snapshot().Work) > 0, quicktest.IsTrue)
	manual.Advance(time.Second)
	b.SetOthers(balance.NewSnapshot())
	quicktest.Check(t, b.Snapshot().Work, quicktest.HasLen, 0)
}
