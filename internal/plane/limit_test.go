//go:build !race

package plane_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/fleet"
)

// traffic has callers ask at all boxes of a scene for targets that name limits.
type traffic struct {
	count int // count is how many targets there are.
	// perSecond is how many requests come in a second, in turns to a plain service and to
	// engines, over the boxes by chance.
	perSecond float64
	// limit returns what a target names at a time of the scene.
	limit func(target int, at time.Duration) barleystep.RateLimit
}

// The two services before which callers ask.
const (
	plainService  = "plain"
	engineService = "engines"
)

var engineModel = &fleet.CostModel{
	Slots: 64, KVTokens: 450_000, Stride: 46, Step: 925 * time.Microsecond,
	PrefillRate: 256_000, PerMillionPairs: 92 * time.Microsecond, MeanPromptTokens: 5_000,
}

// workView is the configuration by which the lead places requests of workloads.
var workView = fleet.NewView(fleet.Configuration{
	Version:  1,
	Services: []fleet.Service{{Name: plainService}, {Name: engineService, Cost: engineModel}},
	Routes: []fleet.Route{{
		Host: "h", Prefix: "/", Kind: fleet.KindStream, MaxPause: 200 * ms,
		Split: []fleet.Share{{Service: engineService, Weight: 1}},
	}},
})

const (
	// runTime is how long a target takes for a request, and patience how long callers wait.
	serviceTime   = 100 * ms
	callerTimeout = 2 * time.Second
	// countWindow, countFactor and countSlack are what a target may get: in any such window
	// so many times what its limit allows, and so many requests besides. It counts from
	// contact after the first box was told, for boxes told toldBefore earlier.
	countWindow  = 4 * time.Second
	countFactor  = 1.5
	countSlack   = 5
	limitGrace   = 3 * time.Second
	reactionTime = 500 * ms
	// startsUp is within what time a box that starts has heard of the others, and of limits.
	startupTime = 500 * ms
)

// pool is the targets of a scene with traffic, and what they got.
type pool struct {
	traffic traffic
	list    []fleet.Target

	mu            sync.Mutex
	arrivals      [][]arrival
	firstInformed []time.Duration // first is when each target first told a box of a limit.
	informedAt    []map[*box]time.Duration
	requests      int
	served        int
}

type arrival struct {
	at       time.Duration
	informed bool
	// young is set if the box had started within startsUp and had not been told: it has
	// heard of no limit yet.
	starting bool
}

func newPool(t traffic) *pool {
	p := &pool{traffic: t, arrivals: make([][]arrival, t.count), firstInformed: make([]time.Duration, t.count)}
	for i := range t.count {
		service := plainService
		if i%2 == 1 {
			service = engineService
		}
		id := fmt.Sprint("target-", i)
		p.list = append(p.list, fleet.Target{ID: barleystep.TargetID(id), Service: service, Addr: id, Slots: engineModel.Slots})
		p.informedAt = append(p.informedAt, make(map[*box]time.Duration))
	}
	return p
}

// targets lists the targets as all boxes read them.
func (p *pool) targets() []fleet.Target { return slices.Clone(p.list) }

// call has callers ask until the scene ends.
func (p *pool) run(d *simulation) {
	var calls sync.WaitGroup
	defer calls.Wait()
	draw := rand.New(rand.NewPCG(d.scenario.seed, 3))
	for d.elapsed() < d.scenario.duration {
		sleep(time.Duration(draw.ExpFloat64() / p.traffic.perSecond * float64(time.Second)))
		b, service := d.boxes[draw.IntN(len(d.boxes))], []string{plainService, engineService}[draw.IntN(2)]
		if l := b.running(); l != nil {
			calls.Go(func() { p.request(b, l, service) })
		}
	}
}

