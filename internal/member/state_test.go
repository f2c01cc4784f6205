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

const beat = 500 * time.Millisecond

// hall runs the states of many boxes in simulated time.
type hall struct {
	now    time.Time
	list   []barleystep.Box
	states map[barleystep.BoxID]*member.State
	frozen map[barleystep.BoxID]bool
	cut    func(from, to barleystep.BoxID) bool
	sent   int // sent counts messages.
}

func id(i int) barleystep.BoxID { return barleystep.BoxID(fmt.Sprintf("b%03d", i)) }

func newHall(n int) *hall {
	h := &hall{now: start, states: make(map[barleystep.BoxID]*member.State), frozen: make(map[barleystep.BoxID]bool)}
	for i := range n {
		h.list = append(h.list, barleystep.NewBox(id(i), "h", "addr", false))
	}
	for i := range n {
		h.boot(id(i), 1)
	}
	h.run(20)
	return h
}

// boot starts a box, anew if it ran before.
func (h *hall) boot(b barleystep.BoxID, inc barleystep.Incarnation) {
	s := member.NewState(member.Settings{}, member.Update{Box: b, Addr: "addr", Incarnation: inc}, "h")
	s.MergeList(h.now, h.list)
	h.states[b] = s
}

// run lets the given number of heartbeats pass.
func (h *hall) run(beats int) {
	for range beats {
		h.now = h.now.Add(beat)
		var messages []member.Message
		var from []barleystep.BoxID
		for _, b := range h.list {
			if s, ok := h.states[b.ID()]; ok && !h.frozen[b.ID()] {
				for _, m := range s.Tick(h.now) {
					messages = append(messages, m)
					from = append(from, b.ID())
				}
			}
		}
		h.sent += len(messages)
		for i, m := range messages {
			s, ok := h.states[m.To]
			if ok && !h.frozen[m.To] && (h.cut == nil || !h.cut(from[i], m.To)) {
				s.Receive(h.now, m.Heartbeat)
			}
		}
	}
}

// see returns how many boxes count b as alive.
func (h *hall) see(b barleystep.BoxID) int {
	n := 0
	for other, s := range h.states {
		if other != b && !h.frozen[other] && slices.Contains(s.Alive(), b) {
			n++
		}
	}
	return n
}

func TestMembership(t *testing.T) {
	const n = 35
	cases := map[string]struct {
		event func(h *hall)
		beats int
		alive int // alive is how many others count box 7 as alive in the end.
	}{
		"nothing happens": {func(*hall) {}, 100, n - 1},
		"dies":            {func(h *hall) { delete(h.states, id(7)) }, 16, 0},
		"is paused":       {func(h *hall) { h.frozen[id(7)] = true }, 16, 0},
		"is paused and comes back": {func(h *hall) {
			h.frozen[id(7)] = true
			h.run(30)
			h.frozen[id(7)] = false
		}, 16, n - 1},
		"is replaced at once": {func(h *hall) { h.boot(id(7), 2) }, 16, n - 1},
		"is replaced after its death": {func(h *hall) {
			delete(h.states, id(7))
			h.run(30)
			h.boot(id(7), 2)
		}, 16, n - 1},
		"leaves": {func(h *hall) { h.states[id(7)].Leave() }, 16, 0},
		"loses a third of its heartbeats": {func(h *hall) {
			k := 0
			h.cut = func(from, _ barleystep.BoxID) bool {
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
			c.Assert(h.see(id(7)), quicktest.Equals, n-1)
			tc.event(h)
			h.run(tc.beats)
			c.Check(h.see(id(7)), quicktest.Equals, tc.alive)
			c.Check(h.see(id(8)) >= n-2, quicktest.IsTrue, quicktest.Commentf("the others are not affected"))
		})
	}
}

// TestCutHallServesOnBothSides splits a hall and joins it again.
func TestCutHallServesOnBothSides(t *testing.T) {
	c := quicktest.New(t)
	h := newHall(12)
	side := func(b barleystep.BoxID) bool { return b < id(4) }
	h.cut = func(from, to barleystep.BoxID) bool { return side(from) != side(to) }
	h.run(60)
	c.Check(h.states[id(0)].Alive(), quicktest.HasLen, 4)
	c.Check(h.states[id(9)].Alive(), quicktest.HasLen, 8)
	h.cut = nil
	h.run(60)
	c.Check(h.states[id(0)].Alive(), quicktest.HasLen, 12)
	c.Check(h.states[id(9)].Alive(), quicktest.HasLen, 12)
}

// TestMessagesDoNotGrowWithTheHall holds the cost of a box to its bound.
func TestMessagesDoNotGrowWithTheHall(t *testing.T) {
	for _, n := range []int{9, 35, 140} {
		h := newHall(n)
		h.sent = 0
		h.run(10)
		quicktest.Check(t, h.sent <= 5*10*n, quicktest.IsTrue, quicktest.Commentf("%d boxes: %d messages", n, h.sent))
	}
}
