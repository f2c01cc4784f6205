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

	view    *fleet.View
	age     time.Duration // age is that of the view's proof when it decided.
	route   *fleet.Route
	service string
	account string
	rank    int // rank is the request's priority, 0 first.
	until   time.Time
	// firstTry is when the caller first tried, as far as is known.
	firstTry time.Time
	body     []byte
	// known is the digest, once it was asked for. It is asked for once the body has come, also
	// by other goroutines.
	known  suspect.Digest
	digest sync.Once
	cut    context.CancelCauseFunc // cut ends the request while it is being delivered.

	sends   int
	ran     bool // ran is set once a target may have run the request.
	target  barleystep.TargetID
	helpers int
	// queued is the time that the request waited for places at targets, and
	// expected when the balancer expected the first event after the last send.
	queued   time.Duration
	expected time.Duration
	passed   []string      // passed names the targets that a refused request was not offered to.
	first    time.Duration // first is when the first event, or the answer, went out.
	last     string        // last is the id of the last event that went out.
	events   int
	written  time.Time     // written is when the last events went out.
	pause    time.Duration // pause is the longest one between events so far.
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
func (x *Exchange) comeBack(now time.Time) time.Duration {
	return max(x.route.Objective, x.until.Sub(now)/returnPart)
}

const (
	// callerSilence, callerObjectives and callerPauses say for how long callers of
	// streams wait for an event: two seconds, so many objectives or so many of the longest
	// pauses, whichever is the longest.
	callerSilence    = 2 * time.Second
	callerObjectives = 4
	callerPauses     = 8
)

// patience returns when the caller stops waiting for the first event or the answer. A
// stream that was sent is taken up elsewhere for as long as its caller is there.
func (x *Exchange) patience() time.Time {
	if x.route.Kind != fleet.KindStream || x.sends > 0 {
		return x.until
	}
	gone := x.started.Add(max(callerSilence, callerObjectives*x.route.Objective, callerPauses*x.route.MaxPause))
	if gone.Before(x.until) {
		return gone
	}
	return x.until
}

// notRun returns a refusal that promises that the request has not run.
func notRun(reason barleystep.Reason, message string, after time.Duration) *barleystep.Refusal {
	return barleystep.NewRefusal(reason, barleystep.OutcomeNotRun, message).WithRetryAfter(after)
}

// stopping returns the refusal of a request that has not run since the box ends.
func stopping() *barleystep.Refusal {
	return notRun(barleystep.ReasonStopping, "The box is stopping.", restartPause)
}