// ask is one request of a caller.
func (p *pool) request(b *box, l *process, service string) {
	p.mu.Lock()
	p.requests++
	p.mu.Unlock()
	sleep(time.Until(b.wakeTime()))
	ctx, cancel := clock.WithDeadline(l.ctx, b, b.Now().Add(callerTimeout))
	defer cancel()
	j := balance.Job{Service: service, Objective: 300 * ms, MaxPause: 200 * ms, FirstEventDeadline: b.Now().Add(callerTimeout)}
	if service == engineService {
		j.Cost, j.PromptTokens, j.OutputTokens = engineModel, 5_000, 500
	}
	place, err := l.balancer.Place(ctx, j)
	if err != nil {
		return
	}
	sent := b.Now()
	sleep(hallDelay)
	index := slices.IndexFunc(p.list, func(t fleet.Target) bool { return t.ID == place.Target.ID })
	p.recordArrival(b, l, index)
	sleep(serviceTime)
	place.NoteStatement(place.Target.ID, barleystep.Statement{Limit: p.answer(b, index)}, sent)
	place.Done(balance.Report{})
}

// arrive notes a request that reaches a target.
func (p *pool) recordArrival(b *box, l *process, target int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := b.sim.elapsed()
	p.served++
	at, told := p.informedAt[target][b]
	p.arrivals[target] = append(p.arrivals[target], arrival{
		at:       now,
		informed: told && now-at >= reactionTime,
		starting: !told && time.Since(l.started) < startupTime,
	})
}

// answer returns the limit that a target names in an answer to a box.
func (p *pool) answer(b *box, target int) barleystep.RateLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := b.sim.elapsed()
	limit := p.traffic.limit(target, now)
	if limit.IsSet() && p.firstInformed[target] == 0 {
		p.firstInformed[target] = now
	}
	if _, told := p.informedAt[target][b]; limit.IsSet() && !told {
		p.informedAt[target][b] = now
	}
	return limit
}

// limitResult is what a scene with limits has shown, over its targets.
type limitResult struct {
	// over is by how many requests the worst window exceeded what was allowed, from boxes
	// that the target had told, and overAll the same from all boxes but young ones.
	excess    float64
	excessAll float64
	// used is the part that was sent of what the targets took, from when it counted.
	utilization float64
}

// count judges what the targets got; allowed returns how many requests the limits of a window
// that ends then allow.
func (p *pool) count(length time.Duration) (r limitResult) {
	r.excess, r.excessAll = -countSlack, -countSlack
	sent, takes := 0, 0.0
	for target, list := range p.arrivals {
		if p.firstInformed[target] == 0 {
			continue
		}
		from := p.firstInformed[target] + limitGrace
		takes += p.allows(target, from, length)
		for i, last := range list {
			if last.at < from {
				continue
			}
			sent++
			begin := max(from, last.at-countWindow)
			all, told := 0, 0
			for _, a := range list[:i+1] {
				if a.at <= begin || a.starting {
					continue
				}
				all++
				if a.informed {
					told++
				}
			}
			allowed := countFactor*p.allows(target, last.at-countWindow, last.at) + countSlack
			r.excess, r.excessAll = max(r.excess, float64(told)-allowed), max(r.excessAll, float64(all)-allowed)
		}
	}
	r.utilization = float64(sent) / max(takes, 1)
	return r
}

// allows returns how many requests a target's limits allow in a span. Where it names none
// there is no bound.
func (p *pool) allows(target int, from, until time.Duration) float64 {
	const step = 10 * ms
	const boundless = 1000
	sum := 0.0
	for at := max(from, 0); at < until; at += step {
		perSecond := float64(boundless)
		if l := p.traffic.limit(target, at); l.IsSet() {
			perSecond = l.PerSecond()
		}
		sum += perSecond * step.Seconds()
	}
	return sum
}

// steady has all targets name the same limit from a second after the start on.
func constant(perSecond float64) func(int, time.Duration) barleystep.RateLimit {
	return func(int, time.Duration) barleystep.RateLimit { return barleystep.NewRateLimit(perSecond) }
}

// flapping has targets name a limit for two seconds of three, each at times of its own.
func flapping(perSecond float64) func(int, time.Duration) barleystep.RateLimit {
	return func(target int, at time.Duration) barleystep.RateLimit {
		if (at+time.Duration(target)*time.Second)%(3*time.Second) < time.Second {
			return barleystep.RateLimit{}
		}
		return barleystep.NewRateLimit(perSecond)
	}
}

