package soak_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/soak"
	"github.com/barleystep/barleystep/platform/platformtest"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// digest is that of the first run of a target.
func digest(status int) platformtest.Digest {
	return platformtest.Digest{Target: "t0", Run: 1, Status: status}
}

func answered(request, digest string) http.Header {
	h := http.Header{}
	platformtest.SetAnswerHeaders(h, request, digest)
	return h
}

// call returns a call of the kind that was served well, sent at the time.
func call(kind soak.Kind, sent time.Duration) soak.Call {
	x := soak.Call{
		ID: "r1", Kind: kind, Box: "b0", Incarnation: 1, Key: "k", Path: "/" + string(kind) + "/", Body: "ask",
		TimeLimit: 4 * time.Second, Started: at(sent), Ended: at(sent + time.Second), Status: http.StatusOK,
		Header: answered("r1", digest(http.StatusOK).String()),
	}
	x.Answer = strings.Join(platformtest.AnswerParts(x.ID, digest(http.StatusOK), x.Path, ""), "")
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
	return platformtest.Arrival{Request: x.ID, Target: "t0", Run: run, Tenant: "tenant", RequestLine: "POST " + x.Path, Body: x.Body, At: x.Started}
}

func change(x soak.Call, f func(*soak.Call)) soak.Call {
	x.Header = x.Header.Clone()
	f(&x)
	return x
}

func unanswered(x *soak.Call) { x.Status, x.Answer, x.Header = 0, "", nil }

// waited returns a call over a connection in use that was closed after the time without an
// answer.
func waited(d time.Duration) soak.Call {
	return change(call(soak.KindResumableStream, 0), func(x *soak.Call) {
		unanswered(x)
		x.Reused, x.Sent, x.Ended = true, at(time.Millisecond), at(d)
	})
}

// another returns a call of a caller over a new connection, sent at the time.
func another(id string, sent time.Duration, unsent bool) soak.Call {
	x := refused(soak.KindNonIdempotent, http.StatusServiceUnavailable)
	x.ID, x.Started, x.Ended = id, at(sent), at(sent+time.Millisecond)
	x.Header = answered(id, "")
	if x.ConnectFailed = unsent; unsent {
		unanswered(&x)
	}
	return x
}

// overwrite has another writer's entry stand in place of the target's for ten seconds.
func overwrite(h *soak.History) {
	h.RecordOverwrite("t0", at(0))
	h.RecordRestore("t0", at(10*time.Second))
}

