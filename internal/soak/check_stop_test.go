package soak_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/soak"
)

// crossing returns a call over a kept connection that was closed without an answer soon after the
// request was sent at the given time.
func crossing(id string, sent time.Duration) soak.Call {
	return modified(call(soak.KindIdempotent, sent), func(x *soak.Call) {
		unanswered(x)
		x.ID, x.Reused, x.Sent, x.Ended = id, true, at(sent), at(sent+time.Millisecond)
	})
}

// cutStream returns a stream that was sent and broke off at the given times.
func cutStream(sent, ended time.Duration) soak.Call {
	return modified(call(soak.KindPlainStream, sent), func(x *soak.Call) {
		x.Answer, x.Truncated = x.Answer[:strings.Index(x.Answer, "id: 4")], true
		x.Ended = at(ended)
	})
}

// resumable returns the stream as one that may be resumed.
func resumable(x soak.Call) soak.Call {
	return modified(x, func(x *soak.Call) { x.Kind = soak.KindResumableStream })
}

// TestCheckStop checks that the account of a planned stop, told at zero, reports each end of a request
// that is not allowed, and no other.
func TestCheckStop(t *testing.T) {
	cases := map[string]struct {
		calls   []soak.Call
		prepare func(h *soak.History)
		found   string // found is the prefix of the only violation, empty for none.
	}{
		"refused, with the close told": {calls: []soak.Call{newConnCall("r1", time.Second, false)}},
		"refused, with the close not told": {
			calls: []soak.Call{modified(newConnCall("r1", time.Second, false), func(x *soak.Call) { x.Closes = false })}, found: "told close",
		},
		"answered, with the close not told": {
			calls: []soak.Call{call(soak.KindResumableStream, time.Second)}, found: "told close",
		},
		"answered before the signal was noticed": {calls: []soak.Call{call(soak.KindResumableStream, 100*time.Millisecond)}},
		"stream cut":                             {calls: []soak.Call{cutStream(2*time.Second, 7300*time.Millisecond)}, found: "no stream cut by a stop"},
		"stream cut that began before the stop": {
			calls: []soak.Call{cutStream(-time.Second, 7300*time.Millisecond)},
		},
		"stream cut early that began before the stop": {
			calls: []soak.Call{cutStream(-time.Second, 3*time.Second)}, found: "no stream cut by a stop",
		},
		"stream cut by its target": {
			calls:   []soak.Call{cutStream(2*time.Second, 3*time.Second)},
			prepare: func(h *soak.History) { h.RecordTrouble(0, at(2*time.Second), at(4*time.Second)) },
		},
		"stream cut after a fault of its target": {
			calls:   []soak.Call{cutStream(time.Second, 7*time.Second)},
			prepare: func(h *soak.History) { h.RecordTrouble(0, at(time.Second), at(2*time.Second)) }, found: "no stream cut by a stop",
		},
		"resumable stream that no target took over after a fault of its own": {
			calls:   []soak.Call{resumable(cutStream(time.Second, 7*time.Second))},
			prepare: func(h *soak.History) { h.RecordTrouble(0, at(time.Second), at(2*time.Second)) },
		},
		"resumable stream cut after an earlier fault of its target": {
			calls:   []soak.Call{resumable(cutStream(3*time.Second, 7*time.Second))},
			prepare: func(h *soak.History) { h.RecordTrouble(0, at(time.Second), at(2*time.Second)) }, found: "no stream cut by a stop",
		},
		"stream cut during a fault of another target": {
			calls:   []soak.Call{cutStream(2*time.Second, 3*time.Second)},
			prepare: func(h *soak.History) { h.RecordTrouble(1, at(2*time.Second), at(4*time.Second)) }, found: "no stream cut by a stop",
		},
		"stream cut by a kill": {
			calls:   []soak.Call{cutStream(2*time.Second, 3*time.Second)},
			prepare: func(h *soak.History) { h.RecordKill("b0", 1, at(3*time.Second)) },
		},
		"stream cut before the stop": {calls: []soak.Call{cutStream(-2*time.Second, -time.Second)}},
		"crossed the exit": {
			calls: []soak.Call{newConnCall("r0", 2*time.Second, false), crossing("r1", 2500*time.Millisecond)},
		},
		"closed while the box serves others": {
			calls: []soak.Call{crossing("r1", 3*time.Second), newConnCall("r2", 5*time.Second, false)}, found: "open until the end",
		},
		"many crossed the exit": {
			calls: []soak.Call{
				crossing("r1", 7*time.Second), crossing("r2", 7*time.Second), crossing("r3", 7*time.Second), crossing("r4", 7*time.Second),
			}, found: "few cross the close",
		},
		"new connection closed": {
			calls: []soak.Call{modified(crossing("r1", 7*time.Second), func(x *soak.Call) { x.Reused = false })}, found: "new connections are answered",
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := soak.NewHistory(map[string]string{"k": "tenant"})
			h.RecordSlot("t0", 0)
			h.RecordSlot("t1", 1)
			h.RecordStop("b0", 1, at(0))
			for _, x := range tc.calls {
				h.RecordCall(x)
				if x.Status == http.StatusOK {
					h.RecordArrival(arrival(x, 1))
				}
			}
			if tc.prepare != nil {
				tc.prepare(h)
			}
			found := h.Check()
			if tc.found == "" {
				quicktest.Check(t, found, quicktest.HasLen, 0)
				return
			}
			quicktest.Assert(t, found, quicktest.HasLen, 1, quicktest.Commentf("%q", found))
			quicktest.Check(t, strings.HasPrefix(found[0], tc.found+":"), quicktest.IsTrue, quicktest.Commentf("%q", found))
		})
	}
}
