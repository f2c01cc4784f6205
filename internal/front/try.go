package front

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/conn"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/reply"
)

// try is one try of a request at one target.
type try struct {
	stage     *deliver
	exchange  *Exchange
	placement *balance.Placement
	conn      *conn.Conn // conn is the connection to the target.

	// number is the sequence number of the try within the request, including tries that reached no
	// target.
	number         int
	isolated       bool // isolated is set for a suspect, whose target gets no other requests.
	started        time.Time
	sent           time.Time  // sent is when the request was sent to the target.
	head           reply.Head // head is the head of the target's answer.
	skippedAnswers int        // skippedAnswers counts the answers to other requests that came before it.
	begun          bool       // begun is set once the first event or the complete answer has arrived.
	failure        []byte     // failure is the body of the target's own failure, kept to be relayed later.
	// reserved holds the reservations at helpers, which share reservationID.
	reserved      []*reservation
	reservationID string
	// reservedAt is when the first order for them was sent.
	reservedAt time.Time
	// renewals are what renews the reservations.
	renewals sync.WaitGroup
	// memoryUsed is set once the target has sent an event or a final answer, or a helper states that the
	// reserved memory is in use.
	memoryUsed atomic.Bool
	retryPaid  atomic.Bool // retryPaid is set once the next try has been charged to the retry budget.
	noMemory   bool        // noMemory is set if helpers had no memory to reserve.
	// unreachable holds the helpers that could not be reached. needsPlacement is set if the request
	// needs a new placement though the target did not fail.
	unreachable    []barleystep.TargetID
	needsPlacement bool
	// blamed is the helper that kept the target from running the request, if any.
	blamed barleystep.TargetID
	// noPath is set if this box has no way to the target.
	noPath bool
	// wrongTarget is set if another target than the intended one answered.
	wrongTarget bool
}

var (
	errUnsealed       = eris.New("front: the answer lacks the target's digest")
	errEncoded        = eris.New("front: the answer was encoded on its way")
	errTruncatedEvent = eris.New("front: the stream ended inside an event")
	errMayLackPart    = eris.New("front: the answer has no length, and its target is not known to live on")
	errAnotherKind    = eris.New("front: the target did not resume the stream")
	errStalled        = eris.New("front: the target sent nothing for too long")
	errCallerWrite    = eris.New("front: the caller does not read")

	// errWithdrawn means that after the placement and before the send the target or a helper was found
	// to accept no more requests.
	errWithdrawn = eris.New("front: the target accepts no more requests")

	errAnswerTooLong = eris.New("front: the answer is too long")
	// errTooManyAnswers means that the answers of all requests are too long together.
	errTooManyAnswers = eris.New("front: too many long answers at once")
	// errUnconfirmedStatus means that a status guarantees that the request has not run, but the
	// target does not state that. The request may have run, so the status is not relayed.
	errUnconfirmedStatus = eris.New("front: the target does not say that the request has not run")
)

// run sends the request and relays its answer.
func (t *try) run(ctx context.Context) (result, error) {
	x := t.exchange
	t.started = t.stage.clock.Now()
	x.progress.enter(PhaseReaching, t.started)
	defer t.release(context.WithoutCancel(ctx))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil) // Ends the renewals before the release.
	if err := t.checkHelpers(ctx); err != nil {
		return resultNotSent, err
	}
	if err := t.reserve(ctx); err != nil {
		return resultNotSent, err
	}
	c, err := t.connect(ctx)
	if err != nil {
		t.noPath = eris.Is(err, barleystep.ErrNoPath)
		return resultNotSent, err
	}
	if !t.placement.Confirm(ctx) {
		c.Release(nil)
		t.needsPlacement = true
		return resultNotSent, eris.Wrap(barleystep.ErrNotStarted, errWithdrawn.Error())
	}
	left := x.deadline.Sub(t.stage.clock.Now())
	if left <= 0 || ctx.Err() != nil {
		c.Release(nil)
		return resultNotSent, context.Cause(ctx)
	}
	if t.stage.isTooLate(x, t.placement) {
		c.Release(nil)
		t.needsPlacement = true
		return resultNotSent, errStopping
	}
	t.logHelpers()
	t.conn = c
	watch := t.newStallWatch(cancel, c)
	defer watch.stop()
	if len(t.reserved) > 0 {
		t.watchMemory(ctx, cancel)
	}
	if t.canResend() {
		go t.abandonRestarted(ctx, cancel)
	}
	x.sends++
	x.target = t.placement.Target.ID
	x.helpers = len(t.placement.Helpers)
	x.relay = c.Relay()
	x.expected = t.placement.ExpectedTTFT()
	x.listAge = t.placement.ListAge()
	t.sent = t.stage.clock.Now()
	x.sentAt = t.sent
	x.progress.enterSent(x.target, t.sent)
	resp, err := c.Send(ctx, t.outgoingRequest(left), x.body, t.isOwnAnswer)
	t.skippedAnswers = c.Skipped()
	if err != nil {
		c.Release(nil)
		return t.sendFailed(ctx, err)
	}
	x.unframed = conn.IsUnframed(resp)
	x.progress.enter(PhaseAnswering, t.stage.clock.Now())
	res, err := t.handleAnswer(ctx, resp, watch)
	resp.Body.Close()
	if res == resultBroken {
		c.Discard()
	} else {
		c.Release(resp)
	}
	return res, stallError(ctx, err)
}

