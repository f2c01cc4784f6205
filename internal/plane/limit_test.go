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

// traffic describes requests at all boxes of a scenario to targets that state limits.
type traffic struct {
	count int // count is the number of targets.
	// perSecond is the total rate of requests, which go alternately to a plain service and to
	// engines through random boxes.
	perSecond float64
	// limit returns the limit that a target states at a time of the scenario.
	limit func(target int, at time.Duration) barleystep.RateLimit
	// cold targets accept coldRate requests a second from coldFrom until coldUntil.
	coldRate            barleystep.RateLimit
	coldFrom, coldUntil time.Duration
	// crowdFrom is since when most callers come to one box at a time; zero means never.
	crowdFrom time.Duration
}

// The two services that callers request.
const (
	plainService  = "plain"
	engineService = "engines"
)

var engineModel = &fleet.CostModel{
	Slots: 64, KVTokens: 450_000, Stride: 46, Step: 925 * time.Microsecond,
	PrefillRate: 256_000, PerMillionPairs: 92 * time.Microsecond, MeanPromptTokens: 5_000,
}

// plainView is the configuration of workloads without cold targets.
var plainView = workView(barleystep.RateLimit{})

// workView returns the configuration with which the lead places the requests of workloads.
func workView(coldLimit barleystep.RateLimit) *fleet.View {
	return fleet.NewView(fleet.Configuration{
		Version:  1,
		Services: []fleet.Service{{Name: plainService, ColdLimit: coldLimit}, {Name: engineService, Cost: engineModel, ColdLimit: coldLimit}},
		Routes: []fleet.Route{{
			Host: "h", Prefix: "/", Kind: fleet.KindStream, MaxPause: 200 * ms,
			Split: []fleet.Share{{Service: engineService, Weight: 1}},
		}},
	})
}

const (
	// serviceTime is how long a target takes for a request, and callerTimeout how long callers
	// wait.
	serviceTime   = 100 * ms
	callerTimeout = 2 * time.Second
	// countWindow, countFactor and countSlack bound the requests that a target may get: in any
	// such window, countFactor times what its limit allows, plus countSlack requests. The bound
	// applies from limitGrace after the first box was informed, to boxes informed at least
	// reactionTime earlier.
	countWindow  = 4 * time.Second
	countFactor  = 1.5
	countSlack   = 5
	limitGrace   = 3 * time.Second
	reactionTime = 500 * ms
	// crowdTime is how long one box has most callers, all but one in crowdEvery.
	crowdTime  = 4 * time.Second
	crowdEvery = 20
	// startupTime is the time within which a starting box has heard of the others, and of
	// limits.
	startupTime = 500 * ms
)

// pool is the targets of a scenario with traffic, and the requests that they received.
type pool struct {
	traffic       traffic
	configuration *fleet.View
	list          []fleet.Target

	mu            sync.Mutex
	started       time.Time // started is when the first box listed the targets.
	arrivals      [][]arrival
	firstInformed []time.Duration // firstInformed is when each target first stated a limit to a box.
	informed      []map[*box]time.Duration
	requests      int
	served        int
}

type arrival struct {
	at       time.Duration
	informed bool
	// starting is set if the box started less than startupTime ago and was not informed: it
	// knows of no limit yet.
	starting bool
}

func newPool(t traffic) *pool {
	p := &pool{traffic: t, configuration: workView(t.coldRate), arrivals: make([][]arrival, t.count), firstInformed: make([]time.Duration, t.count)}
	for i := range t.count {
		service := plainService
		if i%2 == 1 {
			service = engineService
		}
		id := fmt.Sprint("target-", i)
		p.list = append(p.list, fleet.Target{ID: barleystep.TargetID(id), Service: service, Addr: id, Slots: engineModel.Slots})
		p.informed = append(p.informed, make(map[*box]time.Duration))
	}
	return p
}

// targets returns the targets as all boxes read them.
func (p *pool) targets() []fleet.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := slices.Clone(p.list)
	if p.started.IsZero() {
		p.started = time.Now()
	}
	if p.traffic.coldRate.IsSet() && time.Since(p.started) >= p.traffic.coldFrom {
		for i := range list {
			list[i].ColdUntil = p.started.Add(p.traffic.coldUntil)
		}
	}
	return list
}

func (p *pool) view() *fleet.View { return p.configuration }