// TestCheck checks, for each promise, that a history that breaks it is found, and that
// one that keeps it is not.
func TestCheck(t *testing.T) {
	once, again, stream := call(soak.KindNonIdempotent, 0), call(soak.KindIdempotent, 0), call(soak.KindResumableStream, 0)
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
		"refused":         {call: refused(soak.KindNonIdempotent, 503), arrivals: []platformtest.Arrival{arrival(once, 0)}},
		"refused and ran": {call: refused(soak.KindNonIdempotent, 503), arrivals: []platformtest.Arrival{arrival(once, 1)}, found: "true refusals"},
		"another's":       {call: change(once, func(x *soak.Call) { x.Header = answered("r2", digest(http.StatusOK).String()) }), found: "own answer"},
		"no digest":       {call: change(once, func(x *soak.Call) { x.Header = answered("r1", "") }), found: "own answer"},
		"under a digest":  {call: change(stream, func(x *soak.Call) { x.Status = 502 }), found: "own answer"},
		"own with a target's body": {
			call:  change(refused(soak.KindNonIdempotent, 502), func(x *soak.Call) { x.Answer = "r1 t0.1.200" }),
			found: "own answer",
		},
		"not whole":       {call: change(once, func(x *soak.Call) { x.Answer = x.Answer[:20] }), found: "whole answer"},
		"stream with gap": {call: change(stream, func(x *soak.Call) { x.Answer = x.Answer[strings.Index(x.Answer, "id: 2"):] }), found: "stream order"},
		"stream cut":      {call: change(stream, func(x *soak.Call) { x.Answer, x.Truncated = x.Answer[:strings.Index(x.Answer, "id: 4")], true })},
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
			prepare: func(h *soak.History) { h.RecordStop("b0", 1, at(0)) }, found: "no answer lost",
		},
		"killed": {
			call: change(once, unanswered), arrivals: []platformtest.Arrival{arrival(once, 1)},
			prepare: func(h *soak.History) { h.RecordKill("b0", 1, at(0)) },
		},
		"closed while it waited": {
			call: waited(5 * time.Second), prepare: func(h *soak.History) { h.RecordStop("b0", 1, at(-time.Second)) }, found: "no answer lost",
		},
		"closed while it waited, new connection": {
			call:    change(waited(5*time.Second), func(x *soak.Call) { x.Reused = false }),
			prepare: func(h *soak.History) { h.RecordStop("b0", 1, at(-time.Second)) }, found: "no answer lost",
		},
		"crossed the close": {
			call: waited(time.Second / 2), prepare: func(h *soak.History) { h.RecordStop("b0", 1, at(-time.Second)) },
		},
		"not sent whole": {
			call:    change(waited(5*time.Second), func(x *soak.Call) { x.Sent = time.Time{} }),
			prepare: func(h *soak.History) { h.RecordStop("b0", 1, at(-time.Second)) },
		},
		"killed while it waited": {
			call: waited(5 * time.Second), prepare: func(h *soak.History) {
				h.RecordStop("b0", 1, at(0))
				h.RecordKill("b0", 1, at(4*time.Second))
			},
		},
		"killed after the close": {
			call: waited(5 * time.Second), prepare: func(h *soak.History) { h.RecordKill("b0", 1, at(6*time.Second)) }, found: "no answer lost",
		},
		"killed again after the close": {
			call: waited(5 * time.Second), prepare: func(h *soak.History) {
				h.RecordKill("b0", 1, at(4*time.Second))
				h.RecordKill("b0", 1, at(6*time.Second))
			},
		},
		"stood still while it waited": {
			call: waited(5 * time.Second), prepare: func(h *soak.History) {
				h.RecordFreeze("b0", 1, at(time.Second))
				h.RecordThaw("b0", 1, at(2*time.Second))
			},
		},
		"stood still before": {
			call: waited(5 * time.Second), prepare: func(h *soak.History) {
				h.RecordFreeze("b0", 1, at(-2*time.Second))
				h.RecordThaw("b0", 1, at(-time.Second))
			}, found: "no answer lost",
		},
		"refuses in a stop": {
			call: another("r1", 0, false), prepare: func(h *soak.History) {
				h.RecordStop("b0", 1, at(time.Second))
				h.RecordCall(another("r2", 5*time.Second, true))
			},
		},
		"opened again in a stop": {
			call: another("r1", 0, false), prepare: func(h *soak.History) {
				h.RecordStop("b0", 1, at(time.Second))
				h.RecordCall(another("r2", 5*time.Second, true))
				h.RecordCall(another("r3", 6*time.Second, false))
			}, found: "closed stays closed",
		},
		"work by a foreign entry": {
			call: call(soak.KindNonIdempotent, 6*time.Second), arrivals: []platformtest.Arrival{arrival(call(soak.KindNonIdempotent, 6*time.Second), 1)},
			prepare: overwrite, found: "foreign entries",
		},
		"work by a foreign entry, in time": {
			call: call(soak.KindNonIdempotent, 4*time.Second), arrivals: []platformtest.Arrival{arrival(call(soak.KindNonIdempotent, 4*time.Second), 1)},
			prepare: overwrite,
		},
		"work after it was healed": {
			call: call(soak.KindNonIdempotent, 11*time.Second), arrivals: []platformtest.Arrival{arrival(call(soak.KindNonIdempotent, 11*time.Second), 1)},
			prepare: overwrite,
		},
		"work by a foreign entry, the store away": {
			call: call(soak.KindNonIdempotent, 6*time.Second), arrivals: []platformtest.Arrival{arrival(call(soak.KindNonIdempotent, 6*time.Second), 1)},
			prepare: func(h *soak.History) {
				overwrite(h)
				h.RecordStoreDown(at(time.Second))
				h.RecordStoreUp(at(2 * time.Second))
			},
		},
		"work by a foreign entry, the store away again": {
			call: call(soak.KindNonIdempotent, 8*time.Second), arrivals: []platformtest.Arrival{arrival(call(soak.KindNonIdempotent, 8*time.Second), 1)},
			prepare: func(h *soak.History) {
				overwrite(h)
				h.RecordStoreDown(at(6 * time.Second))
				h.RecordStoreUp(at(7 * time.Second))
			}, found: "foreign entries",
		},
		"work by a foreign entry, the store still away": {
			call: call(soak.KindNonIdempotent, 6*time.Second), arrivals: []platformtest.Arrival{arrival(call(soak.KindNonIdempotent, 6*time.Second), 1)},
			prepare: func(h *soak.History) {
				overwrite(h)
				h.RecordStoreDown(at(time.Second))
			},
		},
		"closed while it rested": {call: change(once, func(x *soak.Call) { unanswered(x); x.Reused = true })},
		"body changed": {
			call: once, arrivals: []platformtest.Arrival{arrival(change(once, func(x *soak.Call) { x.Body = "?" }), 1)}, found: "unchanged",
		},
		"never sent": {call: once, arrivals: []platformtest.Arrival{arrival(change(once, func(x *soak.Call) { x.ID = "r9" }), 1)}, found: "unchanged"},
		"key passed on": {
			call: once, arrivals: []platformtest.Arrival{func() platformtest.Arrival { a := arrival(once, 1); a.HasKey = true; return a }()}, found: "keys stay",
		},
		"another account": {
			call: once, arrivals: []platformtest.Arrival{func() platformtest.Arrival { a := arrival(once, 1); a.Tenant = "x"; return a }()}, found: "client accounts",
		},
		"key gone, in time": {
			call: call(soak.KindNonIdempotent, 4*time.Second), arrivals: []platformtest.Arrival{arrival(once, 1)},
			prepare: func(h *soak.History) { h.RecordRevocation("k", at(0)) },
		},
		"key gone": {
			call: call(soak.KindNonIdempotent, 6*time.Second), arrivals: []platformtest.Arrival{arrival(once, 1)},
			prepare: func(h *soak.History) { h.RecordRevocation("k", at(0)) }, found: "keys taken away",
		},
		"route forgotten": {
			call: once,
			prepare: func(h *soak.History) {
				late := call(soak.KindNonIdempotent, 2*time.Second)
				late.ID, late.Status, late.Answer, late.Header = "r2", http.StatusNotFound, "no\n", answered("r2", "")
				h.RecordCall(late)
			},
			found: "configuration never back",
		},
		"too many repeats": {
			call: again,
			prepare: func(h *soak.History) {
				for range 150 {
					h.RecordArrival(arrival(again, 1))
				}
			},
			found: "retry budget",
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			h := soak.NewHistory(map[string]string{"k": "tenant"})
			h.RecordCall(tc.call)
			for _, a := range tc.arrivals {
				h.RecordArrival(a)
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
	run := soak.Setup{Seed: 7, Length: length, Boxes: 3, Targets: 6, Profile: soak.ProfileUsual}
	events := soak.Schedule(run)
	c.Check(events, quicktest.DeepEquals, soak.Schedule(run))
	other := run
	other.Seed++
	c.Check(soak.Schedule(other), quicktest.Not(quicktest.DeepEquals), events)
	overlaps := 0
	for i, e := range events {
		c.Check(e.At >= 2*time.Second && e.At+e.Duration <= length-3*time.Second, quicktest.IsTrue)
		if i > 0 && events[i-1].At+events[i-1].Duration > e.At {
			overlaps++
		}
	}
	c.Check(overlaps > len(events)/2, quicktest.IsTrue)
}

// TestScheduleOfOldSeeds checks that a seed draws the faults that it drew before there were
// other sources of events, by the first, the last and the number of them.
func TestScheduleOfOldSeeds(t *testing.T) {
	c := quicktest.New(t)
	run := soak.Setup{Seed: 2, Length: 20 * time.Second, Boxes: 3, Targets: 6, Profile: soak.ProfileUsual}
	events := slices.DeleteFunc(soak.Schedule(run), func(e soak.Event) bool {
		return slices.Contains([]soak.Action{soak.ActionRestart, soak.ActionForeign, soak.ActionDeadly, soak.ActionLeave, soak.ActionRest}, e.Action)
	})
	c.Assert(events, quicktest.HasLen, 43)
	c.Check(events[0].String(), quicktest.Equals, "      2s spoil    3 for 2.822s hang 0.14")
	c.Check(events[len(events)-1].String(), quicktest.Equals, " 16.013s crash    1 for 987ms  0.00")
}

// TestScheduleOfStops checks that boxes of crowded runs are told to stop in series, beside
// what else happens.
func TestScheduleOfStops(t *testing.T) {
	c := quicktest.New(t)
	run := soak.Setup{Seed: 2, Length: time.Minute, Boxes: 5, Targets: 6, Profile: soak.ProfileUsual}
	stops := func() int {
		events := slices.DeleteFunc(soak.Schedule(run), func(e soak.Event) bool { return e.Action != soak.ActionTerm })
		return len(events)
	}
	before := stops()
	run.Profile = soak.ProfileCrowded
	c.Check(stops() > before+8, quicktest.IsTrue, quicktest.Commentf("%d stops after %d", stops(), before))
}

// TestRegressions checks that each run that has failed once tells why and can be run.
func TestRegressions(t *testing.T) {
	c := quicktest.New(t)
	list, err := soak.Regressions()
	c.Assert(err, quicktest.IsNil)
	c.Assert(len(list) > 0, quicktest.IsTrue)
	for _, r := range list {
		c.Check(r.Cause, quicktest.Not(quicktest.Equals), "")
		c.Check(new(soak.Profile).Set(string(r.Profile)), quicktest.IsNil)
		c.Check(len(soak.Schedule(r.Setup())) > 0, quicktest.IsTrue)
	}
}
