package balance

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/fleet"
)

var shareCost = &fleet.CostModel{
	Slots: 4, KVTokens: 450_000, Stride: 46, Step: 925 * time.Microsecond, PerStream: 5 * time.Microsecond,
	PrefillRate: 256_000, PerMillionPairs: 92 * time.Microsecond, PrefillChunk: 2048, MeanPromptTokens: 13_000,
}

const (
	shareShort = 5_000
	shareLong  = 100_000
)

func shareJob(account string, prompt int) Job {
	return Job{
		Service: "s", Account: account, PromptTokens: prompt, OutputTokens: 100, Objective: 4 * time.Second,
		Cost: shareCost, MaxPause: 200 * time.Millisecond,
	}
}

// shareFixture is a balancer over a single engine.
type shareFixture struct {
	*Balancer
	clock *clock.Manual
	c     *quicktest.C
}

func newShareFixture(t *testing.T) *shareFixture {
	manual := clock.NewManual(time.Unix(1000, 0))
	targets := func() []fleet.Target { return []fleet.Target{{ID: "i", Service: "s", Addr: "i:1", Slots: 4}} }
	return &shareFixture{Balancer: &Balancer{Clock: manual, Targets: targets}, clock: manual, c: quicktest.New(t)}
}

func (f *shareFixture) place(j Job) *Placement {
	p, _, err := f.TryPlace(context.Background(), j)
	f.c.Assert(err, quicktest.IsNil)
	f.c.Assert(p, quicktest.IsNotNil)
	return p
}

func (f *shareFixture) wait(j Job) *QueuedJob {
	_, w, err := f.TryPlace(context.Background(), j)
	f.c.Assert(err, quicktest.IsNil)
	f.c.Assert(w, quicktest.IsNotNil)
	return w
}

// serve places and ends a prompt.
func (f *shareFixture) serve(j Job) {
	p := f.place(j)
	p.NoteFirstEvent()
	p.Done(Report{})
}

// granted returns what the account was granted lately, in prefills of a prompt.
func (f *shareFixture) granted(account string, prompt int) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sharesOf("s")
	a := s.accounts[account]
	if a == nil {
		return 0
	}
	return a.granted / s.scale(f.clock.Now()) / shareCost.Prefill(prompt).Seconds()
}

// TestShareCharges checks what an account is charged for, in prompts. It guards against a caller
// that is charged for being refused, for waiting, or for engines that it did not get.
func TestShareCharges(t *testing.T) {
	const decayed = 0.368 // decayed is what is left of a grant after shareDecay.
	cases := map[string]struct {
		prompt int
		then   func(f *shareFixture, j Job)
		want   float64
	}{
		"placed":       {shareLong, func(f *shareFixture, j Job) { f.place(j) }, 1},
		"short prompt": {shareShort, func(f *shareFixture, j Job) { f.place(j) }, 1},
		"decays": {shareLong, func(f *shareFixture, j Job) {
			f.place(j)
			f.clock.Advance(shareDecay)
		}, decayed},
		"decays, old reference": {shareLong, func(f *shareFixture, j Job) {
			f.serve(shareJob("other", shareLong))
			f.clock.Advance(50 * maxShareAge) // A grant then would exceed any number in units of now.
			f.place(j)
			f.clock.Advance(shareDecay)
		}, decayed},
		"waits": {shareLong, func(f *shareFixture, j Job) {
			f.place(shareJob("other", shareLong))
			f.wait(j)
		}, 0},
		"refused, returns": {shareLong, func(f *shareFixture, j Job) {
			busy := f.place(shareJob("other", shareLong))
			w := f.wait(j)
			f.clock.Advance(w.Deadline().Sub(f.clock.Now()))
			_, err := f.Abandon(w)
			f.c.Assert(eris.Is(err, ErrFull), quicktest.IsTrue)
			busy.NoteFirstEvent()
			busy.Done(Report{})
			j.CallerRetry = true
			f.place(j)
		}, 1},
		"asks for a waiting prompt again and again": {shareLong, func(f *shareFixture, j Job) {
			busy := f.place(shareJob("other", shareLong))
			for range 3 {
				_, err := f.Abandon(f.wait(j))
				f.c.Assert(eris.Is(err, ErrFull), quicktest.IsTrue)
			}
			busy.NoteFirstEvent()
			busy.Done(Report{})
			f.place(j)
		}, 1},
		"placement not used": {shareLong, func(f *shareFixture, j Job) {
			p := f.place(j)
			f.clock.Advance(time.Second)
			p.Cancel()
		}, 0},
		"engines failed, placed again": {shareLong, func(f *shareFixture, j Job) {
			f.place(j).Done(Report{Failed: true})
			j.Replacement = true
			f.place(j)
		}, 1},
		"box killed, returns by another": {shareLong, func(f *shareFixture, j Job) {
			j.Box, j.ForPeer = "killed", true
			f.HandOver(f.place(j))
			f.clock.Advance(time.Second)
			f.DropPeer("killed")
			j.Box, j.CallerRetry = "other", true
			f.place(j)
		}, 1},
		"box killed after the prefill": {shareLong, func(f *shareFixture, j Job) {
			j.Box, j.ForPeer = "killed", true
			p := f.place(j)
			plan := f.HandOver(p)
			p.NoteFirstEvent()
			f.DropPeer("killed")
			f.PrefillDone(plan.ID)
		}, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newShareFixture(t)
			tc.then(f, shareJob("a", tc.prompt))
			got := f.granted("a", tc.prompt)
			f.c.Check(got > tc.want-0.001 && got < tc.want+0.001, quicktest.IsTrue, quicktest.Commentf("%v", got))
		})
	}
}

