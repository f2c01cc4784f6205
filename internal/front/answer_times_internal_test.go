package front

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/fleet"
)

// TestAnswerTimesLearns checks that what the box has seen decides how long answers may take. It guards
// against bounds from a cost model that leaves out what else slows the targets.
func TestAnswerTimesLearns(t *testing.T) {
	const (
		token = time.Millisecond
		seen  = 3 * token // seen is the time per token of the streams seen.
		last  = 100 * time.Second
	)
	start := time.Unix(1000, 0)
	cost := &fleet.CostModel{Slots: 1, Stride: 50, Step: token, MeanOutputTokens: 1250}
	route := &fleet.Route{Name: "r", Objective: time.Second, Timeout: time.Minute}
	job := balance.Job{Service: "s", OutputTokens: 1000, Cost: cost}
	stream := func(sends int) *Exchange {
		const events = 101
		x := &Exchange{service: "s", route: route, sends: sends, events: events, started: start.Add(-last), sentAt: start.Add(-last)}
		x.lastWrite = x.started.Add((events - 1) * 50 * seen)
		return x
	}
	unseen := slowStreamFactor * float64(1000*token)
	cases := map[string]struct {
		sends    int
		streams  int
		age      time.Duration
		min, max float64
	}{
		"nothing seen":     {1, 0, 0, unseen, unseen},
		"slow streams":     {1, 20, 0, 2.8 * unseen, 3 * unseen},
		"long ago":         {1, 20, 10 * paceDecay, unseen, 1.1 * unseen},
		"streams resumed":  {2, 20, 0, unseen, unseen},
		"one of them only": {1, 1, 0, 1.5 * unseen, 2.5 * unseen},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			var a answerTimes
			for range tc.streams {
				a.note(start, stream(tc.sends), cost)
			}
			got := float64(a.decodeTime(start.Add(tc.age), job))
			c.Check(got >= 0.999*tc.min && got <= 1.001*tc.max, quicktest.IsTrue, quicktest.Commentf("%v", time.Duration(got)))
		})
	}
	t.Run("plain answers", func(t *testing.T) {
		c := quicktest.New(t)
		var a answerTimes
		x := &Exchange{route: route, sentAt: start.Add(-10 * time.Second)}
		c.Check(a.answerTime(start, route), quicktest.Equals, answerObjectives*route.Objective)
		a.note(start, x, nil)
		c.Check(a.answerTime(start, route), quicktest.Equals, 15*time.Second)
		c.Check(a.answerTime(start.Add(recentPeriod+1), route), quicktest.Equals, 15*time.Second)
		c.Check(a.answerTime(start.Add(4*recentPeriod), route), quicktest.Equals, answerObjectives*route.Objective)
	})
}

// TestAnswerTimesLearnsShortAnswers guards against services with short answers whose pace is taken from
// the cost model for as long as the box runs.
func TestAnswerTimesLearnsShortAnswers(t *testing.T) {
	c := quicktest.New(t)
	const token = time.Millisecond
	start := time.Unix(1000, 0)
	cost := &fleet.CostModel{Slots: 1, Stride: 8, Step: token, MeanOutputTokens: 64}
	var a answerTimes
	for range 20 {
		x := &Exchange{service: "s", sends: 1, events: 9, started: start}
		x.lastWrite = start.Add(64 * 3 * token)
		a.note(start.Add(time.Second), x, cost)
	}
	got := a.decodeTime(start.Add(time.Second), balance.Job{Service: "s", OutputTokens: 64, Cost: cost})
	c.Check(float64(got) > 2.5*slowStreamFactor*float64(64*token), quicktest.IsTrue, quicktest.Commentf("%v", got))
}
