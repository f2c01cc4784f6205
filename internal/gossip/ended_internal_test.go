package gossip

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	gossipv1 "github.com/barleystep/barleystep/api/gossip/v1"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/fleet"
)

var engineCost = &fleet.CostModel{
	Slots: 4, KVTokens: 450_000, Stride: 46, Step: 925 * time.Microsecond, PerStream: 5 * time.Microsecond,
	PrefillRate: 256_000, PerMillionPairs: 92 * time.Microsecond, PrefillChunk: 2048, MeanPromptTokens: 13_000,
}

// longJob returns a long prompt whose prefill takes longer than any silence in these tests, and which
// is too urgent to wait for streams to end.
func longJob() balance.Job {
	return balance.Job{
		Service: "s", PromptTokens: 400_000, OutputTokens: 100, Objective: 12 * time.Second, Cost: engineCost, MaxPause: 200 * time.Millisecond,
	}
}

// leadFixture is a lead with a single engine and a box that asks it for placements.
type leadFixture struct {
	clock *clock.Manual
	node  *Node
	lead  *balance.Balancer
	box   *balance.Balancer
	// last is the latest datagram of the box.
	last *datagram
}

// directLead is the lead's balancer without the network.
type directLead struct {
	clock    barleystep.Clock
	balancer *balance.Balancer
}

// Place asks the lead's balancer.
func (l directLead) Place(ctx context.Context, j balance.Job) (balance.Plan, error) {
	return l.balancer.PlaceForPeer(ctx, j, l.clock.Now())
}

// PrefillDone does nothing: the notice is lost.
func (directLead) PrefillDone(uint64) {}

func newLeadFixture(asking barleystep.BoxID) *leadFixture {
	manual := clock.NewManual(time.Unix(1000, 0))
	targets := func() []fleet.Target { return []fleet.Target{{ID: "i", Service: "s", Addr: "i:1", Slots: 4}} }
	f := &leadFixture{clock: manual}
	f.lead = &balance.Balancer{Clock: manual, Box: "lead", Targets: targets}
	f.box = &balance.Balancer{Clock: manual, Box: asking, Targets: targets, Lead: directLead{manual, f.lead}}
	f.node = newLeadNode(manual, f.lead)
	f.last = &datagram{Box: "box", Hall: "h", Incarnation: 7}
	return f
}

func newLeadNode(manual *clock.Manual, b Balancer) *Node {
	return &Node{
		Clock: manual, Box: "lead", Hall: "h", Addr: "10.9.9.9:1", Strength: 1, Balancer: b, Log: &log.Logger{Level: log.PanicLevel},
		members: make(map[barleystep.BoxID]*member), sent: make(map[uint64]balance.Snapshot),
		socket: &recordingSocket{sent: make(map[netip.AddrPort][]*datagram)}, origin: manual.Now(), incarnation: 1, collecting: true,
	}
}

// report has the box report its work.
func (f *leadFixture) report() {
	d := &datagram{Box: f.last.Box, Hall: f.last.Hall, Incarnation: f.last.Incarnation, Sequence: f.last.Sequence + 1, Leaving: f.last.Leaving}
	encodeSnapshot(d, f.box.Snapshot(), f.clock.Now())
	f.node.receive(context.Background(), d, boxAddr(1))
	f.last = d
}

// run runs the lead for the given number of ticks; the box reports at each if it speaks.
func (f *leadFixture) run(ticks int, speaks bool) {
	for range ticks {
		f.clock.Advance(tick)
		if speaks {
			f.report()
		}
		f.node.step(context.Background())
	}
}

// maxSilentTicks is the goal for the time from a box's silence to the next placement, 0.6 s.
const maxSilentTicks = int(600 * time.Millisecond / tick)

// TestKilledBox checks when the next prompt gets the engine of a box's prompt after the box has
// stopped speaking. It guards against engines that are idle for seconds after a box was killed, and
// against parts that are dropped although their box lives.
func TestKilledBox(t *testing.T) {
	cases := map[string]struct {
		asking barleystep.BoxID
		then   func(f *leadFixture)
		want   bool
	}{
		"killed":        {"box", func(f *leadFixture) { f.run(maxSilentTicks, false) }, true},
		"killed later":  {"box", func(f *leadFixture) { f.run(40, true); f.run(maxSilentTicks, false) }, true},
		"speaks":        {"box", func(f *leadFixture) { f.run(maxSilentTicks, true) }, false},
		"brief silence": {"box", func(f *leadFixture) { f.run(8, false); f.run(8, true) }, false},
		"leaves, still speaks": {"box", func(f *leadFixture) {
			f.last.Leaving = true
			f.run(maxSilentTicks, true)
		}, false},
		"restarts at once": {"box", func(f *leadFixture) {
			f.box = &balance.Balancer{Clock: f.clock, Targets: f.box.Targets}
			f.last.Incarnation, f.last.Sequence = 8, 0
			f.run(2, true)
		}, true},
		"sends no id":        {"", func(f *leadFixture) { f.run(maxSilentTicks, false) }, false},
		"another one killed": {"unheard", func(f *leadFixture) { f.run(maxSilentTicks, false) }, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newLeadFixture(tc.asking)
			f.report()
			p, err := f.box.Place(context.Background(), longJob())
			c.Assert(err, quicktest.IsNil)
			c.Assert(p.ExpectedTTFT() > 4*time.Second, quicktest.IsTrue)
			f.run(2, true)
			_, w, err := f.lead.TryPlace(context.Background(), longJob())
			c.Assert(err, quicktest.IsNil)
			c.Assert(w, quicktest.IsNotNil)
			tc.then(f)
			c.Check(len(w.Ready()) == 1, quicktest.Equals, tc.want)
		})
	}
}

