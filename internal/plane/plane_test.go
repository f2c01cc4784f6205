//go:build !race

package plane_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
)

// want holds the bounds for the result of a scenario; zero means no bound, except for counts of
// roles.
type want struct {
	// collectors and leads are the maxima at a time, and roleChanges the maximum number of
	// boxes that become collectors.
	collectors, leads, roleChanges int
	// settled is when the roles must be stable for good, and gap the maximum total time in
	// which a hall or all boxes lack a role.
	settled, gap time.Duration
	// workAge and confirmationAge bound the ages in 99 of 100 samples.
	workAge, confirmationAge time.Duration
	// complete requires that each box has state of every other one at all times.
	complete bool
	// readyAt and convergedAt are when all boxes must have read everything, and have the last
	// configuration.
	readyAt, convergedAt time.Duration
	// calls bounds the calls to the store in the whole run, and bytes what boxes send each other.
	calls int
	bytes int
}

// start is when sampling begins; all boxes have started together before.
const start = 3 * time.Second

const ms = time.Millisecond

func killCollector(hall string) func(d *simulation) {
	return func(d *simulation) { d.collector(hall).kill() }
}

func freezeCollector(hall string, length time.Duration) func(d *simulation) {
	return func(d *simulation) { d.collector(hall).freeze(length) }
}

// killAll kills all boxes and starts them together a moment later.
func killAll(d *simulation) {
	for _, b := range d.boxes {
		b.kill()
	}
	d.result.readyAt = 0
	time.AfterFunc(sampleInterval, func() {
		for _, b := range d.boxes {
			b.start()
		}
	})
}

// losePower is killAll with no seeds known afterwards, as in deployments whose seeds are the
// boxes that were alive a moment ago.
func losePower(d *simulation) {
	d.seedless = true
	killAll(d)
}

// killMost kills nine of ten boxes of a hall.
func killMost(hall string) func(d *simulation) {
	return func(d *simulation) {
		for i, b := range d.boxes {
			if b.hall == hall && i/d.scenario.halls%10 != 9 {
				b.kill()
			}
		}
	}
}

func cutHall(hall string) func(d *simulation) {
	return func(d *simulation) {
		d.network.setCut(func(from, to *box) bool { return (from.hall == hall) != (to.hall == hall) })
	}
}

// cutOneWay drops the datagrams that a hall sends to others.
func cutOneWay(hall string) func(d *simulation) {
	return func(d *simulation) {
		d.network.setCut(func(from, to *box) bool { return from.hall == hall && to.hall != hall })
	}
}

func heal(d *simulation) { d.network.setCut(nil) }

// rollingRestart restarts every box once, so many at a time.
func rollingRestart(boxes int, away time.Duration) []event {
	var list []event
	at := start
	for first := 0; first < 100; first += boxes {
		part := func(d *simulation) []*box { return d.boxes[min(first, len(d.boxes)):min(first+boxes, len(d.boxes))] }
		list = append(list, event{at, func(d *simulation) {
			for _, b := range part(d) {
				b.kill()
			}
		}}, event{at + away, func(d *simulation) {
			for _, b := range part(d) {
				b.start()
			}
		}})
		at += 2 * away
	}
	return list
}

func rejectCalls(away func(b *box) bool) func(d *simulation) {
	return func(d *simulation) { d.store.setRejects(away) }
}

// losses makes the store lose its history at each interval from the fourth second to the ninth.
func losses(interval time.Duration) []event {
	var list []event
	for at := 4 * time.Second; at < 9*time.Second; at += interval {
		list = append(list, event{at, func(d *simulation) { d.store.dropHistory() }})
	}
	return list
}

func all(*box) bool { return true }

func half(b *box) bool { return b.index/5%2 == 0 }

func configure(version int64) func(d *simulation) {
	return func(d *simulation) { d.configure(version) }
}

func evacuate(hall barleystep.HallID, evacuated bool) func(d *simulation) {
	return func(d *simulation) { d.evacuate(hall, evacuated) }
}

// at4 applies events together at four seconds.
func at4(events ...func(d *simulation)) []event {
	var list []event
	for _, do := range events {
		list = append(list, event{4 * time.Second, do})
	}
	return list
}

