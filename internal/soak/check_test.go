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

// digest returns the digest of the first execution at target t0.
func digest(status int) platformtest.Digest {
	return platformtest.Digest{Target: "t0", Run: 1, Status: status}
}

func answered(request, digest string) http.Header {
	h := http.Header{}
	platformtest.SetAnswerHeaders(h, request, digest)
	return h
}

// call returns a call of the kind, sent at the given time and answered completely.
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

// arrival returns the record of such a call at a target.
func arrival(x soak.Call, run int) platformtest.Arrival {
	return platformtest.Arrival{Request: x.ID, Target: "t0", Run: run, Tenant: "tenant", RequestLine: "POST " + x.Path, Body: x.Body, At: x.Started}
}

func modified(x soak.Call, f func(*soak.Call)) soak.Call {
	x.Header = x.Header.Clone()
	f(&x)
	return x
}

func unanswered(x *soak.Call) { x.Status, x.Answer, x.Header = 0, "", nil }

// waited returns a call over a reused connection that was closed after the given time without an
// answer.
func waited(d time.Duration) soak.Call {
	return modified(call(soak.KindResumableStream, 0), func(x *soak.Call) {
		unanswered(x)
		x.Reused, x.Sent, x.Ended = true, at(time.Millisecond), at(d)
	})
}

// newConnCall returns a call over a new connection, sent at the given time. If unsent is set no
// connection was established.
func newConnCall(id string, sent time.Duration, unsent bool) soak.Call {
	x := refused(soak.KindNonIdempotent, http.StatusServiceUnavailable)
	x.ID, x.Started, x.Ended = id, at(sent), at(sent+time.Millisecond)
	x.Closes = true
	x.Header = answered(id, "")
	if x.ConnectFailed = unsent; unsent {
		unanswered(&x)
	}
	return x
}

// overwriteRecord makes another writer's record replace that of the target for ten seconds.
func overwriteRecord(h *soak.History) {
	h.RecordOverwrite("t0", at(0))
	h.RecordRestore("t0", at(10*time.Second))
}

