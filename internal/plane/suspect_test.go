//go:build !race

package plane_test

import (
	"context"
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
	"github.com/barleystep/barleystep/internal/suspect"
)

// deadlyWorkload sends requests of which some are one deadly request, which ends each engine
// that runs it.
type deadlyWorkload struct {
	engines int
	// perSecond is the total rate of requests, deadlyShare the fraction that is the deadly
	// request, and sharedShare the fraction that is one harmless request which many callers
	// repeat.
	perSecond   float64
	deadlyShare float64
	sharedShare float64
	// crashes maps times to the number of engines that crash by themselves.
	crashes map[time.Duration]int
	// prompts, if set, draws the prompts in place of these shares. The crashes under each deadly part
	// are counted in deadlyParts.
	prompts     func(draw *rand.Rand, number int) prompt
	deadlyParts map[string]*partCount

	mu      sync.Mutex
	list    []*engine
	started int
	// ended counts the engines that the deadly request ended. earlySends counts its sends until
	// the first end was known on all boxes, lateSends those after the third was known.
	ended      int
	earlySends int
	lateSends  int
	firstEnd   time.Duration // firstEnd and thirdEnd are the times of the first and third end.
	thirdEnd   time.Duration
	requests   int // requests counts the harmless requests, and answered those answered whole.
	answered   int
	// refused counts the harmless requests that were refused as suspects.
	refused int
}

// prompt is what a caller asks.
type prompt struct {
	account, body string
	parts         []string // parts are those that other prompts may share.
	// deadly is set if it ends each engine that runs it, by deadlyPart if that is not empty.
	deadly     bool
	deadlyPart string
}

func (p prompt) subject() suspect.Subject {
	s := suspect.Subject{Account: suspect.AccountKey(p.account), Request: suspect.Request{Account: p.account, Body: []byte(p.body)}.Digest(), BodySize: len(p.body)}
	for _, id := range p.parts {
		s.Parts = append(s.Parts, suspect.Part{Service: engineService, ID: id}.Digest())
	}
	return s
}

// partCount counts what one deadly part does.
type partCount struct {
	ends []time.Duration // ends are the times at which it ended engines.
	// sends are the times at which requests with it were sent.
	sends []time.Duration
}

// engine is one incarnation of an engine.
type engine struct {
	target     fleet.Target
	ended      chan struct{} // ended is closed when it ends.
	replacedAt time.Time     // replacedAt is when another one takes its place, zero while it runs.
}

const (
	// crashDelay is how long an engine runs the deadly request until it ends, downTime how long
	// its place stays empty, and streamTime how long a harmless request runs.
	crashDelay = 200 * ms
	downTime   = 3 * time.Second
	streamTime = 800 * ms
	firstEvent = 100 * ms
	// suspectGossipTime is the time within which all boxes know what one has seen.
	suspectGossipTime = 200 * ms
	// clearedTime is how long a box waits to hear that a suspect is cleared.
	clearedTime = 50 * ms
	// maxEnded is how many engines may end with a request before it is sent to no other.
	maxEnded = 3
	// maxSends is to how many engines a request is sent, and maxDials how many unreachable
	// engines it tries.
	maxSends = 2
	maxDials = 4
)

// newEngine returns a new incarnation. The lock is held.
func (w *deadlyWorkload) newEngine() *engine {
	w.started++
	id := fmt.Sprint("engine-", w.started)
	return &engine{
		target: fleet.Target{ID: barleystep.TargetID(id), Service: engineService, Addr: id, Slots: engineModel.Slots},
		ended:  make(chan struct{}),
	}
}

// targets returns the engines; one that has ended is listed until another takes its place.
func (*deadlyWorkload) view() *fleet.View { return plainView }

