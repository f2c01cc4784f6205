package front

import (
	"math"
	"time"

	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/mutex"
)

// answerTimes knows how long answers have taken lately, so that a stopping box can tell which ones
// it can still complete. The zero value is ready to use; it is safe for concurrent use.
type answerTimes struct {
	mu mutex.Mutex
	// paces holds the pace of each service of engines, and longest the longest answer of each
	// route to other services.
	paces   map[string]*pace
	longest map[string]*recentMax
}

// pace holds decaying sums over the streams of one service: how long they took after their first
// event, in seconds, and of how many tokens.
type pace struct {
	seconds float64
	tokens  float64
	at      time.Time
}

const (
	// paceDecay is the mean age of the streams that count. To these, priorAnswers mean answers at the
	// pace of busy engines are added.
	paceDecay    = 30 * time.Second
	priorAnswers = 4
	// slowStreamFactor multiplies the mean pace: one stream in some dozens is slower than that.
	slowStreamFactor = 1.25
	// longOutputFactor multiplies the mean output where the caller states no limit.
	longOutputFactor = 3
	// longAnswerFactor multiplies the longest recent answer of a route to services without a cost
	// model.
	longAnswerFactor = 1.5
	// answerObjectives is how many objectives an answer that is not a stream is assumed to take at
	// most where the route has had none lately.
	answerObjectives = 4
)

// note records a complete answer. Streams with several sends have pauses that say nothing of the
// targets' pace.
func (a *answerTimes) note(now time.Time, x *Exchange, cost *fleet.CostModel) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cost == nil {
		a.noteLongest(now, x.route.Name, now.Sub(x.sentAt))
		return
	}
	if x.sends != 1 || x.events < 2 {
		return
	}
	p := a.pace(now, x.service)
	p.seconds += (x.lastWrite.Sub(x.started) - x.timeToFirst).Seconds()
	p.tokens += float64((x.events - 1) * cost.Stride)
}

func (a *answerTimes) noteLongest(now time.Time, route string, took time.Duration) {
	if a.longest == nil {
		a.longest = make(map[string]*recentMax)
	}
	m, ok := a.longest[route]
	if !ok {
		m = &recentMax{}
		a.longest[route] = m
	}
	m.note(now, took)
}

// pace returns the service's pace, decayed to now.
func (a *answerTimes) pace(now time.Time, service string) *pace {
	if a.paces == nil {
		a.paces = make(map[string]*pace)
	}
	p, ok := a.paces[service]
	if !ok {
		p = &pace{at: now}
		a.paces[service] = p
	}
	keep := math.Exp(-float64(now.Sub(p.at)) / float64(paceDecay))
	p.seconds, p.tokens, p.at = p.seconds*keep, p.tokens*keep, now
	return p
}

// decodeTime returns how long the longest answer that the job allows may take after its first event,
// on engines that are as busy as those of the last streams.
func (a *answerTimes) decodeTime(now time.Time, j balance.Job) time.Duration {
	tokens := j.OutputTokens
	if tokens <= 0 {
		tokens = longOutputFactor * j.Cost.MeanOutputTokens
	}
	return time.Duration(slowStreamFactor * float64(tokens) * a.tokenSeconds(now, j) * float64(time.Second))
}

// meanDecodeTime returns how long an answer of mean length takes after its first event on such engines.
func (a *answerTimes) meanDecodeTime(now time.Time, j balance.Job) time.Duration {
	return time.Duration(float64(j.Cost.MeanOutputTokens) * a.tokenSeconds(now, j) * float64(time.Second))
}

// tokenSeconds returns the time between two tokens of a stream, in seconds.
func (a *answerTimes) tokenSeconds(now time.Time, j balance.Job) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pace(now, j.Service)
	prior := float64(priorAnswers * max(j.Cost.MeanOutputTokens, j.Cost.Stride, 1))
	return (p.seconds + prior*j.Cost.BusyStep().Seconds()) / (p.tokens + prior)
}

// answerTime returns how long an answer on a route to a service without a cost model may take.
func (a *answerTimes) answerTime(now time.Time, r *fleet.Route) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m, ok := a.longest[r.Name]; ok {
		if longest := m.value(now); longest > 0 {
			return min(time.Duration(longAnswerFactor*float64(longest)), r.Timeout)
		}
	}
	if r.Kind == fleet.KindStream {
		return r.Timeout
	}
	return min(answerObjectives*r.Objective, r.Timeout)
}
