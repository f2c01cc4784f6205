package claim_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/barleystep/barleystep/internal/claim"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes every run draw the same events.
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.checks", "3000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// model simulates the table and the claimers of one key.
type model struct {
	row       claim.Row
	version   int64
	staleRows []claim.Row // staleRows are the earlier rows that stale reads may return.
	delayed   []delayedWrite
	claimers  []*claimer
	sends     int
	now       time.Time
}

// delayedWrite is a write whose answer was lost and that has not taken effect yet.
type delayedWrite struct {
	base int64
	row  claim.Row
}

type claimer struct {
	machine claim.Machine
	action  claim.Action
	crashed bool
	sent    bool
}

const (
	digest = "d"
	grace  = time.Second
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func (w *model) commit(base int64, r claim.Row) bool {
	if w.row.Version() != base {
		return false
	}
	w.staleRows = append(w.staleRows, w.row)
	w.version++
	w.row = r.WithVersion(w.version)
	return true
}

// write returns the row that an action writes.
func (c *claimer) write(now time.Time) claim.Row {
	r := claim.Row{State: claim.StateHeld, Nonce: c.machine.Nonce, Digest: digest, Deadline: now.Add(time.Minute)}
	if c.action == claim.ActionExclude {
		r.State = claim.StateNotRun
	}
	return r
}

func (w *model) perform(t *rapid.T, c *claimer) claim.Input {
	if c.action == claim.ActionRead {
		return w.read(t)
	}
	r := c.write(w.now)
	switch rapid.SampledFrom([]string{"answered", "unavailable", "answer lost", "late"}).Draw(t, "write") {
	case "unavailable":
		return claim.Input{Event: claim.EventUnavailable}
	case "answer lost":
		w.commit(c.machine.BaseVersion, r)
		return claim.Input{Event: claim.EventUnknownEffect}
	case "late":
		w.delayed = append(w.delayed, delayedWrite{c.machine.BaseVersion, r})
		return claim.Input{Event: claim.EventUnknownEffect}
	}
	if w.commit(c.machine.BaseVersion, r) {
		return claim.Input{Event: claim.EventWritten}
	}
	return claim.Input{Event: claim.EventConflict}
}

func (w *model) read(t *rapid.T) claim.Input {
	if rapid.IntRange(0, 4).Draw(t, "read fails") == 0 {
		return claim.Input{Event: claim.EventUnavailable}
	}
	r := w.row
	if len(w.staleRows) > 0 && rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		r = rapid.SampledFrom(w.staleRows).Draw(t, "past")
	}
	return claim.Input{Event: claim.EventRow, Row: r, Now: w.now}
}

// stepClaimer makes a claimer take its next step.
func (w *model) stepClaimer(t *rapid.T, c *claimer) {
	switch {
	case c.crashed:
	case c.action != claim.ActionNone && rapid.IntRange(0, 9).Draw(t, "deadline") == 0:
		c.machine, c.action = claim.Step(c.machine, claim.Input{Event: claim.EventDeadline})
	case c.action != claim.ActionNone:
		c.machine, c.action = claim.Step(c.machine, w.perform(t, c))
	case c.machine.Verdict == claim.VerdictSend && !c.sent:
		w.send(t, c)
	}
}

// send either sends the request, or finds that no target accepts it and releases
// the claim.
func (w *model) send(t *rapid.T, c *claimer) {
	c.sent = true
	held := w.row.Nonce == c.machine.Nonce && w.row.State == claim.StateHeld
	if rapid.Bool().Draw(t, "refused by the target") {
		if held {
			w.commit(w.row.Version(), claim.Row{State: claim.StateNotRun, Nonce: c.machine.Nonce, Digest: digest})
		}
		return
	}
	w.sends++
	if held && rapid.Bool().Draw(t, "finished") {
		w.commit(w.row.Version(), claim.Row{State: claim.StateDone, Nonce: c.machine.Nonce, Digest: digest})
	}
}

// TestStepRunsAtMostOnce guards against two executions of one request. It runs
// claims of one key under random lost and delayed writes, stale reads, crashes and
// retries at other boxes.
func TestStepRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &model{now: start}
		steps := rapid.IntRange(5, 60).Draw(t, "steps")
		for range steps {
			w.randomEvent(t)
			if w.sends > 1 {
				t.Fatalf("the request was sent %d times", w.sends)
			}
			w.checkVerdicts(t)
		}
	})
}

func (w *model) randomEvent(t *rapid.T) {
	switch pick := rapid.IntRange(0, 9).Draw(t, "event"); {
	case pick == 0 || len(w.claimers) == 0:
		nonce := string(rune('a' + len(w.claimers)))
		m, a := claim.Start(nonce, digest, grace)
		w.claimers = append(w.claimers, &claimer{machine: m, action: a})
	case pick == 1:
		rapid.SampledFrom(w.claimers).Draw(t, "crash").crashed = true
	case pick == 2 && len(w.delayed) > 0:
		i := rapid.IntRange(0, len(w.delayed)-1).Draw(t, "late")
		w.commit(w.delayed[i].base, w.delayed[i].row)
		w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
	case pick == 3:
		w.now = w.now.Add(20 * time.Second)
	default:
		w.stepClaimer(t, rapid.SampledFrom(w.claimers).Draw(t, "claimer"))
	}
}

// checkVerdicts checks that at most one claim holds the right to send, and that no
// claim is told of a stored answer before the request was sent.
func (w *model) checkVerdicts(t *rapid.T) {
	senders := 0
	for _, c := range w.claimers {
		if c.machine.Verdict == claim.VerdictSend && !c.sent {
			senders++
		}
		if c.machine.Verdict == claim.VerdictDone && w.sends == 0 {
			t.Fatalf("claim %s was told done, but nothing was sent", c.machine.Nonce)
		}
	}
	if senders > 1 {
		t.Fatalf("%d claims may send", senders)
	}
}

func TestVerdictOfRow(t *testing.T) {
	held := claim.Row{State: claim.StateHeld, Nonce: "other", Digest: digest, Deadline: start}.WithVersion(4)
	with := func(s claim.State, d string) claim.Row {
		r := held
		r.State, r.Digest = s, d
		return r
	}
	cases := map[string]struct {
		row     claim.Row
		now     time.Time
		verdict claim.Verdict
	}{
		"holder running":             {held, start, claim.VerdictRunning},
		"holder within the grace":    {held, start.Add(grace), claim.VerdictRunning},
		"holder ended":               {held, start.Add(grace + 1), claim.VerdictUnknown},
		"done":                       {with(claim.StateDone, digest), start, claim.VerdictDone},
		"failed":                     {with(claim.StateFailed, digest), start, claim.VerdictFailed},
		"unknown":                    {with(claim.StateUnknown, digest), start, claim.VerdictUnknown},
		"key of another request":     {with(claim.StateDone, "e"), start, claim.VerdictKeyReused},
		"not run, open to take over": {with(claim.StateNotRun, digest), start, claim.VerdictNone},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			m, _ := claim.Start("mine", digest, grace)
			m, a := claim.Step(m, claim.Input{Event: claim.EventConflict})
			quicktest.Assert(t, a, quicktest.Equals, claim.ActionRead)
			m, _ = claim.Step(m, claim.Input{Event: claim.EventRow, Row: tc.row, Now: tc.now})
			quicktest.Check(t, m.Verdict, quicktest.Equals, tc.verdict)
		})
	}
}
