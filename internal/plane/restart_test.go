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
func restartTargets(count int) func(d *simulation) {
	return func(d *simulation) {
		if d.incarnations == nil {
			d.incarnations = make(map[barleystep.TargetID][]int64)
		}
		draw := rand.New(rand.NewPCG(d.scenario.seed, uint64(d.elapsed())))
		for range count {
			id := barleystep.TargetID(fmt.Sprint("target-", draw.IntN(targetCount)))
			born := 1 + draw.Int64N(1<<40)
			d.incarnations[id] = append(d.incarnations[id], born)
			value := binary.LittleEndian.AppendUint64(nil, uint64(born))
			d.store.put(barleystep.TopicTargets, barleystep.NewRecord(string(id), value))
		}
	}
}

// vanish removes the records of some targets that have started anew before.
func removeRestarted(d *simulation) {
	for id := range d.incarnations {
		d.store.put(barleystep.TopicTargets, barleystep.NewRemoval(string(id)))
	}
}

func dropHistory(d *simulation) { d.store.dropHistory() }

// forgetAndLeave has the store drop its history for those that wait for changes, who cannot
// read anew then and hear of others that may be behind.
func dropHistoryAndReject(d *simulation) {
	d.store.dropHistory()
	d.store.setRejects(all)
}

// lookAtBirths notes whether a box has gone back to an earlier lifetime of a target.
func (d *simulation) sampleIncarnations() {
	for _, b := range d.boxes {
		l := b.running()
		if l == nil || len(d.incarnations) == 0 {
			continue
		}
		if l.incarnations == nil {
			l.incarnations = make(map[barleystep.TargetID]int)
		}
		for _, t := range l.targets.List() {
			number := slices.Index(d.incarnations[t.ID], t.StartMS) + 1
			if number < l.incarnations[t.ID] {
				d.result.rollbacks++
			}
			l.incarnations[t.ID] = number
		}
	}
}

// outdated counts the boxes that go by a lifetime of a target that is over.
func (d *simulation) countStale() int {
	n := 0
	for _, b := range d.boxes {
		l := b.running()
		if l == nil {
			continue
		}
		old := slices.ContainsFunc(l.targets.List(), func(t fleet.Target) bool {
			births := d.incarnations[t.ID]
			return len(births) > 0 && births[len(births)-1] != t.StartMS
		})
		if old {
			n++
		}
	}
	return n
}

// every repeats a change from one moment until another.
func repeat(from, until, gap time.Duration, do func(d *simulation)) []event {
	var list []event
	for at := from; at < until; at += gap {
		list = append(list, event{at, do})
	}
	return list
}

// inOrder joins events by their times.
func mergeEvents(lists ...[]event) []event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b event) int { return int(a.at - b.at) })
	return all
}

// TestRestartedTargets plays targets that start anew under their ids, by clocks that step,
// while news of them comes late, twice or from boxes that are behind: no box goes back to an
// earlier lifetime, and all know the last one soon after.
func TestRestartedTargets(t *testing.T) {
	const last = 9 * time.Second
	series := repeat(warmUp, last, 200*ms, restartTargets(3))
	at := func(at time.Duration, do func(d *simulation)) []event { return []event{{at, do}} }
	cases := map[string][]event{
		"in series":               nil,
		"while the store is away": append(at(4*time.Second, rejectCalls(all)), event{7 * time.Second, rejectCalls(nil)}),
		"while it turns half away and forgets": mergeEvents(
			at(4*time.Second, rejectCalls(half)), repeat(4*time.Second, 8*time.Second, 400*ms, dropHistory),
			at(8*time.Second, rejectCalls(nil))),
		"while it forgets and goes away in turn": mergeEvents(
			repeat(4*time.Second, 8*time.Second, 800*ms, dropHistory),
			repeat(4100*ms, 8*time.Second, 800*ms, rejectCalls(all)), repeat(4500*ms, 9*time.Second, 800*ms, rejectCalls(nil))),
		"while it forgets and is away at once": mergeEvents(
			repeat(4*time.Second, 8*time.Second, 50*ms, restartTargets(1)),
			repeat(4*time.Second, 8*time.Second, 700*ms, dropHistoryAndReject), repeat(4350*ms, 9*time.Second, 700*ms, rejectCalls(nil))),
		"behind a cut":              append(at(4*time.Second, cutHall("hall-2")), event{7 * time.Second, heal}),
		"with records gone between": repeat(4100*ms, 8*time.Second, 700*ms, removeRestarted),
		"while the readers die": mergeEvents(
			at(4*time.Second, killCollector("")), at(5*time.Second, freezeCollector("", 3*time.Second)),
			at(6*time.Second, killCollector("hall-1")), at(7*time.Second, freezeCollector("hall-2", 2*time.Second))),
	}
	for name, events := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				c := quicktest.New(t)
				s := scenario{seed: seed + 1, halls: 3, boxes: 30, loss: 0.02, duration: last + 5*time.Second}
				s.events = mergeEvents(series, events, at(last, restartTargets(3)))
				r := simulate(t, s)
				t.Log(r)
				c.Check(r.rollbacks, quicktest.Equals, 0, quicktest.Commentf("seed %d", s.seed))
				c.Check(r.staleBoxes, quicktest.Equals, 0, quicktest.Commentf("seed %d", s.seed))
			}
		})
	}
}