// TestEvacuationInForce checks that a hall that is evacuated, and taken back, is so on all boxes
// within a second of the store's answer, also while the box that reads the store dies, and within
// what a change may take where the store rejects some or all boxes, or their hall is cut off.
func TestEvacuationInForce(t *testing.T) {
	takeBack := event{8 * time.Second, evacuate("hall-1", false)}
	second := 5 * time.Second
	cases := map[string]struct {
		scenario    scenario
		convergedAt time.Duration
	}{
		"nine boxes":             {scenario{halls: 3, boxes: 9, duration: 8 * time.Second, events: at4(evacuate("hall-1", true))}, second},
		"a hundred boxes":        {scenario{halls: 5, boxes: 100, loss: 0.025, duration: 8 * time.Second, events: at4(evacuate("hall-1", true))}, second},
		"two halls":              {scenario{halls: 5, boxes: 100, duration: 8 * time.Second, events: at4(evacuate("hall-1", true), evacuate("hall-2", true))}, second},
		"taken back":             {scenario{halls: 5, boxes: 100, duration: 12 * time.Second, events: append(at4(evacuate("hall-1", true)), takeBack)}, 9 * time.Second},
		"the reader dies":        {scenario{halls: 5, boxes: 100, duration: 10 * time.Second, events: at4(killCollector(""), evacuate("hall-1", true))}, 4*time.Second + maxDelay},
		"the store rejects half": {scenario{halls: 5, boxes: 100, duration: 12 * time.Second, events: at4(rejectCalls(half), evacuate("hall-1", true))}, 4*time.Second + maxDelay},
		"history is lost":        {scenario{halls: 5, boxes: 100, duration: 8 * time.Second, events: at4(evacuate("hall-1", true), func(d *simulation) { d.store.dropHistory() })}, second},
		"its hall is cut off":    {scenario{halls: 5, boxes: 100, duration: 10 * time.Second, events: at4(cutHall("hall-1"), evacuate("hall-1", true))}, 4*time.Second + maxDelay},
		"all are killed":         {scenario{halls: 5, boxes: 100, duration: 8 * time.Second, events: at4(killAll, evacuate("hall-1", true))}, second},
		"the store is away": {scenario{
			halls: 5, boxes: 100, duration: 12 * time.Second,
			events: append(at4(rejectCalls(all), evacuate("hall-1", true)), event{7 * time.Second, rejectCalls(nil)}),
		}, 8 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tc.scenario.measureFrom = tc.scenario.duration
			r := simulate(t, tc.scenario)
			t.Log(r)
			c := quicktest.New(t)
			c.Check(r.convergedAt, quicktest.Not(quicktest.Equals), time.Duration(0))
			c.Check(r.convergedAt <= tc.convergedAt, quicktest.IsTrue, quicktest.Commentf("in force after %s", r.convergedAt))
		})
	}
}

