package lab

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/timeline"
)

// newTestDay returns a day of the scenario with a single prompt of the kind.
func newTestDay(kind int) (d *day, r *request) {
	l := halfOverMemory(rand.New(rand.NewPCG(1, 0)))
	d = newDay(l, Balancer, 1)
	r = &request{kind: kind, prompt: 4960, events: 3, tightestPause: l.Kinds[0].MaxPause, size: 1}
	d.allRequests = []*request{r}
	d.startUsage()
	return d, r
}

// TestReturn checks that a caller comes back when it was told to, even if that is later than it
// would wait for an event: it was counted as gone meanwhile.
func TestReturn(t *testing.T) {
	c := quicktest.New(t)
	d, r := newTestDay(0)
	r.tries = 1
	d.watchPatience(r, 1)
	d.timeline.After(1500*time.Millisecond, func() { d.refuse(r, balance.ErrFull) })
	d.timeline.RunUntil(3 * time.Second)
	c.Check(r.ended, quicktest.IsFalse)
	d.timeline.RunUntil(10 * time.Second)
	c.Check(r.tries, quicktest.Equals, 2)
	c.Check(r.received, quicktest.Equals, r.events)
	c.Check(d.measure().FoundCapacity, quicktest.Equals, 1)
}

// TestRefusal checks what is counted of a refused long prompt: that demand was low, that it has
// waited in vain, and in which window.
func TestRefusal(t *testing.T) {
	c := quicktest.New(t)
	d, r := newTestDay(2)
	r.tries = 1
	d.timeline.After(2500*time.Millisecond, func() { d.refuse(r, balance.ErrFull) })
	d.timeline.RunUntil(3 * time.Second)
	res := d.measure()
	c.Check(res.RefusedAtLowDemand, quicktest.Equals, 1)
	c.Check(res.Kinds[2].WaitedInVain, quicktest.Equals, 1)
	c.Check(res.Windows[0].Refused, quicktest.Equals, 0)
	c.Check(res.Windows[1].Refused, quicktest.Equals, 1)
}

// TestLoadProfile checks the factor on all rates of a cycle of phases.
func TestLoadProfile(t *testing.T) {
	c := quicktest.New(t)
	l := shortOverload(rand.New(rand.NewPCG(1, 0)))
	for at, want := range map[time.Duration]float64{0: 2, 1999 * time.Millisecond: 2, 2 * time.Second: 0.1, 9 * time.Second: 0.1, 11 * time.Second: 2} {
		c.Check(l.phaseFactor(at), quicktest.Equals, want)
	}
	c.Check(l.peakPhaseFactor(), quicktest.Equals, 2.0)
}

// fakePlanner is a planner whose only prompt starts at a time; it is placed on the second try.
type fakePlanner struct {
	start  time.Time
	served []time.Time
	now    func() time.Time
}

// NextStart returns the planned start.
func (p *fakePlanner) NextStart() time.Time { return p.start }

// ServePlanned notes the time.
func (p *fakePlanner) ServePlanned() {
	if p.served = append(p.served, p.now()); len(p.served) > 1 {
		p.start = time.Time{}
	}
}

// TestPlannedStart checks that a planned start is served once at its time, however often the box is
// polled before, and again a little later while it stays due.
func TestPlannedStart(t *testing.T) {
	c := quicktest.New(t)
	d, _ := newTestDay(0)
	b := d.boxes[0]
	p := &fakePlanner{start: d.timeline.Now().Add(70 * time.Millisecond), now: d.timeline.Now}
	b.planner = p
	d.poll(b)
	d.poll(b)
	d.timeline.RunUntil(time.Second)
	c.Check(p.served, quicktest.HasLen, 2)
	c.Check(p.served[0].Equal(timeline.At(70*time.Millisecond)), quicktest.IsTrue)
	c.Check(p.served[1].Equal(timeline.At(71*time.Millisecond)), quicktest.IsTrue)
}