// generate sends requests until the scenario ends.
func (p *pool) generate(d *simulation) {
	var calls sync.WaitGroup
	defer calls.Wait()
	draw := rand.New(rand.NewPCG(d.scenario.seed, 3))
	for d.elapsed() < d.scenario.duration {
		sleep(time.Duration(draw.ExpFloat64() / p.traffic.perSecond * float64(time.Second)))
		b, service := p.drawBox(d, draw), []string{plainService, engineService}[draw.IntN(2)]
		if l := b.running(); l != nil {
			calls.Go(func() { p.request(b, l, service) })
		}
	}
}

// drawBox returns the box at which a caller arrives. From crowdFrom on most callers come to one box,
// to another one every crowdTime.
func (p *pool) drawBox(d *simulation, draw *rand.Rand) *box {
	b := d.boxes[draw.IntN(len(d.boxes))]
	if since := d.elapsed() - p.traffic.crowdFrom; p.traffic.crowdFrom > 0 && since >= 0 && draw.IntN(crowdEvery) > 0 {
		return d.boxes[int(since/crowdTime)%len(d.boxes)]
	}
	return b
}

// request sends one request of a caller.
func (p *pool) request(b *box, l *process, service string) {
	p.mu.Lock()
	p.requests++
	p.mu.Unlock()
	sleep(time.Until(b.wakeTime()))
	ctx, cancel := clock.WithDeadline(l.ctx, b, b.Now().Add(callerTimeout))
	defer cancel()
	j := balance.Job{Service: service, ColdLimit: p.traffic.coldRate, Objective: 300 * ms, MaxPause: 200 * ms, FirstEventDeadline: b.Now().Add(callerTimeout)}
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

// recordArrival records a request that reaches a target.
func (p *pool) recordArrival(b *box, l *process, target int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := b.simulation.elapsed()
	p.served++
	at, informed := p.informed[target][b]
	p.arrivals[target] = append(p.arrivals[target], arrival{
		at:       now,
		informed: informed && now-at >= reactionTime,
		starting: !informed && time.Since(l.started) < startupTime,
	})
}

// answer returns the limit that a target states in an answer to a box.
func (p *pool) answer(b *box, target int) barleystep.RateLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := b.simulation.elapsed()
	limit := p.traffic.limit(target, now)
	if limit.IsSet() && p.firstInformed[target] == 0 {
		p.firstInformed[target] = now
	}
	if _, informed := p.informed[target][b]; limit.IsSet() && !informed {
		p.informed[target][b] = now
	}
	return limit
}

// limitResult is the result of a scenario with limits, over its targets.
type limitResult struct {
	// excess is by how many requests the worst window exceeded the bound, counting requests
	// from boxes that the target had informed, and excessAll the same from all boxes except
	// starting ones.
	excess    float64
	excessAll float64
	// utilization is the ratio of requests sent to what the targets allow, from the time at
	// which the bound applies.
	utilization float64
}

// count evaluates the requests that the targets received.
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
			all, informed := 0, 0
			for _, a := range list[:i+1] {
				if a.at <= begin || a.starting {
					continue
				}
				all++
				if a.informed {
					informed++
				}
			}
			allowed := countFactor*p.allows(target, last.at-countWindow, last.at) + countSlack
			r.excess, r.excessAll = max(r.excess, float64(informed)-allowed), max(r.excessAll, float64(all)-allowed)
		}
	}
	r.utilization = float64(sent) / max(takes, 1)
	return r
}

// allows returns how many requests a target's limits allow in a span. Without a limit there is
// no bound.
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

// constant makes all targets state the same limit from the start.
func constant(perSecond float64) func(int, time.Duration) barleystep.RateLimit {
	return func(int, time.Duration) barleystep.RateLimit { return barleystep.NewRateLimit(perSecond) }
}

// flapping makes targets state a limit for two seconds out of three, each with its own phase.
func flapping(perSecond float64) func(int, time.Duration) barleystep.RateLimit {
	return func(target int, at time.Duration) barleystep.RateLimit {
		if (at+time.Duration(target)*time.Second)%(3*time.Second) < time.Second {
			return barleystep.RateLimit{}
		}
		return barleystep.NewRateLimit(perSecond)
	}
}

// falling makes targets state ever lower limits.
func falling(target int, at time.Duration) barleystep.RateLimit {
	return barleystep.NewRateLimit(4 / (1 + at.Seconds()/4))
}

