package front

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/pipeline"
	"github.com/barleystep/barleystep/internal/reply"
	"github.com/barleystep/barleystep/internal/suspect"
)

// Exchange is one request on its way through the stages.
type Exchange struct {
	r       *http.Request
	answer  *reply.Writer
	started time.Time
	call    barleystep.CallerHeaders
	// progress is how far the request has come, for other goroutines.
	progress progress

	view     *fleet.View
	viewAge  time.Duration // age is that of the view's proof when it decided.
	route    *fleet.Route
	service  string
	account  string
	priority int // rank is the request's priority, 0 first.
	deadline time.Time
	// firstTry is when the caller first tried, as far as is known.
	firstTry time.Time
	body     []byte
	// known is the digest, once it was asked for. It is asked for once the body has come, also
	// by other goroutines.
	digestValue suspect.Digest
	digestOnce  sync.Once
	abort       context.CancelCauseFunc // cut ends the request while it is being delivered.

	sends      int
	mayHaveRun bool // ran is set once a target may have run the request.
	target     barleystep.TargetID
	helpers    int
	// queued is the time that the request waited for places at targets, and
	// expected when the balancer expected the first event after the last send.
	queued      time.Duration
	expected    time.Duration
	passedOver  []string      // passed names the targets that a refused request was not offered to.
	timeToFirst time.Duration // first is when the first event, or the answer, went out.
	lastEvent   string        // last is the id of the last event that went out.
	events      int
	lastWrite   time.Time     // written is when the last events went out.
	maxPause    time.Duration // pause is the longest one between events so far.
}

// The parts of the pipeline through which exchanges pass.
type (
	// Next runs the stages that follow.
	Next = pipeline.Next[*Exchange]
	// Stage is one filter of the pipeline.
	Stage = pipeline.Stage[*Exchange]
	// Pipeline runs its stages in order.
	Pipeline = pipeline.Pipeline[*Exchange]
)

// comeBack returns after how long the caller may come back to targets that are full.
func (x *Exchange) retryAfter(now time.Time) time.Duration {
	return max(x.route.Objective, x.deadline.Sub(now)/fullRetryDivisor)
}

const (
	// callerSilence, callerObjectives and callerPauses say for how long callers of
	// streams wait for an event: two seconds, so many objectives or so many of the longest
	// pauses, whichever is the longest.
	minCallerWait        = 2 * time.Second
	callerWaitObjectives = 4
	callerWaitPauses     = 8
)

// patience returns when the caller stops waiting for the first event or the answer. A
// stream that was sent is taken up elsewhere for as long as its caller is there.
func (x *Exchange) giveUpAt() time.Time {
	if x.route.Kind != fleet.KindStream || x.sends > 0 {
		return x.deadline
	}
	giveUp := x.started.Add(max(minCallerWait, callerWaitObjectives*x.route.Objective, callerWaitPauses*x.route.MaxPause))
	if giveUp.Before(x.deadline) {
		return giveUp
	}
	return x.deadline
}

// notRun returns a refusal that promises that the request has not run.
func notRunRefusal(reason barleystep.Reason, message string, after time.Duration) *barleystep.Refusal {
	return barleystep.NewRefusal(reason, barleystep.OutcomeNotRun, message).WithRetryAfter(after)
}

// stopping returns the refusal of a request that has not run since the box ends.
func stoppingRefusal() *barleystep.Refusal {
	return notRunRefusal(barleystep.ReasonStopping, "The box is stopping.", unavailableRetryAfter)
}
