//go:build !race

package plane_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/fleet"
)

// cutWorkload sends requests at boxes of which some lose their links to all targets for a while.
type cutWorkload struct {
	engines   int
	perSecond float64
	// isCut selects the boxes that are cut, and mode is how.
	isCut func(d *simulation, b *box) bool
	mode  linkMode
	// crowded is set if most callers come to one box, one that is cut.
	crowded bool

	mu   sync.Mutex
	list []fleet.Target
	cut  map[*box]bool
	// knownAt is when the last of the cut boxes knew that it is, and knownAgainAt when the last knew
	// that it is not any more.
	knownAt, knownAgainAt time.Duration
	// first and served count the requests at cut boxes while they are cut, from reactionTime on.
	first, served int
	// others and othersServed count those at other boxes in the whole run.
	others, othersServed int
	// through counts the connections through each box, and far those through a box of another hall.
	through map[*process]int
	far     int
	// sharing is how many boxes are to share these connections.
	sharing int
	// sick counts samples in which a box that was not cut held a target for down, and wrong those in
	// which it held itself for cut off.
	sick, wrong int
	// afterwards counts requests at the formerly cut boxes that were refused after the cut.
	afterwards int
}

const (
	cutAt   = 5 * time.Second
	cutEnds = 10 * time.Second
	// cutRunEnds is the end of a scenario with a cut.
	cutRunEnds = 13 * time.Second
)

func (*cutWorkload) view() *fleet.View { return plainView }

func (w *cutWorkload) targets() []fleet.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := len(w.list); i < w.engines; i++ {
		id := fmt.Sprint("engine-", i)
		w.list = append(w.list, fleet.Target{ID: barleystep.TargetID(id), Service: engineService, Addr: id, Slots: engineModel.Slots})
	}
	return w.list
}

// generate sends requests, and cuts boxes off meanwhile, until the scenario ends.
func (w *cutWorkload) generate(d *simulation) {
	var calls sync.WaitGroup
	defer calls.Wait()
	calls.Go(func() { w.inject(d) })
	sleep(start)
	draw := rand.New(rand.NewPCG(d.scenario.seed, 7))
	for number := 0; d.elapsed() < d.scenario.duration; number++ {
		sleep(time.Duration(draw.ExpFloat64() / w.perSecond * float64(time.Second)))
		b := d.boxes[draw.IntN(len(d.boxes))]
		if w.crowded && draw.IntN(crowdEvery) > 0 {
			b = d.boxes[0]
		}
		if l := b.running(); l != nil {
			calls.Go(func() { w.request(d, b, l, fmt.Sprint(number)) })
		}
	}
}

// inject cuts the boxes and samples what boxes believe.
func (w *cutWorkload) inject(d *simulation) {
	sleep(cutAt)
	w.mu.Lock()
	w.cut, w.through = make(map[*box]bool), make(map[*process]int)
	for _, b := range d.boxes {
		if w.isCut(d, b) {
			w.cut[b] = true
			d.links.set(b, w.mode)
		}
	}
	w.countSharing(d)
	w.mu.Unlock()
	for d.elapsed() < cutEnds {
		sleep(sampleInterval)
		w.sampleBeliefs(d, true)
	}
	for b := range w.cut {
		d.links.set(b, linkOpen)
	}
	for d.elapsed() < cutRunEnds {
		sleep(sampleInterval)
		w.sampleBeliefs(d, false)
	}
}

// sampleBeliefs samples which boxes hold themselves for cut off, and targets for down.
func (w *cutWorkload) sampleBeliefs(d *simulation, during bool) {
	for _, b := range d.boxes {
		l := b.running()
		switch {
		case l == nil:
		case w.cut[b]:
			w.sampleCutBox(d, l, during)
		case l.monitor.IsCutOff():
			w.wrong++
		case d.elapsed() > cutAt+startupTime && w.anyDown(l):
			w.sick++
		}
	}
}

// sampleCutBox samples whether a cut box knows its state.
func (w *cutWorkload) sampleCutBox(d *simulation, l *process, during bool) {
	switch known := l.monitor.IsCutOff(); {
	case during && !known:
		w.knownAt = d.elapsed() - cutAt
	case !during && known:
		w.knownAgainAt = d.elapsed() - cutEnds
	}
}

func (w *cutWorkload) anyDown(l *process) bool {
	for _, t := range w.targets() {
		if l.balancer.IsDown(t.ID) {
			return true
		}
	}
	return false
}