// TestSilentBoxReturns checks that the prefill of a box that was silent, and so was dropped, counts
// again once the box speaks. It guards against giving its engine to another prompt.
func TestSilentBoxReturns(t *testing.T) {
	cases := map[string]struct {
		speaks bool
		waits  bool
	}{
		"returns":      {true, true},
		"stays silent": {false, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newLeadFixture("box")
			f.report()
			_, err := f.box.Place(context.Background(), longJob())
			c.Assert(err, quicktest.IsNil)
			f.run(1, true)
			f.run(maxSilentTicks, false)
			f.run(1, tc.speaks)
			_, w, err := f.lead.TryPlace(context.Background(), longJob())
			c.Assert(err, quicktest.IsNil)
			c.Check(w != nil, quicktest.Equals, tc.waits)
		})
	}
}

// TestSilentReportExpires checks that the streams that a silent box has reported count until its
// report expires, and that the prefill that it waited for counts only until it is silent.
func TestSilentReportExpires(t *testing.T) {
	c := quicktest.New(t)
	f := newLeadFixture("box")
	s := balance.NewSnapshot()
	s.Work[balance.KeyOf("i")] = balance.Work{Long: 2, PendingPrefills: 1, Backlog: time.Second, LeadBacklog: time.Second}
	d := &datagram{Box: "box", Hall: "h", Incarnation: 7, Sequence: 1}
	encodeSnapshot(d, s, f.clock.Now())
	f.node.receive(context.Background(), d, boxAddr(1))
	type counts struct {
		long, pending int
		prefills      bool
	}
	check := func(want counts) {
		w := f.node.othersWork(f.clock.Now()).Work[balance.KeyOf("i")]
		c.Check(counts{w.Long, w.PendingPrefills, w.Backlog > 0}, quicktest.Equals, want)
	}
	check(counts{2, 1, true})
	f.run(int(aliveTimeout/tick), false)
	check(counts{2, 1, true})
	f.run(1, false)
	check(counts{1, 0, false})
	f.run(int((snapshotTTL-aliveTimeout)/tick)-1, false)
	check(counts{1, 0, false})
	f.run(1, false)
	check(counts{})
}

// droppingBalancer records which boxes were dropped.
type droppingBalancer struct {
	fixedBalancer
	dropped []barleystep.BoxID
}

func (b *droppingBalancer) DropPeer(box barleystep.BoxID) { b.dropped = append(b.dropped, box) }

// TestEndedBoxes checks whose silence means that a box has ended. Boxes that this one hears only
// now and then are not ended when they fall silent towards it.
func TestEndedBoxes(t *testing.T) {
	const sum, all = gossipv1.Scope_SCOPE_HALL, gossipv1.Scope_SCOPE_ALL
	speaker := func(box, hall string, scope gossipv1.Scope, from, to int) func(tick int) *datagram {
		return func(tick int) *datagram {
			if tick < from || tick > to {
				return nil
			}
			return &datagram{Box: box, Hall: hall, Incarnation: 7, Sequence: uint64(tick + 1), Scope: scope}
		}
	}
	const never = 1000
	cases := map[string]struct {
		follows  bool // follows is set if this box is no collector.
		speakers []func(tick int) *datagram
		want     []barleystep.BoxID
	}{
		"box of the hall":                 {false, []func(int) *datagram{speaker("a", "h", 0, 0, 9), speaker("b", "h", 0, 0, never)}, []barleystep.BoxID{"a"}},
		"box of the hall, no collector":   {true, []func(int) *datagram{speaker("a", "h", 0, 0, 9), speaker("b", "h", all, 0, never)}, nil},
		"box of another hall asks once":   {false, []func(int) *datagram{speaker("a", "x", 0, 0, 0)}, nil},
		"collector of another hall":       {false, []func(int) *datagram{speaker("a", "x", sum, 0, 9)}, []barleystep.BoxID{"a"}},
		"collector of another, successor": {false, []func(int) *datagram{speaker("a", "x", sum, 0, 9), speaker("b", "x", sum, 17, never)}, []barleystep.BoxID{"a"}},
		"collector of another yields":     {false, []func(int) *datagram{speaker("a", "x", sum, 0, 9), speaker("b", "x", sum, 8, never)}, nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			manual := clock.NewManual(time.Unix(1000, 0))
			b := &droppingBalancer{}
			n := newLeadNode(manual, b)
			n.collecting = !tc.follows
			for i := range 40 {
				manual.Advance(tick)
				for k, speak := range tc.speakers {
					if d := speak(i); d != nil {
						n.receive(context.Background(), d, boxAddr(k))
					}
				}
				n.step(context.Background())
			}
			quicktest.Check(t, b.dropped, quicktest.DeepEquals, tc.want)
		})
	}
}
