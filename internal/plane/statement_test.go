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

// speakers is callers before targets that say in their answers that they leave, or that turn
// requests away and ask for rest. Their records say nothing of it.
type statementWorkload struct {
	count     int
	perSecond float64
	// leaves is from when on the first targets say that they leave, one a second, and leaving
	// how many do.
	leaveFrom    time.Duration
	leavingCount int
	// rests is from when on the last targets turn all requests away for a while, and resting how
	// many do; each asks for restLength.
	restFrom     time.Duration
	restingCount int

	mu   sync.Mutex
	list []fleet.Target
	// told is when each target has told a life of a box that it leaves, and first any of them.
	informedAt    []map[*process]time.Duration
	firstInformed []time.Duration
	// asked holds the rests that each target has asked a life of a box for.
	rests    []map[*process][]restPeriod
	requests int
	served   int
	// afterWord counts requests that reached a leaving target from a life that it had told
	// drainTime before, and afterNews those from any other life later than newsWithin after it
	// had told the first.
	afterStatement int
	afterGossip    int
	// inRest is the most requests that came from one life within a rest.
	duringRest int
}

type restPeriod struct {
	at       time.Duration
	requests int
}

const (
	// restLength is the rest that targets ask for, restFor how long they turn requests away, and
	// restSlack how much later than the word it counts.
	restLength = 2 * time.Second
	rejectTime = 5 * time.Second
	restSlack  = 500 * ms
	// drainTime is after how long no box that was told may send more, newsWithin the same of all
	// others, which are told by those.
	drainTime  = 500 * ms
	gossipTime = 500 * ms
	// restMost is how many requests may come within a rest: those that were under way.
	maxDuringRest = 2
)

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
		w.informedAt = append(w.informedAt, make(map[*process]time.Duration))
		w.rests = append(w.rests, make(map[*process][]restPeriod))
		w.firstInformed = append(w.firstInformed, 0)
	}
	return slices.Clone(w.list)
}

func (w *statementWorkload) run(d *simulation) {
	var calls sync.WaitGroup
	defer calls.Wait()
	draw := rand.New(rand.NewPCG(d.scenario.seed, 7))
	sleep(warmUp)
	for d.elapsed() < d.scenario.duration {
		sleep(time.Duration(draw.ExpFloat64() / w.perSecond * float64(time.Second)))
		b, service := d.boxes[draw.IntN(len(d.boxes))], []string{plainService, engineService}[draw.IntN(2)]
		if l := b.running(); l != nil {
			calls.Go(func() { w.request(d, b, l, service) })
		}
	}
}

// ask is one request of a caller, which its box sends to two targets at the most.
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
			w.served++
		}
	}
}

// run has a target take a request or turn it away.
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

// arrive counts a request that reaches a target, and returns what the target says.
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

// countLeaving counts a request to a target that has said that it leaves. A box that has just
// started, or woken, may not have heard of it.
func (w *statementWorkload) countLeaving(b *box, l *process, i int, now time.Duration) {
	at, told := w.informedAt[i][l]
	fresh := time.Since(l.started) <= startupTime || time.Since(b.wakeTime()) <= startupTime
	switch {
	case told && now-at > drainTime:
		w.afterStatement++
	case !told && !fresh && w.firstInformed[i] > 0 && now-w.firstInformed[i] > gossipTime:
		w.afterGossip++
	}
}

// countRest counts a request within the rests that the box was asked for.
func (w *statementWorkload) countRest(l *process, i int, now time.Duration) {
	for k, r := range w.rests[i][l] {
		if now > r.at+restSlack && now < r.at+restLength {
			w.rests[i][l][k].requests++
			w.duringRest = max(w.duringRest, w.rests[i][l][k].requests)
		}
	}
}

// heard notes what a box's life was told.
func (w *statementWorkload) recordStatement(d *simulation, l *process, i int, said barleystep.Statement) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := d.elapsed()
	if _, told := w.informedAt[i][l]; said.Leaving && !told {
		w.informedAt[i][l] = now
		if w.firstInformed[i] == 0 {
			w.firstInformed[i] = now
		}
	}
	if said.Rest > 0 {
		w.rests[i][l] = append(w.rests[i][l], restPeriod{at: now})
	}
}

// TestStatementsOverBoxes plays real balancers, gossip and lead before targets that say that
// they leave, or turn requests away and ask for rest, and counts at the targets: a box that was
// told sends nothing more to one that leaves, nor does any other once it had the news; and from
// a box that was asked for rest no more comes than was under way. Callers are served meanwhile.
func TestStatementsOverBoxes(t *testing.T) {
	nine := func(events ...event) scenario {
		return scenario{halls: 3, boxes: 9, duration: 20 * time.Second, events: events}
	}
	work := func() *statementWorkload {
		return &statementWorkload{count: 18, perSecond: 60, leaveFrom: 4 * time.Second, leavingCount: 6, restFrom: 6 * time.Second, restingCount: 6}
	}
	allRest := func() *statementWorkload {
		return &statementWorkload{count: 6, perSecond: 40, restFrom: 6 * time.Second, restingCount: 6}
	}
	cases := map[string]struct {
		scene  scenario
		work   *statementWorkload
		apart  bool    // apart is set where some boxes cannot hear of others.
		served float64 // served is the least part of the calls that is served.
	}{
		"nine boxes":            {nine(), work(), false, 0.97},
		"all rest":              {nine(), allRest(), false, 0.6},
		"the lead is killed":    {nine(event{4500 * ms, killCollector("")}), work(), false, 0.9},
		"the lead stands still": {nine(event{4500 * ms, freezeCollector("", 3*time.Second)}), work(), false, 0.9},
		"a hall is cut off":     {nine(event{4 * time.Second, cutHall("hall-2")}, event{12 * time.Second, heal}), work(), true, 0.9},
		"all are killed":        {nine(event{8 * time.Second, killAll}), work(), true, 0.85},
		"rolled":                {scenario{halls: 3, boxes: 9, duration: 20 * time.Second, events: rollingRestart(9, 1500*ms)}, work(), false, 0.85},
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
			w := tc.work
			tc.scene.workload, tc.scene.measureFrom = w, tc.scene.duration
			simulate(t, tc.scene)
			served := float64(w.served) / float64(w.requests)
			t.Logf("after the word %d, after the news %d, in a rest %d, %.3f of %d served", w.afterStatement, w.afterGossip, w.duringRest, served, w.requests)
			quicktest.Check(t, w.afterStatement, quicktest.Equals, 0)
			quicktest.Check(t, w.duringRest <= maxDuringRest, quicktest.IsTrue, quicktest.Commentf("%d in a rest", w.duringRest))
			quicktest.Check(t, served >= tc.served, quicktest.IsTrue, quicktest.Commentf("%.3f", served))
			if !tc.apart {
				quicktest.Check(t, w.afterGossip, quicktest.Equals, 0)
			}
		})
	}
}
