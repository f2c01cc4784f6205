package soak_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/soak"
	"github.com/barleystep/barleystep/platform/platformtest"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// seal is that of the first run of a target.
func seal(status int) platformtest.Seal {
	return platformtest.Seal{Target: "t0", Run: 1, Status: status}
}

func answered(request, seal string) http.Header {
	h := http.Header{}
	platformtest.SetAnswer(h, request, seal)
	return h
}

// call returns a call of the kind that was served well, sent at the time.
func call(kind soak.Kind, sent time.Duration) soak.Call {
	x := soak.Call{
		ID: "r1", Kind: kind, Box: "b0", Life: 1, Key: "k", Path: "/" + string(kind) + "/", Body: "ask",
		Started: at(sent), Ended: at(sent + time.Second), Status: http.StatusOK,
		Header: answered("r1", seal(http.StatusOK).String()),
	}
	x.Answer = strings.Join(platformtest.Parts(x.ID, seal(http.StatusOK), x.Path, ""), "")
	return x
}

// refused returns a call that the box itself answered.
func refused(kind soak.Kind, status int) soak.Call {
	x := call(kind, 0)
	x.Status, x.Answer = status, "no\n"
	x.Header = answered("r1", "")
	return x
}

// arrival is what reached a target of such a call.
func arrival(x soak.Call, run int) platformtest.Arrival {
	return platformtest.Arrival{Request: x.ID, Target: "t0", Run: run, Tenant: "tenant", Line: "POST " + x.Path, Body: x.Body, At: x.Started}
}

func change(x soak.Call, f func(*soak.Call)) soak.Call {
	x.Header = x.Header.Clone()
	f(&x)
	return x
}

func unanswered(x *soak.Call) { x.Status, x.Answer, x.Header = 0, "", nil }