func (w *deadlyWorkload) targets() []fleet.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.list) < w.engines { // They are created inside the simulation's bubble.
		w.list = append(w.list, w.newEngine())
	}
	var list []fleet.Target
	for i, m := range w.list {
		if !m.replacedAt.IsZero() && time.Now().After(m.replacedAt) {
			w.list[i] = w.newEngine()
		}
		list = append(list, w.list[i].target)
	}
	return list
}

// end ends an engine; it returns false if the engine has ended already.
func (w *deadlyWorkload) end(m *engine) bool {
	if !m.replacedAt.IsZero() {
		return false
	}
	close(m.ended)
	m.replacedAt = time.Now().Add(downTime)
	return true
}

// find returns the running engine with the id, nil if it has ended.
func (w *deadlyWorkload) find(id barleystep.TargetID) *engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.list {
		if m.target.ID == id && m.replacedAt.IsZero() {
			return m
		}
	}
	return nil
}

// generate sends requests, and makes engines crash, until the scenario ends.
func (w *deadlyWorkload) generate(d *simulation) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for at, n := range w.crashes {
		calls.Go(func() {
			sleep(at)
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, m := range w.list[:n] {
				w.end(m)
			}
		})
	}
	sleep(start)
	draw := rand.New(rand.NewPCG(d.scenario.seed, 5))
	for number := 0; d.elapsed() < d.scenario.duration; number++ {
		sleep(time.Duration(draw.ExpFloat64() / w.perSecond * float64(time.Second)))
		b, ask := d.boxes[draw.IntN(len(d.boxes))], w.drawPrompt(draw, number)
		if l := b.running(); l != nil {
			calls.Go(func() { w.request(d, b, l, fmt.Sprint(number), ask) })
		}
	}
}

func (w *deadlyWorkload) drawPrompt(draw *rand.Rand, number int) prompt {
	if w.prompts != nil {
		return w.prompts(draw, number)
	}
	x := draw.Float64()
	switch {
	case x < w.deadlyShare:
		return prompt{body: deadlyBody, deadly: true}
	case x < w.deadlyShare+w.sharedShare:
		return prompt{body: "shared"}
	default:
		return prompt{body: fmt.Sprint("body ", number)}
	}
}

const deadlyBody = "deadly"

// request sends one request of a caller at a box, which sends it to at most maxSends engines.
func (w *deadlyWorkload) request(d *simulation, b *box, l *process, id string, ask prompt) {
	sleep(time.Until(b.wakeTime()))
	subject := ask.subject()
	ctx, cancel := clock.WithDeadline(l.ctx, b, b.Now().Add(callerTimeout))
	defer cancel()
	j := balance.Job{
		RequestID: id, Service: engineService, Account: ask.account, Objective: 300 * ms, MaxPause: 200 * ms,
		Cost: engineModel, PromptTokens: 5_000, OutputTokens: 500, FirstEventDeadline: b.Now().Add(callerTimeout),
	}
	whole, counts := false, d.elapsed() < d.scenario.duration-callerTimeout-streamTime // Later ones may be cut off by the scenario's end.
	for sends, dials := 0, 0; sends < maxSends && dials < maxDials; {
		p, err := placeUnsuspected(ctx, l, &j, subject)
		if eris.Is(err, balance.ErrSuspectRefused) {
			w.count(ask, &w.refused)
		}
		if err != nil {
			break
		}
		var reached bool
		reached, whole = w.send(d, l, p, ask, j.EndedTargets > 0)
		p.Done(balance.Report{Unreachable: !reached})
		if reached {
			sends++
		} else {
			dials++
		}
		if whole || ctx.Err() != nil {
			break
		}
		j.Avoid = append(j.Avoid, p.Target.ID)
	}
	if !counts {
		return
	}
	w.count(ask, &w.requests)
	if whole {
		w.count(ask, &w.answered)
	}
}