// TestShareOrder checks which of two waiting prompts is placed once the engine is free. The usual
// order places the shorter one.
func TestShareOrder(t *testing.T) {
	const before = shareLong // before is the length of the prompts that were placed before.
	type waiter struct {
		account  string
		prompt   int
		priority int
	}
	cases := map[string]struct {
		before []string
		first  waiter
		second waiter
		want   string
	}{
		"neither was granted anything":    {nil, waiter{"a", 60_000, 0}, waiter{"b", 90_000, 0}, "a"},
		"both were granted the same":      {[]string{"a", "b"}, waiter{"a", 60_000, 0}, waiter{"b", 90_000, 0}, "a"},
		"less than twice as much":         {[]string{"a", "b", "a", "b", "a"}, waiter{"a", 60_000, 0}, waiter{"b", 90_000, 0}, "a"},
		"more than twice as much":         {[]string{"a", "b", "a", "a"}, waiter{"a", 60_000, 0}, waiter{"b", 90_000, 0}, "b"},
		"the other one nothing":           {[]string{"a"}, waiter{"a", 60_000, 0}, waiter{"b", 90_000, 0}, "b"},
		"of a higher priority":            {[]string{"a"}, waiter{"a", 60_000, 0}, waiter{"b", 90_000, 1}, "a"},
		"of an older box, without a name": {[]string{"", "", "b"}, waiter{"", 60_000, 0}, waiter{"b", 90_000, 0}, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newShareFixture(t)
			for _, account := range tc.before {
				f.serve(shareJob(account, before))
			}
			busy := f.place(shareJob("", before))
			waits := make(map[string]*QueuedJob)
			for _, w := range []waiter{tc.first, tc.second} {
				j := shareJob(w.account, w.prompt)
				j.Priority = w.priority
				waits[w.account] = f.wait(j)
			}
			busy.NoteFirstEvent()
			busy.Done(Report{})
			for account, w := range waits {
				f.c.Check(len(w.Ready()) == 1, quicktest.Equals, account == tc.want, quicktest.Commentf("%q", account))
			}
		})
	}
}

// TestSharesHoldNothingBack checks that a prompt of an account that has more than its share is
// placed where there is capacity, also while prompts wait that go before it but find none. It
// guards against engines that are idle for the sake of shares, and against more choices than the two
// that planning needs for each prompt that waits.
func TestSharesHoldNothingBack(t *testing.T) {
	for _, ahead := range []int{1, 4, 12} {
		t.Run(fmt.Sprint(ahead), func(t *testing.T) {
			f := newShareFixture(t)
			idle := fleet.Target{ID: "idle", Service: "s", Addr: "idle:1", Slots: 4}
			targets := f.Targets()
			choices := 0
			f.Targets = func() []fleet.Target {
				choices++
				return targets
			}
			f.serve(shareJob("much", shareLong))
			f.place(shareJob("", shareLong))
			var waits []*QueuedJob
			for i := range ahead {
				j := shareJob(fmt.Sprint("less-", i), shareLong)
				j.Avoid = []barleystep.TargetID{idle.ID}
				waits = append(waits, f.wait(j))
			}
			much := f.wait(shareJob("much", shareLong-1000)) // It is of the same size class, which does not lag.
			targets = append(targets, idle)
			choices = 0
			f.SetOthers(NewSnapshot())
			f.c.Check(much.Ready(), quicktest.HasLen, 1)
			f.c.Check(choices <= 2*(ahead+1)+1, quicktest.IsTrue, quicktest.Commentf("%d choices", choices))
			for _, w := range waits {
				f.c.Check(w.Ready(), quicktest.HasLen, 0)
			}
		})
	}
}