// TestCheck checks for each guarantee that a history that violates it is reported and one that
// keeps it is not.
func TestCheck(t *testing.T) {
	once, again, stream := call(soak.KindNonIdempotent, 0), call(soak.KindIdempotent, 0), call(soak.KindResumableStream, 0)
	cases := map[string]struct {
		call     soak.Call
		arrivals []platformtest.Arrival
		prepare  func(h *soak.History)
		found    string // found is the prefix of the only violation, empty for none.
	}{
		"served":                         {call: once, arrivals: []platformtest.Arrival{arrival(once, 1)}},
		"stream":                         {call: stream, arrivals: []platformtest.Arrival{arrival(stream, 1), arrival(stream, 2)}},
		"repeated":                       {call: again, arrivals: []platformtest.Arrival{arrival(again, 1), arrival(again, 2)}},
		"executed twice":                 {call: once, arrivals: []platformtest.Arrival{arrival(once, 1), arrival(once, 2)}, found: "at most once"},
		"refused":                        {call: refused(soak.KindNonIdempotent, 503), arrivals: []platformtest.Arrival{arrival(once, 0)}},
		"refused and executed":           {call: refused(soak.KindNonIdempotent, 503), arrivals: []platformtest.Arrival{arrival(once, 1)}, found: "true refusals"},
		"answer to another request":      {call: modified(once, func(x *soak.Call) { x.Header = answered("r2", digest(http.StatusOK).String()) }), found: "own answer"},
		"no digest":                      {call: modified(once, func(x *soak.Call) { x.Header = answered("r1", "") }), found: "own answer"},
		"status differs from the digest": {call: modified(stream, func(x *soak.Call) { x.Status = 502 }), found: "own answer"},
		"own answer with a target's body": {
			call:  modified(refused(soak.KindNonIdempotent, 502), func(x *soak.Call) { x.Answer = "r1 t0.1.200" }),
			found: "own answer",
		},
		"incomplete":       {call: modified(once, func(x *soak.Call) { x.Answer = x.Answer[:20] }), found: "whole answer"},
		"stream with gap":  {call: modified(stream, func(x *soak.Call) { x.Answer = x.Answer[strings.Index(x.Answer, "id: 2"):] }), found: "stream order"},
		"stream truncated": {call: modified(stream, func(x *soak.Call) { x.Answer, x.Truncated = x.Answer[:strings.Index(x.Answer, "id: 4")], true })},
		"stream truncated but looks complete": {
			call:  modified(stream, func(x *soak.Call) { x.Answer = x.Answer[:strings.Index(x.Answer, "id: 4")] }),
			found: "stream order",
		},
		"stream truncated inside an event": {call: modified(stream, func(x *soak.Call) { x.Answer, x.Truncated = x.Answer[:strings.Index(x.Answer, "a: r1")], true })},
		"stream repeats an event":          {call: modified(stream, func(x *soak.Call) { x.Answer = x.Answer[:strings.Index(x.Answer, "id: 2")] + x.Answer }), found: "stream order"},
		"stream with its answer again":     {call: modified(stream, func(x *soak.Call) { x.Answer += "HTTP/1.1 200 X\r\n\r\n" + x.Answer }), found: "stream order"},
		"stream with events of another request": {
			call:  modified(stream, func(x *soak.Call) { x.Answer += "id: 9\ndata: other t0.1.200\n\n" }),
			found: "stream order",
		},
		"stream with more events": {
			call:  modified(stream, func(x *soak.Call) { x.Answer, x.Truncated = x.Answer+"id: 9\ndata: r1 t0.1.200\n\n", true }),
			found: "stream order",
		},
		"stream with bytes inside an event": {
			call:  modified(stream, func(x *soak.Call) { x.Answer = strings.TrimSuffix(x.Answer, "\n") + "noise\n\n" }),
			found: "stream order",
		},
		"stream with bytes behind it": {call: modified(stream, func(x *soak.Call) { x.Answer += "noise" }), found: "stream order"},
		"truncated stream with bytes that are no event": {
			call:  modified(stream, func(x *soak.Call) { x.Answer, x.Truncated = x.Answer[:strings.Index(x.Answer, "id: 4")]+"noise", true }),
			found: "stream order",
		},
		"stream out of order until the time limit": {
			call: modified(stream, func(x *soak.Call) {
				x.Answer, x.Truncated, x.TimedOut = x.Answer[strings.Index(x.Answer, "id: 2"):], true, true
			}),
			found: "stream order",
		},
		"never answered": {call: modified(once, func(x *soak.Call) { x.Ended = at(time.Minute) }), found: "time limit"},
		"closed after it was forwarded": {
			call: modified(once, unanswered), arrivals: []platformtest.Arrival{arrival(once, 1)}, found: "no answer lost",
		},
		"closed by a planned stop": {
			call: modified(once, unanswered), arrivals: []platformtest.Arrival{arrival(once, 1)},
			prepare: func(h *soak.History) { h.RecordStop("b0", 1, at(0)) }, found: "no answer lost",
		},
		"killed": {
			call: modified(once, unanswered), arrivals: []platformtest.Arrival{arrival(once, 1)},
			prepare: func(h *soak.History) { h.RecordKill("b0", 1, at(0)) },
		},
		"closed while waiting": {
			call: waited(5 * time.Second), prepare: func(h *soak.History) { h.RecordStop("b0", 1, at(-time.Second)) }, found: "no answer lost",
		},
		"closed while waiting, new connection": {
			call:    modified(waited(5*time.Second), func(x *soak.Call) { x.Reused = false }),
			prepare: func(h *soak.History) { h.RecordStop("b0", 1, at(-time.Second)) }, found: "no answer lost",
		},
		"crossed the close": {
			call: waited(time.Second / 2), prepare: func(h *soak.History) { h.RecordStop("b0", 1, at(-time.Second)) },
		},
		"sent incompletely": {
			call:    modified(waited(5*time.Second), func(x *soak.Call) { x.Sent = time.Time{} }),
			prepare: func(h *soak.History) { h.RecordStop("b0", 1, at(-time.Second)) },
		},
		"killed while waiting": {
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
		"frozen while waiting": {
			call: waited(5 * time.Second), prepare: func(h *soak.History) {
				h.RecordFreeze("b0", 1, at(time.Second))
				h.RecordThaw("b0", 1, at(2*time.Second))
			},
		},
		"frozen before": {
			call: waited(5 * time.Second), prepare: func(h *soak.History) {
				h.RecordFreeze("b0", 1, at(-2*time.Second))
				h.RecordThaw("b0", 1, at(-time.Second))
			}, found: "no answer lost",
		},
		"refuses while stopping": {
			call: newConnCall("r1", 0, false), prepare: func(h *soak.History) {
				h.RecordStop("b0", 1, at(time.Second))
				h.RecordCall(newConnCall("r2", 5*time.Second, true))
			},
		},
		"reopened while stopping": {
			call: newConnCall("r1", 0, false), prepare: func(h *soak.History) {
				h.RecordStop("b0", 1, at(time.Second))
				h.RecordCall(newConnCall("r2", 5*time.Second, true))
				h.RecordCall(newConnCall("r3", 6*time.Second, false))
			}, found: "closed stays closed",
		},
		"request after an overwritten record": {
			call: call(soak.KindNonIdempotent, 6*time.Second), arrivals: []platformtest.Arrival{arrival(call(soak.KindNonIdempotent, 6*time.Second), 1)},
			prepare: overwriteRecord, found: "foreign entries",
		},
		"request after an overwritten record, in time": {
			call: call(soak.KindNonIdempotent, 4*time.Second), arrivals: []platformtest.Arrival{arrival(call(soak.KindNonIdempotent, 4*time.Second), 1)},
			prepare: overwriteRecord,
		},
		"request after the record was restored": {
			call: call(soak.KindNonIdempotent, 11*time.Second), arrivals: []platformtest.Arrival{arrival(call(soak.KindNonIdempotent, 11*time.Second), 1)},
			prepare: overwriteRecord,
		},
		"request after an overwritten record, store down": {
			call: call(soak.KindNonIdempotent, 6*time.Second), arrivals: []platformtest.Arrival{arrival(call(soak.KindNonIdempotent, 6*time.Second), 1)},
			prepare: func(h *soak.History) {
				overwriteRecord(h)
				h.RecordStoreDown(at(time.Second))
				h.RecordStoreUp(at(2 * time.Second))
			},
		},
		"request after an overwritten record, store down again": {
			call: call(soak.KindNonIdempotent, 8*time.Second), arrivals: []platformtest.Arrival{arrival(call(soak.KindNonIdempotent, 8*time.Second), 1)},
			prepare: func(h *soak.History) {
				overwriteRecord(h)
				h.RecordStoreDown(at(6 * time.Second))
				h.RecordStoreUp(at(7 * time.Second))
			}, found: "foreign entries",
		},
		"request after an overwritten record, store still down": {
			call: call(soak.KindNonIdempotent, 6*time.Second), arrivals: []platformtest.Arrival{arrival(call(soak.KindNonIdempotent, 6*time.Second), 1)},
			prepare: func(h *soak.History) {
				overwriteRecord(h)
				h.RecordStoreDown(at(time.Second))
			},
		},
		"closed while idle": {call: modified(once, func(x *soak.Call) { unanswered(x); x.Reused = true })},
		"body changed": {
			call: once, arrivals: []platformtest.Arrival{arrival(modified(once, func(x *soak.Call) { x.Body = "?" }), 1)}, found: "unchanged",
		},
		"never sent": {call: once, arrivals: []platformtest.Arrival{arrival(modified(once, func(x *soak.Call) { x.ID = "r9" }), 1)}, found: "unchanged"},
		"key forwarded": {
			call: once, arrivals: []platformtest.Arrival{func() platformtest.Arrival { a := arrival(once, 1); a.HasKey = true; return a }()}, found: "keys stay",
		},
		"another account": {
			call: once, arrivals: []platformtest.Arrival{func() platformtest.Arrival { a := arrival(once, 1); a.Tenant = "x"; return a }()}, found: "client accounts",
		},
		"key revoked, in time": {
			call: call(soak.KindNonIdempotent, 4*time.Second), arrivals: []platformtest.Arrival{arrival(once, 1)},
			prepare: func(h *soak.History) { h.RecordRevocation("k", at(0)) },
		},
		"key revoked": {
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
		"too many retries": {
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

// TestSchedule checks that a seed determines the schedule, that both ends of it are free of faults
// and that faults overlap.
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

// TestScheduleOfOldSeeds checks that a seed still draws the same faults as before other event
// sources existed, by the first, the last and the number of them.
func TestScheduleOfOldSeeds(t *testing.T) {
	c := quicktest.New(t)
	run := soak.Setup{Seed: 2, Length: 20 * time.Second, Boxes: 3, Targets: 6, Profile: soak.ProfileUsual}
	events := slices.DeleteFunc(soak.Schedule(run), func(e soak.Event) bool {
		return slices.Contains([]soak.Action{soak.ActionRestart, soak.ActionForeign, soak.ActionDeadly, soak.ActionLeave, soak.ActionRest, soak.ActionSlowdown, soak.ActionKillLong, soak.ActionEvacuate, soak.ActionCold, soak.ActionCut, soak.ActionDeadlyPart, soak.ActionCrowd, soak.ActionMute, soak.ActionUnframed, soak.ActionVanish, soak.ActionExcess}, e.Action)
	})
	c.Assert(events, quicktest.HasLen, 43)
	c.Check(events[0].String(), quicktest.Equals, "      2s spoil    3 for 2.822s hang 0.14")
	c.Check(events[len(events)-1].String(), quicktest.Equals, " 16.013s crash    1 for 987ms  0.00")
}

// TestScheduleOfStops checks that in crowded runs boxes are told to stop in series, in addition to
// the other events.
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

// TestRegressions checks that each stored failing run has a cause and can be run.
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