// TestControlPlane simulates up to a hundred boxes. Link bandwidths and the number of boxes per
// hall are those of deployments with some wide and many narrow links; loss, freezes and cuts
// last as long as on real platforms.
func TestControlPlane(t *testing.T) {
	cases := map[string]struct {
		scenario scenario
		want     want
	}{
		"three halls of ten": {
			scenario{halls: 3, boxes: 30, duration: 8 * time.Second},
			want{collectors: 1, leads: 1, complete: true, workAge: 150 * ms, confirmationAge: 1500 * ms, readyAt: 200 * ms, calls: 110},
		},
		"five halls of twenty": {
			scenario{halls: 5, boxes: 100, duration: 8 * time.Second},
			want{collectors: 1, leads: 1, complete: true, workAge: 150 * ms, confirmationAge: 1500 * ms, readyAt: 200 * ms, calls: 260},
		},
		"2.5 % loss": {
			scenario{halls: 5, boxes: 100, loss: 0.025, duration: 20 * time.Second},
			want{collectors: 1, leads: 1, complete: true, workAge: 250 * ms, confirmationAge: 1500 * ms, readyAt: 200 * ms, calls: 300},
		},
		"a collector is killed": {
			scenario{halls: 5, boxes: 100, duration: 8 * time.Second, events: []event{{4 * time.Second, killCollector("hall-2")}}},
			want{collectors: 1, leads: 1, roleChanges: 1, gap: time.Second, settled: 5 * time.Second, confirmationAge: 2 * time.Second, calls: 270},
		},
		"the lead is killed": {
			scenario{halls: 5, boxes: 100, duration: 8 * time.Second, events: []event{{4 * time.Second, killCollector("")}}},
			want{collectors: 1, leads: 2, roleChanges: 1, gap: time.Second, settled: 5 * time.Second, confirmationAge: 2400 * ms, calls: 270},
		},
		"the lead freezes": {
			scenario{halls: 5, boxes: 100, duration: 12 * time.Second, events: []event{{4 * time.Second, freezeCollector("", 3*time.Second)}}},
			want{collectors: 2, leads: 2, roleChanges: 2, gap: time.Second, settled: 7500 * ms, confirmationAge: 2400 * ms, calls: 290},
		},
		"all are killed": {
			scenario{halls: 5, boxes: 100, duration: 10 * time.Second, events: []event{{4 * time.Second, killAll}}},
			want{collectors: 2, leads: 5, roleChanges: 10, gap: time.Second, settled: 6 * time.Second, readyAt: 4200 * ms, calls: 500},
		},
		"all lose power, and no seeds are known": {
			scenario{halls: 5, boxes: 100, duration: 10 * time.Second, events: []event{{4 * time.Second, losePower}}},
			want{collectors: 2, leads: 5, roleChanges: 10, gap: 1500 * ms, settled: 7 * time.Second, readyAt: 4200 * ms, calls: 600},
		},
		"a hall loses nine of ten": {
			scenario{halls: 5, boxes: 100, duration: 10 * time.Second, events: []event{{4 * time.Second, killMost("hall-1")}}},
			want{collectors: 2, leads: 2, roleChanges: 2, gap: 1500 * ms, settled: 6 * time.Second, confirmationAge: 2800 * ms, calls: 310},
		},
		"rolling restart, twenty at a time": {
			scenario{halls: 5, boxes: 100, duration: 12 * time.Second, events: rollingRestart(20, 600*ms)},
			want{collectors: 2, leads: 5, roleChanges: 10, gap: 2 * time.Second, confirmationAge: 2800 * ms, calls: 500},
		},
		"a hall is cut off": {
			scenario{halls: 5, boxes: 100, duration: 12 * time.Second, events: []event{{4 * time.Second, cutHall("hall-3")}, {8 * time.Second, heal}}},
			want{collectors: 1, leads: 2, settled: 9500 * ms, confirmationAge: 2 * time.Second, calls: 340},
		},
		"a hall is cut off one way": {
			scenario{halls: 5, boxes: 100, duration: 12 * time.Second, events: []event{{4 * time.Second, cutOneWay("hall-3")}, {8 * time.Second, heal}}},
			want{collectors: 1, leads: 2, settled: 9500 * ms, confirmationAge: 2 * time.Second, calls: 340},
		},
		"the store rejects all": {
			scenario{halls: 5, boxes: 100, duration: 12 * time.Second, events: []event{{4 * time.Second, rejectCalls(all)}, {8 * time.Second, rejectCalls(nil)}}},
			want{collectors: 1, leads: 1, calls: 690},
		},
		"history is lost again and again": {
			scenario{halls: 5, boxes: 100, duration: 10 * time.Second, events: losses(100 * ms)},
			want{collectors: 1, leads: 1, confirmationAge: 2 * time.Second, calls: 500, bytes: 50_000_000},
		},
		"the store rejects half": {
			scenario{halls: 5, boxes: 100, duration: 12 * time.Second, events: []event{{4 * time.Second, rejectCalls(half)}}},
			want{collectors: 1, leads: 1, confirmationAge: 3600 * ms, calls: 490},
		},
		"configurations change": {
			scenario{halls: 5, boxes: 100, duration: 8 * time.Second, events: []event{{4 * time.Second, configure(2)}, {5 * time.Second, configure(3)}}},
			want{collectors: 1, leads: 1, confirmationAge: 1500 * ms, convergedAt: 6 * time.Second, calls: 270},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tc.scenario.measureFrom = start
			r := simulate(t, tc.scenario)
			t.Log(r)
			tc.want.check(t, r)
		})
	}
}

// TestHundreds simulates the largest deployment so far; it takes half a minute.
func TestHundreds(t *testing.T) {
	if testing.Short() {
		t.Skip("skipped in short mode")
	}
	r := simulate(t, scenario{halls: 5, boxes: 295, loss: 0.025, duration: 10 * time.Second, measureFrom: start})
	t.Log(r)
	want{collectors: 1, leads: 1, complete: true, workAge: 300 * ms, confirmationAge: 1600 * ms, readyAt: 200 * ms, calls: 700}.check(t, r)
}

