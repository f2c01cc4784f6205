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

// statementWorkload sends requests to targets that state in their answers that they are
// leaving, or that reject requests and ask for rest. Their records do not mention it.
type statementWorkload struct {
	count     int
	perSecond float64
	// From leaveFrom on, the first leavingCount targets state that they are leaving, one more
	// each second.
	leaveFrom    time.Duration
	leavingCount int
	// From restFrom on, the last restingCount targets reject all requests for rejectTime; each
	// asks for restLength.
	restFrom     time.Duration
	restingCount int

	mu   sync.Mutex
	list []fleet.Target
	// informed is when each target has told a box's process that it is leaving, and
	// firstInformed when it first told any.
	informed      []map[*process]time.Duration
	firstInformed []time.Duration
	// rests holds the rests that each target has requested of a box's process.
	rests    []map[*process][]restPeriod
	requests int
	answered int
	// afterStatement counts requests that reached a leaving target from a process that it had
	// informed more than drainTime before, and afterGossip those from any other process more
	// than gossipTime after it had informed the first.
	afterStatement int
	afterGossip    int
	// duringRest is the largest number of requests that one process sent within a rest.
	duringRest int
}

type restPeriod struct {
	at       time.Duration
	requests int
}

const (
	// restLength is the rest that targets request, rejectTime how long they reject requests,
	// and restSlack the delay after the statement from which on requests count.
	restLength = 2 * time.Second
	rejectTime = 5 * time.Second
	restSlack  = 500 * ms
	// drainTime is the time after which no informed box may send more requests, gossipTime the
	// same for all other boxes, which learn it from the informed ones.
	drainTime  = 500 * ms
	gossipTime = 500 * ms
	// maxDuringRest is how many requests may arrive within a rest: those in flight.
	maxDuringRest = 2
)

func (*statementWorkload) view() *fleet.View { return plainView }

func (w *statementWorkload) targets() []fleet.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := len(w.list); i < w.count; i++ {
		service := plainService
		if i%2 == 1 {
			service = engineService
		}
		id := fmt.Sprint("target-", i)
		w.list = append(w.list, fleet.Target{ID: barleystep.TargetID(id), Service: service, Addr: id, Slots: engineModel.Slots})
		w.informed = append(w.informed, make(map[*process]time.Duration))
		w.rests = append(w.rests, make(map[*process][]restPeriod))
		w.firstInformed = append(w.firstInformed, 0)
	}
	return slices.Clone(w.list)
}

func (w *statementWorkload) generate(d *simulation) {
	var calls sync.WaitGroup
	defer calls.Wait()
	draw := rand.New(rand.NewPCG(d.scenario.seed, 7))
	sleep(start)
	for d.elapsed() < d.scenario.duration {
		sleep(time.Duration(draw.ExpFloat64() / w.perSecond * float64(time.Second)))
		b, service := d.boxes[draw.IntN(len(d.boxes))], []string{plainService, engineService}[draw.IntN(2)]
		if l := b.running(); l != nil {
			calls.Go(func() { w.request(d, b, l, service) })
		}
	}
}

// request sends one request of a caller, which its box sends to at most maxSends targets.
func (w *statementWorkload) request(d *simulation, b *box, l *process, service string) {
	sleep(time.Until(b.wakeTime()))
	ctx, cancel := clock.WithDeadline(l.ctx, b, b.Now().Add(callerTimeout))
	defer cancel()
	j := balance.Job{Service: service, Objective: 300 * ms, MaxPause: 200 * ms, FirstEventDeadline: b.Now().Add(callerTimeout)}
	if service == engineService {
		j.Cost, j.PromptTokens, j.OutputTokens = engineModel, 5_000, 500
	}
	served := false
	for range maxSends {
		p, err := l.balancer.Place(ctx, j)
		if err != nil {
			break
		}
		served = w.send(d, b, l, p)
		if served {
			break
		}
		j.Avoid = append(j.Avoid, p.Target.ID)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if d.elapsed() < d.scenario.duration-callerTimeout {
		w.requests++
		if served {
			w.answered++
		}
	}
}

// send sends a request to a target, which runs or rejects it.
func (w *statementWorkload) send(d *simulation, b *box, l *process, p *balance.Placement) (served bool) {
	sent := time.Now()
	sleep(hallDelay)
	i := slices.IndexFunc(w.list, func(t fleet.Target) bool { return t.ID == p.Target.ID })
	said, away := w.recordArrival(d, b, l, i)
	if !away {
		sleep(serviceTime)
	}
	sleep(hallDelay)
	p.NoteStatement(p.Target.ID, said, sent)
	w.recordStatement(d, l, i, said)
	p.Done(balance.Report{Full: away})
	return !away
}

// recordArrival counts a request that reaches a target, and returns the target's statement.
func (w *statementWorkload) recordArrival(d *simulation, b *box, l *process, i int) (said barleystep.Statement, away bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := d.elapsed()
	w.countLeaving(b, l, i, now)
	w.countRest(l, i, now)
	said.Leaving = i < w.leavingCount && now > w.leaveFrom+time.Duration(i)*time.Second
	away = i >= w.count-w.restingCount && now > w.restFrom && now < w.restFrom+rejectTime
	if away {
		said.Rest = restLength
	}
	return said, away
}

// countLeaving counts a request to a target that has stated that it is leaving. A box that has
// just started, or was frozen until just now, may not know it yet.
func (w *statementWorkload) countLeaving(b *box, l *process, i int, now time.Duration) {
	at, informed := w.informed[i][l]
	fresh := time.Since(l.started) <= startupTime || time.Since(b.wakeTime()) <= startupTime
	switch {
	case informed && now-at > drainTime:
		w.afterStatement++
	case !informed && !fresh && w.firstInformed[i] > 0 && now-w.firstInformed[i] > gossipTime:
		w.afterGossip++
	}
}

// countRest counts a request within the rests that the target requested of the box.
func (w *statementWorkload) countRest(l *process, i int, now time.Duration) {
	for k, r := range w.rests[i][l] {
		if now > r.at+restSlack && now < r.at+restLength {
			w.rests[i][l][k].requests++
			w.duringRest = max(w.duringRest, w.rests[i][l][k].requests)
		}
	}
}

// recordStatement records what a box's process was told.
func (w *statementWorkload) recordStatement(d *simulation, l *process, i int, said barleystep.Statement) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := d.elapsed()
	if _, informed := w.informed[i][l]; said.Leaving && !informed {
		w.informed[i][l] = now
		if w.firstInformed[i] == 0 {
			w.firstInformed[i] = now
		}
	}
	if said.Rest > 0 {
		w.rests[i][l] = append(w.rests[i][l], restPeriod{at: now})
	}
}

