package front

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/event"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/guard"
	"github.com/barleystep/barleystep/internal/pipeline"
	"github.com/barleystep/barleystep/internal/reply"
	"github.com/barleystep/barleystep/internal/suspect"
)

// Exchange is the state of one request as it passes through the stages.
type Exchange struct {
	r       *http.Request
	answer  *reply.Writer
	conn    *guard.Conn // conn is the caller's connection, nil if nothing bounds what it holds.
	started time.Time
	call    barleystep.CallerHeaders
	// progress is the current phase of the request, readable by other goroutines.
	progress progress

	view     *fleet.View
	viewAge  time.Duration // viewAge is the age of the view's confirmation when the request was routed.
	outdated bool          // outdated is set if a newer configuration may be in force elsewhere.
	route    *fleet.Route
	service  string
	account  string
	priority int // priority is the request's priority; 0 is the highest.
	deadline time.Time
	// firstTry is the estimated time of the caller's first attempt.
	firstTry time.Time
	body     []byte
	// digestValue is the suspect digest, computed once by suspectDigest. It needs the body, so it
	// is computed only after the body has been read, possibly by another goroutine.
	digestValue suspect.Digest
	digestOnce  sync.Once
	// partDigests are the digests of the shared parts of the prompt, computed once by suspectParts.
	partDigests []suspect.Digest
	partsOnce   sync.Once
	abort       context.CancelCauseFunc // abort ends the delivery of the request.

	buffered   int64 // buffered is the memory that answers to the request take, in bytes.
	sends      int
	mayHaveRun bool      // mayHaveRun is set once a target may have run the request.
	sentAt     time.Time // sentAt is when the request was last sent to a target.
	target     barleystep.TargetID
	helpers    int
	relay      string // relay is the box through which the last send went, empty for a direct one.
	// listAge is the age of the list of targets at the last send.
	listAge time.Duration
	// queued is the time that the request spent waiting for placements. expected is the balancer's
	// estimate of the time to the first event after the last send.
	queued   time.Duration
	expected time.Duration
	// capacityAfter is the time that a refusal because of load carried, zero if none, and told the
	// Retry-After of the refusal.
	capacityAfter time.Duration
	told          time.Duration
	passedOver    []string      // passedOver lists the targets that a refused request was not offered to.
	timeToFirst   time.Duration // timeToFirst is the time from the start to the first event or the complete answer.
	cursor        event.Cursor  // cursor is the position of the caller in the stream.
	// endedWhole is set if the stream has ended as far as its target tells, though not with the end of
	// its connection.
	endedWhole bool
	events     int
	// droppedEvents counts the events of targets that the caller already had.
	droppedEvents int
	// unframed is set if the last answer of a target had neither a length nor chunks.
	unframed  bool
	lastWrite time.Time     // lastWrite is when the last events were sent.
	maxPause  time.Duration // maxPause is the longest pause between events so far.
}

// Aliases of the pipeline's types for exchanges.
type (
	// Next runs the stages that follow.
	Next = pipeline.Next[*Exchange]
	// Stage is one filter of the pipeline.
	Stage = pipeline.Stage[*Exchange]
	// Pipeline runs its stages in order.
	Pipeline = pipeline.Pipeline[*Exchange]
)

// retryAfter returns the delay after which the caller may retry when all targets are full and it is
// not known when capacity is expected.
func (x *Exchange) retryAfter(now time.Time) time.Duration {
	return max(x.route.Objective, x.deadline.Sub(now)/fullRetryDivisor)
}

// retryAfterCapacity returns the delay after which the caller may retry when capacity is expected
// after the given time. random is in [0, 1) and spreads callers that are refused together, so that
// they don't return together; the delay is still at most a third of the time left.
func (x *Exchange) retryAfterCapacity(now time.Time, capacityAfter time.Duration, random float64) time.Duration {
	most := max(x.deadline.Sub(now), 0) / fullRetryDivisor
	after := min(capacityAfter, most*retryJitterDivisor/(retryJitterDivisor+1))
	return after + time.Duration(random*float64(after/retryJitterDivisor))
}

const (
	// Callers of streams wait for an event for the longest of three durations: minCallerWait (two
	// seconds), callerWaitObjectives times the objective, and callerWaitPauses times the maximum
	// pause.
	minCallerWait        = 2 * time.Second
	callerWaitObjectives = 4
	callerWaitPauses     = 8
)

// giveUpAt returns when the caller stops waiting for the first event or the answer. A stream that
// has been sent to a target is resumed elsewhere until its deadline.
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

// notRunRefusal returns a refusal that guarantees that the request has not run.
func notRunRefusal(reason barleystep.Reason, message string, after time.Duration) *barleystep.Refusal {
	return barleystep.NewRefusal(reason, barleystep.OutcomeNotRun, message).WithRetryAfter(after)
}

// stoppingRefusal returns the refusal of a request that has not run because the box shuts down.
func stoppingRefusal() *barleystep.Refusal {
	return notRunRefusal(barleystep.ReasonStopping, "The box is stopping.", unavailableRetryAfter)
}
