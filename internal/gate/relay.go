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

// maxResumes bounds how often one attempt's stream is taken up again.
const maxResumes = 3

// relay passes the answer of one attempt on to the caller.
type relay struct {
	stage     *dispatch
	exchange  *Exchange
	allotment barleystep.Allocation
	id        barleystep.AttemptID

	watch *watch
	sent  time.Time
	next  uint64 // next is the number of the event that is wanted.
	usage barleystep.Usage
}

// run sends the attempt and relays it to its end. It resumes a torn stream when
// the attempt cannot be tried elsewhere.
func (r *relay) run(ctx context.Context) error {
	r.sent = r.stage.clock.Now()
	r.next = 1
	err := r.stream(ctx, 0)
	for range maxResumes {
		if err == nil || eris.Is(err, barleystep.ErrNotStarted) || !r.mayResume(ctx, err) {
			return err
		}
		r.stage.meter.AttemptRetried("resume")
		if again := r.stream(ctx, r.next); !eris.Is(again, barleystep.ErrNotStarted) {
			err = again
		}
		// A target that knows nothing of the attempt has not thereby said that
		// it never ran: the first error stands.
	}
	return err
}

func (r *relay) mayResume(ctx context.Context, err error) bool {
	if ctx.Err() != nil || eris.Is(err, errCaller) || eris.Is(err, errStatus) {
		return false
	}
	return r.exchange.answer.events > 0 || !r.exchange.repeatable
}

var (
	errCaller = eris.New("gate: the caller does not read")
	errStatus = eris.New("gate: the target answered with an error")
)

// stream takes one stream of the attempt as far as it goes.
func (r *relay) stream(ctx context.Context, from uint64) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.watch = newWatch(ctx, r.stage.clock, r.stage.firstWait(r.exchange), cancel)
	s, err := r.stage.start(ctx, r, from)
	if err != nil {
		return r.because(ctx, err)
	}
	defer s.Close()
	if err := r.checkStatus(s); err != nil {
		return err
	}
	return r.because(ctx, r.copy(s))
}

// because names a stall as the cause of an error that it led to.
func (r *relay) because(ctx context.Context, err error) error {
	if err != nil && eris.Is(context.Cause(ctx), errStalled) {
		return errStalled
	}
	return err
}

// checkStatus refuses a target's own failure before anything is relayed.
func (r *relay) checkStatus(s barleystep.Stream) error {
	if s.Status() >= http.StatusInternalServerError {
		return eris.Wrapf(errStatus, "status %d", s.Status())
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
		r.note(e)
		r.begin(s)
		if err := r.exchange.answer.event(e); err != nil {
			return eris.Wrap(errCaller, err.Error())
		}
		r.next = e.Number() + 1
		if e.Last() {
			return nil
		}
	}
}

func (r *relay) begin(s barleystep.Stream) {
	if r.exchange.answer.begun {
		return
	}
	r.exchange.answer.begin(s.Status(), s.ContentType(), isStream(s.ContentType()))
}

// note learns from an event: progress, and the usage that closes an answer.
func (r *relay) note(e barleystep.Event) {
	r.watch.expect(r.stage.stall)
	if r.usage.TimeToFirstEvent == 0 {
		r.usage.TimeToFirstEvent = max(r.stage.clock.Now().Sub(r.sent), 1)
		r.allotment.FirstToken()
		band := barleystep.BandOf(r.exchange.prompt.tokens)
		r.stage.meter.FirstToken(band.String(), r.stage.clock.Now().Sub(r.exchange.started))
	}
	if bytes.Contains(e.Data(), usageMark) {
		r.usage.PromptTokens = int(gjson.GetBytes(e.Data(), "usage.prompt_tokens").Int())
	}
}

// usageMark is looked for before an event is decoded: few events hold usage.
var usageMark = []byte(`"usage":{`)