// TestShareMemory checks that the memory for accounts is bounded, and that idle accounts are
// forgotten, also those with prompts that were never placed.
func TestShareMemory(t *testing.T) {
	c := quicktest.New(t)
	f := newShareFixture(t)
	for i := range 2 * maxAccounts {
		f.clock.Advance(time.Millisecond)
		f.serve(shareJob(fmt.Sprint("a-", i), shareShort))
	}
	s := f.sharesOf("s")
	c.Check(s.accounts, quicktest.HasLen, maxAccounts)
	c.Check(f.granted(fmt.Sprint("a-", 2*maxAccounts-1), shareShort) > 0, quicktest.IsTrue)
	sum := 0.0
	for _, a := range s.accounts {
		sum += a.granted
	}
	c.Check(sum/s.total > 0.999 && sum/s.total < 1.001, quicktest.IsTrue, quicktest.Commentf("%v, %v", sum, s.total))
	f.clock.Advance(shareRetention / 2)
	f.serve(shareJob("b", shareShort))
	f.clock.Advance(shareRetention/2 + time.Millisecond)
	f.Prune()
	c.Check(f.ShareCounts().Accounts, quicktest.Equals, 1)
	f.clock.Advance(shareRetention)
	f.Prune()
	c.Check(f.shares, quicktest.HasLen, 0)
}

// TestAccountShare checks that a share is what the account was granted over the mean of the active
// accounts, of which some wait only.
func TestAccountShare(t *testing.T) {
	f := newShareFixture(t)
	for _, account := range []string{"a", "a", "a", "b"} {
		f.serve(shareJob(account, shareLong))
	}
	f.place(shareJob("", shareLong))
	f.wait(shareJob("c", shareLong))
	f.wait(shareJob("d", shareLong))
	for account, want := range map[string]float64{"a": 3, "b": 1, "c": 0, "unknown": 0} {
		got := f.accountShare(shareJob(account, shareLong))
		f.c.Check(got > want-0.001 && got < want+0.001, quicktest.IsTrue, quicktest.Commentf("%s: %v", account, got))
	}
}

// TestShareOutcomes checks that prompts that wait behind the share of their account are counted and
// logged with it, whether they are placed or refused, and no others.
func TestShareOutcomes(t *testing.T) {
	cases := map[string]struct {
		account string
		refused bool
		want    ShareCounts
	}{
		"placed":       {"much", false, ShareCounts{Waited: 1}},
		"refused":      {"much", true, ShareCounts{Refused: 1}},
		"within share": {"less", true, ShareCounts{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newShareFixture(t)
			var out bytes.Buffer
			f.Log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: &out}}
			f.serve(shareJob("much", shareLong))
			busy := f.place(shareJob("", shareLong))
			behind, ahead := f.wait(shareJob(tc.account, shareLong)), f.wait(shareJob("less", shareLong))
			busy.NoteFirstEvent()
			busy.Done(Report{})
			first, second := ahead, behind
			if len(first.Ready()) == 0 {
				first, second = behind, ahead
			}
			f.clock.Advance(time.Second)
			if tc.refused {
				f.clock.Advance(second.Deadline().Sub(f.clock.Now()))
				_, err := f.Abandon(second)
				f.c.Assert(eris.Is(err, ErrFull), quicktest.IsTrue)
			} else {
				p := <-first.Ready()
				p.NoteFirstEvent()
				p.Done(Report{})
				f.c.Assert(second.Ready(), quicktest.HasLen, 1)
			}
			got := f.ShareCounts()
			got.Accounts, got.Largest = 0, 0
			f.c.Check(got, quicktest.Equals, tc.want)
			logged := strings.Contains(out.String(), `"account":"much","share":`)
			f.c.Check(logged, quicktest.Equals, tc.want != ShareCounts{}, quicktest.Commentf("%s", out.String()))
		})
	}
}

// BenchmarkMarkShares measures how long it takes to compare the accounts of the prompts that wait,
// which is done for each prompt that is tried.
func BenchmarkMarkShares(b *testing.B) {
	const accounts = 970
	for _, waiting := range []int{20, 300} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			f := &Balancer{Clock: clock.NewManual(time.Unix(1000, 0))}
			for i := range accounts {
				f.chargeShare(shareJob(fmt.Sprint("a-", i), shareShort+i), &Placement{})
			}
			var q []*QueuedJob
			for i := range waiting {
				q = append(q, &QueuedJob{job: shareJob(fmt.Sprint("a-", i), shareShort)})
			}
			for b.Loop() {
				f.markShares(q)
			}
		})
	}
}
