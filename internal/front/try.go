package front

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/reply"
)

// try is one try of a request at one target.
type try struct {
	stage     *deliver
	exchange  *Exchange
	placement *balance.Placement

	// number counts the request's tries, also those that reached no target.
	number         int
	alone          bool // alone is set for the try of a suspect, whose target gets nothing else.
	started        time.Time
	sent           time.Time     // sent is when the target was sent the request.
	head           reply.Head    // head is that of the target's answer.
	skippedAnswers int           // skipped counts the answers to other requests that came before it.
	timeToFirst    time.Duration // first is the time to the first event or the answer.
	failure        []byte        // failure is the body of the target's own failure, kept to be passed on.
	// reserved are the reservations at helpers.
	reserved []reservation
	// renewals is closed when no renewal is on its way any more.
	renewalsDone chan struct{}
	retryPaid    atomic.Bool // paid is set, by the watch, when the next try has been paid for.
	noMemory     bool        // noMemory is set when helpers had no memory to set aside.
	// silent are the helpers that could not be reached; unplaced is set if the prompt has to
	// be placed anew without them.
	unreachable    []barleystep.TargetID
	needsPlacement bool
	// blamed is the helper that kept the target from running the request, if any.
	blamed barleystep.TargetID
	// moved is set if another target has answered than the one that was meant.
	wrongTarget bool
}

// answerBytes bounds an answer that is held until it is whole; longer ones do
// not occur on routes that are no streams.
const maxAnswerBytes = 8 << 20

var (
	errUnsealed       = eris.New("front: the answer lacks the target's digest")
	errEncoded        = eris.New("front: the answer was encoded on its way")
	errTruncatedEvent = eris.New("front: the stream ended inside an event")
	errStalled        = eris.New("front: the target sent nothing for too long")
	errCallerWrite    = eris.New("front: the caller does not read")

	// errWithdrawn means that the target has said that it takes nothing more, after it was
	// chosen and before it was sent the request.
	errWithdrawn = eris.New("front: the target takes nothing more")

	errAnswerTooLong = eris.New("front: the answer is too long")
	// errPromise means that a status promises that the request has not run, which the
	// target does not say besides. It may have run, so the status is not passed on.
	errUnconfirmedStatus = eris.New("front: the target does not say that the request has not run")
)

// run sends the request and relays its answer.
func (t *try) run(ctx context.Context) (result, error) {
	x := t.exchange
	t.started = t.stage.clock.Now()
	x.progress.enter(PhaseReaching, t.started)
	defer t.release(context.WithoutCancel(ctx))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil) // It ends the renewals, before the release.
	if err := t.checkHelpers(ctx); err != nil {
		return resultNotSent, err
	}
	if err := t.reserve(ctx); err != nil {
		return resultNotSent, err
	}
	c, err := t.stage.pool.Get(ctx, t.placement.Target.Addr)
	if err != nil {
		return resultNotSent, err
	}
	if !t.placement.IsValid() {
		c.Release(nil)
		t.needsPlacement = true
		return resultNotSent, eris.Wrap(barleystep.ErrNotStarted, errWithdrawn.Error())
	}
	left := x.deadline.Sub(t.stage.clock.Now())
	if left <= 0 || ctx.Err() != nil {
		c.Release(nil)
		return resultNotSent, context.Cause(ctx)
	}
	t.logHelpers()
	watch := t.newStallWatch(cancel)
	defer watch.stop()
	if t.canResend() {
		go t.abandonRestarted(ctx, cancel)
	}
	x.sends++
	x.target = t.placement.Target.ID
	x.helpers = len(t.placement.Helpers)
	x.expected = t.placement.ExpectedTTFT()
	t.sent = t.stage.clock.Now()
	x.progress.enterSent(x.target, t.sent)
	resp, err := c.Send(ctx, t.outgoingRequest(left), x.body, t.isOwnAnswer)
	t.skippedAnswers = c.Skipped()
	if err != nil {
		c.Release(nil)
		return t.sendFailed(ctx, err)
	}
	x.progress.enter(PhaseAnswering, t.stage.clock.Now())
	res, err := t.handleAnswer(resp, watch)
	resp.Body.Close()
	if res == resultBroken {
		c.Discard()
	} else {
		c.Release(resp)
	}
	return res, stallError(ctx, err)
}

// noteHelpers writes a line about a prompt that several targets read: it tells why
// other streams of theirs paused.
func (t *try) logHelpers() {
	if len(t.placement.Helpers) == 0 {
		return
	}
	ids := make([]barleystep.TargetID, len(t.placement.Helpers))
	for i, h := range t.placement.Helpers {
		ids[i] = h.ID
	}
	t.stage.log.Info().Str("request", t.exchange.call.RequestID).Str("target", string(t.placement.Target.ID)).
		Strs("helpers", idStrings(ids)).Int("prompt", t.exchange.call.PromptTokens).Dur("expected", t.placement.ExpectedTTFT()).
		Msg(logPrefix + "Several targets read the prompt.")
}

