package balance_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/fleet"
)

const (
	// speedStep is the resolution of the simulated time and speedTick the interval of gossip.
	speedStep = 2 * time.Millisecond
	speedTick = 50 * time.Millisecond
	// streamTime is how long a stream lasts after its first event.
	streamTime = 200 * time.Millisecond
	// streamSpacing is the mean time between two prompts of an engine.
	streamSpacing = 48 * time.Millisecond
)

// speedFleet is some boxes that send short prompts to some engines, which prefill them one after the
// other.
type speedFleet struct {
	clock   *clock.Manual
	targets []fleet.Target
	boxes   []*balance.Balancer
	// slow is the factor by which each engine takes longer than its model, and delay that by which
	// each box sees all answers late.
	slow  []float64
	delay []float64
	// interval is the time between two prompts of all boxes.
	interval time.Duration
	// older is set if the boxes' collector runs a version that passes on no speeds.
	older bool

	busyUntil []time.Time
	tries     []*speedTry
	placed    int
	// lines holds the log lines of the first box.
	lines *bytes.Buffer
}

// speedTry is a prompt in progress.
type speedTry struct {
	placement *balance.Placement
	first     time.Time
	isDecoded bool
}

func newSpeedFleet(engines, boxes int) *speedFleet {
	s := &speedFleet{clock: clock.NewManual(time.Unix(1000, 0)), lines: &bytes.Buffer{}}
	s.interval = streamSpacing / time.Duration(engines)
	s.targets = newFixture(engines).targets
	for i := range s.targets {
		s.targets[i].Slots = 12
	}
	s.busyUntil = make([]time.Time, engines)
	for range engines {
		s.slow = append(s.slow, 1)
	}
	for i := range boxes {
		s.delay = append(s.delay, 1)
		s.boxes = append(s.boxes, &balance.Balancer{
			Clock: s.clock, Hall: "h", Targets: func() []fleet.Target { return s.targets },
			Rand: rand.New(rand.NewPCG(7, uint64(i))),
		})
	}
	for _, b := range s.boxes {
		b.SetRole(balance.Role{Boxes: boxes, Reachable: boxes})
	}
	s.boxes[0].Log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: s.lines}}
	return s
}

// run lets the time pass and returns how many prompts each engine was given in it.
func (s *speedFleet) run(length time.Duration) (counts []int) {
	counts = make([]int, len(s.targets))
	start := s.clock.Now()
	for s.clock.Now().Sub(start) < length {
		s.clock.Advance(speedStep)
		elapsed := s.clock.Now().Sub(time.Unix(1000, 0))
		s.answer()
		if elapsed%speedTick == 0 {
			s.gossip()
		}
		if elapsed%s.interval == 0 {
			s.send(counts)
		}
	}
	return counts
}

// answer delivers the first events and the ends that are due.
func (s *speedFleet) answer() {
	var left []*speedTry
	now := s.clock.Now()
	for _, a := range s.tries {
		if !a.isDecoded && !now.Before(a.first) {
			a.placement.NoteFirstEvent()
			a.isDecoded = true
		}
		if now.Before(a.first.Add(streamTime)) {
			left = append(left, a)
			continue
		}
		a.placement.Done(balance.Report{})
	}
	s.tries = left
}

// gossip tells each box the sum of all others.
func (s *speedFleet) gossip() {
	var own []balance.Snapshot
	for _, b := range s.boxes {
		own = append(own, b.Snapshot())
	}
	for i, b := range s.boxes {
		others := balance.NewSnapshot()
		for k, o := range own {
			if k != i {
				others.Add(o)
			}
		}
		if s.older {
			others = withoutSpeeds(own[i])
			others.Remove(own[i])
		}
		b.SetOthers(others)
	}
}

// withoutSpeeds returns the work as an older box passes it on.
func withoutSpeeds(s balance.Snapshot) balance.Snapshot {
	older := balance.NewSnapshot()
	for key, w := range s.Work {
		w.ObservedTTFT, w.ExpectedTTFT = 0, 0
		older.Work[key] = w
	}
	return older
}

// send has the next box place a prompt.
func (s *speedFleet) send(counts []int) {
	box := s.placed % len(s.boxes)
	s.placed++
	p, w, err := s.boxes[box].TryPlace(context.Background(), engineJob(shortPrompt))
	if w != nil {
		p, err = s.boxes[box].Abandon(w)
	}
	if err != nil || p == nil {
		return
	}
	now := s.clock.Now()
	for i, t := range s.targets {
		if t.ID != p.Target.ID {
			continue
		}
		counts[i]++
		begin := now
		if s.busyUntil[i].After(begin) {
			begin = s.busyUntil[i]
		}
		s.busyUntil[i] = begin.Add(time.Duration(s.slow[i] * float64(cost.Prefill(shortPrompt))))
		ttft := s.busyUntil[i].Add(time.Duration(s.slow[i] * float64(cost.Pass()))).Sub(now)
		s.tries = append(s.tries, &speedTry{placement: p, first: now.Add(time.Duration(s.delay[box] * float64(ttft)))})
	}
}

