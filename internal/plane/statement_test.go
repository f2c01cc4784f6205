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
type speakers struct {
	count     int
	perSecond float64
	// leaves is from when on the first targets say that they leave, one a second, and leaving
	// how many do.
	leaves  time.Duration
	leaving int
	// rests is from when on the last targets turn all requests away for a while, and resting how
	// many do; each asks for restLength.
	rests   time.Duration
	resting int

	mu   sync.Mutex
	list []fleet.Target
	// told is when each target has told a life of a box that it leaves, and first any of them.
	told  []map[*life]time.Duration
	first []time.Duration
	// asked holds the rests that each target has asked a life of a box for.
	asked []map[*life][]restAsked
	calls int
	serve int
	// afterWord counts requests that reached a leaving target from a life that it had told
	// drainTime before, and afterNews those from any other life later than newsWithin after it
	// had told the first.
	afterWord int
	afterNews int
	// inRest is the most requests that came from one life within a rest.
	inRest int
}

type restAsked struct {
	at  time.Duration
	got int
}

const (
	// restLength is the rest that targets ask for, restFor how long they turn requests away, and
	// restSlack how much later than the word it counts.
	restLength = 2 * time.Second
	restFor    = 5 * time.Second
	restSlack  = 500 * ms
	// drainTime is after how long no box that was told may send more, newsWithin the same of all
	// others, which are told by those.
	drainTime  = 500 * ms
	newsWithin = 500 * ms
	// restMost is how many requests may come within a rest: those that were under way.
	restMost = 2
)

func (w *speakers) targets() []fleet.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := len(w.list); i < w.count; i++ {
		service := plainService
		if i%2 == 1 {
			service = engineService
		}
		id := fmt.Sprint("target-", i)
		w.list = append(w.list, fleet.Target{ID: barleystep.TargetID(id), Service: service, Addr: id, Slots: engineModel.Slots})
		w.told = append(w.told, make(map[*life]time.Duration))
		w.asked = append(w.asked, make(map[*life][]restAsked))
		w.first = append(w.first, 0)
	}
	return slices.Clone(w.list)
}

func (w *speakers) call(d *day) {
	var calls sync.WaitGroup
	defer calls.Wait()
	draw := rand.New(rand.NewPCG(d.scene.seed, 7))
	pause(start)
	for d.elapsed() < d.scene.length {
		pause(time.Duration(draw.ExpFloat64() / w.perSecond * float64(time.Second)))
		b, service := d.boxes[draw.IntN(len(d.boxes))], []string{plainService, engineService}[draw.IntN(2)]
		if l := b.running(); l != nil {
			calls.Go(func() { w.ask(d, b, l, service) })
		}
	}
}

// ask is one request of a caller, which its box sends to two targets at the most.
func (w *speakers) ask(d *day, b *box, l *life, service string) {
	pause(time.Until(b.wakes()))
	ctx, cancel := clock.WithDeadline(l.ctx, b, b.Now().Add(patience))
	defer cancel()
	j := balance.Job{Service: service, Objective: 300 * ms, MaxPause: 200 * ms, FirstEventDeadline: b.Now().Add(patience)}
	if service == engineService {
		j.Cost, j.PromptTokens, j.OutputTokens = engineModel, 5_000, 500
	}
	served := false
	for range sendsEach {
		p, err := l.balancer.Place(ctx, j)
		if err != nil {
			break
		}
		served = w.run(d, b, l, p)
		if served {
			break
		}
		j.Avoid = append(j.Avoid, p.Target.ID)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if d.elapsed() < d.scene.length-patience {
		w.calls++
		if served {
			w.serve++
		}
	}
}

// run has a target take a request or turn it away.
func (w *speakers) run(d *day, b *box, l *life, p *balance.Placement) (served bool) {
	sent := time.Now()
	pause(hallDelay)
	i := slices.IndexFunc(w.list, func(t fleet.Target) bool { return t.ID == p.Target.ID })
	said, away := w.arrive(d, b, l, i)
	if !away {
		pause(runTime)
	}
	pause(hallDelay)
	p.NoteStatement(p.Target.ID, said, sent)
	w.heard(d, l, i, said)
	p.Done(balance.Report{Full: away})
	return !away
}

// arrive counts a request that reaches a target, and returns what the target says.
func (w *speakers) arrive(d *day, b *box, l *life, i int) (said barleystep.Statement, away bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := d.elapsed()
	w.countLeaving(b, l, i, now)
	w.countRest(l, i, now)
	said.Leaving = i < w.leaving && now > w.leaves+time.Duration(i)*time.Second
	away = i >= w.count-w.resting && now > w.rests && now < w.rests+restFor
	if away {
		said.Rest = restLength
	}
	return said, away
}

// countLeaving counts a request to a target that has said that it leaves. A box that has just
// started, or woken, may not have heard of it.
func (w *speakers) countLeaving(b *box, l *life, i int, now time.Duration) {
	at, told := w.told[i][l]
	fresh := time.Since(l.started) <= startsUp || time.Since(b.wakes()) <= startsUp
	switch {
	case told && now-at > drainTime:
		w.afterWord++
	case !told && !fresh && w.first[i] > 0 && now-w.first[i] > newsWithin:
		w.afterNews++
	}
}

// countRest counts a request within the rests that the box was asked for.
func (w *speakers) countRest(l *life, i int, now time.Duration) {
	for k, r := range w.asked[i][l] {
		if now > r.at+restSlack && now < r.at+restLength {
			w.asked[i][l][k].got++
			w.inRest = max(w.inRest, w.asked[i][l][k].got)
		}
	}
}

// heard notes what a box's life was told.
func (w *speakers) heard(d *day, l *life, i int, said barleystep.Statement) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := d.elapsed()
	if _, told := w.told[i][l]; said.Leaving && !told {
		w.told[i][l] = now
		if w.first[i] == 0 {
			w.first[i] = now
		}
	}
	if said.Rest > 0 {
		w.asked[i][l] = append(w.asked[i][l], restAsked{at: now})
	}
}