// request sends one request of a caller, which a box tries at most maxDials targets for.
func (w *cutWorkload) request(d *simulation, b *box, l *process, id string) {
	arrived := d.elapsed()
	ctx, cancel := clock.WithDeadline(l.ctx, b, b.Now().Add(callerTimeout))
	defer cancel()
	j := balance.Job{
		RequestID: id, Service: engineService, Objective: 300 * ms, MaxPause: 200 * ms,
		Cost: engineModel, PromptTokens: 5_000, OutputTokens: 500, FirstEventDeadline: b.Now().Add(callerTimeout),
	}
	served := false
	for dials := 0; dials < maxDials && !served && ctx.Err() == nil; dials++ {
		p, err := l.balancer.Place(ctx, j)
		if err != nil {
			break
		}
		c, err := l.dialer.Dial(ctx, p.Target.Addr)
		if err != nil {
			noPath := eris.Is(err, barleystep.ErrNoPath)
			p.Done(balance.Report{Unreachable: !noPath, NoPath: noPath})
			j.Avoid = append(j.Avoid, p.Target.ID)
			continue
		}
		served = true
		conn := c.(*targetConn)
		w.noteRelay(d, b, conn)
		sleep(serviceTime + conn.serviceDelay())
		p.Done(balance.Report{})
	}
	w.count(d, b, arrived, served)
}

// noteRelay counts a connection through another box.
func (w *cutWorkload) noteRelay(d *simulation, b *box, c *targetConn) {
	if c.relay == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.through == nil || d.elapsed() > cutEnds {
		return // Not during the cut.
	}
	w.through[c.relay]++
	for _, o := range d.boxes {
		if o.running() == c.relay && o.hall != b.hall {
			w.far++
		}
	}
}

// count counts a request that arrived at the given time.
func (w *cutWorkload) count(d *simulation, b *box, arrived time.Duration, served bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.cut[b]:
		w.others++
		if served {
			w.othersServed++
		}
	case arrived > cutAt && arrived < cutEnds:
		w.first++
		if served {
			w.served++
		}
	case arrived > cutEnds && arrived < cutRunEnds-callerTimeout && !served:
		w.afterwards++
	}
}

// most returns the most connections that one box made for others, and the mean over the boxes that are
// to share them: the sound ones of the halls with cut boxes, or all sound ones if there are none.
func (w *cutWorkload) most() (most int, mean float64) {
	total := 0
	for _, n := range w.through {
		most = max(most, n)
		total += n
	}
	return most, float64(total) / float64(max(w.sharing, 1))
}

// countSharing counts the boxes that are to share the connections of the cut ones.
func (w *cutWorkload) countSharing(d *simulation) {
	halls := make(map[string]bool)
	for b := range w.cut {
		halls[b.hall] = true
	}
	near, all := 0, 0
	for _, b := range d.boxes {
		if w.cut[b] {
			continue
		}
		all++
		if halls[b.hall] {
			near++
		}
	}
	w.sharing = near
	if near == 0 {
		w.sharing = all
	}
}

// String returns a summary.
func (w *cutWorkload) String() string {
	most, mean := w.most()
	return fmt.Sprintf("%d cut; %d of %d served at them, %d of %d at others; known after %v, again after %v; %d refused afterwards; "+
		"through %d boxes, %.1f each, at most %d, %d in another hall; targets down in %d samples, wrongly cut off in %d",
		len(w.cut), w.served, w.first, w.othersServed, w.others, w.knownAt, w.knownAgainAt, w.afterwards,
		len(w.through), mean, most, w.far, w.sick, w.wrong)
}

func firstOfHall(hall string, n int) func(*simulation, *box) bool {
	return func(d *simulation, b *box) bool { return b.hall == hall && b.index/d.scenario.halls < n }
}

