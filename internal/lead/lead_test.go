package lead_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/lead"
	"github.com/barleystep/barleystep/internal/suspect"
)

var cost = &fleet.CostModel{
	Slots: 16, KVTokens: 450_000, Stride: 46, Step: 925 * time.Microsecond,
	PrefillRate: 256_000, PerMillionPairs: 92 * time.Microsecond, MeanPromptTokens: 13_000,
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
	return balance.Job{Service: "s", PromptTokens: prompt, OutputTokens: 100, Objective: 3 * time.Second, Cost: cost, MaxPause: pause}
}

var engines = []barleystep.TargetID{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}

// pair is a box and its lead.
type pair struct {
	clock *clock.Manual
	box   *balance.Balancer
	lead  *balance.Balancer
	// asks counts the calls for a placement.
	asks atomic.Int64
}

func newPair(t testing.TB, view func() *fleet.View, leadEngines []barleystep.TargetID) *pair {
	clk := clock.NewManual(time.Unix(1000, 0)) // A manual clock, so that calls to the lead never time out.
	p := &pair{clock: clk, box: newBalancer(clk, engines...), lead: newBalancer(clk, leadEngines...)}
	_, handler := (&lead.Server{Clock: clk, Balancer: p.lead, View: view}).Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/Place") {
			p.asks.Add(1)
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	p.box.Lead = &lead.Client{
		Clock: clk,
		HTTP:  &http.Client{Transport: &http.Transport{}},
		Addr: func() (string, bool) {
			p.box.Snapshot() // Checks for deadlocks: the gossip calls the balancer under the lock that Addr takes.
			return server.Listener.Addr().String(), true
		},
		Log: quiet,
	}
	return p
}

// TestPlace checks which prompts are placed by the lead, and that a box places them itself if the
// lead cannot or names engines that the box cannot use.
func TestPlace(t *testing.T) {
	cases := map[string]struct {
		prompt int
		view   func() *fleet.View
		lead   []barleystep.TargetID
		asks   int64
		led    bool
	}{
		"long":                       {210_000, view, engines, 1, true},
		"short":                      {1_000, view, engines, 1, false},
		"short, lead unconfigured":   {1_000, func() *fleet.View { return nil }, engines, 1, false},
		"lead without configuration": {210_000, func() *fleet.View { return nil }, engines, 1, false},
		"lead without targets":       {210_000, view, nil, 1, false},
		"lead with other targets":    {210_000, view, []barleystep.TargetID{"x", "y", "z", "u", "v", "w", "q"}, 1, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			p := newPair(t, tc.view, tc.lead)
			placed, err := p.box.Place(context.Background(), job(tc.prompt))
			c.Assert(err, quicktest.IsNil)
			c.Check(p.asks.Load(), quicktest.Equals, tc.asks)
			known := p.lead.Snapshot().Work[balance.KeyOf(string(placed.Target.ID))]
			c.Check(known.Long == 1, quicktest.Equals, tc.led)
			if tc.led {
				c.Check(p.box.Snapshot().Work, quicktest.DeepEquals, led(p.lead.Snapshot().Work))
			}
			placed.Done(balance.Report{})
			c.Check(p.box.Snapshot().Work, quicktest.HasLen, 0)
		})
	}
}

// led returns the work as reported by a box that carries out the lead's plans.
func led(work map[balance.Key]balance.Work) map[balance.Key]balance.Work {
	for key, w := range work {
		w.LeadBacklog, w.Backlog = w.Backlog, 0
		work[key] = w
	}
	return work
}

// TestClearedSuspectOfPeer guards against requests of other boxes that wait for a trial which they no
// longer need.
func TestClearedSuspectOfPeer(t *testing.T) {
	c := quicktest.New(t)
	p := newPair(t, view, engines)
	d := suspect.Request{RequestURI: "/"}.Digest()
	for _, b := range []*balance.Balancer{p.box, p.lead} {
		b.Suspects = &suspect.Registry{Clock: p.clock}
		b.Suspects.RecordEnd(d, 1, suspect.NewEnd(1, p.clock.Now(), suspect.BeforeFirstEvent|suspect.RanAlone))
	}
	trial := job(1_000)
	trial.RequestID, trial.Suspect = "first", d
	_, err := p.lead.Place(context.Background(), trial)
	c.Assert(err, quicktest.IsNil)
	waiting := trial
	waiting.RequestID = "second"
	failed := make(chan error, 1)
	go func() {
		_, err := p.box.Place(context.Background(), waiting)
		failed <- err
	}()
	for p.clock.PendingTimers() < 2 { // The call's, and that of the wait at the lead.
		runtime.Gosched()
	}
	p.clock.Advance(time.Millisecond)
	p.lead.Suspects.RecordSuccess(d, 1)
	for {
		p.lead.SetOthers(balance.NewSnapshot())
		select {
		case err := <-failed:
			c.Check(err, quicktest.ErrorIs, balance.ErrSuspectCleared)
			return
		default:
			runtime.Gosched()
		}
	}
}

// TestSeparateTargets checks that two boxes that ask one after the other get different engines to
// decode on.
func TestSeparateTargets(t *testing.T) {
	p := newPair(t, view, engines)
	other := newBalancer(p.clock, engines...)
	other.Lead = p.box.Lead
	first, err := p.box.Place(context.Background(), job(210_000))
	quicktest.Assert(t, err, quicktest.IsNil)
	p.clock.Advance(first.ExpectedTTFT())
	second, err := other.Place(context.Background(), job(210_000))
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, first.Target.ID, quicktest.Not(quicktest.Equals), second.Target.ID)
}