// TestCheck checks, for each promise, that a history that breaks it is found, and that
// one that keeps it is not.
func TestCheck(t *testing.T) {
	once, again, stream := call(soak.KindOnce, 0), call(soak.KindAgain, 0), call(soak.KindStream, 0)
	cases := map[string]struct {
		call     soak.Call
		arrivals []platformtest.Arrival
		prepare  func(h *soak.History)
		found    string // found is how the one finding begins, empty for none.
	}{
		"served":          {call: once, arrivals: []platformtest.Arrival{arrival(once, 1)}},
		"stream":          {call: stream, arrivals: []platformtest.Arrival{arrival(stream, 1), arrival(stream, 2)}},
		"repeated":        {call: again, arrivals: []platformtest.Arrival{arrival(again, 1), arrival(again, 2)}},
		"ran twice":       {call: once, arrivals: []platformtest.Arrival{arrival(once, 1), arrival(once, 2)}, found: "at most once"},
		"refused":         {call: refused(soak.KindOnce, 503), arrivals: []platformtest.Arrival{arrival(once, 0)}},
		"refused and ran": {call: refused(soak.KindOnce, 503), arrivals: []platformtest.Arrival{arrival(once, 1)}, found: "true refusals"},
		"another's":       {call: change(once, func(x *soak.Call) { x.Header = answered("r2", seal(http.StatusOK).String()) }), found: "own answer"},
		"no digest":       {call: change(once, func(x *soak.Call) { x.Header = answered("r1", "") }), found: "own answer"},
		"under a digest":  {call: change(stream, func(x *soak.Call) { x.Status = 502 }), found: "own answer"},
		"own with a target's body": {
			call:  change(refused(soak.KindOnce, 502), func(x *soak.Call) { x.Answer = "r1 t0.1.200" }),
			found: "own answer",
		},
		"not whole":       {call: change(once, func(x *soak.Call) { x.Answer = x.Answer[:20] }), found: "whole answer"},
		"stream with gap": {call: change(stream, func(x *soak.Call) { x.Answer = x.Answer[strings.Index(x.Answer, "id: 2"):] }), found: "stream order"},
		"stream cut":      {call: change(stream, func(x *soak.Call) { x.Answer, x.Broken = x.Answer[:strings.Index(x.Answer, "id: 4")], true })},
		"stream cut and looks whole": {
			call:  change(stream, func(x *soak.Call) { x.Answer = x.Answer[:strings.Index(x.Answer, "id: 4")] }),
			found: "stream order",
		},
		"never answered": {call: change(once, func(x *soak.Call) { x.Ended = at(time.Minute) }), found: "time limit"},
		"closed after it was passed on": {
			call: change(once, unanswered), arrivals: []platformtest.Arrival{arrival(once, 1)}, found: "no answer lost",
		},
		"closed by a planned stop": {
			call: change(once, unanswered), arrivals: []platformtest.Arrival{arrival(once, 1)},
			prepare: func(h *soak.History) { h.Stopping("b0", 1, at(0)) }, found: "no answer lost",
		},
		"killed": {
			call: change(once, unanswered), arrivals: []platformtest.Arrival{arrival(once, 1)},
			prepare: func(h *soak.History) { h.Killed("b0", 1, at(0)) },
		},
		"closed while it rested": {call: change(once, func(x *soak.Call) { unanswered(x); x.Reused = true })},
		"body changed": {
			call: once, arrivals: []platformtest.Arrival{arrival(change(once, func(x *soak.Call) { x.Body = "?" }), 1)}, found: "unchanged",
		},
		"never sent": {call: once, arrivals: []platformtest.Arrival{arrival(change(once, func(x *soak.Call) { x.ID = "r9" }), 1)}, found: "unchanged"},
		"key passed on": {
			call: once, arrivals: []platformtest.Arrival{func() platformtest.Arrival { a := arrival(once, 1); a.Key = true; return a }()}, found: "keys stay",
		},
		"another account": {
			call: once, arrivals: []platformtest.Arrival{func() platformtest.Arrival { a := arrival(once, 1); a.Tenant = "x"; return a }()}, found: "client accounts",
		},
		"key gone, in time": {
			call: call(soak.KindOnce, 4*time.Second), arrivals: []platformtest.Arrival{arrival(once, 1)},
			prepare: func(h *soak.History) { h.Revoked("k", at(0)) },
		},
		"key gone": {
			call: call(soak.KindOnce, 6*time.Second), arrivals: []platformtest.Arrival{arrival(once, 1)},
			prepare: func(h *soak.History) { h.Revoked("k", at(0)) }, found: "keys taken away",
		},
		"route forgotten": {
			call: once,
			prepare: func(h *soak.History) {
				late := call(soak.KindOnce, 2*time.Second)
				late.ID, late.Status, late.Answer, late.Header = "r2", http.StatusNotFound, "no\n", answered("r2", "")
				h.Called(late)
			},
			found: "configuration never back",
		},
		"too many repeats": {
			call: again,
			prepare: func(h *soak.History) {
				for range 150 {
					h.Arrived(arrival(again, 1))
				}
			},
			found: "retry budget",
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			h := soak.NewHistory(map[string]string{"k": "tenant"})
			h.Called(tc.call)
			for _, a := range tc.arrivals {
				h.Arrived(a)
			}
			if tc.prepare != nil {
				tc.prepare(h)
			}
			found := h.Check()
			if tc.found == "" {
				c.Assert(found, quicktest.HasLen, 0)
				return
			}
			c.Assert(found, quicktest.HasLen, 1)
			c.Check(strings.HasPrefix(found[0], tc.found), quicktest.IsTrue, quicktest.Commentf("%s", found[0]))
		})
	}
}

// TestSchedule checks that a seed gives one schedule, free of faults at both ends, with
// faults that overlap.
func TestSchedule(t *testing.T) {
	c := quicktest.New(t)
	const length = time.Minute
	events := soak.Schedule(7, length, 3, 9)
	c.Check(events, quicktest.DeepEquals, soak.Schedule(7, length, 3, 9))
	c.Check(soak.Schedule(8, length, 3, 9), quicktest.Not(quicktest.DeepEquals), events)
	overlaps := 0
	for i, e := range events {
		c.Check(e.At >= 2*time.Second && e.At+e.For <= length-3*time.Second, quicktest.IsTrue)
		if i > 0 && events[i-1].At+events[i-1].For > e.At {
			overlaps++
		}
	}
	c.Check(overlaps > len(events)/2, quicktest.IsTrue)
}