// TestStatementsOverBoxes runs real balancers, gossip and lead against targets that state that
// they are leaving, or reject requests and ask for rest, and counts at the targets. An informed
// box sends nothing more to a leaving target, nor does any other box once the gossip has
// reached it. From a box that was asked for rest, no more requests arrive than were in flight.
// Callers are served meanwhile.
func TestStatementsOverBoxes(t *testing.T) {
	nine := func(events ...event) scenario {
		return scenario{halls: 3, boxes: 9, duration: 20 * time.Second, events: events}
	}
	load := func() *statementWorkload {
		return &statementWorkload{count: 18, perSecond: 60, leaveFrom: 4 * time.Second, leavingCount: 6, restFrom: 6 * time.Second, restingCount: 6}
	}
	allRest := func() *statementWorkload {
		return &statementWorkload{count: 6, perSecond: 40, restFrom: 6 * time.Second, restingCount: 6}
	}
	cases := map[string]struct {
		scenario    scenario
		load        *statementWorkload
		partitioned bool    // partitioned is set if some boxes cannot hear others.
		served      float64 // served is the minimum share of requests that are served.
	}{
		"nine boxes":         {nine(), load(), false, 0.97},
		"all rest":           {nine(), allRest(), false, 0.6},
		"the lead is killed": {nine(event{4500 * ms, killCollector("")}), load(), false, 0.9},
		"the lead freezes":   {nine(event{4500 * ms, freezeCollector("", 3*time.Second)}), load(), false, 0.9},
		"a hall is cut off":  {nine(event{4 * time.Second, cutHall("hall-2")}, event{12 * time.Second, heal}), load(), true, 0.9},
		"all are killed":     {nine(event{8 * time.Second, killAll}), load(), true, 0.85},
		"rolled":             {scenario{halls: 3, boxes: 9, duration: 20 * time.Second, events: rollingRestart(9, 1500*ms)}, load(), false, 0.85},
		"a hundred boxes": {
			scenario{halls: 5, boxes: 100, loss: 0.025, duration: 14 * time.Second},
			&statementWorkload{count: 60, perSecond: 200, leaveFrom: 4 * time.Second, leavingCount: 8, restFrom: 6 * time.Second, restingCount: 20}, false, 0.95,
		},
		"three hundred boxes": {
			scenario{halls: 5, boxes: 300, duration: 10 * time.Second},
			&statementWorkload{count: 100, perSecond: 300, leaveFrom: 3 * time.Second, leavingCount: 4, restFrom: 4 * time.Second, restingCount: 20}, false, 0.95,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := tc.load
			tc.scenario.load, tc.scenario.measureFrom = w, tc.scenario.duration
			simulate(t, tc.scenario)
			served := float64(w.answered) / float64(w.requests)
			t.Logf("after the statement %d, after the gossip %d, during a rest %d, %.3f of %d served", w.afterStatement, w.afterGossip, w.duringRest, served, w.requests)
			quicktest.Check(t, w.afterStatement, quicktest.Equals, 0)
			quicktest.Check(t, w.duringRest <= maxDuringRest, quicktest.IsTrue, quicktest.Commentf("%d during a rest", w.duringRest))
			quicktest.Check(t, served >= tc.served, quicktest.IsTrue, quicktest.Commentf("%.3f", served))
			if !tc.partitioned {
				quicktest.Check(t, w.afterGossip, quicktest.Equals, 0)
			}
		})
	}
}