func stallError(ctx context.Context, err error) error {
	if err != nil && eris.Is(context.Cause(ctx), errStalled) {
		return errStalled
	}
	return err
}

func (t *try) sendFailed(ctx context.Context, err error) (result, error) {
	if eris.Is(err, barleystep.ErrNotStarted) {
		t.exchange.sends--
		return resultNotSent, err
	}
	t.exchange.mayHaveRun = true
	return resultBroken, stallError(ctx, err)
}

// mine reports whether an answer is to this request. One that names no request is not:
// targets name the request in each answer.
func (t *try) isOwnAnswer(h http.Header) bool {
	return t.stage.protocol.ReadResponseHead(0, h).RequestID == t.exchange.call.RequestID
}

// request returns the request as the target gets it.
func (t *try) outgoingRequest(left time.Duration) *http.Request {
	x := t.exchange
	target := x.r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = x.r.URL.RequestURI()
	}
	h := x.r.Header.Clone()
	reply.RemoveHopByHop(h)
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "") // An empty one is not sent.
	}
	t.stage.protocol.SetTargetHeaders(h, barleystep.TargetHeaders{
		Target:      t.placement.Target.ID,
		Account:     x.account,
		TimeLeft:    left,
		LastEventID: x.lastEvent,
		Helpers:     t.helperList(),
	})
	r := &http.Request{
		Method:        x.r.Method,
		URL:           &url.URL{Opaque: target},
		Host:          x.r.Host,
		Header:        h,
		ContentLength: int64(len(x.body)),
	}
	if len(x.body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(x.body))
	}
	return r
}

// helperNamed returns the helper with the id or the address, empty if there is none.
func (t *try) findHelper(name string) barleystep.TargetID {
	for _, h := range t.placement.Helpers {
		if name != "" && (string(h.ID) == name || h.Addr == name) {
			return h.ID
		}
	}
	return ""
}

// blamedFar reports whether the helper that is to blame is in another hall than the
// target.
func (t *try) blamedInOtherHall() bool {
	for _, h := range t.placement.Helpers {
		if h.ID == t.blamed {
			return h.Hall != t.placement.Target.Hall
		}
	}
	return false
}

// take judges the head of an answer and relays what may be relayed.
func (t *try) handleAnswer(resp *http.Response, w *stallWatch) (result, error) {
	verdict := t.stage.protocol.ReadResponseHead(resp.StatusCode, resp.Header)
	t.wrongTarget = misdirected(resp) && t.findHelper(verdict.RefusedBy) == ""
	if !t.wrongTarget {
		t.placement.NoteStatement(t.placement.Target.ID, verdict.Statement, t.sent)
	}
	t.head = reply.FromTarget(t.placement.Target.ID, resp, verdict.HasDigest)
	if verdict.NotRun {
		t.blamed = t.findHelper(verdict.RefusedBy)
		_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
		return resultNotRun, err
	}
	t.exchange.mayHaveRun = true
	switch {
	case verdict.Reencoded:
		return resultBroken, errEncoded
	case !verdict.HasDigest:
		return resultBroken, errUnsealed
	case success(resp.StatusCode) && t.exchange.route.Kind == fleet.KindStream:
		return t.relay(resp, w)
	}
	return t.bufferAnswer(resp)
}

// misdirected reports whether the answer says that another target was meant: than the one that
// answers, or than a helper that it blames.
func misdirected(resp *http.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest
}

func success(status int) bool { return status < http.StatusMultipleChoices }

// hold takes in an answer that is no stream and passes it on once it is whole. A
// failure of the target's own is kept until it is known whether another does better.
func (t *try) bufferAnswer(resp *http.Response) (result, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errAnswerTooLong
	}
	if err != nil {
		return resultBroken, err
	}
	t.timeToFirst = t.stage.clock.Now().Sub(t.started)
	switch {
	case impliesNotRun(resp.StatusCode):
		return resultFailed, errUnconfirmedStatus
	case resp.StatusCode >= http.StatusInternalServerError:
		t.failure = body
		return resultFailed, nil
	}
	t.sendAnswer(body)
	return resultDone, nil
}

// promises reports whether a status tells callers that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// pass gives the target's whole answer to the caller.
func (t *try) sendAnswer(body []byte) {
	x := t.exchange
	x.timeToFirst = t.stage.clock.Now().Sub(x.started)
	x.answer.WriteFull(t.head, body)
}

// report tells the balancer what was learnt of the target.
func (t *try) report(ctx context.Context, res result) balance.Report {
	return balance.Report{
		Unreachable:       ctx.Err() == nil && res == resultNotSent && !t.noMemory && !t.needsPlacement,
		Failed:            ctx.Err() == nil && res == resultBroken,
		Error:             res == resultFailed,
		Full:              res == resultNotRun && t.blamed == "",
		UnreachableHelper: t.blamed,
		Moved:             t.wrongTarget,
	}
}
