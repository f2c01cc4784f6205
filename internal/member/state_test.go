package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/member"
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

const heartbeatInterval = 500 * time.Millisecond

// simHall runs the states of many boxes in simulated time.
type simHall struct {
	now    time.Time
	list   []barleystep.Box
	states map[barleystep.BoxID]*member.State
	paused map[barleystep.BoxID]bool
	drop   func(from, to barleystep.BoxID) bool
	sent   int // sent counts heartbeats.
}

func id(i int) barleystep.BoxID { return barleystep.BoxID(fmt.Sprintf("b%03d", i)) }

func newHall(n int) *simHall {
	h := &simHall{now: start, states: make(map[barleystep.BoxID]*member.State), paused: make(map[barleystep.BoxID]bool)}
	for i := range n {
		h.list = append(h.list, barleystep.NewBox(id(i), "h", "addr", false))
	}
	for i := range n {
		h.startBox(id(i), 1)
	}
	h.run(20)
	return h
}

// startBox starts or restarts a box.
func (h *simHall) startBox(b barleystep.BoxID, inc barleystep.Incarnation) {
	s := member.NewState(member.Settings{}, member.Update{Box: b, Addr: "addr", Incarnation: inc}, "h")
	s.MergeList(h.now, h.list)
	h.states[b] = s
}

// run simulates the given number of heartbeat intervals.
func (h *simHall) run(beats int) {
	for range beats {
		h.now = h.now.Add(heartbeatInterval)
		var messages []member.Message
		var from []barleystep.BoxID
		for _, b := range h.list {
			if s, ok := h.states[b.ID()]; ok && !h.paused[b.ID()] {
				for _, m := range s.Tick(h.now) {
					messages = append(messages, m)
					from = append(from, b.ID())
				}
			}
		}
		h.sent += len(messages)
		for i, m := range messages {
			s, ok := h.states[m.To]
			if ok && !h.paused[m.To] && (h.drop == nil || !h.drop(from[i], m.To)) {
				s.Receive(h.now, m.Heartbeat)
			}
		}
	}
}

// countAlive returns how many running boxes consider b alive.
func (h *simHall) countAlive(b barleystep.BoxID) int {
	n := 0
	for other, s := range h.states {
		if other != b && !h.paused[other] && slices.Contains(s.Alive(), b) {
			n++
		}
	}
	return n
}

func TestMembership(t *testing.T) {
	const n = 35
	cases := map[string]struct {
		event func(h *simHall)
		beats int
		alive int // alive is how many others consider box 7 alive at the end.
	}{
		"nothing happens": {func(*simHall) {}, 100, n - 1},
		"dies":            {func(h *simHall) { delete(h.states, id(7)) }, 16, 0},
		"is paused":       {func(h *simHall) { h.paused[id(7)] = true }, 16, 0},
		"is paused and comes back": {func(h *simHall) {
			h.paused[id(7)] = true
			h.run(30)
			h.paused[id(7)] = false
		}, 16, n - 1},
		"is replaced at once": {func(h *simHall) { h.startBox(id(7), 2) }, 16, n - 1},
		"is replaced after its death": {func(h *simHall) {
			delete(h.states, id(7))
			h.run(30)
			h.startBox(id(7), 2)
		}, 16, n - 1},
		"leaves": {func(h *simHall) { h.states[id(7)].Leave() }, 16, 0},
		"loses a third of its heartbeats": {func(h *simHall) {
			k := 0
			h.drop = func(from, _ barleystep.BoxID) bool {
				if from == id(7) {
					k++
				}
				return from == id(7) && k%3 == 0
			}
		}, 200, n - 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			h := newHall(n)
			c.Assert(h.countAlive(id(7)), quicktest.Equals, n-1)
			tc.event(h)
			h.run(tc.beats)
			c.Check(h.countAlive(id(7)), quicktest.Equals, tc.alive)
			c.Check(h.countAlive(id(8)) >= n-2, quicktest.IsTrue, quicktest.Commentf("the others are not affected"))
		})
	}
}

// TestPartitionAndHeal checks that each side of a network partition keeps exactly its own boxes
// alive, and that all boxes are alive again after it heals.
func TestPartitionAndHeal(t *testing.T) {
	c := quicktest.New(t)
	h := newHall(12)
	side := func(b barleystep.BoxID) bool { return b < id(4) }
	h.drop = func(from, to barleystep.BoxID) bool { return side(from) != side(to) }
	h.run(60)
	c.Check(h.states[id(0)].Alive(), quicktest.HasLen, 4)
	c.Check(h.states[id(9)].Alive(), quicktest.HasLen, 8)
	h.drop = nil
	h.run(60)
	c.Check(h.states[id(0)].Alive(), quicktest.HasLen, 12)
	c.Check(h.states[id(9)].Alive(), quicktest.HasLen, 12)
}

// TestMessagesPerBoxAreBounded checks that a box sends at most five heartbeats per interval,
// however many boxes the hall has.
func TestMessagesPerBoxAreBounded(t *testing.T) {
	for _, n := range []int{9, 35, 140} {
		h := newHall(n)
		h.sent = 0
		h.run(10)
		quicktest.Check(t, h.sent <= 5*10*n, quicktest.IsTrue, quicktest.Commentf("%d boxes: %d messages", n, h.sent))
	}
}