// TestLimitsOverBoxes runs real balancers, gossip and lead against targets that state limits,
// and counts at the targets. In any four seconds no target may get more than one and a half
// times its limit plus five requests, from all boxes together; where callers request more than
// that, the allowance of the targets must be used. A box that is frozen, starts or is cut off
// must not keep a share that another box has too. A box that has just started knows no limit
// until it hears of the others.
func TestLimitsOverBoxes(t *testing.T) {
	small := func(duration time.Duration, events ...event) scenario {
		return scenario{halls: 3, boxes: 9, duration: duration, events: events}
	}
	one := &traffic{count: 12, perSecond: 40, limit: constant(1)}
	cases := map[string]struct {
		scenario    scenario
		traffic     *traffic
		utilization float64 // minimum utilization
	}{
		"one a second":            {small(24 * time.Second), one, 0.8},
		"one in four seconds":     {small(40 * time.Second), &traffic{count: 12, perSecond: 20, limit: constant(0.25)}, 0.8},
		"three a second":          {small(24 * time.Second), &traffic{count: 6, perSecond: 40, limit: constant(3)}, 0.8},
		"twenty a second":         {small(16 * time.Second), &traffic{count: 6, perSecond: 240, limit: constant(20)}, 0.8},
		"above all that is sent":  {small(16 * time.Second), &traffic{count: 6, perSecond: 20, limit: constant(50)}, 0},
		"limits fall":             {small(24 * time.Second), &traffic{count: 12, perSecond: 60, limit: falling}, 0.8},
		"limits flap":             {small(24 * time.Second), &traffic{count: 12, perSecond: 60, limit: flapping(1)}, 0},
		"the lead is killed":      {small(24*time.Second, event{10 * time.Second, killCollector("")}), one, 0.7},
		"the lead stands still":   {small(24*time.Second, event{10 * time.Second, freezeCollector("", 3*time.Second)}), one, 0.7},
		"a hall is cut off":       {small(24*time.Second, event{8 * time.Second, cutHall("hall-2")}, event{16 * time.Second, heal}), one, 0.7},
		"all are killed":          {small(24*time.Second, event{8 * time.Second, killAll}), one, 0.6},
		"most callers at one box": {small(24 * time.Second), &traffic{count: 12, perSecond: 40, limit: constant(1), crowdFrom: 6 * time.Second}, 0.7},
		"three a second, crowd":   {small(24 * time.Second), &traffic{count: 6, perSecond: 40, limit: constant(3), crowdFrom: 6 * time.Second}, 0.7},
		"a hundred boxes, crowd":  {scenario{halls: 5, boxes: 100, loss: 0.025, duration: 24 * time.Second}, &traffic{count: 40, perSecond: 120, limit: constant(1), crowdFrom: 6 * time.Second}, 0.7},
		"a hundred boxes":         {scenario{halls: 5, boxes: 100, loss: 0.025, duration: 16 * time.Second}, &traffic{count: 40, perSecond: 120, limit: constant(1)}, 0.8},
		"a hundred boxes, rolled": {
			scenario{halls: 5, boxes: 100, duration: 16 * time.Second, events: rollingRestart(20, 600*ms)}, &traffic{count: 40, perSecond: 120, limit: constant(1)}, 0.6,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playLimits(t, tc.scenario, tc.traffic).check(t, tc.utilization)
		})
	}
}

// TestLimitsOverHundreds is TestLimitsOverBoxes with 300 boxes.
func TestLimitsOverHundreds(t *testing.T) {
	if testing.Short() {
		t.Skip("takes long")
	}
	s := scenario{halls: 5, boxes: 300, duration: 12 * time.Second}
	playLimits(t, s, &traffic{count: 100, perSecond: 300, limit: constant(0.5)}).check(t, 0.8)
}

func playLimits(t *testing.T, s scenario, traffic *traffic) limitResult {
	p := newPool(*traffic)
	s.load, s.measureFrom = p, s.duration
	simulate(t, s)
	r := p.count(s.duration)
	t.Logf("%+v, %d of %d served", r, p.served, p.requests)
	return r
}

func (r limitResult) check(t *testing.T, utilization float64) {
	quicktest.Check(t, r.excess <= 0, quicktest.IsTrue, quicktest.Commentf("over by %.1f", r.excess))
	quicktest.Check(t, r.excessAll <= 0, quicktest.IsTrue, quicktest.Commentf("over by %.1f from all boxes", r.excessAll))
	quicktest.Check(t, r.utilization >= utilization, quicktest.IsTrue, quicktest.Commentf("used %.2f", r.utilization))
}
