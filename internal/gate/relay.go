package gate

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tidwall/gjson"

	"github.com/barleystep/barleystep"
)

// maxResumes bounds how often the stream of one attempt is resumed.
const maxResumes = 3

// relay copies the answer of one attempt to the caller.
type relay struct {
	dispatcher *dispatch
	exchange   *Exchange
	allocation barleystep.Allocation
	id         barleystep.AttemptID

	watchdog *watchdog
	sentAt   time.Time
	next     uint64 // next is the number of the next event.
	usage    barleystep.Usage
}

// run sends the attempt and copies its answer until the end. It resumes a broken stream if the
// attempt cannot be retried on another target.
func (r *relay) run(ctx context.Context) error {
	r.sentAt = r.dispatcher.clock.Now()
	r.next = 1
	err := r.stream(ctx, 0)
	for range maxResumes {
		if err == nil || eris.Is(err, barleystep.ErrNotStarted) || !r.canResume(ctx, err) {
			return err
		}
		r.dispatcher.meter.AttemptRetried("resume")
		if resumeErr := r.stream(ctx, r.next); !eris.Is(resumeErr, barleystep.ErrNotStarted) {
			err = resumeErr
		}
		// ErrNotStarted from a resume does not prove that the attempt never ran, so the first
		// error is kept.
	}
	return err
}

func (r *relay) canResume(ctx context.Context, err error) bool {
	if ctx.Err() != nil || eris.Is(err, errCallerWrite) || eris.Is(err, errTargetStatus) {
		return false
	}
	return r.exchange.answer.events > 0 || !r.exchange.repeatable
}

var (
	errCallerWrite  = eris.New("gate: the caller does not read")
	errTargetStatus = eris.New("gate: the target answered with an error")
)

// stream opens one stream of the attempt, from event number from, and copies it to its end.
func (r *relay) stream(ctx context.Context, from uint64) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.watchdog = newWatchdog(ctx, r.dispatcher.clock, r.dispatcher.firstEventTimeout(r.exchange), cancel)
	s, err := r.dispatcher.start(ctx, r, from)
	if err != nil {
		return r.preferStall(ctx, err)
	}
	defer s.Close()
	if err := r.checkStatus(s); err != nil {
		return err
	}
	return r.preferStall(ctx, r.copy(s))
}

// preferStall returns errStalled in place of an error that a stall has caused.
func (r *relay) preferStall(ctx context.Context, err error) error {
	if err != nil && eris.Is(context.Cause(ctx), errStalled) {
		return errStalled
	}
	return err
}

// checkStatus returns an error if the target's status is 5xx, before anything is copied.
func (r *relay) checkStatus(s barleystep.Stream) error {
	if s.Status() >= http.StatusInternalServerError {
		return eris.Wrapf(errTargetStatus, "status %d", s.Status())
	}
	return nil
}

func (r *relay) copy(s barleystep.Stream) error {
	for {
		e, err := s.Next()
		if eris.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		r.observe(e)
		r.writeHeader(s)
		if err := r.exchange.answer.writeEvent(e); err != nil {
			return eris.Wrap(errCallerWrite, err.Error())
		}
		r.next = e.Number() + 1
		if e.Last() {
			return nil
		}
	}
}

func (r *relay) writeHeader(s barleystep.Stream) {
	if r.exchange.answer.started {
		return
	}
	r.exchange.answer.writeHeader(s.Status(), s.ContentType(), isStream(s.ContentType()))
}

// observe resets the watchdog, and records the time to first token and the usage of the prompt.
func (r *relay) observe(e barleystep.Event) {
	r.watchdog.reset(r.dispatcher.stallTimeout)
	if r.usage.TimeToFirstEvent == 0 {
		r.usage.TimeToFirstEvent = max(r.dispatcher.clock.Now().Sub(r.sentAt), 1)
		r.allocation.FirstToken()
		band := barleystep.BandOf(r.exchange.prompt.tokens)
		r.dispatcher.meter.FirstToken(band.String(), r.dispatcher.clock.Now().Sub(r.exchange.started))
	}
	if bytes.Contains(e.Data(), usageField) {
		r.usage.PromptTokens = int(gjson.GetBytes(e.Data(), "usage.prompt_tokens").Int())
	}
}

// usageField is searched for before an event is decoded, since few events contain usage.
var usageField = []byte(`"usage":{`)
