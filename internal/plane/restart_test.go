//go:build !race

package plane_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// restart has some targets start anew under their ids. Their clocks step: what they say of
// their start is in no order.
func restart(count int) func(d *day) {
	return func(d *day) {
		if d.births == nil {
			d.births = make(map[barleystep.TargetID][]int64)
		}
		draw := rand.New(rand.NewPCG(d.scene.seed, uint64(d.elapsed())))
		for range count {
			id := barleystep.TargetID(fmt.Sprint("target-", draw.IntN(targets)))
			born := 1 + draw.Int64N(1<<40)
			d.births[id] = append(d.births[id], born)
			value := binary.LittleEndian.AppendUint64(nil, uint64(born))
			d.store.put(barleystep.TopicTargets, barleystep.NewRecord(string(id), value))
		}
	}
}

// vanish removes the records of some targets that have started anew before.
func vanish(d *day) {
	for id := range d.births {
		d.store.put(barleystep.TopicTargets, barleystep.NewRemoval(string(id)))
	}
}

func forgetHistory(d *day) { d.store.forget() }

// forgetAndLeave has the store drop its history for those that wait for changes, who cannot
// read anew then and hear of others that may be behind.
func forgetAndLeave(d *day) {
	d.store.forget()
	d.store.setAway(all)
}

// lookAtBirths notes whether a box has gone back to an earlier lifetime of a target.
func (d *day) lookAtBirths() {
	for _, b := range d.boxes {
		l := b.running()
		if l == nil || len(d.births) == 0 {
			continue
		}
		if l.births == nil {
			l.births = make(map[barleystep.TargetID]int)
		}
		for _, t := range l.targets.List() {
			number := slices.Index(d.births[t.ID], t.StartMS) + 1
			if number < l.births[t.ID] {
				d.result.backward++
			}
			l.births[t.ID] = number
		}
	}
}

// outdated counts the boxes that go by a lifetime of a target that is over.
func (d *day) outdated() int {
	n := 0
	for _, b := range d.boxes {
		l := b.running()
		if l == nil {
			continue
		}
		old := slices.ContainsFunc(l.targets.List(), func(t fleet.Target) bool {
			births := d.births[t.ID]
			return len(births) > 0 && births[len(births)-1] != t.StartMS
		})
		if old {
			n++
		}
	}
	return n
}

// every repeats a change from one moment until another.
func every(from, until, gap time.Duration, do func(d *day)) []event {
	var list []event
	for at := from; at < until; at += gap {
		list = append(list, event{at, do})
	}
	return list
}

// inOrder joins events by their times.
func inOrder(lists ...[]event) []event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b event) int { return int(a.at - b.at) })
	return all
}

// TestRestartedTargets plays targets that start anew under their ids, by clocks that step,
// while news of them comes late, twice or from boxes that are behind: no box goes back to an
// earlier lifetime, and all know the last one soon after.
func TestRestartedTargets(t *testing.T) {
	const last = 9 * time.Second
	series := every(start, last, 200*ms, restart(3))
	at := func(at time.Duration, do func(d *day)) []event { return []event{{at, do}} }
	cases := map[string][]event{
		"in series":               nil,
		"while the store is away": append(at(4*time.Second, turnAway(all)), event{7 * time.Second, turnAway(nil)}),
		"while it turns half away and forgets": inOrder(
			at(4*time.Second, turnAway(half)), every(4*time.Second, 8*time.Second, 400*ms, forgetHistory),
			at(8*time.Second, turnAway(nil))),
		"while it forgets and goes away in turn": inOrder(
			every(4*time.Second, 8*time.Second, 800*ms, forgetHistory),
			every(4100*ms, 8*time.Second, 800*ms, turnAway(all)), every(4500*ms, 9*time.Second, 800*ms, turnAway(nil))),
		"while it forgets and is away at once": inOrder(
			every(4*time.Second, 8*time.Second, 50*ms, restart(1)),
			every(4*time.Second, 8*time.Second, 700*ms, forgetAndLeave), every(4350*ms, 9*time.Second, 700*ms, turnAway(nil))),
		"behind a cut":              append(at(4*time.Second, cutHall("hall-2")), event{7 * time.Second, heal}),
		"with records gone between": every(4100*ms, 8*time.Second, 700*ms, vanish),
		"while the readers die": inOrder(
			at(4*time.Second, killCollector("")), at(5*time.Second, freezeCollector("", 3*time.Second)),
			at(6*time.Second, killCollector("hall-1")), at(7*time.Second, freezeCollector("hall-2", 2*time.Second))),
	}
	for name, events := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				c := quicktest.New(t)
				s := scene{seed: seed + 1, halls: 3, boxes: 30, loss: 0.02, length: last + 5*time.Second}
				s.events = inOrder(series, events, at(last, restart(3)))
				r := play(t, s)
				t.Log(r)
				c.Check(r.backward, quicktest.Equals, 0, quicktest.Commentf("seed %d", s.seed))
				c.Check(r.outdated, quicktest.Equals, 0, quicktest.Commentf("seed %d", s.seed))
			}
		})
	}
}