// TestStatementsOverBoxes plays real balancers, gossip and lead before targets that say that
// they leave, or turn requests away and ask for rest, and counts at the targets: a box that was
// told sends nothing more to one that leaves, nor does any other once it had the news; and from
// a box that was asked for rest no more comes than was under way. Callers are served meanwhile.
func TestStatementsOverBoxes(t *testing.T) {
	nine := func(events ...event) scene {
		return scene{halls: 3, boxes: 9, length: 20 * time.Second, events: events}
	}
	work := func() *speakers {
		return &speakers{count: 18, perSecond: 60, leaves: 4 * time.Second, leaving: 6, rests: 6 * time.Second, resting: 6}
	}
	allRest := func() *speakers { return &speakers{count: 6, perSecond: 40, rests: 6 * time.Second, resting: 6} }
	cases := map[string]struct {
		scene  scene
		work   *speakers
		apart  bool    // apart is set where some boxes cannot hear of others.
		served float64 // served is the least part of the calls that is served.
	}{
		"nine boxes":            {nine(), work(), false, 0.97},
		"all rest":              {nine(), allRest(), false, 0.6},
		"the lead is killed":    {nine(event{4500 * ms, killCollector("")}), work(), false, 0.9},
		"the lead stands still": {nine(event{4500 * ms, freezeCollector("", 3*time.Second)}), work(), false, 0.9},
		"a hall is cut off":     {nine(event{4 * time.Second, cutHall("hall-2")}, event{12 * time.Second, heal}), work(), true, 0.9},
		"all are killed":        {nine(event{8 * time.Second, killAll}), work(), true, 0.85},
		"rolled":                {scene{halls: 3, boxes: 9, length: 20 * time.Second, events: roll(9, 1500*ms)}, work(), false, 0.85},
		"a hundred boxes": {
			scene{halls: 5, boxes: 100, loss: 0.025, length: 14 * time.Second},
			&speakers{count: 60, perSecond: 200, leaves: 4 * time.Second, leaving: 8, rests: 6 * time.Second, resting: 20}, false, 0.95,
		},
		"three hundred boxes": {
			scene{halls: 5, boxes: 300, length: 10 * time.Second},
			&speakers{count: 100, perSecond: 300, leaves: 3 * time.Second, leaving: 4, rests: 4 * time.Second, resting: 20}, false, 0.95,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := tc.work
			tc.scene.work, tc.scene.measured = w, tc.scene.length
			play(t, tc.scene)
			served := float64(w.serve) / float64(w.calls)
			t.Logf("after the word %d, after the news %d, in a rest %d, %.3f of %d served", w.afterWord, w.afterNews, w.inRest, served, w.calls)
			quicktest.Check(t, w.afterWord, quicktest.Equals, 0)
			quicktest.Check(t, w.inRest <= restMost, quicktest.IsTrue, quicktest.Commentf("%d in a rest", w.inRest))
			quicktest.Check(t, served >= tc.served, quicktest.IsTrue, quicktest.Commentf("%.3f", served))
			if !tc.apart {
				quicktest.Check(t, w.afterNews, quicktest.Equals, 0)
			}
		})
	}
}
