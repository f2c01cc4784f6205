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

// restartTargets restarts some targets under their ids. Their clocks step, so their start times
// are in no order.
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

// removeRestarted removes the records of the targets that were restarted.
func removeRestarted(d *simulation) {
	for id := range d.incarnations {
		d.store.put(barleystep.TopicTargets, barleystep.NewRemoval(string(id)))
	}
}

func dropStoreHistory(d *simulation) { d.store.dropHistory() }

// dropHistoryAndReject drops the store's history and makes it reject all calls: boxes that wait
// for changes cannot reread the topic then, and hear from others that may be behind.
func dropHistoryAndReject(d *simulation) {
	d.store.dropHistory()
	d.store.setRejects(all)
}

// sampleIncarnations counts boxes that returned to an earlier incarnation of a target.
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

// staleBoxes counts the boxes that use an outdated incarnation of a target.
func (d *simulation) staleBoxes() int {
	n := 0
	for _, b := range d.boxes {
		l := b.running()
		if l == nil {
			continue
		}
		old := slices.ContainsFunc(l.targets.List(), func(t fleet.Target) bool {
			incarnations := d.incarnations[t.ID]
			return len(incarnations) > 0 && incarnations[len(incarnations)-1] != t.StartMS
		})
		if old {
			n++
		}
	}
	return n
}

// repeat repeats a change at an interval.
func repeat(from, until, gap time.Duration, do func(d *simulation)) []event {
	var list []event
	for at := from; at < until; at += gap {
		list = append(list, event{at, do})
	}
	return list
}

// mergeEvents merges events by time.
func mergeEvents(lists ...[]event) []event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b event) int { return int(a.at - b.at) })
	return all
}

// TestRestartedTargets simulates targets that restart under their ids, with clocks that step,
// while updates about them are delayed, duplicated or come from boxes that are behind. No box
// may return to an earlier incarnation, and all must know the last one soon after.
func TestRestartedTargets(t *testing.T) {
	const last = 9 * time.Second
	series := repeat(start, last, 200*ms, restartTargets(3))
	at := func(at time.Duration, do func(d *simulation)) []event { return []event{{at, do}} }
	cases := map[string][]event{
		"repeated restarts": nil,
		"store unavailable": append(at(4*time.Second, rejectCalls(all)), event{7 * time.Second, rejectCalls(nil)}),
		"store rejects half, drops history": mergeEvents(
			at(4*time.Second, rejectCalls(half)), repeat(4*time.Second, 8*time.Second, 400*ms, dropStoreHistory),
			at(8*time.Second, rejectCalls(nil))),
		"store drops history and rejects in turn": mergeEvents(
			repeat(4*time.Second, 8*time.Second, 800*ms, dropStoreHistory),
			repeat(4100*ms, 8*time.Second, 800*ms, rejectCalls(all)), repeat(4500*ms, 9*time.Second, 800*ms, rejectCalls(nil))),
		"store drops history and rejects at once": mergeEvents(
			repeat(4*time.Second, 8*time.Second, 50*ms, restartTargets(1)),
			repeat(4*time.Second, 8*time.Second, 700*ms, dropHistoryAndReject), repeat(4350*ms, 9*time.Second, 700*ms, rejectCalls(nil))),
		"a hall is cut off":          append(at(4*time.Second, cutHall("hall-2")), event{7 * time.Second, heal}),
		"records removed in between": repeat(4100*ms, 8*time.Second, 700*ms, removeRestarted),
		"readers fail": mergeEvents(
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