// falling has targets name less and less.
func falling(target int, at time.Duration) barleystep.RateLimit {
	return barleystep.NewRateLimit(4 / (1 + at.Seconds()/4))
}

// TestLimitsOverBoxes plays real balancers, gossip and lead before targets that name limits,
// and counts at the targets: in any four seconds none gets more than one and a half times
// what it allows, and five requests, from all boxes together; and where callers ask for more
// than that, what the targets take is used up. A box that stands still, starts or is cut off
// has no share that another one has too; one that has just started knows of no limit until
// it hears of the others.
func TestLimitsOverBoxes(t *testing.T) {
	small := func(length time.Duration, events ...event) scenario {
		return scenario{halls: 3, boxes: 9, duration: length, events: events}
	}
	one := &traffic{count: 12, perSecond: 40, limit: constant(1)}
	cases := map[string]struct {
		scene   scenario
		traffic *traffic
		used    float64 // used is the least part of what the targets take that is sent.
	}{
		"one a second":           {small(24 * time.Second), one, 0.8},
		"one in four seconds":    {small(40 * time.Second), &traffic{12, 20, constant(0.25)}, 0.8},
		"three a second":         {small(24 * time.Second), &traffic{6, 40, constant(3)}, 0.8},
		"twenty a second":        {small(16 * time.Second), &traffic{6, 240, constant(20)}, 0.8},
		"above all that is sent": {small(16 * time.Second), &traffic{6, 20, constant(50)}, 0},
		"limits fall":            {small(24 * time.Second), &traffic{12, 60, falling}, 0.8},
		"limits flap":            {small(24 * time.Second), &traffic{12, 60, flapping(1)}, 0},
		"the lead is killed":     {small(24*time.Second, event{10 * time.Second, killCollector("")}), one, 0.7},
		"the lead stands still":  {small(24*time.Second, event{10 * time.Second, freezeCollector("", 3*time.Second)}), one, 0.7},
		"a hall is cut off":      {small(24*time.Second, event{8 * time.Second, cutHall("hall-2")}, event{16 * time.Second, heal}), one, 0.7},
		"all are killed":         {small(24*time.Second, event{8 * time.Second, killAll}), one, 0.6},
		"a hundred boxes":        {scenario{halls: 5, boxes: 100, loss: 0.025, duration: 16 * time.Second}, &traffic{40, 120, constant(1)}, 0.8},
		"a hundred boxes, rolled": {
			scenario{halls: 5, boxes: 100, duration: 16 * time.Second, events: rollingRestart(20, 600*ms)}, &traffic{40, 120, constant(1)}, 0.6,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playLimits(t, tc.scene, tc.traffic).check(t, tc.used)
		})
	}
}

// TestLimitsOverHundreds is TestLimitsOverBoxes over 300 boxes.
func TestLimitsOverHundreds(t *testing.T) {
	if testing.Short() {
		t.Skip("takes long")
	}
	s := scenario{halls: 5, boxes: 300, duration: 12 * time.Second}
	playLimits(t, s, &traffic{100, 300, constant(0.5)}).check(t, 0.8)
}

func playLimits(t *testing.T, s scenario, traffic *traffic) limitResult {
	p := newPool(*traffic)
	s.workload, s.measureFrom = p, s.duration
	simulate(t, s)
	r := p.count(s.duration)
	t.Logf("%+v, %d of %d served", r, p.served, p.requests)
	return r
}

func (r limitResult) check(t *testing.T, used float64) {
	quicktest.Check(t, r.excess <= 0, quicktest.IsTrue, quicktest.Commentf("over by %.1f", r.excess))
	quicktest.Check(t, r.excessAll <= 0, quicktest.IsTrue, quicktest.Commentf("over by %.1f from all boxes", r.excessAll))
	quicktest.Check(t, r.utilization >= used, quicktest.IsTrue, quicktest.Commentf("used %.2f", r.utilization))
}