// connect returns a connection to the target. A request that may not be repeated gets one on which
// the target was heard a moment ago: if it were lost with the connection, nobody could tell whether
// it has run.
func (t *try) connect(ctx context.Context) (*conn.Conn, error) {
	addr := t.placement.Target.Addr
	if t.exchange.route.Repeatable() {
		return t.stage.pool.Get(ctx, addr)
	}
	return t.stage.pool.GetRecent(ctx, addr)
}

// logHelpers logs that several targets prefill the prompt, which explains pauses in their other
// streams.
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
	cause := context.Cause(ctx)
	if err != nil && (eris.Is(cause, errStalled) || eris.Is(cause, errUnusedMemory)) {
		return cause
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

// isOwnAnswer reports whether an answer belongs to this request. Targets name the request in each
// answer, so an answer that names none does not.
func (t *try) isOwnAnswer(h http.Header) bool {
	return t.stage.protocol.ReadResponseHead(0, h).RequestID == t.exchange.call.RequestID
}

// outgoingRequest returns the request as it is sent to the target.
func (t *try) outgoingRequest(left time.Duration) *http.Request {
	x := t.exchange
	target := x.r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = x.r.URL.RequestURI()
	}
	h := x.r.Header.Clone()
	reply.RemoveHopByHop(h)
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "") // An empty value is not sent.
	}
	t.stage.protocol.SetTargetHeaders(h, barleystep.TargetHeaders{
		Target:      t.placement.Target.ID,
		Account:     x.account,
		TimeLeft:    left,
		LastEventID: x.cursor.ID(),
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

// findHelper returns the helper with the given id or address, empty if there is none.
func (t *try) findHelper(name string) barleystep.TargetID {
	for _, h := range t.placement.Helpers {
		if name != "" && (string(h.ID) == name || h.Addr == name) {
			return h.ID
		}
	}
	return ""
}

// blamedInOtherHall reports whether the blamed helper is in another hall than the target.
func (t *try) blamedInOtherHall() bool {
	for _, h := range t.placement.Helpers {
		if h.ID == t.blamed {
			return h.Hall != t.placement.Target.Hall
		}
	}
	return false
}

// handleAnswer interprets the head of an answer and relays or buffers the body.
func (t *try) handleAnswer(ctx context.Context, resp *http.Response, w *stallWatch) (result, error) {
	verdict := t.stage.protocol.ReadResponseHead(resp.StatusCode, resp.Header)
	t.wrongTarget = misdirected(resp) && t.findHelper(verdict.RefusedBy) == ""
	if !t.wrongTarget {
		t.noteStatement(t.placement.Target.ID, verdict.Statement, t.sent)
	}
	t.head = reply.FromTarget(t.placement.Target.ID, resp, verdict.HasDigest)
	if verdict.NotRun {
		t.blamed = t.findHelper(verdict.RefusedBy)
		return resultNotRun, t.skipRefusal(resp)
	}
	t.exchange.mayHaveRun = true
	switch {
	case verdict.Reencoded:
		return resultBroken, errEncoded
	case !verdict.HasDigest:
		return resultBroken, errUnsealed
	case !t.continuesStream(resp):
		return resultFailed, errAnotherKind
	case success(resp.StatusCode) && t.exchange.route.Kind == fleet.KindStream:
		return t.relay(ctx, resp, w)
	}
	w.recordActivity()
	return t.bufferAnswer(ctx, resp)
}

// noteStatement takes in what a target states in an answer to a request that was sent at the given
// time.
func (t *try) noteStatement(id barleystep.TargetID, statement barleystep.Statement, sent time.Time) {
	if statement.InvalidLoad {
		t.stage.meter.TargetLoadInvalid()
	}
	t.placement.NoteStatement(id, statement, sent)
}

// misdirected reports whether the answer says that the request was meant for another target than
// the one that answers, or than a helper that it blames.
func misdirected(resp *http.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest
}

func success(status int) bool { return status < http.StatusMultipleChoices }

// bufferAnswer reads an answer that is not a stream and relays it once it is complete. A failure of
// the target's own is kept until it is known whether another target does better.
func (t *try) bufferAnswer(ctx context.Context, resp *http.Response) (result, error) {
	body, err := t.readBody(resp.Body)
	if err != nil {
		return resultBroken, err
	}
	if !t.isWhole(ctx, resp) {
		return resultBroken, errMayLackPart
	}
	t.begun = true
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

// impliesNotRun reports whether a status tells callers that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// sendAnswer sends the target's complete answer to the caller.
func (t *try) sendAnswer(body []byte) {
	x := t.exchange
	x.timeToFirst = t.stage.clock.Now().Sub(x.started)
	x.answer.WriteFull(t.head, body)
}

// report returns what the balancer learns about the target from the try.
func (t *try) report(ctx context.Context, res result) balance.Report {
	return balance.Report{
		Unreachable:       ctx.Err() == nil && res == resultNotSent && !t.noMemory && !t.needsPlacement && !t.noPath,
		NoPath:            t.noPath,
		Failed:            ctx.Err() == nil && res == resultBroken,
		Error:             res == resultFailed,
		Full:              res == resultNotRun && t.blamed == "",
		UnreachableHelper: t.blamed,
		Moved:             t.wrongTarget,
	}
}