// slowTargets returns how many targets some box takes to be slow.
func (s *speedFleet) slowTargets() (n int) {
	for _, t := range s.targets {
		for _, b := range s.boxes {
			if b.TargetStatus(t.ID).Slowness > 1 {
				n++
				break
			}
		}
	}
	return n
}

func sum(counts []int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

// TestSlowTarget checks that a target that becomes four times slower gets few short prompts after two
// seconds, and that it is used as before two seconds after its recovery: nothing else tells a slow
// target from a busy one.
func TestSlowTarget(t *testing.T) {
	// The divisor gives the largest part of an even share. Nine boxes without a lead each know a ninth
	// of the answers and choose by reports of the others that are up to 50 ms old.
	cases := map[string]struct{ engines, boxes, divisor int }{
		"six engines, one box":        {6, 1, 4},
		"six engines, nine boxes":     {6, 9, 2},
		"twelve engines, three boxes": {12, 3, 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newSpeedFleet(tc.engines, tc.boxes)
			s.run(6 * time.Second)
			c.Check(s.slowTargets(), quicktest.Equals, 0)
			s.slow[0] = 4
			s.run(2 * time.Second)
			for range 3 {
				counts := s.run(2 * time.Second)
				c.Check(counts[0] > 0, quicktest.IsTrue) // Probes notice the recovery.
				c.Check(tc.divisor*tc.engines*counts[0] < sum(counts), quicktest.IsTrue, quicktest.Commentf("%v", counts))
			}
			s.slow[0] = 1
			s.run(2 * time.Second)
			c.Check(s.slowTargets(), quicktest.Equals, 0)
			counts := s.run(2 * time.Second)
			c.Check(2*tc.engines*counts[0] > sum(counts), quicktest.IsTrue, quicktest.Commentf("%v", counts))
			lines := s.lines.String()
			c.Check(strings.Count(lines, "much slower than others"), quicktest.Equals, 1, quicktest.Commentf("%s", lines))
			c.Check(strings.Count(lines, "as fast as others again"), quicktest.Equals, 1)
		})
	}
}

// TestNoSlowTarget checks which differences make no target slow: they are faults of a box or of the
// cost model, or too small to tell from noise.
func TestNoSlowTarget(t *testing.T) {
	cases := map[string]func(s *speedFleet){
		"one box sees all answers late": func(s *speedFleet) { s.delay[0] = 3 },
		"the cost model is wrong": func(s *speedFleet) {
			for i := range s.slow {
				s.slow[i] = 3
			}
		},
		"a half slower": func(s *speedFleet) { s.slow[0] = 1.5 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSpeedFleet(6, 3)
			s.interval *= 2
			change(s)
			for range 40 {
				s.run(250 * time.Millisecond)
				quicktest.Assert(t, s.slowTargets(), quicktest.Equals, 0)
			}
		})
	}
}

// TestRestartForgetsSpeed checks that the next incarnation of a slow target is not slow, whatever
// peers still report of the one before.
func TestRestartForgetsSpeed(t *testing.T) {
	c := quicktest.New(t)
	s := newSpeedFleet(6, 2)
	for i := range s.targets {
		s.targets[i].StartMS = 100
	}
	s.slow[0] = 4
	s.run(6 * time.Second)
	c.Assert(s.slowTargets(), quicktest.Equals, 1)
	s.slow[0], s.targets[0].StartMS = 1, 200
	s.boxes[0].DetectRestarts()
	c.Check(s.boxes[0].TargetStatus("i-00").Slowness, quicktest.Equals, 1.0)
	s.boxes[1].DetectRestarts()
	for range 8 {
		s.run(250 * time.Millisecond)
		c.Check(s.slowTargets(), quicktest.Equals, 0)
	}
}

// peerSpeeds returns the gossip of boxes by which the targets with the given indices are four times
// slower than the others.
func peerSpeeds(targets []fleet.Target, slow ...int) balance.Snapshot {
	s := balance.NewSnapshot()
	for i, t := range targets {
		w := balance.Work{ObservedTTFT: 3 * time.Second, ExpectedTTFT: 3 * time.Second}
		if slices.Contains(slow, i) {
			w.ObservedTTFT *= 4
		}
		s.Work[balance.KeyOfTarget(t)] = w
	}
	return s
}