// placeUnsuspected obtains a placement, another one if the request became a suspect while it waited
// for the first.
func placeUnsuspected(ctx context.Context, l *process, j *balance.Job, subject suspect.Subject) (*balance.Placement, error) {
	for {
		verdict := l.balancer.Suspects.Assess(subject)
		if verdict.Status == suspect.Refused {
			return nil, balance.ErrSuspectRefused
		}
		j.Suspect, j.EndedTargets = verdict.Digest, verdict.Ended
		p, err := l.balancer.Place(ctx, *j)
		if eris.Is(err, balance.ErrSuspectCleared) {
			if l.balancer.Suspects.Assess(subject).Digest == j.Suspect {
				clock.Sleep(ctx, l.balancer.Clock, clearedTime)
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		now := l.balancer.Suspects.Assess(subject).Status
		if now == suspect.Allowed || (now == suspect.Isolated && j.EndedTargets > 0) {
			return p, nil
		}
		p.Cancel()
	}
}

// count increments n for a harmless request.
func (w *deadlyWorkload) count(ask prompt, n *int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !ask.deadly {
		*n++
	}
}

// send runs a request on an engine, and reports whether the engine was reached and the answer
// whole.
func (w *deadlyWorkload) send(d *simulation, l *process, p *balance.Placement, ask prompt, alone bool) (reached, whole bool) {
	m, subject := w.find(p.Target.ID), ask.subject()
	if m == nil {
		return false, false
	}
	if ask.deadly {
		w.recordSend(d, ask)
		time.AfterFunc(crashDelay, func() { w.kill(d, m, ask) })
	}
	first := time.NewTimer(firstEvent)
	done := time.NewTimer(streamTime)
	unread := suspect.BeforeFirstEvent
	for {
		select {
		case <-m.ended:
			p.NoteUnreachable(p.Target.ID)
			marks := unread
			if alone {
				marks |= suspect.RanAlone
			}
			end := suspect.NewEnd(uint32(balance.KeyOfTarget(m.target)), time.Now(), marks)
			l.balancer.Suspects.RecordEndOf(subject, end)
			return true, false
		case <-first.C:
			if !ask.deadly {
				unread = 0
				l.balancer.Suspects.RecordAnswerStartOf(subject)
			}
		case <-done.C:
			l.balancer.Suspects.RecordSuccessOf(subject)
			return true, true
		case <-l.ctx.Done():
			return true, false
		}
	}
}

// recordSend records that the deadly request is sent.
func (w *deadlyWorkload) recordSend(d *simulation, ask prompt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := d.elapsed()
	if c := w.deadlyParts[ask.deadlyPart]; c != nil {
		c.sends = append(c.sends, now)
	}
	if w.firstEnd == 0 || now <= w.firstEnd+suspectGossipTime {
		w.earlySends++
	}
	if w.thirdEnd > 0 && now > w.thirdEnd+suspectGossipTime {
		w.lateSends++
	}
}

// kill ends an engine that runs the deadly request.
func (w *deadlyWorkload) kill(d *simulation, m *engine, ask prompt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.end(m) {
		return
	}
	w.ended++
	if c := w.deadlyParts[ask.deadlyPart]; c != nil {
		c.ends = append(c.ends, d.elapsed())
	}
	if w.ended == 1 {
		w.firstEnd = d.elapsed()
	}
	if w.ended == maxEnded {
		w.thirdEnd = d.elapsed()
	}
}

// TestSuspectsOverBoxes runs real balancers, gossip and lead while callers at all boxes send
// one request that ends each engine that runs it, and others that many callers repeat, and
// while engines crash by themselves. No more than three engines may end, or one more than had
// received the request before all boxes knew of the first end. Once three have ended and that
// is known, the request is sent to no other engine. No other request is refused because of it,
// and the others are served. Boxes that are cut off from each other learn it separately; boxes
// that all restarted have it from the store.
func TestSuspectsOverBoxes(t *testing.T) {
	nine := func(events ...event) scenario {
		return scenario{halls: 3, boxes: 9, duration: 20 * time.Second, events: events}
	}
	deadlyOnly := func() *deadlyWorkload { return &deadlyWorkload{engines: 18, perSecond: 40, deadlyShare: 0.03} }
	crashing := func(n int) *deadlyWorkload {
		return &deadlyWorkload{engines: 18, perSecond: 40, deadlyShare: 0.03, sharedShare: 0.3, crashes: map[time.Duration]int{6 * time.Second: n, 12 * time.Second: n}}
	}
	harmless := crashing(6)
	harmless.deadlyShare = 0
	cases := map[string]struct {
		scenario  scenario
		load      *deadlyWorkload
		relearned int     // relearned is how often boxes have to learn it separately.
		served    float64 // served is the minimum share of harmless requests answered whole.
	}{
		"nine boxes":             {nine(), deadlyOnly(), 0, 0.97},
		"often":                  {nine(), &deadlyWorkload{engines: 18, perSecond: 40, deadlyShare: 0.3}, 0, 0.95},
		"the lead is killed":     {nine(event{3100 * ms, killCollector("")}), deadlyOnly(), 0, 0.9},
		"the lead freezes":       {nine(event{3100 * ms, freezeCollector("", 3*time.Second)}), deadlyOnly(), 0, 0.9},
		"a hall is cut off":      {nine(event{2 * time.Second, cutHall("hall-2")}, event{12 * time.Second, heal}), deadlyOnly(), 1, 0.95},
		"all are killed":         {nine(event{8 * time.Second, killAll}), deadlyOnly(), 0, 0.85},
		"engines crash":          {nine(), crashing(4), 0, 0.9},
		"engines crash, no harm": {nine(), harmless, 0, 0.9},
		"a hundred boxes": {
			scenario{halls: 5, boxes: 100, loss: 0.025, duration: 12 * time.Second},
			&deadlyWorkload{engines: 60, perSecond: 120, deadlyShare: 0.03}, 0, 0.97,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := tc.load
			tc.scenario.load, tc.scenario.measureFrom = w, tc.scenario.duration
			simulate(t, tc.scenario)
			served := float64(w.answered) / float64(w.requests)
			t.Logf("%d ended, sent early %d, late %d, %d refused, %.3f of %d served", w.ended, w.earlySends, w.lateSends, w.refused, served, w.requests)
			most := max(maxEnded, w.earlySends+1) + tc.relearned*maxEnded
			quicktest.Check(t, w.ended <= most, quicktest.IsTrue, quicktest.Commentf("%d ended", w.ended))
			quicktest.Check(t, w.lateSends <= tc.relearned*maxEnded, quicktest.IsTrue, quicktest.Commentf("sent late %d", w.lateSends))
			quicktest.Check(t, w.refused, quicktest.Equals, 0)
			quicktest.Check(t, served >= tc.served, quicktest.IsTrue, quicktest.Commentf("%.3f", served))
		})
	}
}

// TestSuspectsOutliveBoxes checks that boxes which are all killed repeatedly, while a request
// that ends engines arrives now and then, send it at most three more times after three engines
// have ended.
//
// It guards against evidence that is kept only in the memory of boxes. With such a request
// every four seconds, and all boxes killed at 20, 45 and 70 s, it was sent four times more than
// allowed and twelve engines ended: after each kill the boxes began without evidence, and three
// more engines had to end until the request was refused again.
func TestSuspectsOutliveBoxes(t *testing.T) {
	w := &deadlyWorkload{engines: 18, perSecond: 40, deadlyShare: 0.01}
	simulate(t, scenario{
		halls: 3, boxes: 9, duration: 32 * time.Second, measureFrom: 32 * time.Second, load: w,
		events: []event{{11 * time.Second, killAll}, {18 * time.Second, killAll}, {25 * time.Second, killAll}},
	})
	t.Logf("%d ended, sent late %d", w.ended, w.lateSends)
	quicktest.Check(t, w.lateSends <= maxEnded, quicktest.IsTrue, quicktest.Commentf("sent late %d", w.lateSends))
}