// TestStartWithoutCallers checks that boxes that start together while no callers wait, or some time
// after the others, read the store only where they must, and are ready within some seconds. With
// callers, each box reads at once (TestControlPlane).
func TestStartWithoutCallers(t *testing.T) {
	cases := map[string]struct {
		scenario scenario
		readyAt  time.Duration
		reads    int // reads bounds the reads of whole topics.
	}{
		"one":             {scenario{halls: 1, boxes: 1}, 100 * ms, 2},
		"nine":            {scenario{halls: 3, boxes: 9}, time.Second, 8},
		"a hundred":       {scenario{halls: 5, boxes: 100, loss: 0.025}, 3 * time.Second, 30},
		"three hundred":   {scenario{halls: 5, boxes: 295, loss: 0.025}, 3 * time.Second, 40},
		"all are killed":  {scenario{halls: 5, boxes: 100, events: at4(killAll)}, 7 * time.Second, 60},
		"half are killed": {scenario{halls: 5, boxes: 100, events: at4(restartHalf)}, 5 * time.Second, 40},
		"no seeds":        {scenario{halls: 5, boxes: 100, events: at4(losePower)}, 5 * time.Second, 230},
		"the store is away": {scenario{halls: 5, boxes: 100, events: []event{
			{0, rejectCalls(all)}, {2 * time.Second, rejectCalls(nil)},
		}}, 5 * time.Second, 40},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tc.scenario.idle, tc.scenario.duration, tc.scenario.measureFrom = true, 9*time.Second, 9*time.Second
			r := simulate(t, tc.scenario)
			t.Log(r)
			c := quicktest.New(t)
			c.Check(r.readyAt, quicktest.Not(quicktest.Equals), time.Duration(0))
			c.Check(r.readyAt <= tc.readyAt, quicktest.IsTrue, quicktest.Commentf("ready after %s", r.readyAt))
			reads := r.callsByKind["fetch configuration"] + r.callsByKind["fetch targets"]
			c.Check(reads <= tc.reads, quicktest.IsTrue, quicktest.Commentf("%d reads: %v", reads, r.callsByKind))
		})
	}
}

// restartHalf kills every second box and starts it a moment later.
func restartHalf(d *simulation) {
	d.result.readyAt = 0
	for i, b := range d.boxes {
		if i/d.scenario.halls%2 == 0 {
			b.kill()
			time.AfterFunc(sampleInterval, b.start)
		}
	}
}

func (w want) check(t *testing.T, r result) {
	c := quicktest.New(t)
	c.Check(r.collectors <= w.collectors, quicktest.IsTrue, quicktest.Commentf("simultaneous collectors of a hall: %d", r.collectors))
	c.Check(r.leads <= w.leads, quicktest.IsTrue, quicktest.Commentf("simultaneous leads: %d", r.leads))
	c.Check(r.roleChanges <= w.roleChanges, quicktest.IsTrue, quicktest.Commentf("role changes: %d", r.roleChanges))
	gap := time.Duration(r.vacant) * sampleInterval
	c.Check(gap <= w.gap, quicktest.IsTrue, quicktest.Commentf("role vacant for %s", gap))
	c.Check(!w.complete || r.missingWork == 0, quicktest.IsTrue, quicktest.Commentf("missing state: %d", r.missingWork))
	w.atMost(c, "news", quantile(r.workAges, 0.99), w.workAge)
	w.atMost(c, "proof", quantile(r.confirmationAges, 0.99), w.confirmationAge)
	w.atMost(c, "settled", r.unsettledUntil, w.settled)
	c.Check(r.readyAt, quicktest.Not(quicktest.Equals), time.Duration(0))
	w.atMost(c, "served", r.readyAt, w.readyAt)
	if w.convergedAt > 0 {
		c.Check(r.convergedAt, quicktest.Not(quicktest.Equals), time.Duration(0))
	}
	w.atMost(c, "newest", r.convergedAt, w.convergedAt)
	c.Check(r.calls <= w.calls, quicktest.IsTrue, quicktest.Commentf("calls to the store: %d %v", r.calls, r.callsByKind))
	c.Check(w.bytes == 0 || r.bytes <= w.bytes, quicktest.IsTrue, quicktest.Commentf("bytes between boxes: %d", r.bytes))
}

func (want) atMost(c *quicktest.C, what string, got, most time.Duration) {
	if most > 0 {
		c.Check(got <= most, quicktest.IsTrue, quicktest.Commentf("%s: %s, at most %s", what, got, most))
	}
}