// TestSlowEngineTakesNoPart checks that a slow engine, as peers report it, takes no part of a long
// prompt, unless its KV cache is needed.
func TestSlowEngineTakesNoPart(t *testing.T) {
	cases := map[string]struct {
		engines int
		prompt  int
		want    bool
	}{
		"long":                          {6, longPrompt, false},
		"oversized, others have enough": {6, 500_000, false},
		"oversized, all are needed":     {3, 500_000, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(tc.engines)
			f.SetOthers(peerSpeeds(f.targets, 2))
			f.place(t, engineJob(shortPrompt)).Done(balance.Report{})
			f.Snapshot() // This decides which of the targets that have been used are slow.
			c.Assert(f.TargetStatus("i-02").Slowness > 2, quicktest.IsTrue)
			j := engineJob(tc.prompt)
			j.Objective = 6 * time.Second
			for range 10 {
				p, _, err := f.TryPlace(context.Background(), j)
				c.Assert(err, quicktest.IsNil)
				c.Assert(p, quicktest.IsNotNil)
				used := p.Target.ID == "i-02"
				for _, h := range p.Helpers {
					used = used || h.ID == "i-02"
				}
				c.Check(used, quicktest.Equals, tc.want)
				p.Done(balance.Report{})
			}
		})
	}
}

// TestSpeedChangesNoChoice checks that all choices are the same, draw by draw, whether or not boxes
// know the speed of targets of which none is slow.
func TestSpeedChangesNoChoice(t *testing.T) {
	choices := func(others func(f *fixture) balance.Snapshot) (list []string) {
		f := newFixture(18)
		f.Rand = rand.New(rand.NewPCG(3, 4))
		f.SetOthers(others(f))
		f.place(t, engineJob(shortPrompt)).Done(balance.Report{})
		f.Snapshot()
		for i := range 300 {
			j := engineJob([]int{shortPrompt, shortPrompt, longPrompt, 500_000}[i%4])
			j.Objective = 3 * time.Second
			p, w, err := f.TryPlace(context.Background(), j)
			if w != nil {
				p, err = f.Abandon(w)
			}
			if err != nil {
				list = append(list, err.Error())
				continue
			}
			list = append(list, fmt.Sprint(p.Target.ID, p.Helpers, p.ExpectedTTFT()))
			if i%3 > 0 {
				p.Done(balance.Report{})
			}
		}
		return list
	}
	unknown := choices(func(*fixture) balance.Snapshot { return balance.NewSnapshot() })
	known := choices(func(f *fixture) balance.Snapshot {
		s := peerSpeeds(f.targets)
		for i, t := range f.targets {
			w := s.Work[balance.KeyOfTarget(t)]
			w.ObservedTTFT += time.Duration(i) * 80 * time.Millisecond
			s.Work[balance.KeyOfTarget(t)] = w
		}
		return s
	})
	quicktest.Check(t, known, quicktest.DeepEquals, unknown)
}

// TestOlderCollector checks that a box whose collector doesn't pass on speeds goes by its own
// observations: the sum without them, less its own work, has negative ones.
func TestOlderCollector(t *testing.T) {
	c := quicktest.New(t)
	s := newSpeedFleet(6, 1)
	s.slow[0] = 4
	s.older = true
	s.run(6 * time.Second)
	c.Check(s.slowTargets(), quicktest.Equals, 1)
	s.slow[0] = 1
	s.run(2 * time.Second)
	c.Check(s.slowTargets(), quicktest.Equals, 0)
}

// TestReportedLoad checks that the load that a target states counts as a lower bound of what it has,
// for a short time.
func TestReportedLoad(t *testing.T) {
	cases := map[string]struct {
		running, waiting int
		wait             time.Duration
		want             barleystep.TargetID
	}{
		"more than known":       {3, 2, 0, "i-01"},
		"waiting only":          {0, 5, 0, "i-01"},
		"still valid":           {3, 2, 190 * time.Millisecond, "i-01"},
		"expired":               {3, 2, 200 * time.Millisecond, "i-00"},
		"fewer than known":      {0, 0, 0, "i-00"},
		"as many as are placed": {1, 0, 0, "i-00"},
	}
	for name, tc := range cases {
		for kind, j := range map[string]balance.Job{"plain": plainJob(), "short": engineJob(shortPrompt)} {
			t.Run(name+", "+kind, func(t *testing.T) {
				f := newFixture(2)
				others := balance.NewSnapshot()
				others.Work[balance.KeyOf("i-01")] = balance.Work{Short: 3}
				f.SetOthers(others)
				load, ok := barleystep.NewReportedLoad(tc.running, tc.waiting, 4)
				quicktest.Assert(t, ok, quicktest.IsTrue)
				p := f.place(t, only(0, f))
				p.NoteStatement("i-00", barleystep.Statement{Load: load}, f.clock.Now())
				f.clock.Advance(tc.wait)
				for range 20 {
					next := f.place(t, j)
					quicktest.Check(t, next.Target.ID, quicktest.Equals, tc.want)
					next.Done(balance.Report{})
				}
			})
		}
	}
}