// TestDemandCountedOnce checks that the lead counts each long prompt as demand once, however often
// its box asks for a placement.
func TestDemandCountedOnce(t *testing.T) {
	p := newPair(t, view, engines)
	demand := func() float64 { return p.lead.Snapshot().Demands[balance.KeyOf("s")].Long }
	placed, err := p.box.Place(context.Background(), job(210_000))
	quicktest.Assert(t, err, quicktest.IsNil)
	placed.NoteFirstEvent()
	for p.lead.Snapshot().Work[balance.KeyOf(string(placed.Target.ID))].Backlog > 0 {
		runtime.Gosched() // Wait until the lead knows that the prompt was prefilled, so that the next one need not wait.
	}
	once := demand()
	quicktest.Check(t, once > 0, quicktest.IsTrue)

	asked := p.lead.Snapshot()
	p.clock.Advance(time.Second)
	again := job(210_000)
	again.Arrival = p.clock.Now().Add(-time.Second)
	_, _ = p.box.Lead.Place(context.Background(), again) // Only the effect on the demand matters.
	quicktest.Check(t, demand() < once, quicktest.IsTrue, quicktest.Commentf("%v became %v", asked.Demands, demand()))
}

// TestReadFreesEngines checks that the lead counts the engines of a placed prompt as in use, and
// gives them to the next prompt once the box has reported that the first one was prefilled.
func TestReadFreesEngines(t *testing.T) {
	c := quicktest.New(t)
	p := newPair(t, view, engines)
	placed, err := p.box.Place(context.Background(), job(210_000))
	c.Assert(err, quicktest.IsNil)
	_, w, err := p.lead.TryPlace(context.Background(), job(400_000))
	c.Assert(err, quicktest.IsNil)
	c.Assert(w, quicktest.IsNotNil)
	placed.NoteFirstEvent()
	next := <-w.Ready()
	c.Check(next, quicktest.IsNotNil)
}

// TestUnusedPlanReleased checks that the lead gives the engines to others if a box does not use its
// plan.
func TestUnusedPlanReleased(t *testing.T) {
	p := newPair(t, view, []barleystep.TargetID{"x"})
	_, err := p.box.Place(context.Background(), job(210_000))
	quicktest.Assert(t, err, quicktest.IsNil)
	_, w, err := p.lead.TryPlace(context.Background(), job(210_000))
	quicktest.Assert(t, err, quicktest.IsNil)
	if w != nil {
		<-w.Ready()
	}
}

// TestPlanNumbersUnique checks that plans of different leads have different numbers, so that a lead
// does not take a report about another lead's plan for one about its own.
func TestPlanNumbersUnique(t *testing.T) {
	manual := clock.NewManual(time.Unix(1000, 0))
	seen := make(map[uint64]bool)
	for range 5 {
		plan, err := newBalancer(manual, engines...).PlaceForPeer(context.Background(), job(210_000), manual.Now())
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, seen[plan.ID], quicktest.IsFalse)
		seen[plan.ID] = true
	}
}

// TestGrantCancelled checks that nothing is placed for a box whose call was cancelled, so that no
// engine is kept for a prompt that is never sent.
func TestGrantCancelled(t *testing.T) {
	manual := clock.NewManual(time.Unix(1000, 0))
	b := newBalancer(manual, engines...)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := b.PlaceForPeer(ctx, job(210_000), manual.Now().Add(time.Second))
	quicktest.Check(t, err, quicktest.ErrorIs, context.Canceled)
	quicktest.Check(t, b.Snapshot().Work, quicktest.HasLen, 0)
}

// TestGrantExpires checks that work placed for other boxes is dropped once they report it
// themselves, and its prefill when it is overdue.
func TestGrantExpires(t *testing.T) {
	manual := clock.NewManual(time.Unix(1000, 0))
	b := newBalancer(manual, engines...)
	plan, err := b.PlaceForPeer(context.Background(), job(210_000), manual.Now())
	quicktest.Assert(t, err, quicktest.IsNil)
	work := func() balance.Work { return b.Snapshot().Work[balance.KeyOf(string(plan.Target))] }
	quicktest.Check(t, work().Long, quicktest.Equals, 1)
	manual.Advance(300 * time.Millisecond)
	b.SetOthers(balance.NewSnapshot())
	quicktest.Check(t, work().Long, quicktest.Equals, 0)
	manual.Advance(10 * time.Second)
	b.SetOthers(balance.NewSnapshot())
	quicktest.Check(t, b.Snapshot().Work, quicktest.HasLen, 0)
}

// TestHallOfRequestingBox checks that the lead places a short prompt in the hall of the requesting
// box, not in its own.
func TestHallOfRequestingBox(t *testing.T) {
	p := newPair(t, view, engines)
	targets := func() []fleet.Target {
		var list []fleet.Target
		for i, id := range engines {
			hall := barleystep.HallID("near")
			if i%2 == 0 {
				hall = "far"
			}
			list = append(list, fleet.Target{ID: id, Service: "s", Addr: string(id) + ":1", Hall: hall, Slots: 16})
		}
		return list
	}
	p.box.Targets, p.lead.Targets = targets, targets
	p.box.Hall, p.lead.Hall = "near", "far"
	for range 10 {
		got, err := p.box.Place(context.Background(), job(1_000))
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, got.Target.Hall, quicktest.Equals, barleystep.HallID("near"))
		got.Done(balance.Report{})
	}
	quicktest.Check(t, p.asks.Load(), quicktest.Equals, int64(10))
}