// TestCutOverBoxes runs real balancers, gossip, lead and relays while boxes lose their links to all
// targets: half of a hall, a whole one, most boxes, the lead. First tries at these boxes must be
// served as at others from the first moment on, the others must not hold any target for down, and
// none but the cut boxes may regard itself as cut off.
func TestCutOverBoxes(t *testing.T) {
	sixOfNine := func(_ *simulation, b *box) bool { return b.index%3 != 2 }
	isLead := func(d *simulation, b *box) bool { return d.collector("") == b }
	collectors := func(_ *simulation, b *box) bool { return b.running().plane.Node().IsCollector() }
	nobody := func(*simulation, *box) bool { return false }
	nine := scenario{halls: 3, boxes: 9, duration: cutRunEnds}
	many := scenario{halls: 3, boxes: 66, loss: 0.025, duration: cutRunEnds}
	cases := map[string]struct {
		scenario scenario
		load     *cutWorkload
		// The most connections through one box are bounded by spread times the mean, and initial more:
		// the first connection of each cut box goes to a collector of another hall, drawn at random.
		spread, initial float64
	}{
		"nobody":                  {nine, &cutWorkload{engines: 18, perSecond: 40, isCut: nobody}, 0, 0},
		"one box, refused":        {nine, &cutWorkload{engines: 18, perSecond: 40, isCut: firstOfHall("hall-1", 1), mode: linkRefuses}, 2, 0},
		"six of nine, refused":    {nine, &cutWorkload{engines: 18, perSecond: 40, isCut: sixOfNine, mode: linkRefuses}, 2, 0},
		"six of nine, silent":     {nine, &cutWorkload{engines: 18, perSecond: 40, isCut: sixOfNine, mode: linkSilent}, 2, 0},
		"a hall, refused":         {nine, &cutWorkload{engines: 18, perSecond: 40, isCut: firstOfHall("hall-1", 3), mode: linkRefuses}, 2, 0},
		"a hall, silent":          {nine, &cutWorkload{engines: 18, perSecond: 40, isCut: firstOfHall("hall-1", 3), mode: linkSilent}, 2, 0},
		"the lead, silent":        {nine, &cutWorkload{engines: 18, perSecond: 40, isCut: isLead, mode: linkSilent}, 2, 0},
		"the collectors, refused": {nine, &cutWorkload{engines: 18, perSecond: 40, isCut: collectors, mode: linkRefuses}, 2, 0},
		"half of a large hall":    {many, &cutWorkload{engines: 78, perSecond: 200, isCut: firstOfHall("hall-1", 11), mode: linkSilent}, 2, 0},
		"one box, crowded":        {nine, &cutWorkload{engines: 18, perSecond: 40, isCut: firstOfHall("hall-1", 1), mode: linkRefuses, crowded: true}, 2, 0},
		"half a hall, crowded":    {many, &cutWorkload{engines: 78, perSecond: 200, isCut: firstOfHall("hall-1", 11), mode: linkSilent, crowded: true}, 2, 0},
		"a hall, crowded":         {many, &cutWorkload{engines: 78, perSecond: 200, isCut: firstOfHall("hall-1", 22), mode: linkRefuses, crowded: true}, 2, 22},
		"a large hall":            {many, &cutWorkload{engines: 78, perSecond: 200, isCut: firstOfHall("hall-1", 22), mode: linkRefuses}, 2, 22},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := tc.load
			tc.scenario.load, tc.scenario.measureFrom = w, tc.scenario.duration
			simulate(t, tc.scenario)
			t.Log(w)
			c := quicktest.New(t)
			c.Check(float64(w.served) >= 0.97*float64(w.first), quicktest.IsTrue)
			c.Check(float64(w.othersServed) >= 0.99*float64(w.others), quicktest.IsTrue)
			c.Check(w.afterwards, quicktest.Equals, 0)
			c.Check(w.sick, quicktest.Equals, 0)
			c.Check(w.wrong, quicktest.Equals, 0)
			c.Check(w.knownAgainAt < time.Second, quicktest.IsTrue)
			if most, mean := w.most(); tc.spread > 0 {
				c.Check(float64(most) <= tc.spread*mean+tc.initial, quicktest.IsTrue)
			}
		})
	}
}

var playFleet = flag.Bool("fleet", false, "play scenarios of the size of the whole fleet, which take minutes")

// TestCutOverFleet plays half of a hall that is cut off at the size of the whole fleet. It is run by
// hand, for the figures of docs/CAPACITY.md.
func TestCutOverFleet(t *testing.T) {
	if !*playFleet {
		t.Skip("run by hand with -fleet")
	}
	w := &cutWorkload{engines: 150, perSecond: 166, isCut: firstOfHall("hall-1", 98), mode: linkSilent}
	simulate(t, scenario{halls: 5, boxes: 984, loss: 0.025, duration: cutRunEnds, load: w, measureFrom: cutRunEnds})
	t.Log(w)
	quicktest.Check(t, float64(w.served) >= 0.97*float64(w.first), quicktest.IsTrue)
	quicktest.Check(t, w.wrong, quicktest.Equals, 0)
}
